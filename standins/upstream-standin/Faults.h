/// \file
/// The fault switches of an upstream and the schedule of a noisy neighbour.
#pragma once

#include <string>

#include <boost/json/object.hpp>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// What an upstream suffers. Shares are of requests, from 0 to 1.
struct UpstreamFaults {
  double DelayFactor = 1; ///< Of service times.
  double NoiseFactor = 1; ///< Of service times, during bursts.
  double NoiseShare = 0.1;
  Duration NoiseBurst = std::chrono::milliseconds{300}; ///< Mean length.
  bool Freeze = false; ///< Accepts and never answers, until switched off.
  bool Refuse = false; ///< No listener, no connections.
  bool Draining = false;
  double FailShare = 0;        ///< Answered 500 at once, not run.
  double ShortShare = 0;       ///< The body ends too early.
  double CrossedShare = 0;     ///< Attempt id and body of another request.
  double LateShare = 0;        ///< Answered LateBy after the run.
  double CloseBeforeShare = 0; ///< Closed without an answer, not run.
  double CloseAfterShare = 0;  ///< Closed without an answer, after the run.
  Duration LateBy = std::chrono::seconds{1};
  Duration ReportLag{0};
  std::string LieLoad;       ///< "zero", "full" or "random"; empty: the truth.
  std::string LieState;      ///< Said in place of the state; empty: the truth.
  unsigned HealthStatus = 0; ///< Said in place of the truth; 0: the truth.
  Duration CrashDown = std::chrono::seconds{1};
};

/// Changes the switches that \p change names. Throws on a wrong type.
void apply(UpstreamFaults &faults, const boost::json::object &change);

/// Alternates quiet and noisy stretches of exponential length.
struct NoiseSchedule {
  bool Noisy = false;
  Instant Until{};
};

/// \returns the factor of service times at \p now.
double noiseFactor(NoiseSchedule &schedule, const UpstreamFaults &faults,
                   Instant now, Random &random);

} // namespace zinniarail::standins
