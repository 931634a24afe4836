#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

// Answers between two looks at what is typical.
constexpr unsigned AnswersPerTypical = 16;

// A ramp's answer is bad beyond so many times the typical latency.
constexpr int SlowFactor = 4;

// A word may be lost: it is repeated, each time after four times as long.
constexpr unsigned WordRepeats = 3;
constexpr Duration FirstRepeat = std::chrono::milliseconds{250};
constexpr int RepeatFactor = 4;

// A probe that has not ended by then counts as lost.
constexpr Duration ProbeTimeout = std::chrono::seconds{1};

// Between two probes of one upstream.
constexpr Duration ProbePause = std::chrono::milliseconds{100};

bool ramps(const UpstreamState &it) { return it.Plan.Share.Ramps; }

unsigned shareOf(const UpstreamState &it) { return it.Plan.Share.Slots; }

void tell(Step step, const UpstreamState &upstream, PeerWord::Kind what) {
  PeerWord word;
  word.What = what;
  word.Upstream = upstream.Plan.Spec.Id;
  word.Incarnation = upstream.Warm.Incarnation;
  tellHomes(step, std::move(word));
}

void tellWarm(Step step, UpstreamState &upstream) {
  tell(step, upstream, PeerWord::Kind::UpstreamWarm);
  upstream.WordsLeft = WordRepeats;
  upstream.NextWord = step.Now + FirstRepeat;
}

void openSome(Step step, const UpstreamState &upstream) {
  const unsigned count = std::min(allowance(upstream.Warm, shareOf(upstream)),
                                  upstream.Plan.Share.Connections);
  const bool homes = step.State.Plan.Policy == RoutingPolicy::Homes;
  if (homes && count > 0 && takesWork(upstream)) {
    emit(step, OpenConnections{upstream.Plan.Spec.Id, count});
  }
}

void applyChange(Step step, UpstreamState &upstream, WarmthChange change) {
  switch (change) {
  case WarmthChange::None:
    return;
  case WarmthChange::TurnedCold:
    ++step.State.Counters.ColdStarts;
    upstream.WordsLeft = 0;
    upstream.NextWord = Instant::max();
    return;
  case WarmthChange::TurnedWarm:
    if (upstream.Warm.Announce && ramps(upstream)) {
      tellWarm(step, upstream);
    }
    [[fallthrough]];
  case WarmthChange::Grew:
    openSome(step, upstream);
  }
}

void turnCold(Step step, UpstreamState &upstream) {
  beginCold(upstream.Warm, ramps(upstream), step.Now);
  applyChange(step, upstream, WarmthChange::TurnedCold);
}

void takeReport(Step step, UpstreamState &upstream, const LoadReport &report,
                Instant asked) {
  learnLife(step, upstream, report, asked);
  upstream.Load.Report = report;
  upstream.Load.Own = static_cast<unsigned>(upstream.Running.size());
  upstream.Load.At = step.Now;
  upstream.Load.Known = true;
  if (report.Draining) {
    noteDraining(upstream.Health, step.Now);
  }
}

void observeFailure(Step step, UpstreamState &upstream, bool lost) {
  noteBad(upstream.Warm);
  if (!noteFailure(upstream.Health, step.Now)) {
    return;
  }
  ++step.State.Counters.Ejections;
  if (lost) { // It may come back with another life.
    turnCold(step, upstream);
  }
}

void observeRefusal(Step step, UpstreamState &upstream) {
  noteRefused(upstream.Warm, shareOf(upstream), step.Now);
  if (!noteRefusal(upstream.Health, step.Now)) {
    return;
  }
  ++step.State.Counters.Ejections;
  // It refuses however little it gets: it is cold, whatever it reports.
  turnCold(step, upstream);
  tell(step, upstream, PeerWord::Kind::UpstreamCold);
}

void updateTypical(ServiceState &state) {
  if (state.AnswersToTypical > 0 && state.Typical != Duration{0}) {
    --state.AnswersToTypical;
    return;
  }
  std::vector<double> means;
  for (const auto &[id, it] : state.Upstreams) {
    if (it.Health.LatencyMicros > 0) {
      means.push_back(it.Health.LatencyMicros);
    }
  }
  if (means.empty()) {
    return;
  }
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  state.Typical = Duration(static_cast<Duration::rep>(*middle));
  state.AnswersToTypical = AnswersPerTypical;
}

void observeAnswer(Step step, UpstreamState &upstream,
                   const AttemptState &attempt) {
  ServiceState &state = step.State;
  const Duration latency = step.Now - attempt.Started;
  noteAnswer(upstream.Health, latency, step.Now);
  if (state.Typical != Duration{0} && latency > state.Typical * SlowFactor) {
    noteBad(upstream.Warm);
  } else if (attempt.ColdStarts == upstream.Warm.ColdStarts) {
    applyChange(step, upstream,
                noteGood(upstream.Warm, shareOf(upstream), step.Now));
  }
  updateTypical(state);
}

void observeEnd(Step step, UpstreamState &upstream, const AttemptState &attempt,
                const AttemptEnded &event) {
  if (isServerError(event)) {
    return observeFailure(step, upstream, false);
  }
  if (event.End == AttemptEnd::Answered) {
    return observeAnswer(step, upstream, attempt);
  }
  if (event.End == AttemptEnd::RefusedUnrun) {
    return observeRefusal(step, upstream);
  }
  if (attempt.Cancelled) {
    return noteUnfinished(upstream.Health, step.Now - attempt.Started,
                          step.Now);
  }
  observeFailure(step, upstream, true);
}

// When to probe an upstream: it warms elsewhere, or holds a request up.
// \param toAsk as upstreamsToAsk gives it.
Instant probeDue(const UpstreamState &it,
                 const std::map<std::string, Instant> &toAsk) {
  if (!takesWork(it)) {
    return Instant::max();
  }
  const Instant due = it.ProbedAt + (it.ProbeOut ? ProbeTimeout : ProbePause);
  if (it.Warm.Phase == WarmthPhase::Waiting) {
    return due;
  }
  const auto broke = toAsk.find(it.Plan.Spec.Id);
  return broke == toAsk.end()
             ? Instant::max()
             : std::max(due, broke->second + Duration{1}); // Surely later.
}

UpstreamState *nextToProbe(ServiceState &state, Instant now) {
  const auto toAsk = upstreamsToAsk(state.Dangerous);
  UpstreamState *next = nullptr;
  for (auto &[id, it] : state.Upstreams) {
    if (probeDue(it, toAsk) <= now &&
        (next == nullptr || it.ProbedAt < next->ProbedAt)) {
      next = &it;
    }
  }
  return next;
}

void sendProbes(Step step) {
  ServiceState &state = step.State;
  while (UpstreamState *it = nextToProbe(state, step.Now)) {
    if (!spendProbe(state.Probes, state.Plan.Spec.ProbesPerSecond, step.Now)) {
      return;
    }
    it->ProbedAt = step.Now;
    it->ProbeOut = true;
    emit(step, SendProbe{it->Plan.Spec.Id});
  }
}

void putTarget(ServiceState &state, const Target &target, Instant now) {
  const auto [at, isNew] = state.Upstreams.try_emplace(target.Spec.Id);
  UpstreamState &it = at->second;
  const bool returns = !it.Planned || (!it.Plan.InService && target.InService);
  const bool rampMoved = it.Plan.Share.Ramps != target.Share.Ramps;
  it.Plan = target;
  it.Planned = true;
  if (state.Plan.Policy != RoutingPolicy::Homes) {
    return;
  }
  if (isNew || returns) {
    beginCold(it.Warm, target.Share.Ramps, now);
    it.Warm.WarmLife = 0;
    ++state.Counters.ColdStarts;
  } else if (rampMoved) {
    moveRamp(it.Warm, target.Share.Ramps, now);
  }
}

} // namespace

void observe(Step step, UpstreamState &upstream, const AttemptState &attempt,
             const AttemptEnded &event) {
  const bool answered =
      event.End == AttemptEnd::Answered && !isServerError(event);
  if (!attempt.Hedge && (answered || attempt.Cancelled)) {
    recordLatency(step.State.Latencies, step.Now - attempt.Started);
  }
  if (step.State.Plan.Policy != RoutingPolicy::Homes || !upstream.Planned) {
    return;
  }
  if (event.HasReport) {
    takeReport(step, upstream, event.Report, attempt.Started);
    const auto change =
        noteReport(upstream.Warm, event.Report, ramps(upstream), step.Now);
    applyChange(step, upstream, change);
    if (change == WarmthChange::TurnedCold) { // Its answer warmed nothing.
      return tell(step, upstream, PeerWord::Kind::UpstreamCold);
    }
  }
  observeEnd(step, upstream, attempt, event);
  if (attempt.Cancelled && attempt.Sent && takesWork(upstream)) {
    emit(step, OpenConnections{upstream.Plan.Spec.Id, 1});
  }
}

void onProbe(Step step, const ProbeEnded &event) {
  const auto at = step.State.Upstreams.find(event.Upstream);
  if (at == step.State.Upstreams.end()) {
    return;
  }
  UpstreamState &it = at->second;
  it.ProbeOut = false;
  if (!event.Reached || step.State.Plan.Policy != RoutingPolicy::Homes) {
    return;
  }
  takeReport(step, it, event.Report, it.ProbedAt);
  applyChange(step, it, noteProbe(it.Warm, event.Report, ramps(it), step.Now));
}

void onWord(Step step, const PeerWord &event) {
  if (event.What != PeerWord::Kind::UpstreamCold &&
      event.What != PeerWord::Kind::UpstreamWarm) {
    return onDangerWord(step, event);
  }
  const auto at = step.State.Upstreams.find(event.Upstream);
  if (at == step.State.Upstreams.end() ||
      step.State.Plan.Policy != RoutingPolicy::Homes) {
    return;
  }
  UpstreamState &it = at->second;
  switch (event.What) {
  case PeerWord::Kind::UpstreamCold:
    return applyChange(
        step, it,
        noteColdWord(it.Warm, event.Incarnation, ramps(it), step.Now));
  case PeerWord::Kind::UpstreamWarm:
    return applyChange(step, it,
                       noteWarmWord(it.Warm, event.Incarnation, step.Now));
  case PeerWord::Kind::Quarantine:
  case PeerWord::Kind::Suspect:
  case PeerWord::Kind::Held:
    return;
  }
}

void putTargets(ServiceState &state, Instant now) {
  std::map<std::string, bool> wanted;
  for (const Target &it : state.Plan.Targets) {
    wanted.emplace(it.Spec.Id, true);
    putTarget(state, it, now);
  }
  for (auto &[id, it] : state.Upstreams) {
    it.Planned = wanted.contains(id);
  }
}

void openAhead(Step step) {
  for (const auto &[id, it] : step.State.Upstreams) {
    openSome(step, it);
  }
}

void tellAllWarm(Step step) {
  for (auto &[id, it] : step.State.Upstreams) {
    if (takesWork(it) && ramps(it) && it.Warm.Phase == WarmthPhase::Warm) {
      tellWarm(step, it);
    }
  }
}

void tendUpstreams(Step step) {
  for (auto &[id, it] : step.State.Upstreams) {
    if (it.Warm.Since == Instant{}) { // Made before the first event.
      it.Warm.Since = step.Now;
    }
    applyChange(step, it, noteTime(it.Warm, step.Now));
    if (it.NextWord > step.Now) {
      continue;
    }
    tell(step, it, PeerWord::Kind::UpstreamWarm);
    const unsigned sent = WordRepeats - --it.WordsLeft;
    Duration pause = FirstRepeat;
    for (unsigned n = 0; n < sent; ++n) {
      pause *= RepeatFactor;
    }
    it.NextWord = it.WordsLeft > 0 ? step.Now + pause : Instant::max();
  }
  condemnDue(step);
  sendProbes(step);
}

Instant nextTending(const ServiceState &state) {
  Instant next = state.Dangerous.NextVerdict;
  Instant probe = Instant::max();
  const auto toAsk = upstreamsToAsk(state.Dangerous);
  for (const auto &[id, it] : state.Upstreams) {
    next = std::min(next, it.NextWord);
    if (!state.Queue.empty() && takesWork(it)) {
      next = std::min(next, takeUpDue(it.Warm));
    }
    probe = std::min(probe, probeDue(it, toAsk));
    if (!state.Queue.empty() && it.Health.Backoff != Duration{0}) {
      const bool over = it.Health.EjectedUntil <= state.LastEvent;
      next = over ? next : std::min(next, it.Health.EjectedUntil);
    }
  }
  if (probe == Instant::max()) {
    return next;
  }
  const Instant paid = nextProbe(state.Probes, state.Plan.Spec.ProbesPerSecond);
  return std::min(next, std::max(probe, paid));
}

} // namespace zinniarail
