/// \file
/// Which customer a request belongs to, by the API key that it carries. Does no
/// I/O and reads no clock.
#pragma once

#include <cstring>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "zinniarail/customers/KeyDigest.h"
#include "zinniarail/intent/Configuration.h"

namespace zinniarail {

/// Hashes a digest, whose bits are already evenly distributed.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &it) const {
    std::size_t out = 0;
    std::memcpy(&out, it.Bytes.data(), sizeof out);
    return out;
  }
};

/// The customers of the configuration in force, by name and by key. Updated
/// with updateDirectory; not copied, since it holds pointers to its own items.
struct CustomerDirectory {
  CustomerDirectory() = default;
  CustomerDirectory(const CustomerDirectory &) = delete;
  CustomerDirectory &operator=(const CustomerDirectory &) = delete;

  std::map<std::string, Customer, std::less<>> ByName;
  std::unordered_map<KeyDigest, const Customer *, KeyDigestHash> ByKey;
};

/// Applies the customers of a configuration. Costs time for the keys that
/// changed and a comparison of the others.
void updateDirectory(CustomerDirectory &directory,
                     const std::vector<Customer> &customers);

/// Finds the customer that holds a key.
/// \returns null if none does.
const Customer *findCustomerByKey(const CustomerDirectory &directory,
                                  std::string_view key);

/// Finds a customer by name.
/// \returns null if there is none.
const Customer *findCustomer(const CustomerDirectory &directory,
                             std::string_view name);

/// Whether a request may be served, and for whom.
struct Identity {
  bool IsAllowed = false;
  const Customer *Holder = nullptr; ///< Null: no customer.
  bool IsRelayed = false; ///< Another instance has identified and admitted it.
  /// The configuration does not tell whose key it is; see Customer::Name.
  bool IsUnclear = false;
};

/// Identifies a request's customer.
/// \param key the API key that it carries; null: none.
Identity identify(const CustomerDirectory &directory, const Route &route,
                  const std::string *key);

} // namespace zinniarail
