// Requests from their arrival to their final answer.
#include "balance/State.h"

#include <algorithm>

namespace zinniarail::balance {

namespace {

// What remains of a deadline is given back for the way to the caller.
constexpr Duration AnswerMargin = std::chrono::milliseconds{3};

// Between two looks at upstreams that seemed full.
constexpr Duration RecheckPause = std::chrono::milliseconds{10};

// When to come back while no upstream is in service: registrations and restarts
// take about this long.
constexpr Duration NoUpstreamPause = std::chrono::milliseconds{300};

// Requests that may wait for each slot in service.
constexpr std::size_t WaitingPerSlot = 4;

void setTimer(Engine &engine, RequestState &request, Instant at) {
  engine.Timers.emplace(at, numberOf(request.Id));
}

void forget(Engine &engine, RequestState &request) {
  const std::uint64_t id = numberOf(request.Id);
  if (request.Queued) {
    std::erase(engine.Queue, request.Id);
  }
  engine.Timers.erase({request.Deadline, id});
  engine.Timers.erase({request.HedgeAt, id});
  engine.Requests.erase(id);
}

Truth truthOf(const RequestState &request) {
  return request.Live.empty() ? request.Past : Truth::Unknown;
}

Duration retryAfter(const Engine &engine, const RequestState &request,
                    RefusalReason reason, Instant now) {
  switch (reason) {
  case RefusalReason::NoUpstream:
    return NoUpstreamPause;
  case RefusalReason::Overloaded:
    return std::max<Duration>(leastTime(engine, request) / 2,
                              std::chrono::milliseconds{20});
  case RefusalReason::DeadlinePassed:
  case RefusalReason::UpstreamFailed:
    return std::chrono::milliseconds{50};
  case RefusalReason::Quarantined:
    break;
  }
  return condemnedFor(engine, request.Fingerprint, now);
}

std::size_t slotsInService(const Engine &engine) {
  std::size_t slots = 0;
  for (const auto &[id, it] : engine.Upstreams) {
    slots += it.Planned ? it.Plan.Slots : 0;
  }
  return slots;
}

// Part of a request's usual time that it may take longer than that.
constexpr double UsualSpread = 1.3;

Instant latestStart(const Engine &engine, const RequestState &request) {
  const Duration usual = leastTime(engine, request);
  return request.Arrived + request.Treatment.Target -
         Duration(static_cast<Duration::rep>(
             static_cast<double>(usual.count()) * UsualSpread));
}

// Those that can still meet their target go first, by urgency and by when it
// ends; late ones take what is left.
bool goesBefore(const Engine &engine, const RequestState &a,
                const RequestState &b, Instant now) {
  const auto key = [&](const RequestState &it) {
    const Instant goal = it.Arrived + it.Treatment.Target;
    const bool late = now + leastTime(engine, it) > goal;
    return std::make_tuple(late, it.Treatment.Priority, goal, numberOf(it.Id));
  };
  return key(a) < key(b);
}

void sortQueue(Engine &engine, Instant now) {
  if (engine.Queue.size() < 2) {
    return;
  }
  std::sort(engine.Queue.begin(), engine.Queue.end(),
            [&](RequestId a, RequestId b) {
              return goesBefore(engine, engine.Requests.at(numberOf(a)),
                                engine.Requests.at(numberOf(b)), now);
            });
}

// A request that can't be served in time is told so at once.
bool refusedHopeless(Step step, RequestState &request) {
  if (step.Now + leastTime(step.Self, request) <=
      request.Deadline - AnswerMargin) {
    return false;
  }
  refuse(step, request, RefusalReason::Overloaded);
  return true;
}

} // namespace

void onArrival(Step step, const RequestArrived &event) {
  Engine &engine = step.Self;
  ++engine.Counters.Requests;
  earn(engine.Budget, engine.Plan.Budget);
  RequestState fresh;
  fresh.Id = event.Request;
  fresh.Treatment = event.Treatment;
  fresh.Fingerprint = event.Fingerprint;
  fresh.Arrived = step.Now;
  fresh.Deadline = event.Deadline;
  RequestState &request =
      engine.Requests.insert_or_assign(numberOf(event.Request), fresh)
          .first->second;
  setTimer(engine, request, request.Deadline);
  if (isCondemned(engine, request.Fingerprint, step.Now)) {
    return refuse(step, request, RefusalReason::Quarantined);
  }
  if (engine.Queue.size() >= WaitingPerSlot * slotsInService(engine) &&
      slotsInService(engine) > 0) {
    return refuse(step, request, RefusalReason::Overloaded);
  }
  enqueue(step, request);
}

void enqueue(Step step, RequestState &request) {
  request.Queued = true;
  request.QueuedAt = step.Now;
  step.Self.Queue.push_back(request.Id);
}

void onGone(Step step, const CallerGone &event) {
  const auto it = step.Self.Requests.find(numberOf(event.Request));
  if (it == step.Self.Requests.end()) {
    return;
  }
  // What must not run twice is let run: its caller can't repeat it.
  if (it->second.Treatment.Idempotent) {
    cancelLive(step, it->second);
  }
  forget(step.Self, it->second);
}

void refuse(Step step, RequestState &request, RefusalReason reason) {
  const Truth truth = truthOf(request);
  cancelLive(step, request);
  ++step.Self.Counters.Refused;
  step.Out.emplace_back(
      Refuse{request.Id, reason, truth,
             retryAfter(step.Self, request, reason, step.Now),
             describeSituation(step.Self, request, step.Now)});
  forget(step.Self, request);
}

void deliver(Step step, RequestState &request, AttemptId attempt) {
  cancelLive(step, request);
  ++step.Self.Counters.Delivered;
  step.Out.emplace_back(Deliver{request.Id, attempt});
  forget(step.Self, request);
}

void setHedge(Engine &engine, RequestState &request, Instant at) {
  engine.Timers.erase({request.HedgeAt, numberOf(request.Id)});
  request.HedgeAt = at;
  if (at < request.Deadline) {
    setTimer(engine, request, at);
  }
}

void runTimers(Step step) {
  Engine &engine = step.Self;
  while (!engine.Timers.empty() && engine.Timers.begin()->first <= step.Now) {
    const auto [at, id] = *engine.Timers.begin();
    engine.Timers.erase(engine.Timers.begin());
    RequestState &request = engine.Requests.at(id);
    if (request.Deadline <= step.Now) {
      refuse(step, request, RefusalReason::DeadlinePassed);
    } else if (request.HedgeAt == at) {
      request.HedgeAt = Instant::max();
      hedge(step, request);
    }
  }
}

void drain(Step step) {
  Engine &engine = step.Self;
  engine.LookAgainAt = Instant::max();
  sortQueue(engine, step.Now);
  const std::vector<RequestId> queue = engine.Queue;
  for (const RequestId id : queue) {
    RequestState &request = engine.Requests.at(numberOf(id));
    if (refusedHopeless(step, request)) {
      continue;
    }
    if (isCondemned(engine, request.Fingerprint, step.Now)) {
      refuse(step, request, RefusalReason::Quarantined);
      continue;
    }
    if (awaitsVerdict(engine, request, step.Now)) {
      engine.LookAgainAt = std::min(engine.LookAgainAt, request.VerdictUntil);
      continue;
    }
    const Instant goodUntil = latestStart(engine, request);
    const Placement found =
        place(engine, request, step.Now >= goodUntil, step.Now);
    switch (found.What) {
    case Placement::Kind::Send:
      std::erase(engine.Queue, id);
      request.Queued = false;
      startAttempt(step, request, found, false);
      continue;
    case Placement::Kind::Look:
      for (UpstreamState *it : found.Probes) {
        probe(step, *it);
      }
      engine.LookAgainAt =
          std::min(engine.LookAgainAt, step.Now + RecheckPause);
      continue;
    case Placement::Kind::Wait:
      engine.LookAgainAt =
          std::min({engine.LookAgainAt, step.Now + RecheckPause,
                    request.Deadline - AnswerMargin -
                        leastTime(engine, request) + Duration{1}});
      continue;
    case Placement::Kind::Never:
      refuse(step, request, RefusalReason::NoUpstream);
      continue;
    }
  }
}

} // namespace zinniarail::balance
