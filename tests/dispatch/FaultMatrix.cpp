#include "dispatch/FaultMatrix.h"

namespace zinniarail::testing {

namespace {

constexpr RequestId Subject{1000};
constexpr unsigned UpstreamCount = 3;
constexpr unsigned SlotCount = 2;
constexpr Duration Patience = 10s;
constexpr Duration ViewLifetime = 3s;
// Far more than a request needs; a play that does not end by then never does.
constexpr unsigned MostRounds = 40;

ServicePlan makeMatrixPlan() {
  ServicePlan plan = makePlan(UpstreamCount, SlotCount);
  plan.Spec.HedgeShare = 0.5;
  plan.Spec.RetryShare = 0.5;
  return plan;
}

} // namespace

const char *nameOf(LifeStep step) {
  constexpr const char *names[] = {"claiming", "queued", "dispatched",
                                   "sent",     "hedged", "answered"};
  return names[static_cast<int>(step)];
}

const char *nameOf(Fault fault) {
  constexpr const char *names[] = {"upstream crashes",
                                   "upstream refuses",
                                   "upstream fails fast",
                                   "upstream freezes",
                                   "upstream turns cold",
                                   "upstream leaves",
                                   "failure domain out",
                                   "all failure domains out",
                                   "answer short or crossed",
                                   "answer late",
                                   "instance paused",
                                   "instance stops",
                                   "claim unavailable",
                                   "claim taken",
                                   "caller gone",
                                   "request quarantined"};
  return names[static_cast<int>(fault)];
}

LifePlay::LifePlay(LifeStep step, bool idempotent)
    : Engine(makeMatrixPlan(), Start + ViewLifetime), Plan(makeMatrixPlan()),
      Watch(makeMatrixPlan(), Start + ViewLifetime), Idempotent(idempotent) {
  for (unsigned n = 0; n < 200; ++n) { // Every upstream gets warm.
    Engine.Now += 5ms;
    tell(RequestArrived{RequestId{n}, "read", "", n, Engine.Now + Patience});
    answerAll();
  }
  const unsigned busy =
      step == LifeStep::Queued ? UpstreamCount * SlotCount : 1U;
  for (unsigned n = 0; n < busy; ++n) {
    tell(RequestArrived{RequestId{2000 + n}, "read", "", 2000 + n,
                        Engine.Now + 1min});
  }
  sendAll();
  tell(RequestArrived{Subject, idempotent ? "read" : "write", "key", 77,
                      Engine.Now + Patience});
  if (!idempotent && step != LifeStep::Claiming) {
    tell(ClaimDecided{Subject, ClaimVerdict::Granted});
  }
  if (step >= LifeStep::Sent) {
    sendAll();
  }
  if (step == LifeStep::Hedged) {
    Engine.Now = nextWake(*Engine.State);
    tell(Woken{});
    sendAll();
  }
  if (step == LifeStep::Answered) {
    Engine.Now += 5ms;
    answerAll();
  }
}

bool LifePlay::applies(Fault fault, LifeStep step) {
  switch (fault) {
  case Fault::ClaimUnavailable:
  case Fault::ClaimTaken:
    return step == LifeStep::Claiming;
  case Fault::UpstreamRefuses:
  case Fault::UpstreamFailsFast:
  case Fault::AnswerShortOrCrossed:
  case Fault::AnswerLate:
    return step == LifeStep::Sent || step == LifeStep::Hedged;
  default:
    return true;
  }
}

void LifePlay::tell(const Event &event) {
  if (const auto *it = std::get_if<AttemptEnded>(&event)) {
    if (Watch.Attempts.at(it->Attempt).Ended) {
      return;
    }
  }
  Watch.onEvent(event, Engine.Now);
  const Actions out = Engine.tell(event);
  for (const Action &action : out) {
    Watch.onAction(action, Engine.Now);
    if (const auto *it = std::get_if<Deliver>(&action);
        it != nullptr && it->Request == Subject) {
      Outcome = "delivered";
    }
    if (const auto *it = std::get_if<Refuse>(&action);
        it != nullptr && it->Request == Subject) {
      Outcome = std::string(zinniarail::nameOf(it->Reason)) + ", " +
                zinniarail::nameOf(it->Outcome);
    }
  }
}

void LifePlay::replan() {
  Watch.onPlan(Plan);
  Engine.Out.clear();
  zinniarail::replan(*Engine.State, Plan, Engine.Now, Engine.Out);
  const Actions out = Engine.Out;
  for (const Action &action : out) {
    Watch.onAction(action, Engine.Now);
    if (const auto *it = std::get_if<Refuse>(&action);
        it != nullptr && it->Request == Subject) {
      Outcome = std::string(zinniarail::nameOf(it->Reason)) + ", " +
                zinniarail::nameOf(it->Outcome);
    }
  }
}

void LifePlay::end(AttemptId id, AttemptEnd how, unsigned status,
                   LoadReport report) {
  tell(AttemptEnded{id, how, status, how == AttemptEnd::Answered, report});
}

std::vector<AttemptId> LifePlay::live(const std::string &upstream) const {
  std::vector<AttemptId> ids;
  for (const auto &[id, it] : Watch.Attempts) {
    if (!it.Ended && (upstream.empty() || it.Upstream == upstream)) {
      ids.push_back(id);
    }
  }
  return ids;
}

// The upstream that the fault happens on: the request's first, or a busy one.
std::string LifePlay::upstreamOfRequest() const {
  for (const auto &[id, it] : Watch.Attempts) {
    if (it.Request == Subject) {
      return it.Upstream;
    }
  }
  const auto running = live("");
  return running.empty() ? "u0" : Watch.Attempts.at(running.front()).Upstream;
}

void LifePlay::endAllOn(const std::string &upstream, AttemptEnd sentEnd) {
  for (const AttemptId id : live(upstream)) {
    end(id, Watch.Attempts.at(id).Sent ? sentEnd : AttemptEnd::NotSent);
  }
}

void LifePlay::sendAll() {
  for (const AttemptId id : live("")) {
    const SeenAttempt &it = Watch.Attempts.at(id);
    if (!it.Sent && !it.Cancelled) {
      tell(AttemptSent{id});
    }
  }
}

void LifePlay::answerAll() {
  sendAll();
  for (const AttemptId id : live("")) {
    const SeenAttempt it = Watch.Attempts.at(id);
    if (it.Cancelled) {
      end(id, it.Sent ? AttemptEnd::Broken : AttemptEnd::NotSent);
    } else if (Frozen.count(it.Upstream) == 0) {
      end(id, AttemptEnd::Answered);
    }
  }
}

unsigned LifePlay::sent() const {
  unsigned n = 0;
  for (const auto &[id, it] : Watch.Attempts) {
    n += it.Request == Subject && it.Sent ? 1 : 0;
  }
  return n;
}

void LifePlay::inject(Fault fault) {
  const std::string upstream = upstreamOfRequest();
  const auto takeOut = [&](auto wanted) {
    for (Target &it : Plan.Targets) {
      it.InService = it.InService && !wanted(it.Spec.Id);
    }
    replan();
  };
  switch (fault) {
  case Fault::UpstreamCrashes:
  case Fault::AnswerShortOrCrossed:
    return endAllOn(upstream, AttemptEnd::Broken);
  case Fault::UpstreamRefuses:
    return endAllOn(upstream, AttemptEnd::RefusedUnrun);
  case Fault::UpstreamFailsFast:
    for (const AttemptId id : live(upstream)) {
      end(id, AttemptEnd::Answered, 500);
    }
    return;
  case Fault::UpstreamFreezes:
  case Fault::AnswerLate:
    Frozen.insert(upstream);
    return;
  case Fault::UpstreamTurnsCold:
    for (const AttemptId id : live(upstream)) {
      if (Watch.Attempts.at(id).Request != Subject) {
        end(id, AttemptEnd::Answered, 200, {.Incarnation = 9, .Cold = true});
      }
    }
    return;
  case Fault::UpstreamLeaves:
    return takeOut([&](const std::string &id) { return id == upstream; });
  case Fault::DomainOut:
    return takeOut([](const std::string &id) { return id != "u2"; });
  case Fault::AllDomainsOut:
    return takeOut([](const std::string &) { return true; });
  case Fault::InstancePaused:
    Engine.Now += ViewLifetime + 1s;
    return tell(Woken{});
  case Fault::InstanceStops:
    return tell(StopBegun{});
  case Fault::ClaimUnavailable:
    return tell(ClaimDecided{Subject, ClaimVerdict::Unavailable});
  case Fault::ClaimTaken:
    return tell(ClaimDecided{Subject, ClaimVerdict::Taken});
  case Fault::CallerGone:
    if (Outcome == "no answer") {
      Outcome = "gone";
      tell(CallerGone{Subject});
    }
    return;
  case Fault::RequestQuarantined:
    return tell(PeerWord{.What = PeerWord::Kind::Quarantine,
                         .Upstream = "u0",
                         .Fingerprint = 77});
  }
}

std::string LifePlay::finish() {
  if (!Idempotent && Outcome == "no answer") {
    tell(ClaimDecided{Subject, ClaimVerdict::Granted});
  }
  for (unsigned n = 0; n < MostRounds; ++n) {
    Engine.Now += 5ms;
    answerAll();
    if (Outcome == "no answer") {
      const Instant wake = nextWake(*Engine.State);
      Engine.Now =
          wake == Instant::max() ? Engine.Now : std::max(Engine.Now, wake);
      tell(Woken{});
    }
  }
  Frozen.clear(); // Late answers come after all.
  for (unsigned n = 0; n < MostRounds; ++n) {
    Engine.Now += 5ms;
    answerAll();
    tell(Woken{});
  }
  Engine.Now += 1h;
  tell(Woken{});
  Watch.onEnd();
  return Outcome;
}

} // namespace zinniarail::testing
