/// \file
/// The platform's objects: bytes under keys with versions that rise over the
/// whole store, and conditional updates.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinniarail::standins {

/// One object's state. A deleted object keeps the version of its deletion.
struct StoredObject {
  std::uint64_t Version = 0;
  std::optional<std::string> Bytes; ///< Missing once deleted.
};

/// Condition of an update.
struct Precondition {
  std::optional<std::uint64_t> Match; ///< If-Match.
  bool Absent = false;                ///< If-None-Match: *.
};

/// How an update ended.
struct UpdateResult {
  unsigned Status = 0;
  std::uint64_t Version = 0; ///< New, or current on a conflict; 0: none.
};

struct Store {
  std::map<std::string, StoredObject> Objects;
  std::uint64_t LastVersion = 0;
};

/// True for paths of [A-Za-z0-9._-] segments.
bool isKey(const std::string &key);

/// \returns null when the key never was; deleted objects have no bytes.
const StoredObject *findObject(const Store &store, const std::string &key);

/// Creates or replaces an object. 201, 200, 412 or 413.
UpdateResult putObject(Store &store, const std::string &key, std::string bytes,
                       const Precondition &condition);

/// Deletes an object. 204, 404 or 412.
UpdateResult deleteObject(Store &store, const std::string &key,
                          const Precondition &condition);

/// Lists living objects by prefix, sorted by key.
std::vector<std::pair<std::string, std::uint64_t>>
listObjects(const Store &store, const std::string &prefix);

} // namespace zinniarail::standins
