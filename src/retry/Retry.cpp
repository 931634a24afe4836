#include "zinniarail/retry/Retry.h"

#include <algorithm>
#include <cmath>

namespace zinniarail {

namespace {

// Buckets to a power of two.
constexpr double BucketsPerOctave = 8;

// Samples after which one counts half as much as a new one.
constexpr double HalfLifeSamples = 1000;

// Above it the weights are scaled down, well below a float's limit.
constexpr double LargestIncrement = 1e12;

// Samples over which the mean runs.
constexpr double MeanSamples = 50;

std::size_t bucketOf(Duration latency) {
  const double micros =
      std::max<double>(1, static_cast<double>(latency.count()));
  const double index = std::log2(micros) * BucketsPerOctave;
  return std::min(static_cast<std::size_t>(index),
                  LatencyDistribution::BucketCount - 1);
}

Duration upperEdge(std::size_t bucket) {
  const double octaves = static_cast<double>(bucket + 1) / BucketsPerOctave;
  return Duration(static_cast<Duration::rep>(std::exp2(octaves)));
}

void rescale(LatencyDistribution &latencies) {
  for (float &it : latencies.Weights) {
    it = static_cast<float>(it / latencies.Increment);
  }
  latencies.Total /= latencies.Increment;
  latencies.Increment = 1;
}

} // namespace

void earnFor(ShareBudget &budget, double share) {
  budget.Tokens = std::min(ReserveTries, budget.Tokens + share);
}

bool spendOne(ShareBudget &budget) {
  if (budget.Tokens < 1) {
    return false;
  }
  budget.Tokens -= 1;
  ++budget.Spent;
  return true;
}

void recordLatency(LatencyDistribution &latencies, Duration latency) {
  static const double Growth = std::exp2(1 / HalfLifeSamples);
  latencies.Weights[bucketOf(latency)] +=
      static_cast<float>(latencies.Increment);
  latencies.Total += latencies.Increment;
  latencies.Increment *= Growth;
  if (latencies.Increment > LargestIncrement) {
    rescale(latencies);
  }
  const auto micros = static_cast<double>(latency.count());
  latencies.Mean =
      latencies.Mean == 0
          ? micros
          : latencies.Mean + (micros - latencies.Mean) / MeanSamples;
}

Duration latencyQuantile(const LatencyDistribution &latencies,
                         double quantile) {
  if (latencies.Total <= 0) {
    return Duration{0};
  }
  double rest = latencies.Total * (1 - quantile);
  for (std::size_t n = LatencyDistribution::BucketCount; n-- > 0;) {
    rest -= latencies.Weights[n];
    if (rest < 0) {
      return upperEdge(n);
    }
  }
  return upperEdge(0);
}

Duration meanLatency(const LatencyDistribution &latencies) {
  return Duration(static_cast<Duration::rep>(latencies.Mean));
}

} // namespace zinniarail
