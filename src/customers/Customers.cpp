#include "zinniarail/customers/Customers.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace zinniarail {

namespace {

using Keys = std::vector<KeyDigest>;

Keys difference(const Keys &a, const Keys &b) {
  Keys out;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(out));
  return out;
}

// Erases the keys that a customer lost. A key that has moved to another one in
// the same version is kept for that one, whichever is applied first.
void eraseKeys(CustomerDirectory &directory, const Customer &holder,
               const Keys &keys) {
  for (const KeyDigest &it : keys) {
    const auto found = directory.ByKey.find(it);
    if (found != directory.ByKey.end() && found->second == &holder) {
      directory.ByKey.erase(found);
    }
  }
}

} // namespace

void updateDirectory(CustomerDirectory &directory,
                     const std::vector<Customer> &customers) {
  std::set<std::string_view> named;
  for (const Customer &it : customers) {
    named.insert(it.Name);
    Customer &known = directory.ByName[it.Name];
    if (known == it) {
      continue;
    }
    const Keys added = difference(it.Keys, known.Keys);
    eraseKeys(directory, known, difference(known.Keys, it.Keys));
    known = it;
    for (const KeyDigest &key : added) {
      directory.ByKey[key] = &known;
    }
  }
  std::erase_if(directory.ByName, [&](const auto &it) {
    const bool isRemoved = !named.contains(it.first);
    if (isRemoved) {
      eraseKeys(directory, it.second, it.second.Keys);
    }
    return isRemoved;
  });
}

const Customer *findCustomerByKey(const CustomerDirectory &directory,
                                  std::string_view key) {
  const auto it = directory.ByKey.find(digestKey(key));
  return it == directory.ByKey.end() ? nullptr : it->second;
}

const Customer *findCustomer(const CustomerDirectory &directory,
                             std::string_view name) {
  const auto it = directory.ByName.find(name);
  return it == directory.ByName.end() ? nullptr : &it->second;
}

Identity identify(const CustomerDirectory &directory, const Route &route,
                  const std::string *key) {
  if (directory.ByName.empty()) {
    return {true, nullptr};
  }
  const Customer *holder =
      key == nullptr ? nullptr : findCustomerByKey(directory, *key);
  const Customer *nameless = findCustomer(directory, "");
  const bool isUnclear =
      nameless != nullptr &&
      (holder == nameless ||
       (key != nullptr && holder == nullptr && nameless->Keys.empty()));
  if (isUnclear) {
    return {route.AllowAnonymous, nullptr, false, true};
  }
  return {holder != nullptr || route.AllowAnonymous, holder};
}

} // namespace zinniarail
