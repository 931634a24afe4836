/// \file
/// What the instances have seen of the two versions since an order, and the
/// verdict by it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "zinniarail/core/Time.h"

namespace zinniarail::rollout {

/// Counts of attempts at the upstreams of one version, since the order.
struct VersionCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Ended = 0;  ///< With an outcome that tells about the version.
  std::uint64_t Failed = 0; ///< Of those that ended.
  std::uint64_t Timed = 0;  ///< Compared with the route's usual time.
  std::uint64_t Slow = 0;   ///< Of those timed, several times slower.
  std::uint64_t Good = 0;   ///< Of those that ended, of warm upstreams,
  std::uint64_t GoodMicros = 0; ///< which took so long together.

  bool operator==(const VersionCounts &) const = default;
};

struct RouteCounts {
  VersionCounts Old;
  VersionCounts Target;

  bool operator==(const RouteCounts &) const = default;
};

/// Evidence of one instance, or the sum over several.
struct Evidence {
  std::map<std::string, RouteCounts> Routes; ///< By the route's name.
  /// Attempts that run on upstreams of the old version and can't be repeated.
  std::uint64_t OpenOld = 0;
  double Share = 1; ///< The least that is in force on any of the instances.

  bool operator==(const Evidence &) const = default;
};

void add(Evidence &sum, const Evidence &it);

/// The counts of all routes together.
RouteCounts totalOf(const Evidence &evidence);

/// Why a version is bad.
struct Finding {
  std::string Route;        ///< Empty: all routes together.
  const char *What = "";    ///< "failed" or "slow".
  std::uint64_t Bad = 0;    ///< Answers of the target that were so,
  std::uint64_t Judged = 0; ///< of so many.
  double Usual = 0;         ///< Part of the old version's that were so.
};

/// A finding in words, for logs.
std::string describe(const Finding &finding);

/// Whether the target is worse than the old version, on one route or on all. A
/// few bad answers of either are noise.
std::optional<Finding> findFault(const Evidence &evidence);

/// Whether each route that has requests has enough answers of the target to
/// show a fault that hits a good part of them.
bool isConclusive(const Evidence &evidence);

/// Whether an answer took several times as long as the old version's.
/// \param old the old version's counts on the same route.
/// \param isCold its upstream was warming up, when it is slower anyway.
/// \returns none while too little is known.
std::optional<bool> isSlow(const VersionCounts &old, Duration took,
                           bool isCold);

} // namespace zinniarail::rollout
