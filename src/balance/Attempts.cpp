// Attempts: start, hedging, and what their outcome means for the request and
// the upstream.
#include "balance/State.h"

#include <algorithm>
#include <utility>

namespace zinniarail::balance {

namespace {

constexpr unsigned FirstServerError = 500;

// A hedge starts when the first attempt has run for this multiple of its
// expected time, and at least MinHedgeMargin longer than expected.
constexpr double HedgeFactor = 2.5;
constexpr Duration MinHedgeMargin = std::chrono::milliseconds{20};

// Interval between two searches for an upstream that can take a hedge; the
// upstreams that are probed for it answer within this time.
constexpr Duration HedgeRetryInterval = std::chrono::milliseconds{10};

// Retry tokens that hedges leave for retries. Hedges leave fewer if the
// bucket's capacity is below 3.
constexpr double MaxHedgeReserve = 1;

double hedgeReserve(const Engine &engine) {
  const double saved = maxTokens(engine.Plan.Budget) - 1;
  return std::min(MaxHedgeReserve, saved / 2);
}

// How long a request waits at most for the health check that shows whether it
// crashed its upstream. A health check usually takes a millisecond or two.
constexpr Duration CrashCheckTimeout = std::chrono::milliseconds{20};

// Broken attempts after which a request is not retried: the request itself may
// be the cause.
constexpr unsigned MaxBrokenAttempts = 2;

Execution combine(Execution a, Execution b) {
  if (a == Execution::Ran || b == Execution::Ran) {
    return Execution::Ran;
  }
  return a == Execution::Unknown || b == Execution::Unknown
             ? Execution::Unknown
             : Execution::DidNotRun;
}

Execution executionOf(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Answered:
    return Execution::Ran;
  case AttemptEnd::NotSent:
  case AttemptEnd::RefusedUnrun:
  case AttemptEnd::Misdirected:
    return Execution::DidNotRun;
  case AttemptEnd::Broken:
    break;
  }
  return Execution::Unknown;
}

bool isServerError(const AttemptEnded &event) {
  return event.End == AttemptEnd::Answered && event.Status >= FirstServerError;
}

constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

// These statuses tell a caller that its request did not run and may be sent
// again. An upstream's response with one that doesn't say so itself ended a
// request that may have run.
bool wouldBeRepeated(const RequestState &request, const AttemptEnded &event) {
  return event.End == AttemptEnd::Answered && !request.Policy.Idempotent &&
         (event.Status == RequestTimeout || event.Status == TooManyRequests ||
          event.Status == Unavailable);
}

// Whether the request's own limits allow another attempt. An attempt that sent
// nothing doesn't count against them.
bool mayRetry(const RequestState &request, const AttemptEnded &event) {
  if (event.End == AttemptEnd::NotSent) {
    return true;
  }
  const bool unrun = executionOf(event.End) == Execution::DidNotRun;
  return request.AttemptsSent < request.Policy.MaxAttempts &&
         (unrun || request.Policy.Idempotent) &&
         request.BrokenAttempts < MaxBrokenAttempts;
}

// Queues the request for another attempt.
// \returns false if its policy or the retry budget doesn't allow one.
bool scheduleRetry(Step step, RequestState &request,
                   const AttemptEnded &event) {
  Engine &engine = step.State;
  if (!mayRetry(request, event)) {
    return false;
  }
  if (event.End != AttemptEnd::NotSent) {
    if (!maySpend(engine.Budget, 0)) {
      if (!std::exchange(engine.BudgetExhaustionReported, true)) {
        step.Output.emplace_back(RetryBudgetExhausted{});
      }
      return false;
    }
    engine.BudgetExhaustionReported = false;
    spendToken(engine.Budget);
    ++engine.Counters.Retries;
  }
  enqueue(step, request);
  return true;
}

void handleAttemptOutcome(Step step, RequestState &request,
                          const std::string &upstream,
                          const AttemptEnded &event) {
  std::erase(request.RunningAttempts, event.Attempt);
  if (event.End == AttemptEnd::Broken) {
    ++request.BrokenAttempts;
    request.CrashCheckUpstream = upstream;
    request.CrashCheckDeadline = step.Now + CrashCheckTimeout;
  }
  const bool mayDeliver =
      event.End == AttemptEnd::Answered && !wouldBeRepeated(request, event);
  if (mayDeliver && !isServerError(event)) {
    return deliver(step, request, event.Attempt);
  }
  if (event.End == AttemptEnd::NotSent && request.AttemptsSent > 0) {
    --request.AttemptsSent; // Nothing was sent.
  }
  if (!request.RunningAttempts.empty()) { // Another attempt is still running.
    request.PriorExecution =
        combine(request.PriorExecution, executionOf(event.End));
    return;
  }
  if (scheduleRetry(step, request, event)) {
    request.PriorExecution =
        combine(request.PriorExecution, executionOf(event.End));
    return;
  }
  if (mayDeliver) {
    return deliver(step, request, event.Attempt);
  }
  request.PriorExecution =
      combine(request.PriorExecution, executionOf(event.End));
  const bool unrun = request.PriorExecution == Execution::DidNotRun;
  refuse(step, request,
         unrun ? RefusalReason::Overloaded : RefusalReason::UpstreamFailed);
}

// EWMA weight of one response in LastSlotFactor.
constexpr double LastSlotFactorSmoothing = 1.0 / 16;

void updateLastSlotFactor(Engine &engine, const AttemptState &attempt,
                          Duration took) {
  const double usual = engine.ServiceTimes[attempt.Route].Micros;
  if (usual <= 0 || attempt.ReportedSlowness <= 0) {
    return;
  }
  const double factor =
      static_cast<double>(took.count()) / (usual * attempt.ReportedSlowness);
  engine.LastSlotFactor +=
      (factor - engine.LastSlotFactor) * LastSlotFactorSmoothing;
}

// Updates the upstream's health and estimates by an attempt's outcome.
void updateUpstream(Step step, UpstreamState &upstream,
                    const AttemptState &attempt, const AttemptEnded &event) {
  Engine &engine = step.State;
  const Duration took = step.Now - attempt.Started;
  if (event.Report) {
    recordLoadReport(engine, upstream, *event.Report, step.Now);
  }
  if (event.RetryAfter) {
    recordRefusal(step, upstream, *event.RetryAfter);
  }
  if (event.End == AttemptEnd::Answered ||
      event.End == AttemptEnd::RefusedUnrun) {
    recordRateLimit(step, upstream, event.RateLimit);
  }
  switch (event.End) {
  case AttemptEnd::Answered:
    if (isServerError(event)) {
      return recordFailure(step, upstream, false, "server error");
    }
    recordHarmless(step, attempt.Fingerprint);
    recordSuccess(upstream);
    if (!event.Report) {
      engine.ReportsLoad = false;
    }
    if (attempt.OnLastSlot) {
      updateLastSlotFactor(engine, attempt, took);
    } else if (attempt.ReportedSlowness > 0) {
      updateServiceTime(engine.ServiceTimes[attempt.Route], took,
                        attempt.ReportedSlowness);
      const auto expected = static_cast<double>(
          std::max(attempt.ExpectedTime, Duration{1000}).count());
      updateResidualSlowdown(
          upstream, static_cast<double>(took.count()) / expected, step.Now);
    }
    return;
  case AttemptEnd::NotSent:
    if (!attempt.Cancelled) {
      recordFailure(step, upstream, true, "not reachable");
    }
    return;
  case AttemptEnd::RefusedUnrun:
    if (isRefusing(upstream, step.Now)) {
      return; // It works, and says when it takes requests again.
    }
    return recordFailure(step, upstream, false, "refused a request");
  case AttemptEnd::Misdirected:
    return recordFailure(step, upstream, true,
                         "another upstream has its address");
  case AttemptEnd::Broken:
    if (attempt.Cancelled) {
      return;
    }
    recordFailure(step, upstream, false,
                  "connection lost before a complete response");
    startCrashCheck(
        step, upstream,
        {attempt.Fingerprint, attempt.Started, step.Now, event.StaleKeepAlive});
  }
}

} // namespace

void startAttempt(Step step, RequestState &request, const Placement &found,
                  bool isHedge) {
  Engine &engine = step.State;
  UpstreamState &upstream = *found.Upstream;
  const AttemptId id{engine.NextAttempt++};
  const bool wasTriedBefore = wasTried(request, upstream);
  AttemptState attempt;
  attempt.Request = request.Id;
  attempt.Upstream = upstream.Plan.Id;
  attempt.Route = request.Policy.Route;
  attempt.Fingerprint = request.Fingerprint;
  attempt.Started = step.Now;
  attempt.ExpectedTime = found.Reason.ExpectedTime;
  const bool known = isFresh(upstream.Load, step.Now);

  attempt.OnLastSlot =
      upstream.Plan.Slots > 1 && known &&
      found.Reason.ExpectedInFlight + 1.5 > upstream.Plan.Slots;
  if (attempt.OnLastSlot) {
    engine.LastSlotUsedAt = step.Now;
  }
  attempt.ReportedSlowness =
      known ? upstream.Load.Report.Slowness : (engine.ReportsLoad ? 0 : 1);
  upstream.RunningAttempts.push_back(id);
  request.RunningAttempts.push_back(id);
  request.TriedUpstreams.push_back(upstream.Plan.Id);
  ++request.AttemptsSent;
  ++engine.Counters.Attempts;
  engine.LastAttemptAt = step.Now;
  if (!isHedge) {
    recordStart(engine.Room, request.Policy.Priority);
    recordService(engine.Shares, request.Policy.Customer,
                  request.Policy.CustomerWeight,
                  usualServiceTime(engine, request));
  }
  paceColdRequests(engine, upstream, step.Now);
  paceLimitedRequests(engine, upstream, step.Now);
  const bool mayHedge = request.Policy.Idempotent &&
                        request.AttemptsSent < request.Policy.MaxAttempts;
  if (mayHedge) {
    const auto delay = std::max<Duration>(
        Duration(static_cast<Duration::rep>(
            static_cast<double>(attempt.ExpectedTime.count()) * HedgeFactor)),
        attempt.ExpectedTime + MinHedgeMargin);
    scheduleHedge(engine, request, step.Now + delay);
  }
  engine.Attempts.emplace(numberOf(id), std::move(attempt));
  StartAttempt action{id, request.Id, upstream.Plan.Id, request.Deadline,
                      found.Reason};
  action.NewConnection =
      wasTriedBefore || isSuspect(engine, request.Fingerprint, step.Now);
  action.Reason.IsHedge = isHedge;
  action.Reason.IsRetry = !isHedge && request.TriedUpstreams.size() > 1;
  step.Output.emplace_back(std::move(action));
}

void cancelRunningAttempts(Step step, RequestState &request) {
  for (const AttemptId id : request.RunningAttempts) {
    AttemptState &it = step.State.Attempts.at(numberOf(id));
    if (!it.Cancelled) {
      it.Cancelled = true;
      step.Output.emplace_back(CancelAttempt{id});
    }
  }
}

void cancelExpiredAttempts(Step step) {
  auto &abandoned = step.State.AbandonedAttempts;
  while (!abandoned.empty() && abandoned.begin()->first <= step.Now) {
    const std::uint64_t number = abandoned.begin()->second;
    abandoned.erase(abandoned.begin());
    const auto it = step.State.Attempts.find(number);
    if (it != step.State.Attempts.end() && !it->second.Cancelled) {
      it->second.Cancelled = true;
      step.Output.emplace_back(CancelAttempt{AttemptId{number}});
    }
  }
}

void startHedge(Step step, RequestState &request) {
  Engine &engine = step.State;
  if (request.RunningAttempts.size() != 1 ||
      request.AttemptsSent >= request.Policy.MaxAttempts ||
      isSuspect(engine, request.Fingerprint, step.Now)) {
    return;
  }
  Placement found;
  if (engine.Queue.empty() && maySpend(engine.Budget, hedgeReserve(engine))) {
    found = placeRequest(engine, request, true, step.Now);
  }
  if (found.Decision != Placement::Kind::Send ||
      wasTried(request, *found.Upstream)) {
    for (UpstreamState *it : found.Probes) {
      sendProbe(step, *it);
    }
    return scheduleHedge(engine, request, step.Now + HedgeRetryInterval);
  }
  spendToken(engine.Budget);
  ++engine.Counters.Hedges;
  startAttempt(step, request, found, true);
}

void onAttemptEnded(Step step, const AttemptEnded &event) {
  Engine &engine = step.State;
  const auto it = engine.Attempts.find(numberOf(event.Attempt));
  if (it == engine.Attempts.end()) {
    return;
  }
  const AttemptState attempt = std::move(it->second);
  engine.Attempts.erase(it);
  UpstreamState &upstream = engine.Upstreams.at(attempt.Upstream);
  std::erase(upstream.RunningAttempts, event.Attempt);
  updateUpstream(step, upstream, attempt, event);
  const auto request = engine.Requests.find(numberOf(attempt.Request));
  if (request != engine.Requests.end()) {
    handleAttemptOutcome(step, request->second, attempt.Upstream, event);
  }
  dropUnplanned(engine, step.Now);
}

} // namespace zinniarail::balance
