/// \file
/// Reads the keys of one JSON object with bounds, and notes every fault with
/// its path instead of stopping at the first.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Format.h"

namespace zinniarail {

/// Notes a fault; beyond MaxFaults only counts it.
void addFault(Faults &faults, std::string path, std::string message);

/// The beginning of a key or value of the input, for a fault.
std::string clip(std::string_view text);

/// Whole numbers that a key may hold.
struct Bounds {
  std::int64_t Least;
  std::int64_t Most;
};

/// Reads one object. Each read marks its key as known; finish() reports the
/// rest.
class JsonReader {
public:
  /// \param value reported as a fault when it is no object; every read then
  /// leaves its target as it is.
  JsonReader(const boost::json::value &value, std::string path, Faults &faults);

  enum class Presence : std::uint8_t { Required, Optional };

  /// Reads text that \p accepts takes; \p rule says what it takes.
  void text(const char *key, std::string &target, Presence presence,
            const std::function<bool(const std::string &)> &accepts,
            const char *rule);
  /// Reads a name as isName tells.
  void name(const char *key, std::string &target, Presence presence);
  void flag(const char *key, bool &target);
  void whole(const char *key, std::int64_t &target, Bounds bounds,
             Presence presence);
  void count(const char *key, unsigned &target, Bounds bounds);
  void share(const char *key, double &target, double most);
  void milliseconds(const char *key, Duration &target, Bounds bounds);
  /// Calls \p each for every element of an optional array.
  void list(const char *key, std::size_t most,
            const std::function<void(const boost::json::value &,
                                     const std::string &path)> &each);
  void finish();

  std::string pathOf(std::string_view key) const;

private:
  const boost::json::value *find(const char *key, Presence presence);

  const boost::json::object *Object;
  std::string Path;
  Faults &Out;
  std::set<std::string, std::less<>> Known;
};

} // namespace zinniarail
