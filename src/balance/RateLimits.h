/// \file
/// Limits that upstreams name on the requests they take from all instances
/// together: which instances use a limit, and how often. Few instances use a
/// small one: with equal parts for all, a burst after a calm moment would bring
/// a request from each.
#pragma once

#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// An instance's part of one upstream's limit.
struct RateShare {
  /// One of the instances that use the limit. The others send a request once in
  /// a while, in case the limit has ended.
  bool IsHolder = false;
  Duration Interval{}; ///< Between two requests; at least, if no holder.
};

/// Determines an instance's part of a limit. Instances that know the same
/// instances agree on it.
/// \param limit requests per second over all instances, above 0.
/// \param instances ids of all instances; \p self may be missing.
RateShare shareOf(double limit, const std::string &upstream,
                  const std::string &self,
                  const std::vector<std::string> &instances);

} // namespace zinniarail::balance
