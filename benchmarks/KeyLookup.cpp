// Measures the processor time that it takes to find the customer of an API key,
// and to apply one changed key. Usage: zinniarail-bench-keys [KEYS], default
// 100000.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "zinniarail/customers/Customers.h"

using namespace zinniarail;

namespace {

constexpr unsigned KeysPerCustomer = 100;
constexpr unsigned LookUps = 1'000'000;

std::string keyOf(unsigned n) {
  return "key-of-a-customer-" + std::to_string(n);
}

std::vector<Customer> makeCustomers(unsigned keys) {
  std::vector<Customer> out;
  for (unsigned n = 0; n < keys; ++n) {
    if (n % KeysPerCustomer == 0) {
      out.emplace_back().Name = "customer-" + std::to_string(n);
    }
    out.back().Keys.push_back(digestKey(keyOf(n)));
  }
  for (Customer &it : out) {
    std::sort(it.Keys.begin(), it.Keys.end());
  }
  return out;
}

// Processor time: the machine may be busy with other things.
double secondsSince(std::clock_t start) {
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

} // namespace

int main(int count, char **arguments) {
  const unsigned keys = std::max(
      count > 1 ? static_cast<unsigned>(std::strtoul(arguments[1], nullptr, 10))
                : 100'000U,
      1U);
  std::vector<Customer> customers = makeCustomers(keys);
  CustomerDirectory directory;
  updateDirectory(directory, customers);
  std::vector<std::string> asked;
  for (unsigned n = 0; n < keys; ++n) {
    asked.push_back(keyOf(n * 7919 % keys)); // Another order than in memory.
  }
  auto start = std::clock();
  unsigned found = 0;
  for (unsigned n = 0; n < LookUps; ++n) {
    found += findCustomerByKey(directory, asked[n % keys]) != nullptr ? 1 : 0;
  }
  std::printf("keys %u, found %u of %u, look-up %.0f ns\n", keys, found,
              LookUps, secondsSince(start) * 1e9 / LookUps);
  customers[customers.size() / 2].Keys.pop_back();
  start = std::clock();
  updateDirectory(directory, customers);
  std::printf("a changed key applied in %.2f ms\n", secondsSince(start) * 1e3);
  return 0;
}
