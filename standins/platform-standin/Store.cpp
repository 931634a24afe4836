#include "platform-standin/Store.h"

#include <algorithm>

namespace zinniarail::standins {

namespace {

constexpr std::size_t ValueLimit = 1U << 20U; // bytes

bool isKeyCharacter(char it) {
  return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
         (it >= '0' && it <= '9') || it == '.' || it == '_' || it == '-';
}

bool holds(const Precondition &condition, const StoredObject *found) {
  const bool exists = found != nullptr && found->Bytes;
  if (condition.Absent) {
    return !exists;
  }
  return !condition.Match || (exists && found->Version == *condition.Match);
}

std::uint64_t currentVersion(const StoredObject *found) {
  return found != nullptr && found->Bytes ? found->Version : 0;
}

} // namespace

bool isKey(const std::string &key) {
  if (key.empty() || key.front() == '/' || key.back() == '/' ||
      key.find("//") != std::string::npos) {
    return false;
  }
  return std::all_of(key.begin(), key.end(),
                     [](char it) { return it == '/' || isKeyCharacter(it); });
}

const StoredObject *findObject(const Store &store, const std::string &key) {
  const auto it = store.Objects.find(key);
  return it == store.Objects.end() ? nullptr : &it->second;
}

UpdateResult putObject(Store &store, const std::string &key, std::string bytes,
                       const Precondition &condition) {
  const auto *found = findObject(store, key);
  if (!holds(condition, found)) {
    return {412, currentVersion(found)};
  }
  if (bytes.size() > ValueLimit) {
    return {413, currentVersion(found)};
  }
  const bool existed = currentVersion(found) != 0;
  store.Objects[key] = {++store.LastVersion, std::move(bytes)};
  return {existed ? 200U : 201U, store.LastVersion};
}

UpdateResult deleteObject(Store &store, const std::string &key,
                          const Precondition &condition) {
  const auto *found = findObject(store, key);
  if (currentVersion(found) == 0) {
    return {404, 0};
  }
  if (!holds(condition, found)) {
    return {412, found->Version};
  }
  store.Objects[key] = {++store.LastVersion, std::nullopt};
  return {204, store.LastVersion};
}

std::vector<std::pair<std::string, std::uint64_t>>
listObjects(const Store &store, const std::string &prefix) {
  std::vector<std::pair<std::string, std::uint64_t>> out;
  for (auto it = store.Objects.lower_bound(prefix);
       it != store.Objects.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.Bytes) {
      out.emplace_back(it->first, it->second.Version);
    }
  }
  return out;
}

} // namespace zinniarail::standins
