#include "zinniarail/balance/Forecast.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::balance {

namespace {

// EWMA weight of one response in a route's estimate.
constexpr double ServiceTimeSmoothing = 1.0 / 16;

// Service time that is assumed for a route before its first response, as a
// fraction of its latency target.
constexpr double AssumedTargetShare = 0.3;

// The weight of a reported slowness halves about every 100 ms.
constexpr double SlownessTimeConstantMicros = 150e3;

double decay(Duration age, double timeConstantMicros) {
  return std::exp(-static_cast<double>(std::max(age, Duration{0}).count()) /
                  timeConstantMicros);
}

} // namespace

void updateServiceTime(ServiceTimeEstimate &estimate, Duration took,
                       double slowness) {
  const double sample =
      static_cast<double>(took.count()) / std::max(slowness, 0.1);
  if (estimate.Micros == 0) {
    estimate.Micros = sample;
  }
  const double distance = std::abs(sample - estimate.Micros);
  estimate.DeviationMicros +=
      (distance - estimate.DeviationMicros) * ServiceTimeSmoothing;
  estimate.Micros += (sample - estimate.Micros) * ServiceTimeSmoothing;
}

Duration serviceTimeOrDefault(const ServiceTimeEstimate &estimate,
                              Duration target) {
  const double micros =
      estimate.Micros > 0
          ? estimate.Micros
          : static_cast<double>(target.count()) * AssumedTargetShare;
  return Duration(static_cast<Duration::rep>(micros));
}

Duration cautiousServiceTime(const ServiceTimeEstimate &estimate,
                             Duration target) {
  return serviceTimeOrDefault(estimate, target) +
         Duration(static_cast<Duration::rep>(estimate.DeviationMicros));
}

bool isFresh(const ReportedLoad &load, Instant now) {
  return load.HasReport && now - load.ReceivedAt <= MaxFreshAge;
}

double expectedSlowness(const ReportedLoad &load, double mean, Instant now) {
  if (!load.HasReport) {
    return mean;
  }
  return mean + (load.Report.Slowness - mean) *
                    decay(now - load.ReceivedAt, SlownessTimeConstantMicros);
}

double expectedInFlight(const ReportedLoad &load, unsigned own, Duration usual,
                        Instant now) {
  if (!load.HasReport) {
    return own;
  }
  const unsigned reported = load.Report.Running + load.Report.Waiting;
  const double others =
      reported > load.OwnInFlight ? reported - load.OwnInFlight : 0;
  const auto timeConstant =
      static_cast<double>(std::max(usual, Duration{1000}).count());
  return own + others * decay(now - load.ReceivedAt, timeConstant);
}

} // namespace zinniarail::balance
