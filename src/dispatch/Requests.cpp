#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

// When to come back while the cause is not load: an instance whose view has
// run out proves it anew within about this time.
constexpr Duration ComeBackLater = std::chrono::milliseconds{500};

// The shortest hint; a shorter one is no rest at all.
constexpr Duration ComeBackSoonest = std::chrono::milliseconds{1};

// Requests whose class is gone from the document run at most once: the
// stricter of the two.
RequestClass classOf(const ServiceSpec &spec, const RequestArrived &event) {
  const auto it = std::find_if(
      spec.Classes.begin(), spec.Classes.end(),
      [&](const RequestClass &any) { return any.Name == event.Class; });
  if (it != spec.Classes.end()) {
    return *it;
  }
  RequestClass fallback;
  fallback.Idempotent = event.Class.empty() && event.IdempotentMethod;
  return fallback;
}

RequestState makeRequest(ServiceState &state, const RequestArrived &event,
                         Instant now) {
  const RequestClass rules = classOf(state.Plan.Spec, event);
  RequestState request;
  request.Id = event.Request;
  request.Key = event.Key;
  request.Fingerprint = event.Fingerprint;
  request.Waiting = {rules.Priority, state.NextArrival++,
                     numberOf(event.Request)};
  request.Idempotent = rules.Idempotent;
  request.Arrived = now;
  request.Deadline = event.Deadline;
  return request;
}

// What speaks against a newcomer before anything is done for it.
std::optional<RefusalReason>
objection(const ServiceState &state, const RequestState &request, Instant now) {
  if (state.Stopping) {
    return RefusalReason::Stopping;
  }
  if (!request.Idempotent && request.Key.empty()) {
    return RefusalReason::KeyMissing;
  }
  if (now >= state.ValidUntil) {
    return RefusalReason::ViewExpired;
  }
  if (now >= request.Deadline) {
    return RefusalReason::DeadlinePassed;
  }
  if (const auto danger = dangerOf(judge(state, request, now))) {
    return danger;
  }
  if (!anyInService(state)) {
    return RefusalReason::NoUpstream;
  }
  const std::size_t limit = state.Plan.Spec.QueueLimit;
  if (!admit(state.Queue, request.Waiting, limit).Admitted ||
      state.ClaimsSought >= limit) {
    return RefusalReason::Overloaded;
  }
  return std::nullopt;
}

bool wouldBeLate(const ServiceState &state, const RequestState &request,
                 Instant now) {
  const std::size_t ahead = countAhead(state.Queue, request.Waiting);
  const ServiceRate rate = rateOf(state, now);
  const Duration wait = expectWait(ahead, rate);
  return wait != Duration::max() &&
         now + wait + rate.PerRequest > request.Deadline;
}

Duration retryAfter(const ServiceState &state, const RequestState &request,
                    RefusalReason reason, Instant now) {
  switch (reason) {
  case RefusalReason::Overloaded:
  case RefusalReason::DeadlinePassed: {
    const Duration wait = expectWait(state.Queue.size(), rateOf(state, now));
    return std::clamp(wait, ComeBackSoonest, ComeBackLater);
  }
  case RefusalReason::Stopping: // Another instance takes it at once.
    return ComeBackSoonest;
  case RefusalReason::KeyMissing: // Coming back as it is never helps.
  case RefusalReason::UnknownService:
    return Duration{0};
  case RefusalReason::Held:
  case RefusalReason::Quarantined:
    return refusedFor(state.Dangerous, request.Fingerprint, now);
  case RefusalReason::KeyInUse:
    return std::chrono::duration_cast<Duration>(state.Plan.Spec.ClaimWindow);
  default:
    return ComeBackLater;
  }
}

Truth truthOf(const ServiceState &state, const RequestState &request) {
  Truth truth = request.Past;
  for (const AttemptId it : request.Live) {
    if (state.Attempts.at(numberOf(it)).Sent && truth == Truth::DidNotRun) {
      truth = Truth::Unknown;
    }
  }
  return truth;
}

// A key that was granted and whose request never ran must not stay taken.
void settleKey(Step step, const RequestState &request) {
  if (request.Stage == RequestStage::Claiming) {
    step.State.AbandonedClaims.emplace(numberOf(request.Id), request.Key);
    --step.State.ClaimsSought;
    return;
  }
  if (request.Claimed && request.Live.empty() &&
      request.Past == Truth::DidNotRun) {
    releaseKey(step, request.Id, request.Key);
  }
}

void refuseAs(Step step, RequestState &request, RefusalReason reason,
              Truth truth) {
  cancelLive(step, request);
  emit(step, Refuse{request.Id, reason, truth,
                    retryAfter(step.State, request, reason, step.Now)});
  ++step.State.Counters.Refused[reason];
  settleKey(step, request);
  forget(step.State, request);
}

} // namespace

void forget(ServiceState &state, RequestState &request) {
  if (request.Stage == RequestStage::Queued) {
    state.Queue.erase(request.Waiting);
  }
  state.Timers.erase({request.Timer, numberOf(request.Id)});
  state.Requests.erase(numberOf(request.Id));
}

void setTimer(ServiceState &state, RequestState &request) {
  const Instant next = std::min(request.Deadline, request.HedgeAt);
  if (next == request.Timer) {
    return;
  }
  state.Timers.erase({request.Timer, numberOf(request.Id)});
  request.Timer = next;
  state.Timers.emplace(next, numberOf(request.Id));
}

void refuse(Step step, RequestState &request, RefusalReason reason) {
  refuseAs(step, request, reason, truthOf(step.State, request));
}

void enqueue(Step step, RequestState &request) {
  ServiceState &state = step.State;
  const std::uint64_t id = numberOf(request.Id);
  request.Stage = RequestStage::Queued;
  state.Queue.insert(request.Waiting);
  drain(step);
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end() || it->second.Stage != RequestStage::Queued) {
    return;
  }
  if (wouldBeLate(state, it->second, step.Now)) {
    return refuse(step, it->second, RefusalReason::DeadlinePassed);
  }
  while (state.Queue.size() > state.Plan.Spec.QueueLimit) {
    refuse(step, state.Requests.at(state.Queue.rbegin()->Request),
           RefusalReason::Overloaded);
  }
}

void onArrival(Step step, const RequestArrived &event) {
  ServiceState &state = step.State;
  ++state.Counters.Requests;
  const std::uint64_t id = numberOf(event.Request);
  RequestState &request =
      state.Requests.insert_or_assign(id, makeRequest(state, event, step.Now))
          .first->second;
  request.Stage = RequestStage::Running; // Not in the queue yet.
  if (const auto reason = objection(state, request, step.Now)) {
    return refuse(step, request, *reason);
  }
  earnFor(state.HedgeBudget, state.Plan.Spec.HedgeShare);
  earnFor(state.RetryBudget, state.Plan.Spec.RetryShare);
  setTimer(state, request);
  if (request.Idempotent) {
    return enqueue(step, request);
  }
  request.Stage = RequestStage::Claiming;
  ++state.ClaimsSought;
  emit(step, SeekClaim{request.Id, request.Key});
}

void onClaim(Step step, const ClaimDecided &event) {
  ServiceState &state = step.State;
  const std::uint64_t id = numberOf(event.Request);
  if (const auto it = state.AbandonedClaims.find(id);
      it != state.AbandonedClaims.end()) {
    if (event.Verdict == ClaimVerdict::Granted) {
      releaseKey(step, event.Request, it->second);
    }
    state.AbandonedClaims.erase(it);
    return;
  }
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end() ||
      it->second.Stage != RequestStage::Claiming) {
    return;
  }
  RequestState &request = it->second;
  request.Stage = RequestStage::Running; // The claim is not sought any more.
  --state.ClaimsSought;
  switch (event.Verdict) {
  case ClaimVerdict::Granted:
    request.Claimed = true;
    return enqueue(step, request);
  case ClaimVerdict::Taken:
    return refuseAs(step, request, RefusalReason::KeyInUse, Truth::Unknown);
  case ClaimVerdict::Unavailable:
    return refuse(step, request, RefusalReason::ClaimUnavailable);
  }
}

void onCallerGone(Step step, const CallerGone &event) {
  const auto it = step.State.Requests.find(numberOf(event.Request));
  if (it == step.State.Requests.end()) {
    return;
  }
  RequestState &request = it->second;
  // An order that is running is worth more done than undone, even unheard.
  if (request.Idempotent) {
    cancelLive(step, request);
  }
  settleKey(step, request);
  forget(step.State, request);
}

void runTimers(Step step) {
  ServiceState &state = step.State;
  while (!state.Timers.empty() && state.Timers.begin()->first <= step.Now) {
    RequestState &request = state.Requests.at(state.Timers.begin()->second);
    if (request.Deadline <= step.Now) {
      refuse(step, request, RefusalReason::DeadlinePassed);
      continue;
    }
    request.HedgeAt = Instant::max();
    setTimer(state, request);
    hedge(step, request);
  }
}

} // namespace zinniarail
