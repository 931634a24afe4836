#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

constexpr QuarantineLimits Limits;

void tell(Step step, PeerWord::Kind what, const UpstreamState &upstream,
          std::uint64_t fingerprint) {
  PeerWord word;
  word.What = what;
  word.Upstream = upstream.Plan.Spec.Id;
  word.Fingerprint = fingerprint;
  word.HomesDigest = step.State.Plan.HomesDigest;
  emit(step, TellHomes{std::move(word)});
}

// A request without a fingerprint is like no other.
std::vector<std::uint64_t> fingerprintsOn(const ServiceState &state,
                                          const UpstreamState &upstream) {
  std::vector<std::uint64_t> prints;
  for (const AttemptId id : upstream.Running) {
    const std::uint64_t it = state.Attempts.at(numberOf(id)).Fingerprint;
    if (it != 0) {
      prints.push_back(it);
    }
  }
  return prints;
}

} // namespace

void noteBroken(Step step, UpstreamState &upstream,
                const AttemptState &attempt) {
  if (attempt.Started <= upstream.CrashedAt) {
    return; // Another victim of a crash that is noted.
  }
  ServiceState &state = step.State;
  upstream.CrashedAt = step.Now;
  ++state.Counters.Crashes;
  const auto prints = fingerprintsOn(state, upstream);
  for (const std::uint64_t it : prints) {
    if (!state.Dangerous.Suspects.contains(it)) {
      tell(step, PeerWord::Kind::Suspect, upstream, it);
    }
  }
  const auto condemned = noteCrash(state.Dangerous, Limits,
                                   upstream.Plan.Spec.Id, prints, step.Now);
  for (const std::uint64_t it : condemned) {
    ++state.Counters.Condemned;
    tell(step, PeerWord::Kind::Quarantine, upstream, it);
  }
}

Handling judge(const ServiceState &state, const RequestState &request,
               Instant now) {
  return judge(state.Dangerous, request.Fingerprint, now);
}

bool mustKeepApart(const ServiceState &state, const UpstreamState &upstream,
                   Instant now) {
  const auto prints = fingerprintsOn(state, upstream);
  return std::any_of(prints.begin(), prints.end(), [&](std::uint64_t it) {
    return judge(state.Dangerous, it, now) != Handling::Normal;
  });
}

void onDangerWord(Step step, const PeerWord &word) {
  Quarantine &dangerous = step.State.Dangerous;
  if (word.What == PeerWord::Kind::Quarantine) {
    noteCondemned(dangerous, Limits, word.Fingerprint, step.Now);
  } else {
    noteSuspected(dangerous, Limits, word.Fingerprint, word.Upstream, step.Now);
  }
}

} // namespace zinniarail
