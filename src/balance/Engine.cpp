#include "zinniarail/balance/Engine.h"

#include <algorithm>
#include <limits>

#include <boost/json.hpp>

#include "balance/State.h"

namespace zinniarail::balance {

namespace {

void on(Step step, const RequestArrived &event) { onArrival(step, event); }
void on(Step step, const AttemptEnded &event) { onEnded(step, event); }
void on(Step step, const ProbeEnded &event) { onProbe(step, event); }
void on(Step step, const CallerGone &event) { onGone(step, event); }
void on(Step step, const Suspected &event) { onSuspected(step, event); }
void on(Step step, const Condemned &event) { onCondemned(step, event); }
void on(Step, const Woken &) {}

} // namespace

void EngineDelete::operator()(Engine *engine) const { delete engine; }

EnginePtr makeEngine(ServicePlan plan, Random random,
                     std::uint64_t firstAttempt, Instant now) {
  EnginePtr engine(new Engine);
  engine->Plan = std::move(plan);
  engine->Draws = random;
  engine->NextAttempt = firstAttempt;
  // The first requests may meet a failure as well as later ones.
  engine->Budget.Tokens = capacityOf(engine->Plan.Budget);
  engine->ProbeTokens = std::numeric_limits<double>::max(); // All it can save.
  engine->ProbeTokensAt = now;
  putTargets(*engine, now);
  return engine;
}

void replan(Engine &engine, ServicePlan plan, Instant now, Actions &out) {
  const Step step{engine, now, out};
  engine.Plan = std::move(plan);
  putTargets(engine, now);
  dropUnplanned(engine);
  drain(step);
  tendUpstreams(step);
}

void handle(Engine &engine, const Event &event, Instant now, Actions &out) {
  const Step step{engine, now, out};
  // The event first: an answer that came in time must not lose to a timer.
  std::visit([&](const auto &it) { on(step, it); }, event);
  runTimers(step);
  drain(step);
  tendUpstreams(step);
}

Instant nextWake(const Engine &engine) {
  Instant next = nextTending(engine);
  if (!engine.Timers.empty()) {
    next = std::min(next, engine.Timers.begin()->first);
  }
  if (!engine.Queue.empty()) {
    next = std::min(next, engine.LookAgainAt);
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
                         {"running", it.Running.size()},
                         {"reportedRunning", it.Load.Report.Running},
                         {"reportedWaiting", it.Load.Report.Waiting},
                         {"slowness", it.Load.Report.Slowness},
                         {"drag", dragNow(it, now)},
                         {"ejected", isEjected(it, now)},
                         {"cold", isCold(it, now)}});
  }
  const EngineCounters &n = engine.Counters;
  return {{"service", engine.Plan.Service},
          {"open", engine.Requests.size()},
          {"waiting", engine.Queue.size()},
          {"retryTokens", engine.Budget.Tokens},
          {"meanSlowness", engine.MeanSlowness},
          {"upstreams", std::move(upstreams)},
          {"requests", n.Requests},
          {"delivered", n.Delivered},
          {"refused", n.Refused},
          {"attempts", n.Attempts},
          {"hedges", n.Hedges},
          {"retries", n.Retries},
          {"probes", n.Probes},
          {"ejections", n.Ejections},
          {"condemned", n.Condemned}};
}

const char *nameOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::NoUpstream:
    return "no-upstream";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::UpstreamFailed:
    return "upstream-failed";
  }
  return "";
}

const char *nameOf(Truth truth) {
  switch (truth) {
  case Truth::Ran:
    return "ran";
  case Truth::DidNotRun:
    return "did-not-run";
  case Truth::Unknown:
    return "unknown";
  }
  return "";
}

const char *nameOf(Choice::Grounds grounds) {
  switch (grounds) {
  case Choice::Grounds::Known:
    return "known";
  case Choice::Grounds::Guessed:
    return "guessed";
  case Choice::Grounds::Unreported:
    return "unreported";
  }
  return "";
}

const char *nameOf(Noticed::What what) {
  switch (what) {
  case Noticed::What::Ejected:
    return "ejected";
  case Noticed::What::Back:
    return "back";
  case Noticed::What::Cold:
    return "cold";
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
