/// \file
/// How long a request will take on an upstream: from what its route takes
/// usually, what the upstream last said of its load and its slowness, and how
/// long ago that was. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// The time that a route's requests take on an upstream of usual speed.
struct WorkEstimate {
  double Micros = 0; ///< 0: nothing is known.
};

/// Takes the time of one response.
/// \param factor by which the upstream was slower than usual as it ran.
void noteWork(WorkEstimate &estimate, Duration took, double factor);

/// The estimate, or a guess from the route's target.
Duration usualWork(const WorkEstimate &estimate, Duration target);

/// The last report of one upstream, beside what was in flight there.
struct KnownLoad {
  LoadReport Report;
  unsigned OwnThen = 0; ///< Own requests in flight when it came.
  Instant At{};
  bool Known = false;
};

/// A report younger than this is taken for the present.
constexpr Duration FreshFor = std::chrono::milliseconds{15};

bool isFresh(const KnownLoad &load, Instant now);

/// The expected slowness.
/// \param mean over the service; what a report says fades towards it, since it
/// changes many times a second.
double slownessNow(const KnownLoad &load, double mean, Instant now);

/// The expected number of requests running or waiting there.
/// \param own in flight from here.
/// \param usual time of a request, after which others' requests of a report
/// are over.
double busyNow(const KnownLoad &load, unsigned own, Duration usual,
               Instant now);

} // namespace zinniarail::balance
