#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

// Tries of one request, the first included.
constexpr std::size_t MostTries = 3;

// What timers of the sockets round off.
constexpr Duration DeadlineMargin = std::chrono::milliseconds{2};

// Upstreams that may break under one request; it may be what breaks them.
constexpr unsigned MostBroken = 2;

void startAttempt(Step step, RequestState &request, UpstreamState &upstream,
                  bool isHedge) {
  ServiceState &state = step.State;
  const AttemptId id{state.NextAttempt++};
  AttemptState attempt;
  attempt.Request = request.Id;
  attempt.Upstream = &upstream;
  attempt.Started = step.Now;
  attempt.Deadline = request.Deadline;
  attempt.Fingerprint = request.Fingerprint;
  attempt.Key = request.Claimed ? request.Key : std::string{};
  attempt.ColdStarts = upstream.Warm.ColdStarts;
  attempt.Life = upstream.Warm.Incarnation;
  attempt.Hedge = isHedge;
  state.Attempts.emplace(numberOf(id), std::move(attempt));
  upstream.Running.push_back(id);
  request.Live.push_back(id);
  request.Tried.push_back(&upstream);
  ++state.Counters.Attempts;
  emit(step, StartAttempt{id, request.Id, upstream.Plan.Spec.Id,
                          request.Deadline, isHedge});
}

// A hedge is due later than its budget asks: the loser has run for longer
// than most requests when it is cancelled, and that counts as extra work.
constexpr double HedgeShareSpent = 0.5;

Duration hedgeDelay(const ServiceState &state) {
  const double share = state.Plan.Spec.HedgeShare * HedgeShareSpent;
  return latencyQuantile(state.Latencies, 1 - share);
}

void armHedge(Step step, RequestState &request) {
  const Duration delay = hedgeDelay(step.State);
  if (!request.Idempotent || delay == Duration{0} ||
      step.State.Plan.Policy != RoutingPolicy::Homes) {
    return;
  }
  request.HedgeAt = step.Now + delay;
  setTimer(step.State, request);
}

void startQueued(Step step, RequestState &request, UpstreamState &upstream) {
  step.State.Queue.erase(request.Waiting);
  request.Stage = RequestStage::Running;
  startAttempt(step, request, upstream, false);
  if (request.Tried.size() == 1) {
    armHedge(step, request);
  }
}

Truth truthOf(const AttemptEnded &event) {
  switch (event.End) {
  case AttemptEnd::Answered:
    return Truth::Ran;
  case AttemptEnd::NotSent:
  case AttemptEnd::RefusedUnrun:
    return Truth::DidNotRun;
  case AttemptEnd::Broken:
    break;
  }
  return Truth::Unknown;
}

// What ran in one try has run, whatever became of the others.
Truth combine(Truth a, Truth b) {
  if (a == Truth::Ran || b == Truth::Ran) {
    return Truth::Ran;
  }
  return a == Truth::Unknown ? a : b;
}

bool mayRetry(const ServiceState &state, const RequestState &request,
              Instant now) {
  const bool safe = request.Idempotent || request.Past == Truth::DidNotRun;
  return safe && request.Tried.size() < MostTries &&
         request.Broken < MostBroken && now < request.Deadline &&
         now < state.ValidUntil;
}

void deliver(Step step, RequestState &request, AttemptId attempt) {
  cancelLive(step, request);
  emit(step, Deliver{request.Id, attempt});
  ++step.State.Counters.Delivered;
  forget(step.State, request);
}

void retryOrRefuse(Step step, RequestState &request) {
  ServiceState &state = step.State;
  if (mayRetry(state, request, step.Now) && spendOne(state.RetryBudget)) {
    ++state.Counters.Retries;
    request.HedgeAt = Instant::max();
    setTimer(state, request);
    return enqueue(step, request);
  }
  refuse(step, request,
         step.Now >= request.Deadline ? RefusalReason::DeadlinePassed
                                      : RefusalReason::UpstreamFailed);
}

// An upstream's error is its answer, unless another may do better.
bool worthAnother(const ServiceState &state, const RequestState &request,
                  Instant now) {
  return request.Idempotent && mayRetry(state, request, now) &&
         state.RetryBudget.Tokens >= 1;
}

void settle(Step step, RequestState &request, const AttemptEnded &event) {
  std::erase(request.Live, event.Attempt);
  const bool answered = event.End == AttemptEnd::Answered;
  const bool retryError =
      isServerError(event) &&
      (!request.Live.empty() || worthAnother(step.State, request, step.Now));
  if (answered && !retryError) {
    return deliver(step, request, event.Attempt);
  }
  request.Past = combine(request.Past, truthOf(event));
  request.Broken += event.End == AttemptEnd::Broken ? 1 : 0;
  if (request.Live.empty()) {
    retryOrRefuse(step, request);
  }
}

// An answered request's straggler tells what became of its key.
void settleOrphan(Step step, const AttemptState &attempt,
                  const AttemptEnded &event) {
  if (!attempt.Key.empty() && truthOf(event) == Truth::DidNotRun) {
    releaseKey(step, attempt.Request, attempt.Key);
  }
}

// An attempt that was given up on at its deadline broke nothing.
bool isCrash(const AttemptEnded &event, const AttemptState &attempt,
             Instant now) {
  return event.End == AttemptEnd::Broken && !attempt.Cancelled &&
         now + DeadlineMargin < attempt.Deadline;
}

// What a ramping upstream runs is let run: it learns of a cancellation later
// than its slot is free here, and the next request would be one too many. Its
// answer warms it, besides.
bool isLetRun(const AttemptState &attempt) {
  return attempt.Sent && attempt.Upstream->Warm.Phase == WarmthPhase::Ramping;
}

void dropUnplanned(ServiceState &state, UpstreamState &upstream) {
  if (!upstream.Planned && upstream.Running.empty()) {
    for (auto &[id, request] : state.Requests) {
      std::erase(request.Tried, &upstream);
    }
    state.Upstreams.erase(upstream.Plan.Spec.Id);
  }
}

void refuseAllWaiting(Step step, RefusalReason reason) {
  while (!step.State.Queue.empty()) {
    refuse(step, step.State.Requests.at(step.State.Queue.begin()->Request),
           reason);
  }
}

// Starts, best first, what has an upstream. Those for whom a quick upstream
// is worth the wait are passed over; the further back, the longer their wait.
void startWaiting(Step step) {
  ServiceState &state = step.State;
  std::size_t ahead = 0;
  auto it = state.Queue.begin();
  while (it != state.Queue.end()) {
    RequestState &request = state.Requests.at(it->Request);
    const Handling handling = judge(state, request, step.Now);
    if (const auto danger = dangerOf(handling)) {
      ++it;
      refuse(step, request, *danger);
      continue;
    }
    const Choice choice = chooseUpstream(state, request, step.Now);
    if (choice.Upstream == nullptr && request.Tried.empty() &&
        handling == Handling::Normal) {
      return; // Nobody has room, for anyone behind it either.
    }
    if (choice.Upstream != nullptr && ahead < choice.MinAhead) {
      state.RecheckAt = step.Now + std::max(state.Typical, Duration{1});
    }
    if (choice.Upstream == nullptr || ahead < choice.MinAhead) {
      ++ahead;
      ++it;
      continue;
    }
    ++it;
    startQueued(step, request, *choice.Upstream);
  }
}

} // namespace

void releaseKey(Step step, RequestId request, const std::string &key) {
  ++step.State.Counters.KeysReleased;
  emit(step, ReleaseClaim{request, key});
}

void cancelLive(Step step, RequestState &request) {
  for (const AttemptId it : request.Live) {
    AttemptState &attempt = step.State.Attempts.at(numberOf(it));
    if (!isLetRun(attempt)) {
      attempt.Cancelled = true;
      emit(step, CancelAttempt{it});
    }
  }
}

void drain(Step step) {
  ServiceState &state = step.State;
  if (state.Queue.empty()) {
    return;
  }
  if (step.Now >= state.ValidUntil) {
    return refuseAllWaiting(step, RefusalReason::ViewExpired);
  }
  if (!anyInService(state)) {
    return refuseAllWaiting(step, RefusalReason::NoUpstream);
  }
  state.RecheckAt = Instant::max();
  startWaiting(step);
}

void hedge(Step step, RequestState &request) {
  ServiceState &state = step.State;
  if (request.Live.size() != 1 || !state.Queue.empty() ||
      judge(state, request, step.Now) != Handling::Normal ||
      step.Now >= state.ValidUntil || state.HedgeBudget.Tokens < 1) {
    return;
  }
  const Choice choice = chooseUpstream(state, request, step.Now);
  const AttemptState &first = state.Attempts.at(numberOf(request.Live.front()));
  if (choice.Upstream == nullptr || choice.Upstream == first.Upstream ||
      choice.MinAhead > 0) {
    return;
  }
  spendOne(state.HedgeBudget);
  ++state.Counters.Hedges;
  startAttempt(step, request, *choice.Upstream, true);
}

void onSent(Step step, const AttemptSent &event) {
  const auto it = step.State.Attempts.find(numberOf(event.Attempt));
  if (it != step.State.Attempts.end()) {
    it->second.Sent = true;
  }
}

void onEnded(Step step, const AttemptEnded &event) {
  ServiceState &state = step.State;
  const auto it = state.Attempts.find(numberOf(event.Attempt));
  if (it == state.Attempts.end()) {
    return;
  }
  UpstreamState &upstream = *it->second.Upstream;
  if (isCrash(event, it->second, step.Now)) {
    noteBroken(step, upstream, it->second);
  } else if (event.End == AttemptEnd::Answered) {
    noteFinished(state.Dangerous, it->second.Fingerprint);
  }
  const AttemptState attempt = std::move(it->second);
  state.Attempts.erase(it);
  std::erase(upstream.Running, event.Attempt);
  observe(step, upstream, attempt, event);
  const auto request = state.Requests.find(numberOf(attempt.Request));
  if (request != state.Requests.end()) {
    settle(step, request->second, event);
  } else {
    settleOrphan(step, attempt, event);
  }
  dropUnplanned(state, upstream);
  drain(step);
}

} // namespace zinniarail
