#include "dispatch/Checker.h"

#include <algorithm>

namespace zinniarail::testing {

namespace {

// The reserve of extra tries beyond the share of requests.
constexpr double Reserve = 10;

constexpr unsigned ColdReportsBelieved = 3;

// Good answers before a cold upstream may have a second request in flight.
constexpr unsigned AnswersBeforeGrowth = 4;

// How long a request may be held for breaks that are refuted.
constexpr Duration Hold = 1s;

} // namespace

Checker::Checker(const ServicePlan &plan, Instant validUntil)
    : ValidUntil(validUntil) {
  onPlan(plan);
}

void Checker::turnCold(SeenUpstream &upstream) {
  upstream.Cold = true;
  upstream.MayTakeUp = false;
  upstream.SinceCold = 0;
  upstream.GoodSinceCold = 0;
  upstream.Old.clear();
  for (const auto &[id, it] : Attempts) {
    if (!it.Ended && it.Upstream == upstream.Plan.Spec.Id) {
      upstream.Old.insert(id);
    }
  }
}

void Checker::onPlan(const ServicePlan &plan) {
  Plan = plan;
  for (const Target &it : plan.Targets) {
    const auto [at, isNew] = Upstreams.try_emplace(it.Spec.Id);
    const bool returns = it.InService && !at->second.Plan.InService;
    at->second.Plan = it;
    if (isNew || returns) {
      turnCold(at->second);
    }
  }
}

bool Checker::mayHaveRun(const SeenRequest &request, bool countLive) const {
  return std::any_of(
      request.Attempts.begin(), request.Attempts.end(), [&](AttemptId id) {
        const SeenAttempt &it = Attempts.at(id);
        const bool ran = it.Ended && (it.End == AttemptEnd::Answered ||
                                      it.End == AttemptEnd::Broken);
        return ran || (!it.Ended && it.Sent && countLive);
      });
}

void Checker::onEvent(const Event &event, Instant now) {
  noteDoubts(now);
  if (const auto *it = std::get_if<RequestArrived>(&event)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<AttemptEnded>(&event)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<AttemptSent>(&event)) {
    Attempts.at(it->Attempt).Sent = true;
  } else if (const auto *it = std::get_if<CallerGone>(&event)) {
    Requests.at(it->Request).Gone = true;
  } else if (const auto *it = std::get_if<ClaimDecided>(&event)) {
    Requests.at(it->Request).Granted = it->Verdict == ClaimVerdict::Granted;
  } else if (const auto *it = std::get_if<PeerWord>(&event)) {
    see(*it);
  } else if (const auto *it = std::get_if<ProbeEnded>(&event)) {
    SeenUpstream &upstream = Upstreams.at(it->Upstream);
    upstream.MayTakeUp |= it->Reached && !it->Report.Cold;
    if (it->Reached) {
      noteLife(upstream, it->Report.Incarnation, upstream.ProbedAt);
    }
  }
}

void Checker::see(const PeerWord &event) {
  if (event.What == PeerWord::Kind::Quarantine) {
    Fingerprints[event.Fingerprint].Doubtful = true;
    return;
  }
  if (event.What == PeerWord::Kind::UpstreamWarm) {
    Upstreams.at(event.Upstream).MayTakeUp = true;
  }
}

void Checker::see(const RequestArrived &event, Instant) {
  SeenRequest &it = Requests[event.Request];
  it.Idempotent = event.IdempotentMethod;
  for (const RequestClass &type : Plan.Spec.Classes) {
    if (type.Name == event.Class) {
      it.Idempotent = type.Idempotent;
    }
  }
  it.Deadline = event.Deadline;
  it.Fingerprint = event.Fingerprint;
}

// A break speaks against all that runs on the upstream.
void Checker::noteBreak(const SeenAttempt &attempt, Instant now) {
  for (const auto &[id, it] : Attempts) {
    if (it.Ended || it.Upstream != attempt.Upstream) {
      continue;
    }
    auto &breaks = Fingerprints[Requests.at(it.Request).Fingerprint].Breaks;
    const auto [at, isNew] = breaks.try_emplace(it.Upstream);
    SeenBreak &seen = at->second;
    seen.Life = isNew || seen.Life == attempt.Life ? attempt.Life : 0;
    seen.Last = now;
  }
}

void Checker::noteLife(SeenUpstream &upstream, std::uint64_t life,
                       Instant asked) {
  upstream.Life = life;
  for (auto &[fingerprint, it] : Fingerprints) {
    const auto at = it.Breaks.find(upstream.Plan.Spec.Id);
    if (at == it.Breaks.end() || asked <= at->second.Last) {
      continue;
    }
    if (at->second.Life == life) {
      it.Breaks.erase(at);
    } else {
      it.Doubtful = true;
    }
  }
}

void Checker::noteDoubts(Instant now) {
  for (auto &[fingerprint, it] : Fingerprints) {
    it.Doubtful |=
        std::any_of(it.Breaks.begin(), it.Breaks.end(), [&](const auto &any) {
          return any.second.Life == 0 || now >= any.second.Last + Hold;
        });
  }
}

void Checker::see(const AttemptEnded &event, Instant now) {
  SeenAttempt &it = Attempts.at(event.Attempt);
  if (event.End == AttemptEnd::Broken) {
    noteBreak(it, now);
  }
  it.Ended = true;
  it.End = event.End;
  SeenUpstream &upstream = Upstreams.at(it.Upstream);
  --upstream.InFlight;
  if (upstream.Old.erase(event.Attempt) == 0) {
    upstream.SinceCold -= upstream.SinceCold > 0 ? 1 : 0;
    upstream.GoodSinceCold += event.End == AttemptEnd::Answered ? 1 : 0;
  }
  if (event.HasReport) {
    noteLife(upstream, event.Report.Incarnation, it.Started);
    const bool turned = event.Report.Cold && !upstream.SaysCold;
    upstream.SaysCold = event.Report.Cold;
    upstream.ColdReports += event.Report.Cold ? 1 : 0;
    // One that says so too often in one life may be believed no more.
    if (turned && upstream.ColdReports <= ColdReportsBelieved) {
      turnCold(upstream);
    }
  }
  if (upstream.GoodSinceCold >= AnswersBeforeGrowth) {
    upstream.Cold = false;
  }
}

void Checker::checkTarget(const StartAttempt &start, Instant now) {
  SeenUpstream &it = Upstreams.at(start.Upstream);
  require(now < ValidUntil, "view-expired");
  require(it.Plan.InService, "out-of-service");
  require(++it.InFlight <= it.Plan.Share.Slots, "share");
  ++it.SinceCold;
  if (it.Cold) {
    require(it.SinceCold <= 1, "cold-ramp");
    require(it.Plan.Share.Ramps || it.MayTakeUp, "cold-wait");
  }
}

void Checker::checkBudgets(const StartAttempt &start, SeenRequest &request) {
  const auto requests = static_cast<double>(Requests.size());
  Hedges += start.Hedge ? 1 : 0;
  Retries += !start.Hedge && !request.Attempts.empty() ? 1 : 0;
  require(Hedges <= Plan.Spec.HedgeShare * requests + Reserve, "hedge-budget");
  require(Retries <= Plan.Spec.RetryShare * requests + Reserve, "retry-budget");
}

void Checker::see(const StartAttempt &action, Instant now) {
  SeenRequest &request = Requests.at(action.Request);
  require(!request.Answered && !request.Gone, "one-answer");
  require(now < request.Deadline, "deadline");
  if (!request.Idempotent) {
    require(request.Granted, "claim-first");
    const bool live =
        std::any_of(request.Attempts.begin(), request.Attempts.end(),
                    [&](AttemptId id) { return !Attempts.at(id).Ended; });
    require(!live && !mayHaveRun(request, true), "at-most-once");
  }
  checkTarget(action, now);
  checkBudgets(action, request);
  request.Attempts.push_back(action.Attempt);
  SeenAttempt &attempt = Attempts[action.Attempt];
  attempt.Request = action.Request;
  attempt.Upstream = action.Upstream;
  attempt.Started = now;
  attempt.Life = Upstreams.at(action.Upstream).Life;
}

void Checker::finish(RequestId id) {
  SeenRequest &it = Requests.at(id);
  require(!it.Answered && !it.Gone, "one-answer");
  it.Answered = true;
}

void Checker::see(const Refuse &action, Instant) {
  const auto &seen = Fingerprints[Requests.at(action.Request).Fingerprint];
  if (action.Reason == RefusalReason::Quarantined) {
    require(seen.Doubtful, "innocent");
  }
  if (action.Reason == RefusalReason::Held) {
    require(seen.Doubtful || seen.Breaks.size() > 1, "innocent");
    require(action.RetryAfter <= Hold, "innocent");
  }
  if (action.Outcome == Truth::DidNotRun) {
    require(!mayHaveRun(Requests.at(action.Request), true), "truth");
  }
  finish(action.Request);
}

void Checker::see(const Deliver &action, Instant) {
  const SeenAttempt &it = Attempts.at(action.Attempt);
  require(it.Request == action.Request && it.Ended &&
              it.End == AttemptEnd::Answered,
          "own-answer");
  finish(action.Request);
}

void Checker::see(const ReleaseClaim &action, Instant) {
  const SeenRequest &it = Requests.at(action.Request);
  require(!mayHaveRun(it, true), "release");
  require(it.Answered || it.Gone, "release");
}

void Checker::see(const SendProbe &action, Instant now) {
  Upstreams.at(action.Upstream).ProbedAt = now;
  FirstProbe = Probes == 0 ? now : FirstProbe;
  Probes += 1;
  const auto seconds = std::chrono::duration<double>(now - FirstProbe).count();
  require(Probes <= 1 + 1e-6 + Plan.Spec.ProbesPerSecond * seconds,
          "probe-budget");
}

void Checker::onAction(const Action &action, Instant now) {
  if (const auto *it = std::get_if<StartAttempt>(&action)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<Refuse>(&action)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<Deliver>(&action)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<ReleaseClaim>(&action)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<SendProbe>(&action)) {
    see(*it, now);
  } else if (const auto *it = std::get_if<CancelAttempt>(&action)) {
    Attempts[it->Attempt].Cancelled = true;
  }
}

void Checker::onEnd() {
  for (const auto &[id, it] : Requests) {
    require(it.Answered || it.Gone, "no-answer");
  }
}

} // namespace zinniarail::testing
