/// \file
/// Estimates for placing a request: its route's usual service time, and the
/// upstream's slowness and requests in flight, from its last load report and
/// that report's age. Pure functions.
#pragma once

#include <cstdint>
#include <optional>

#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// EWMA of a route's service time on an upstream of usual speed.
struct ServiceTimeEstimate {
  double Micros = 0;          ///< 0: no response yet.
  double DeviationMicros = 0; ///< EWMA of the distance from Micros.
};

/// Updates the estimate with one response.
/// \param slowness the upstream's slowness while the request ran.
void updateServiceTime(ServiceTimeEstimate &estimate, Duration took,
                       double slowness);

/// The estimate, or a part of the latency target before the first response.
Duration serviceTimeOrDefault(const ServiceTimeEstimate &estimate,
                              Duration target);

/// A service time that few requests exceed: the estimate and its deviation.
Duration cautiousServiceTime(const ServiceTimeEstimate &estimate,
                             Duration target);

/// The last load report of one upstream.
struct ReportedLoad {
  LoadReport Report;
  unsigned OwnInFlight = 0; ///< This instance's attempts at ReceivedAt.
  Instant ReceivedAt{};
  bool HasReport = false;
};

/// A report up to this age counts as the upstream's present load.
constexpr Duration MaxFreshAge = std::chrono::milliseconds{15};

bool isFresh(const ReportedLoad &load, Instant now);

/// The expected slowness of an upstream.
/// \param mean the mean slowness over the service's upstreams. The reported
/// value decays towards it with age, since slowness changes many times a
/// second.
double expectedSlowness(const ReportedLoad &load, double mean, Instant now);

/// The expected number of requests running or waiting at an upstream.
/// \param own this instance's attempts there now.
/// \param usual the usual service time of a request. The number of the other
/// instances' requests in the report decays with this time constant.
double expectedInFlight(const ReportedLoad &load, unsigned own, Duration usual,
                        Instant now);

} // namespace zinniarail::balance
