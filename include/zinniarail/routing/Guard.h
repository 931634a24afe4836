/// \file
/// Guards of the choice: upstreams that fail, and fail fast, must not look
/// attractive, and stragglers get little until they are quick again.
#pragma once

#include <cstdint>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// What an upstream's answers say of it.
struct UpstreamHealth {
  double LatencyMicros = 0; ///< Running mean of its answers; 0 without any.
  double FailureShare = 0;  ///< Running mean of failures among its ends.
  unsigned FailuresInRow = 0;
  unsigned RefusalsInRow = 0; ///< Refused for want of room.
  Instant EjectedUntil{};
  Duration Backoff{0}; ///< Of the last ejection; 0 when in good standing.
  Instant LastAnswer{};
};

/// Whether an upstream is out, on trial or in.
enum class Standing : std::uint8_t { Good, Ejected, OnTrial };

/// Takes an answer that is no error.
/// \param latency from the attempt's start.
void noteAnswer(UpstreamHealth &health, Duration latency, Instant now);

/// Takes a lower bound of a latency: the attempt was cancelled.
void noteUnfinished(UpstreamHealth &health, Duration latency, Instant now);

/// Takes a failure and ejects the upstream when it has failed enough.
/// \returns true when it was ejected now.
bool noteFailure(UpstreamHealth &health, Instant now);

/// Takes a refusal for want of room; many in a row eject for a short while.
/// \returns true when it was ejected now.
bool noteRefusal(UpstreamHealth &health, Instant now);

/// Ejects an upstream that said that it drains.
void noteDraining(UpstreamHealth &health, Instant now);

Standing standingOf(const UpstreamHealth &health, Instant now);

/// Tells whether a latency is a straggler's beside the typical one.
/// \param typical zero when it is not known: then nobody is a straggler.
bool isStraggler(Duration latency, Duration typical);

/// Tells whether a straggler's next answer is due, to see if it recovered.
/// \param hedged whether another upstream may answer for it; trials of a
/// request that must not run twice are rarer.
bool isTrialDue(const UpstreamHealth &health, bool hedged, Instant now);

} // namespace zinniarail
