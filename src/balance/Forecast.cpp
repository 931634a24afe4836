#include "zinniarail/balance/Forecast.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::balance {

namespace {

// Weight of one response in a route's estimate.
constexpr double WorkWeight = 1.0 / 16;

// Part of its target that a route is taken to need before any response.
constexpr double AssumedPart = 0.3;

// What a report says of slowness halves its worth about every 100 ms.
constexpr double SlownessMemoryMicros = 150e3;

double decay(Duration age, double memoryMicros) {
  return std::exp(-static_cast<double>(std::max(age, Duration{0}).count()) /
                  memoryMicros);
}

} // namespace

void noteWork(WorkEstimate &estimate, Duration took, double factor) {
  const double sample =
      static_cast<double>(took.count()) / std::max(factor, 0.1);
  if (estimate.Micros == 0) {
    estimate.Micros = sample;
  }
  estimate.Micros += (sample - estimate.Micros) * WorkWeight;
}

Duration usualWork(const WorkEstimate &estimate, Duration target) {
  const double micros = estimate.Micros > 0
                            ? estimate.Micros
                            : static_cast<double>(target.count()) * AssumedPart;
  return Duration(static_cast<Duration::rep>(micros));
}

bool isFresh(const KnownLoad &load, Instant now) {
  return load.Known && now - load.At <= FreshFor;
}

double slownessNow(const KnownLoad &load, double mean, Instant now) {
  if (!load.Known) {
    return mean;
  }
  return mean + (load.Report.Slowness - mean) *
                    decay(now - load.At, SlownessMemoryMicros);
}

double busyNow(const KnownLoad &load, unsigned own, Duration usual,
               Instant now) {
  if (!load.Known) {
    return own;
  }
  const unsigned all = load.Report.Running + load.Report.Waiting;
  const double others = all > load.OwnThen ? all - load.OwnThen : 0;
  const auto memory =
      static_cast<double>(std::max(usual, Duration{1000}).count());
  return own + others * decay(now - load.At, memory);
}

} // namespace zinniarail::balance
