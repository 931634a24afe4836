// Detects requests that crash the upstreams that run them. A broken connection
// is no proof of a crash: a health check is sent at once, and the requests
// whose connections broke become suspects only if it can't reach the upstream.
#include "balance/State.h"

#include <utility>

namespace zinniarail::balance {

namespace {

constexpr QuarantineLimits Limits;

} // namespace

bool isRefused(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  const Handling handling =
      chooseHandling(engine.CrashQuarantine, fingerprint, now);
  return handling == Handling::Refuse || handling == Handling::Hold;
}

bool isSuspect(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  return chooseHandling(engine.CrashQuarantine, fingerprint, now) !=
         Handling::Normal;
}

bool awaitsCrashCheck(const Engine &engine, const RequestState &request,
                      Instant now) {
  const auto it = engine.Upstreams.find(request.CrashCheckUpstream);
  return now < request.CrashCheckDeadline && it != engine.Upstreams.end() &&
         !it->second.BrokenFingerprints.empty();
}

Duration refusalRemaining(const Engine &engine, std::uint64_t fingerprint,
                          Instant now) {
  return remainingRefusal(engine.CrashQuarantine, fingerprint, now);
}

void startCrashCheck(Step step, UpstreamState &upstream,
                     std::uint64_t fingerprint) {
  if (isRefusing(upstream, step.Now)) {
    return;
  }
  upstream.BrokenFingerprints.push_back(fingerprint);
  sendProbe(step, upstream);
}

void finishCrashCheck(Step step, UpstreamState &upstream, bool reachable) {
  const auto fingerprints = std::exchange(upstream.BrokenFingerprints, {});
  if (reachable || fingerprints.empty()) {
    return;
  }
  for (const std::uint64_t it : fingerprints) {
    step.Output.emplace_back(BroadcastSuspected{{it, upstream.Plan.Id}});
  }
  const CrashOutcome outcome =
      recordCrash(step.State.CrashQuarantine, Limits, {upstream.Plan.Id, 0},
                  fingerprints, step.Now);
  for (const std::uint64_t it : outcome.Quarantined) {
    ++step.State.Counters.Quarantined;
    step.Output.emplace_back(BroadcastQuarantined{it});
  }
}

void recordHarmless(Engine &engine, std::uint64_t fingerprint) {
  recordCompletion(engine.CrashQuarantine, fingerprint);
}

void onPeerSuspected(Step step, const PeerSuspected &event) {
  recordPeerSuspicion(step.State.CrashQuarantine, Limits,
                      event.Suspect.Fingerprint, {event.Suspect.Upstream, 0},
                      step.Now);
}

void onPeerQuarantined(Step step, const PeerQuarantined &event) {
  recordPeerQuarantine(step.State.CrashQuarantine, Limits, event.Fingerprint,
                       step.Now);
}

} // namespace zinniarail::balance
