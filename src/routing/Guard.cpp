#include "zinniarail/routing/Guard.h"

#include <algorithm>

namespace zinniarail {

namespace {

// Weight of one answer in the running means.
constexpr double Weight = 1.0 / 8;

constexpr unsigned FailuresToEject = 3;
constexpr double FailureShareToEject = 0.5;
constexpr unsigned RefusalsToEject = 3;

constexpr Duration FirstBackoff = std::chrono::milliseconds{250};
constexpr Duration LongestBackoff = std::chrono::seconds{4};

// How long a report that an upstream drains is believed.
constexpr Duration DrainingLifetime = std::chrono::seconds{1};

// Times the typical latency.
constexpr int StragglerFactor = 2;

// Latencies of a straggler between two trials, so that trials stay a tenth of
// its time.
constexpr double TrialLatencies = 10;
constexpr double UnhedgedTrialLatencies = 40;

void eject(UpstreamHealth &health, Instant now) {
  health.Backoff = std::clamp(health.Backoff * 2, FirstBackoff, LongestBackoff);
  health.EjectedUntil = now + health.Backoff;
  health.FailuresInRow = 0;
  health.RefusalsInRow = 0;
  health.FailureShare = 0;
}

void blend(double &mean, double sample) { mean += (sample - mean) * Weight; }

void blendLatency(UpstreamHealth &health, Duration latency) {
  const auto micros = static_cast<double>(latency.count());
  if (health.LatencyMicros == 0) {
    health.LatencyMicros = micros;
  }
  blend(health.LatencyMicros, micros);
}

} // namespace

void noteAnswer(UpstreamHealth &health, Duration latency, Instant now) {
  blendLatency(health, latency);
  blend(health.FailureShare, 0);
  health.FailuresInRow = 0;
  health.RefusalsInRow = 0;
  health.LastAnswer = now;
  if (standingOf(health, now) != Standing::Ejected) {
    health.Backoff = Duration{0};
  }
}

void noteUnfinished(UpstreamHealth &health, Duration latency, Instant now) {
  if (static_cast<double>(latency.count()) > health.LatencyMicros) {
    blendLatency(health, latency);
    health.LastAnswer = now;
  }
}

bool noteFailure(UpstreamHealth &health, Instant now) {
  blend(health.FailureShare, 1);
  ++health.FailuresInRow;
  const Standing standing = standingOf(health, now);
  const bool due = standing == Standing::OnTrial ||
                   health.FailuresInRow >= FailuresToEject ||
                   health.FailureShare > FailureShareToEject;
  if (standing == Standing::Ejected || !due) {
    return false;
  }
  eject(health, now);
  return true;
}

bool noteRefusal(UpstreamHealth &health, Instant now) {
  if (standingOf(health, now) == Standing::Ejected ||
      ++health.RefusalsInRow < RefusalsToEject) {
    return false;
  }
  health.Backoff = Duration{0};
  eject(health, now);
  return true;
}

void noteDraining(UpstreamHealth &health, Instant now) {
  health.Backoff = std::max(health.Backoff, FirstBackoff);
  health.EjectedUntil = std::max(health.EjectedUntil, now + DrainingLifetime);
}

Standing standingOf(const UpstreamHealth &health, Instant now) {
  if (health.Backoff == Duration{0}) {
    return Standing::Good;
  }
  return now < health.EjectedUntil ? Standing::Ejected : Standing::OnTrial;
}

bool isStraggler(Duration latency, Duration typical) {
  return typical != Duration{0} && latency > typical * StragglerFactor;
}

bool isTrialDue(const UpstreamHealth &health, bool hedged, Instant now) {
  const double latencies = hedged ? TrialLatencies : UnhedgedTrialLatencies;
  const auto pause =
      Duration(static_cast<Duration::rep>(health.LatencyMicros * latencies));
  return now - health.LastAnswer >= pause;
}

} // namespace zinniarail
