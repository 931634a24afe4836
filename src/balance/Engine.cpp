#include "zinniarail/balance/Engine.h"

#include <algorithm>
#include <limits>

#include <boost/json.hpp>

#include "balance/State.h"

namespace zinniarail::balance {

namespace {

void dispatch(Step step, const RequestArrived &event) {
  onArrival(step, event);
}
void dispatch(Step step, const AttemptEnded &event) {
  onAttemptEnded(step, event);
}
void dispatch(Step step, const ProbeEnded &event) { onProbeEnded(step, event); }
void dispatch(Step step, const CallerGone &event) { onCallerGone(step, event); }
void dispatch(Step step, const PeerSuspected &event) {
  applyNotice(*step.State.CrashQuarantine, event, step.Now);
}
void dispatch(Step step, const PeerQuarantined &event) {
  applyNotice(*step.State.CrashQuarantine, event, step.Now);
}
void dispatch(Step step, const PeerCleared &event) {
  applyNotice(*step.State.CrashQuarantine, event, step.Now);
}
void dispatch(Step step, const PeerLimitEnded &event) {
  onPeerLimitEnded(step, event);
}
void dispatch(Step step, const ReachChanged &event) {
  onReachChanged(step, event);
}
void dispatch(Step, const TimerExpired &) {}

} // namespace

void EngineDelete::operator()(Engine *engine) const { delete engine; }

EnginePtr makeEngine(ServicePlan plan, Random random,
                     std::uint64_t firstAttempt, Instant now,
                     std::shared_ptr<Quarantine> quarantine) {
  EnginePtr engine(new Engine);
  engine->CrashQuarantine =
      quarantine ? std::move(quarantine) : std::make_shared<Quarantine>();
  engine->Plan = std::move(plan);
  engine->Rng = random;
  engine->NextAttempt = firstAttempt;
  // The buckets start full: the first requests may fail as well as later ones.
  engine->Budget.Tokens = maxTokens(engine->Plan.Budget);
  engine->ProbeTokens = std::numeric_limits<double>::max(); // Full.
  engine->ProbeTokensUpdatedAt = now;
  engine->Room.UpdatedAt = now;
  applyPlan(*engine, now);
  return engine;
}

void updatePlan(Engine &engine, ServicePlan plan, Instant now, Actions &out) {
  const Step step{engine, now, out};
  const bool fleetChanged = engine.Plan.Instances != plan.Instances;
  engine.Plan = std::move(plan);
  applyPlan(engine, now);
  if (fleetChanged) {
    updateLimitShares(engine, now);
  }
  dropUnplanned(engine, now);
  dispatchQueue(step);
  probeEjectedUpstreams(step);
}

void handleEvent(Engine &engine, const Event &event, Instant now,
                 Actions &out) {
  const Step step{engine, now, out};
  // The event goes first: a response that came in time must not lose to a
  // deadline that expires at the same moment.
  std::visit([&](const auto &it) { dispatch(step, it); }, event);
  runTimers(step);
  refuseAllIfStopped(step);
  cancelExpiredAttempts(step);
  dispatchQueue(step);
  probeEjectedUpstreams(step);
}

Instant nextTimer(const Engine &engine) {
  Instant next = nextEjectedProbe(engine);
  if (!engine.Timers.empty()) {
    next = std::min(next, engine.Timers.begin()->first);
  }
  if (!engine.AbandonedAttempts.empty()) {
    next = std::min(next, engine.AbandonedAttempts.begin()->first);
  }
  if (!engine.Queue.empty()) {
    next = std::min(next, engine.QueueRecheckAt);
  }
  if (!engine.Requests.empty()) {
    next = std::min(next, engine.Plan.StopsAt);
  }
  return next;
}

std::size_t openRequests(const Engine &engine) {
  return engine.Requests.size();
}

std::size_t waitingRequests(const Engine &engine) {
  return engine.Queue.size();
}

double retryTokens(const Engine &engine) { return engine.Budget.Tokens; }

const EngineCounters &countersOf(const Engine &engine) {
  return engine.Counters;
}

boost::json::object describe(const Engine &engine, Instant now) {
  boost::json::array upstreams;
  for (const auto &[id, it] : engine.Upstreams) {
    upstreams.push_back({{"id", id},
                         {"domain", it.Plan.Domain},
                         {"planned", it.Planned},
                         {"running", it.RunningAttempts.size()},
                         {"reportedRunning", it.Load.Report.Running},
                         {"reportedWaiting", it.Load.Report.Waiting},
                         {"slowness", it.Load.Report.Slowness},
                         {"drag", currentResidualSlowdown(it, now)},
                         {"ejected", isEjected(it, now)},
                         {"cold", isCold(it, now)},
                         {"refusing", isRefusing(it, now)},
                         {"rateLimit", it.RateLimit.value_or(0)}});
  }
  const EngineCounters &n = engine.Counters;
  return {{"service", engine.Plan.Service},
          {"anyReachable", engine.AnyReachable},
          {"open", engine.Requests.size()},
          {"waiting", engine.Queue.size()},
          {"retryTokens", engine.Budget.Tokens},
          {"meanSlowness", engine.MeanSlowness},
          {"upstreams", std::move(upstreams)},
          {"requests", n.Requests},
          {"delivered", n.Delivered},
          {"refused", n.Refused},
          {"yielded", n.Yielded},
          {"attempts", n.Attempts},
          {"hedges", n.Hedges},
          {"retries", n.Retries},
          {"probes", n.Probes},
          {"ejections", n.Ejections},
          {"condemned", n.Quarantined}};
}

const char *nameOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::NoUpstream:
    return "no-upstream";
  case RefusalReason::Unreachable:
    return "unreachable";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::UpstreamFailed:
    return "upstream-failed";
  case RefusalReason::Stopping:
    return "stopping";
  }
  return "";
}

const char *nameOf(Execution execution) {
  switch (execution) {
  case Execution::Ran:
    return "ran";
  case Execution::DidNotRun:
    return "did-not-run";
  case Execution::Unknown:
    return "unknown";
  }
  return "";
}

const char *nameOf(PlacementReason::LoadKnowledge knowledge) {
  switch (knowledge) {
  case PlacementReason::LoadKnowledge::Known:
    return "known";
  case PlacementReason::LoadKnowledge::Guessed:
    return "guessed";
  case PlacementReason::LoadKnowledge::Unreported:
    return "unreported";
  }
  return "";
}

const char *nameOf(UpstreamStatusChanged::Status status) {
  switch (status) {
  case UpstreamStatusChanged::Status::Ejected:
    return "ejected";
  case UpstreamStatusChanged::Status::Readmitted:
    return "back";
  case UpstreamStatusChanged::Status::Cold:
    return "cold";
  case UpstreamStatusChanged::Status::Refusing:
    return "refusing";
  case UpstreamStatusChanged::Status::Limited:
    return "limited";
  case UpstreamStatusChanged::Status::Unlimited:
    return "unlimited";
  }
  return "";
}

const char *nameOf(CrashChecked::Verdict verdict) {
  switch (verdict) {
  case CrashChecked::Verdict::Skipped:
    return "skipped";
  case CrashChecked::Verdict::Reached:
    return "reached";
  case CrashChecked::Verdict::Gone:
    return "gone";
  }
  return "";
}

const char *nameOf(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::NotSent:
    return "not-sent";
  case AttemptEnd::RefusedUnrun:
    return "refused-unrun";
  case AttemptEnd::Misdirected:
    return "misdirected";
  case AttemptEnd::Broken:
    return "broken";
  }
  return "";
}

} // namespace zinniarail::balance
