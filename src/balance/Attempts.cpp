// Attempts from their start to what their end means for the request.
#include "balance/State.h"

#include <algorithm>
#include <utility>

namespace zinniarail::balance {

namespace {

constexpr unsigned FirstServerError = 500;

// A second try begins when the first has run this many times as long as it was
// expected to, and this much longer at least.
constexpr double HedgeFactor = 2.5;
constexpr Duration HedgeMargin = std::chrono::milliseconds{20};

// Between two looks for an upstream that could take a second try; those that
// were asked how they are answer within it.
constexpr Duration HedgePause = std::chrono::milliseconds{10};

// Repeats that hedges leave for failures, where as many can be saved up.
constexpr double HedgeReserve = 1;

double hedgeReserve(const Engine &engine) {
  const double saved = capacityOf(engine.Plan.Budget) - 1;
  return std::min(HedgeReserve, saved / 2);
}

// How long a request waits at most to hear whether it crashed its upstream: an
// answer takes a millisecond or two.
constexpr Duration VerdictTime = std::chrono::milliseconds{20};

// Upstreams that may break under one request; it may be what breaks them.
constexpr unsigned MostBroken = 2;

Truth combine(Truth a, Truth b) {
  if (a == Truth::Ran || b == Truth::Ran) {
    return Truth::Ran;
  }
  return a == Truth::Unknown || b == Truth::Unknown ? Truth::Unknown
                                                    : Truth::DidNotRun;
}

Truth truthOf(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Answered:
    return Truth::Ran;
  case AttemptEnd::NotSent:
  case AttemptEnd::RefusedUnrun:
  case AttemptEnd::Misdirected:
    return Truth::DidNotRun;
  case AttemptEnd::Broken:
    break;
  }
  return Truth::Unknown;
}

bool isServerError(const AttemptEnded &event) {
  return event.End == AttemptEnd::Answered && event.Status >= FirstServerError;
}

// Whether the request may go to another upstream, as far as it is concerned.
bool mayRepeat(const RequestState &request, const AttemptEnded &event) {
  if (event.End == AttemptEnd::NotSent) {
    return true;
  }
  const bool unrun = truthOf(event.End) == Truth::DidNotRun;
  return request.Sent < request.Treatment.MaxAttempts &&
         (unrun || request.Treatment.Idempotent) && request.Broke < MostBroken;
}

// \returns whether the request waits for another try now.
bool repeat(Step step, RequestState &request, const AttemptEnded &event) {
  Engine &engine = step.Self;
  if (!mayRepeat(request, event)) {
    return false;
  }
  if (event.End != AttemptEnd::NotSent) {
    if (!maySpend(engine.Budget, 0)) {
      if (!std::exchange(engine.BudgetTold, true)) {
        step.Out.emplace_back(BudgetEmpty{});
      }
      return false;
    }
    engine.BudgetTold = false;
    spend(engine.Budget);
    ++engine.Counters.Retries;
  }
  enqueue(step, request);
  return true;
}

void settle(Step step, RequestState &request, const AttemptEnded &event) {
  std::erase(request.Live, event.Attempt);
  if (event.End == AttemptEnd::Broken) {
    ++request.Broke;
    request.VerdictFrom = request.Tried.back();
    request.VerdictUntil = step.Now + VerdictTime;
  }
  const bool good = event.End == AttemptEnd::Answered && !isServerError(event);
  if (good) {
    return deliver(step, request, event.Attempt);
  }
  if (event.End == AttemptEnd::NotSent && request.Sent > 0) {
    --request.Sent; // It never got there.
  }
  if (!request.Live.empty()) { // Another try is under way.
    request.Past = combine(request.Past, truthOf(event.End));
    return;
  }
  if (repeat(step, request, event)) {
    request.Past = combine(request.Past, truthOf(event.End));
    return;
  }
  if (event.End == AttemptEnd::Answered) {
    return deliver(step, request, event.Attempt);
  }
  request.Past = combine(request.Past, truthOf(event.End));
  const bool unrun = request.Past == Truth::DidNotRun;
  refuse(step, request,
         unrun ? RefusalReason::Overloaded : RefusalReason::UpstreamFailed);
}

// Weight of one response in the estimate of what the last slot costs.
constexpr double LastSlotWeight = 1.0 / 16;

void noteLastSlot(Engine &engine, const AttemptState &attempt, Duration took) {
  const double usual = engine.Work[attempt.Route].Micros;
  if (usual <= 0 || attempt.Slowness <= 0) {
    return;
  }
  const double factor =
      static_cast<double>(took.count()) / (usual * attempt.Slowness);
  engine.LastSlotFactor += (factor - engine.LastSlotFactor) * LastSlotWeight;
}

// What an attempt's end says of its upstream.
void observe(Step step, UpstreamState &upstream, const AttemptState &attempt,
             const AttemptEnded &event) {
  Engine &engine = step.Self;
  const Duration took = step.Now - attempt.Started;
  if (event.Report) {
    takeReport(engine, upstream, *event.Report, step.Now);
  }
  switch (event.End) {
  case AttemptEnd::Answered:
    noteHarmless(engine, attempt.Fingerprint);
    if (isServerError(event)) {
      return noteFailure(step, upstream, false, "answered with an error");
    }
    noteGood(upstream);
    if (!event.Report) {
      engine.TellsLoad = false;
    }
    if (attempt.OnLastSlot) {
      noteLastSlot(engine, attempt, took);
    } else if (attempt.Slowness > 0) {
      noteWork(engine.Work[attempt.Route], took, attempt.Slowness);
      const auto expected = static_cast<double>(
          std::max(attempt.Expected, Duration{1000}).count());
      noteDrag(upstream, static_cast<double>(took.count()) / expected,
               step.Now);
    }
    return;
  case AttemptEnd::NotSent:
    if (!attempt.Cancelled) {
      noteFailure(step, upstream, true, "could not be reached");
    }
    return;
  case AttemptEnd::RefusedUnrun:
    return noteFailure(step, upstream, false, "refused a request");
  case AttemptEnd::Misdirected:
    return noteFailure(step, upstream, true, "has another identity");
  case AttemptEnd::Broken:
    if (attempt.Cancelled) {
      return;
    }
    noteFailure(step, upstream, false, "broke off a response");
    if (!event.KeptAndSilent) {
      suspectCrash(step, upstream, attempt.Fingerprint);
    }
  }
}

} // namespace

void startAttempt(Step step, RequestState &request, const Placement &found,
                  bool isHedge) {
  Engine &engine = step.Self;
  UpstreamState &upstream = *found.Upstream;
  const AttemptId id{engine.NextAttempt++};
  AttemptState attempt;
  attempt.Request = request.Id;
  attempt.Upstream = upstream.Plan.Id;
  attempt.Route = request.Treatment.Route;
  attempt.Fingerprint = request.Fingerprint;
  attempt.Started = step.Now;
  attempt.Expected = found.Why.Expected;
  const bool known = isFresh(upstream.Load, step.Now);

  attempt.OnLastSlot = upstream.Plan.Slots > 1 && known &&
                       found.Why.Busy + 1.5 > upstream.Plan.Slots;
  if (attempt.OnLastSlot) {
    engine.LastSlotTriedAt = step.Now;
  }
  attempt.Slowness =
      known ? upstream.Load.Report.Slowness : (engine.TellsLoad ? 0 : 1);
  upstream.Running.push_back(id);
  request.Live.push_back(id);
  request.Tried.push_back(upstream.Plan.Id);
  ++request.Sent;
  ++engine.Counters.Attempts;
  engine.SentAt = step.Now;
  paceCold(engine, upstream, step.Now);
  const bool mayHedge = request.Treatment.Idempotent &&
                        request.Sent < request.Treatment.MaxAttempts;
  if (mayHedge) {
    const auto delay = std::max<Duration>(
        Duration(static_cast<Duration::rep>(
            static_cast<double>(attempt.Expected.count()) * HedgeFactor)),
        attempt.Expected + HedgeMargin);
    setHedge(engine, request, step.Now + delay);
  }
  engine.Attempts.emplace(numberOf(id), std::move(attempt));
  StartAttempt action{id, request.Id, upstream.Plan.Id, request.Deadline,
                      found.Why};
  action.Why.Hedge = isHedge;
  action.Why.Repeat = !isHedge && request.Tried.size() > 1;
  step.Out.emplace_back(std::move(action));
}

void cancelLive(Step step, RequestState &request) {
  for (const AttemptId id : request.Live) {
    AttemptState &it = step.Self.Attempts.at(numberOf(id));
    if (!it.Cancelled) {
      it.Cancelled = true;
      step.Out.emplace_back(CancelAttempt{id});
    }
  }
}

void hedge(Step step, RequestState &request) {
  Engine &engine = step.Self;
  if (request.Live.size() != 1 ||
      request.Sent >= request.Treatment.MaxAttempts ||
      isSuspect(engine, request.Fingerprint, step.Now)) {
    return;
  }
  Placement found;
  if (engine.Queue.empty() && maySpend(engine.Budget, hedgeReserve(engine))) {
    found = place(engine, request, true, step.Now);
  }
  if (found.What != Placement::Kind::Send ||
      std::find(request.Tried.begin(), request.Tried.end(),
                found.Upstream->Plan.Id) != request.Tried.end()) {
    for (UpstreamState *it : found.Probes) {
      probe(step, *it);
    }
    return setHedge(engine, request, step.Now + HedgePause);
  }
  spend(engine.Budget);
  ++engine.Counters.Hedges;
  startAttempt(step, request, found, true);
}

void onEnded(Step step, const AttemptEnded &event) {
  Engine &engine = step.Self;
  const auto it = engine.Attempts.find(numberOf(event.Attempt));
  if (it == engine.Attempts.end()) {
    return;
  }
  const AttemptState attempt = std::move(it->second);
  engine.Attempts.erase(it);
  UpstreamState &upstream = engine.Upstreams.at(attempt.Upstream);
  std::erase(upstream.Running, event.Attempt);
  observe(step, upstream, attempt, event);
  const auto request = engine.Requests.find(numberOf(attempt.Request));
  if (request != engine.Requests.end()) {
    settle(step, request->second, event);
  }
  dropUnplanned(engine);
}

} // namespace zinniarail::balance
