// Measures what a change of a document costs an instance, over the number of
// upstreams: parsing, canonical bytes with their digest, splitting, and the
// memory that a parsed document holds.

#include <algorithm>
#include <iostream>

#include <malloc.h>

#include "zinniarail/intent/Intent.h"

using namespace zinniarail;

namespace {

constexpr unsigned Repeats = 9;
constexpr unsigned UpstreamsPerService = 8;

Document makeDocument(unsigned upstreams) {
  Document document{.Domains = {{"domain-1", "region-1", true}}};
  for (unsigned n = 0; n < upstreams; ++n) {
    if (n % UpstreamsPerService == 0) {
      document.Services.push_back({.Name = "service-" + std::to_string(n)});
    }
    document.Services.back().Upstreams.push_back(
        {.Id = "upstream-" + std::to_string(n),
         .Address = "10.20.30.40",
         .Port = static_cast<std::uint16_t>(1000 + n),
         .Domain = "domain-1"});
  }
  return document;
}

// The median time of a call, in milliseconds.
template <typename Call> double measure(Call call) {
  std::vector<double> times;
  for (unsigned n = 0; n < Repeats; ++n) {
    const Instant start = readClock();
    call();
    times.push_back(
        std::chrono::duration<double, std::milli>(readClock() - start).count());
  }
  std::sort(times.begin(), times.end());
  return times[Repeats / 2];
}

void report(unsigned upstreams) {
  constexpr double mebibyte = 1 << 20;
  const Document document = makeDocument(upstreams);
  const std::string bytes = serialiseDocument(document);
  const double parse = measure([&] { (void)parseDocument(bytes); });
  const double print =
      measure([&] { (void)digestOf(serialiseDocument(document)); });
  const double split = measure([&] { (void)splitDocument(document, 0); });
  const SplitDocument pieces = splitDocument(document, 0);
  const double join =
      measure([&] { (void)joinDocument(pieces.Root, pieces.Pieces); });
  const std::size_t before = mallinfo2().uordblks;
  const auto kept = parseDocument(bytes);
  const std::size_t after = mallinfo2().uordblks;
  std::cout << upstreams << " | " << bytes.size() << " | " << parse << " | "
            << print << " | " << split << " | " << join << " | "
            << static_cast<double>(after - before) / mebibyte << "\n";
}

} // namespace

int main() {
  std::cout << "upstreams | bytes | parse, ms | canonical bytes and digest, ms "
               "| split, ms | join, ms | parsed, MiB\n";
  for (const unsigned upstreams : {24U, 1000U, 5000U, 10000U, 21000U}) {
    report(upstreams);
  }
  return 0;
}
