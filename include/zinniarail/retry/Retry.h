/// \file
/// Extra tries and what they may cost: a budget that is a share of requests,
/// and the distribution of latencies that a hedge's delay follows.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// Extra tries beyond the share of requests, over the life of a budget.
constexpr double ReserveTries = 10;

/// Extra tries that may still be made. Earned by requests, so that they stay
/// below a share of them plus a fixed reserve, however long a fault lasts.
struct ShareBudget {
  double Tokens = 0;
  std::uint64_t Spent = 0; ///< Over the life of the budget.
};

/// Earns for one request.
/// \param share extra tries for each request.
void earnFor(ShareBudget &budget, double share);

/// Spends one extra try.
/// \returns false, and spends nothing, when there is none left.
bool spendOne(ShareBudget &budget);

/// Latencies in buckets that grow by an eighth of a power of two; old ones
/// fade, so that the quantiles follow the load.
struct LatencyDistribution {
  static constexpr std::size_t BucketCount = 256;
  std::array<float, BucketCount> Weights{};
  double Total = 0;
  double Increment = 1; ///< Weight of the next sample; grows, so others fade.
  double Mean = 0;      ///< Microseconds; exponentially weighted.
};

/// Records one latency.
void recordLatency(LatencyDistribution &latencies, Duration latency);

/// Finds a quantile.
/// \param quantile from 0 to 1.
/// \returns the upper edge of its bucket; zero without samples.
Duration latencyQuantile(const LatencyDistribution &latencies, double quantile);

/// The mean latency; zero without samples.
Duration meanLatency(const LatencyDistribution &latencies);

} // namespace zinniarail
