#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

constexpr QuarantineLimits Limits;

void tell(Step step, PeerWord::Kind what, const Crash &crash,
          std::uint64_t fingerprint) {
  PeerWord word;
  word.What = what;
  word.Upstream = crash.Upstream;
  word.Incarnation = crash.Life;
  word.Fingerprint = fingerprint;
  tellHomes(step, std::move(word));
}

void tellCondemned(Step step, const Crash &crash,
                   const std::vector<std::uint64_t> &fingerprints) {
  for (const std::uint64_t it : fingerprints) {
    ++step.State.Counters.Condemned;
    tell(step, PeerWord::Kind::Quarantine, crash, it);
  }
}

void suspectByWord(Step step, const PeerWord &word) {
  noteSuspected(step.State.Dangerous, Limits, word.Fingerprint,
                {word.Upstream, word.Incarnation}, step.Now);
  const auto it = step.State.Upstreams.find(word.Upstream);
  if (it != step.State.Upstreams.end()) {
    it->second.UnprovenSince = step.Now;
  }
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
  ServiceState &state = step.State;
  upstream.UnprovenSince = step.Now;
  if (attempt.Started <= upstream.CrashedAt) { // By a crash that is noted.
    return noteVictim(state.Dangerous, upstream.Plan.Spec.Id, step.Now);
  }
  upstream.CrashedAt = step.Now;
  upstream.CrashedLife = attempt.Life;
  ++state.Counters.Crashes;
  const Crash crash{upstream.Plan.Spec.Id, attempt.Life};
  const auto prints = fingerprintsOn(state, upstream);
  for (const std::uint64_t it : prints) {
    if (!state.Dangerous.Suspects.contains(it)) {
      tell(step, PeerWord::Kind::Suspect, crash, it);
    }
  }
  const auto verdicts =
      noteCrash(state.Dangerous, Limits, crash, prints, step.Now);
  tellCondemned(step, crash, verdicts.Condemned);
  for (const std::uint64_t it : verdicts.Held) {
    ++state.Counters.Held;
    tell(step, PeerWord::Kind::Held, crash, it);
  }
}

void learnLife(Step step, UpstreamState &upstream, const LoadReport &report,
               Instant asked) {
  if (asked <= upstream.UnprovenSince || report.Incarnation == 0) {
    return;
  }
  upstream.UnprovenSince = Instant::max();
  if (report.Incarnation == upstream.CrashedLife) {
    upstream.CrashedAt = Instant{}; // Nothing is a victim of no crash.
  }
  const Crash crash{upstream.Plan.Spec.Id, report.Incarnation};
  tellCondemned(step, crash,
                noteLife(step.State.Dangerous, Limits, crash.Upstream,
                         crash.Life, asked, step.Now));
}

void condemnDue(Step step) {
  tellCondemned(step, {}, condemnHeld(step.State.Dangerous, Limits, step.Now));
}

Handling judge(const ServiceState &state, const RequestState &request,
               Instant now) {
  return judge(state.Dangerous, request.Fingerprint, now);
}

std::optional<RefusalReason> dangerOf(Handling handling) {
  switch (handling) {
  case Handling::Normal:
  case Handling::Isolate:
    break;
  case Handling::Hold:
    return RefusalReason::Held;
  case Handling::Refuse:
    return RefusalReason::Quarantined;
  }
  return std::nullopt;
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
  switch (word.What) {
  case PeerWord::Kind::Quarantine:
    return noteCondemned(dangerous, Limits, word.Fingerprint, step.Now);
  case PeerWord::Kind::Held:
    noteHeld(dangerous, Limits, word.Fingerprint, step.Now);
    [[fallthrough]];
  case PeerWord::Kind::Suspect:
    return suspectByWord(step, word);
  case PeerWord::Kind::UpstreamCold:
  case PeerWord::Kind::UpstreamWarm:
    return;
  }
}

} // namespace zinniarail
