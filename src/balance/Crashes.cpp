// Detects requests that crash the upstreams that run them. A broken connection
// is no proof of a crash: a health check is sent on a new connection, and the
// requests whose connections broke become suspects only if the upstream is
// gone.
#include "balance/State.h"

#include <algorithm>
#include <utility>

namespace zinniarail::balance {

namespace {

constexpr QuarantineLimits Limits;

void logCheck(Step step, const UpstreamState &upstream,
              const BrokenAttempt &attempt, CrashChecked::Verdict verdict) {
  step.Output.emplace_back(CrashChecked{{attempt.Fingerprint, upstream.Plan.Id},
                                        attempt.BrokenAt - attempt.Started,
                                        attempt.StaleKeepAlive,
                                        verdict});
}

void recordUpstreamCrash(Step step, const UpstreamState &upstream,
                         const std::vector<BrokenAttempt> &attempts) {
  std::vector<InFlightRequest> inFlight;
  for (const BrokenAttempt &it : attempts) {
    inFlight.push_back(
        {it.Fingerprint, it.Started, it.BrokenAt, !it.StaleKeepAlive});
    step.Output.emplace_back(BroadcastSuspected{
        {it.Fingerprint, upstream.Plan.Id, step.Now - it.Started}});
  }
  const CrashOutcome outcome =
      recordCrash(*step.State.CrashQuarantine, Limits, {upstream.Plan.Id, 0},
                  inFlight, step.Now);
  for (const std::uint64_t it : outcome.Quarantined) {
    ++step.State.Counters.Quarantined;
    step.Output.emplace_back(BroadcastQuarantined{it});
  }
}

} // namespace

bool isRefused(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  const Handling handling =
      chooseHandling(*engine.CrashQuarantine, fingerprint, now);
  return handling == Handling::Refuse || handling == Handling::Hold;
}

bool isSuspect(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  return chooseHandling(*engine.CrashQuarantine, fingerprint, now) !=
         Handling::Normal;
}

bool awaitsCrashCheck(const Engine &engine, const RequestState &request,
                      Instant now) {
  const auto it = engine.Upstreams.find(request.CrashCheckUpstream);
  return now < request.CrashCheckDeadline && it != engine.Upstreams.end() &&
         !it->second.BrokenAttempts.empty();
}

Duration refusalRemaining(const Engine &engine, std::uint64_t fingerprint,
                          Instant now) {
  return remainingRefusal(*engine.CrashQuarantine, fingerprint, now);
}

void startCrashCheck(Step step, UpstreamState &upstream,
                     const BrokenAttempt &attempt) {
  upstream.BrokenAttempts.push_back(attempt);
  sendCrashCheck(step, upstream);
}

void sendCrashCheck(Step step, UpstreamState &upstream) {
  if (upstream.BrokenAttempts.empty() || upstream.ProbePending) {
    return;
  }
  if (!isRefusing(upstream, step.Now)) {
    sendProbe(step, upstream);
    return;
  }
  // Without a health check the requests are suspect, and no more.
  for (const BrokenAttempt &it : std::exchange(upstream.BrokenAttempts, {})) {
    logCheck(step, upstream, it, CrashChecked::Verdict::Skipped);
    recordSuspicion(*step.State.CrashQuarantine, Limits, it.Fingerprint,
                    step.Now);
  }
}

void finishCrashCheck(Step step, UpstreamState &upstream, bool gone) {
  std::vector<BrokenAttempt> decided;
  std::vector<BrokenAttempt> undecided;
  for (const BrokenAttempt &it : upstream.BrokenAttempts) {
    const bool isDecided = gone || it.BrokenAt <= upstream.ProbedAt;
    (isDecided ? decided : undecided).push_back(it);
  }
  upstream.BrokenAttempts = std::move(undecided);
  for (const BrokenAttempt &it : decided) {
    logCheck(step, upstream, it,
             gone ? CrashChecked::Verdict::Gone
                  : CrashChecked::Verdict::Reached);
  }
  if (gone && !decided.empty()) {
    recordUpstreamCrash(step, upstream, decided);
  }
}

void recordHarmless(Step step, std::uint64_t fingerprint) {
  if (recordCompletion(*step.State.CrashQuarantine, fingerprint)) {
    step.Output.emplace_back(BroadcastCleared{fingerprint});
  }
}

bool applyNotice(Quarantine &quarantine, const Event &notice, Instant now) {
  if (const auto *suspected = std::get_if<PeerSuspected>(&notice)) {
    const CrashSuspect &it = suspected->Suspect;
    recordPeerSuspicion(quarantine, Limits,
                        {it.Fingerprint, now - it.SentBefore, now},
                        {it.Upstream, 0}, now);
  } else if (const auto *it = std::get_if<PeerQuarantined>(&notice)) {
    return recordPeerQuarantine(quarantine, Limits, it->Fingerprint,
                                it->Remaining.value_or(Limits.Lifetime), now);
  } else if (const auto *cleared = std::get_if<PeerCleared>(&notice)) {
    recordCompletion(quarantine, cleared->Fingerprint);
  }
  return false;
}

std::vector<PeerQuarantined> latestQuarantines(const Quarantine &quarantine,
                                               std::size_t most, Instant now) {
  std::vector<PeerQuarantined> all;
  for (const auto &[fingerprint, until] : quarantine.Quarantined) {
    if (until > now) {
      all.push_back({fingerprint, until - now});
    }
  }
  const auto count = std::min(most, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(count), all.end(),
                    [](const PeerQuarantined &a, const PeerQuarantined &b) {
                      return a.Remaining > b.Remaining;
                    });
  all.resize(count);
  return all;
}

} // namespace zinniarail::balance
