// Requests: arrival, deadline and final answer.
#include "balance/State.h"

#include <algorithm>
#include <utility>

namespace zinniarail::balance {

namespace {

// Retry-After while no upstream is in service, or none can be reached and no
// other instance serves the request: registrations and restarts take about this
// long.
constexpr Duration NoUpstreamRetryAfter = std::chrono::milliseconds{300};

// Retry-After while this instance stops: another one can take the request.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds{50};

void setTimer(Engine &engine, RequestState &request, Instant at) {
  engine.Timers.emplace(at, numberOf(request.Id));
}

void removeRequest(Engine &engine, RequestState &request) {
  const std::uint64_t id = numberOf(request.Id);
  dequeue(engine, request);
  engine.Timers.erase({request.Deadline, id});
  engine.Timers.erase({request.HedgeAt, id});
  engine.Requests.erase(id);
}

void setSize(QueueShares &shares, std::uint64_t connection, std::size_t before,
             std::size_t after) {
  shares.Sizes.erase({before, connection});
  if (after > 0) {
    shares.Sizes.emplace(after, connection);
  } else {
    shares.ByConnection.erase(connection);
  }
}

void addToShares(QueueShares &shares, const RequestState &request) {
  std::set<RequestId> &own = shares.ByConnection[request.Connection];
  const std::size_t before = own.size();
  own.insert(request.Id);
  setSize(shares, request.Connection, before, own.size());
}

void removeFromShares(QueueShares &shares, const RequestState &request) {
  std::set<RequestId> &own = shares.ByConnection.at(request.Connection);
  const std::size_t before = own.size();
  own.erase(request.Id);
  setSize(shares, request.Connection, before, own.size());
}

Execution executionOf(const RequestState &request) {
  return request.RunningAttempts.empty() ? request.PriorExecution
                                         : Execution::Unknown;
}

Duration retryAfter(Engine &engine, const RequestState &request,
                    RefusalReason reason, Instant now) {
  switch (reason) {
  case RefusalReason::NoUpstream:
  case RefusalReason::Unreachable:
    return NoUpstreamRetryAfter;
  case RefusalReason::Overloaded:
    if (turnsBefore(engine, now, now)) {
      return limitedRetryAfter(engine, now);
    }
    if (const Instant end = endOfRefusals(engine, now);
        end > now || !engine.Plan.OrdersByCost) {
      return std::max<Duration>({end - now,
                                 usualServiceTime(engine, request) / 2,
                                 std::chrono::milliseconds{20}});
    }
    return crowdedRetryAfter(expectedWait(engine.Room, engine.Queue.size()),
                             queuedRequest(engine, request), now,
                             drawFraction(engine.Rng));
  case RefusalReason::DeadlinePassed:
  case RefusalReason::UpstreamFailed:
    return std::chrono::milliseconds{50};
  case RefusalReason::Stopping:
    return StoppingRetryAfter;
  case RefusalReason::Quarantined:
    break;
  }
  return refusalRemaining(engine, request.Fingerprint, now);
}

} // namespace

void onArrival(Step step, const RequestArrived &event) {
  Engine &engine = step.State;
  ++engine.Counters.Requests;
  earnTokens(engine.Budget, engine.Plan.Budget);
  RequestState fresh;
  fresh.Id = event.Request;
  fresh.Connection = event.Connection;
  fresh.Policy = event.Policy;
  fresh.Fingerprint = event.Fingerprint;
  fresh.Arrived = step.Now;
  fresh.Deadline = event.Deadline;
  AllowedTime &usual = engine.AllowedTimes[event.Policy.Route];
  const Duration allowed = event.Deadline - step.Now;
  recordAllowedTime(usual, allowed);
  fresh.Goal =
      step.Now + event.Policy.LatencyTarget - waitedBefore(usual, allowed);
  if (engine.Plan.TargetShare) {
    fresh.TargetDraw = drawFraction(engine.Rng);
  }
  RequestState &request =
      engine.Requests.insert_or_assign(numberOf(event.Request), fresh)
          .first->second;
  setTimer(engine, request, request.Deadline);
  advance(engine.Room, step.Now);
  if (step.Now + cautiousServiceTime(engine, request) <= request.Goal) {
    recordArrival(engine.Room);
  }
  if (isRefused(engine, request.Fingerprint, step.Now)) {
    return refuse(step, request, RefusalReason::Quarantined);
  }
  if (isQueueFull(engine, step.Now) && !yieldToOtherConnection(step, request) &&
      !engine.Plan.OrdersByCost) {
    return refuse(step, request, RefusalReason::Overloaded);
  }
  enqueue(step, request);
}

void enqueue(Step step, RequestState &request) {
  Engine &engine = step.State;
  request.Queued = true;
  request.QueuedAt = step.Now;
  engine.Queue.insert(request.Id);
  engine.Untried.push_back(request.Id);
  addToShares(engine.SharesOfQueue, request);
}

void dequeue(Engine &engine, RequestState &request) {
  if (std::exchange(request.Queued, false)) {
    engine.Queue.erase(request.Id);
    removeFromShares(engine.SharesOfQueue, request);
  }
}

void onCallerGone(Step step, const CallerGone &event) {
  const auto it = step.State.Requests.find(numberOf(event.Request));
  if (it == step.State.Requests.end()) {
    return;
  }
  RequestState &request = it->second;
  // A request that is not idempotent keeps running until its deadline: its
  // caller can't safely send it again.
  if (request.Policy.Idempotent) {
    cancelRunningAttempts(step, request);
  } else {
    for (const AttemptId id : request.RunningAttempts) {
      step.State.AbandonedAttempts.emplace(request.Deadline, numberOf(id));
    }
  }
  removeRequest(step.State, request);
}

void onReachChanged(Step step, const ReachChanged &event) {
  Engine &engine = step.State;
  engine.AnyReachable = event.AnyReachable;
  if (event.AnyReachable) {
    return endBackoffs(engine, step.Now);
  }
  // An attempt that may have been received goes on if its request must not run
  // twice; queued requests are refused when the queue is dispatched.
  std::vector<RequestId> repeatable;
  for (const auto &[id, it] : engine.Requests) {
    if (!it.Queued && it.Policy.Idempotent) {
      repeatable.push_back(it.Id);
    }
  }
  for (const RequestId id : repeatable) {
    refuse(step, engine.Requests.at(numberOf(id)), RefusalReason::Unreachable);
  }
}

void refuse(Step step, RequestState &request, RefusalReason reason) {
  const Execution execution = executionOf(request);
  cancelRunningAttempts(step, request);
  ++step.State.Counters.Refused;
  step.Output.emplace_back(
      Refuse{request.Id, reason, execution,
             retryAfter(step.State, request, reason, step.Now),
             summarizeUpstreams(step.State, request, step.Now)});
  removeRequest(step.State, request);
}

void deliver(Step step, RequestState &request, AttemptId attempt) {
  cancelRunningAttempts(step, request);
  ++step.State.Counters.Delivered;
  step.Output.emplace_back(Deliver{request.Id, attempt});
  removeRequest(step.State, request);
}

void scheduleHedge(Engine &engine, RequestState &request, Instant at) {
  engine.Timers.erase({request.HedgeAt, numberOf(request.Id)});
  request.HedgeAt = at;
  if (at < request.Deadline) {
    setTimer(engine, request, at);
  }
}

void runTimers(Step step) {
  Engine &engine = step.State;
  while (!engine.Timers.empty() && engine.Timers.begin()->first <= step.Now) {
    const auto [at, id] = *engine.Timers.begin();
    engine.Timers.erase(engine.Timers.begin());
    RequestState &request = engine.Requests.at(id);
    if (request.Deadline <= step.Now) {
      refuse(step, request, RefusalReason::DeadlinePassed);
    } else if (request.HedgeAt == at) {
      request.HedgeAt = Instant::max();
      startHedge(step, request);
    }
  }
}

void refuseAllIfStopped(Step step) {
  Engine &engine = step.State;
  if (step.Now < engine.Plan.StopsAt) {
    return;
  }
  while (!engine.Requests.empty()) {
    refuse(step, engine.Requests.begin()->second, RefusalReason::Stopping);
  }
}

} // namespace zinniarail::balance
