#include "dispatch/Schedule.h"

#include <algorithm>

namespace zinniarail::testing {

namespace {

constexpr unsigned Upstreams = 5;

ServicePlan planForSchedules() {
  ServicePlan plan = makePlan(Upstreams, 2);
  plan.Spec.QueueLimit = 6;
  plan.Spec.HedgeShare = 0.2;
  plan.Spec.RetryShare = 0.3;
  for (unsigned n = 0; n < Upstreams; ++n) {
    plan.Targets[n].Share.Ramps = n % 2 == 0;
  }
  return plan;
}

template <typename Item>
Item takeAny(std::vector<Item> &items, std::uint32_t draw) {
  const auto at = items.begin() + draw % items.size();
  Item taken = std::move(*at);
  items.erase(at);
  return taken;
}

LoadReport drawReport(std::uint32_t draw, std::uint64_t life) {
  LoadReport report;
  report.InFlight = draw % 5;
  report.Queued = draw / 5 % 3;
  report.Incarnation = 1 + life;
  report.Cold = draw / 15 % 16 == 0;
  report.Draining = draw / 240 % 32 == 0;
  return report;
}

} // namespace

Schedule::Schedule(const Tamper &tamper)
    : Watch(planForSchedules(), Start + 2s),
      Engine(planForSchedules(), Start + 2s), Change(tamper),
      Plan(planForSchedules()) {}

void Schedule::tell(const Event &event) {
  Watch.onEvent(event, Engine.Now);
  Engine.tell(event);
  act();
}

void Schedule::act() {
  if (Change) {
    Change(Engine.Out, Watch);
  }
  for (const Action &action : Engine.Out) {
    Watch.onAction(action, Engine.Now);
    if (const auto *it = std::get_if<StartAttempt>(&action)) {
      Live.push_back(it->Attempt);
    } else if (const auto *it = std::get_if<SeekClaim>(&action)) {
      Claims.push_back(it->Request);
    } else if (const auto *it = std::get_if<SendProbe>(&action)) {
      Probes.push_back(it->Upstream);
    }
  }
}

void Schedule::arrive(std::uint32_t draw) {
  static const std::vector<std::string> Classes{"read", "write", "sheet"};
  const std::uint64_t id = NextRequest++;
  const std::string key = draw / 3 % 16 == 0 ? "" : "k" + std::to_string(id);
  tell(RequestArrived{RequestId{id}, Classes[draw % 3], key, 1 + draw % 50,
                      Engine.Now + Duration(draw / 48 % 200'000), true});
}

void Schedule::decideClaim(std::uint32_t draw) {
  if (Claims.empty()) {
    return;
  }
  const RequestId request = takeAny(Claims, draw / 8);
  const std::vector<ClaimVerdict> verdicts{
      ClaimVerdict::Taken, ClaimVerdict::Unavailable, ClaimVerdict::Granted};
  tell(ClaimDecided{request, verdicts[std::min(draw % 8, 2U)]});
}

void Schedule::send(std::uint32_t draw) {
  if (Live.empty()) {
    return;
  }
  const AttemptId attempt = Live[draw % Live.size()];
  const SeenAttempt &it = Watch.Attempts.at(attempt);
  if (!it.Sent && !it.Cancelled) {
    tell(AttemptSent{attempt});
  }
}

void Schedule::end(std::uint32_t draw) {
  if (Live.empty()) {
    return;
  }
  const AttemptId attempt = takeAny(Live, draw / 512);
  AttemptEnd how = AttemptEnd::NotSent;
  if (Watch.Attempts.at(attempt).Sent) {
    const std::vector<AttemptEnd> ends{AttemptEnd::Broken,
                                       AttemptEnd::RefusedUnrun};
    how = draw % 16 < 2 ? ends[draw % 16] : AttemptEnd::Answered;
  }
  endAs(attempt, how, draw);
}

void Schedule::endAs(AttemptId attempt, AttemptEnd end, std::uint32_t draw) {
  AttemptEnded event{attempt, end};
  if (end == AttemptEnd::Answered) {
    event.Status = draw / 16 % 16 == 0 ? 500 : 200;
    event.HasReport = draw / 256 % 2 == 0;
    event.Report =
        drawReport(draw / 512, Lives[Watch.Attempts.at(attempt).Upstream]);
  }
  tell(event);
}

// An upstream goes down with all that it runs, and comes back with a new life.
void Schedule::crash(std::uint32_t draw) {
  const std::string upstream = "u" + std::to_string(draw % Upstreams);
  ++Lives[upstream];
  const auto before = Live;
  for (const AttemptId it : before) {
    const SeenAttempt &seen = Watch.Attempts.at(it);
    if (seen.Upstream == upstream && !seen.Ended) {
      std::erase(Live, it);
      endAs(it, seen.Sent ? AttemptEnd::Broken : AttemptEnd::NotSent, draw);
    }
  }
}

void Schedule::endProbe(std::uint32_t draw) {
  if (!Probes.empty()) {
    const std::string upstream = takeAny(Probes, draw / 2);
    tell(ProbeEnded{upstream, draw % 2 == 0,
                    drawReport(draw / 64, Lives[upstream])});
  }
}

void Schedule::leave(std::uint32_t draw) {
  const RequestId request{1 + draw % NextRequest};
  const auto it = Watch.Requests.find(request);
  if (it != Watch.Requests.end() && !it->second.Answered && !it->second.Gone) {
    tell(CallerGone{request});
  }
}

void Schedule::word(std::uint32_t draw) {
  PeerWord word;
  word.What = draw % 2 == 0 ? PeerWord::Kind::UpstreamCold
                            : PeerWord::Kind::UpstreamWarm;
  word.Upstream = "u" + std::to_string(draw / 2 % Upstreams);
  word.Incarnation = 1 + Lives[word.Upstream];
  tell(word);
}

void Schedule::changePlan(std::uint32_t draw) {
  Target &it = Plan.Targets[draw % Upstreams];
  it.InService = !it.InService;
  ++Plan.HomesDigest;
  Watch.onPlan(Plan);
  Engine.Out.clear();
  replan(*Engine.State, Plan, Engine.Now, Engine.Out);
  act();
}

void Schedule::advance(Duration by) {
  const Instant until = Engine.Now + by;
  while (nextWake(*Engine.State) <= until) {
    Engine.Now = std::max(Engine.Now + Duration{1}, nextWake(*Engine.State));
    tell(Woken{});
  }
  Engine.Now = std::max(Engine.Now, until);
}

void Schedule::step(std::uint32_t draw) {
  const std::uint32_t kind = draw % 64;
  const std::uint32_t rest = draw / 64;
  if (kind < 20) {
    arrive(rest);
  } else if (kind < 28) {
    decideClaim(rest);
  } else if (kind < 38) {
    send(rest);
  } else if (kind < 50) {
    end(rest);
  } else if (kind < 53) {
    endProbe(rest);
  } else if (kind < 55) {
    leave(rest);
  } else if (kind < 56) {
    word(rest);
  } else if (kind < 57) {
    changePlan(rest);
  } else if (kind < 58 && rest % 4 == 0) {
    crash(rest / 4);
  } else if (kind < 59) {
    Watch.ValidUntil = std::max(Watch.ValidUntil, Engine.Now + 100ms);
    confirmView(*Engine.State, Engine.Now + 100ms);
  } else {
    advance(Duration(rest % 30'000));
  }
}

void Schedule::finish() {
  while (!Claims.empty()) {
    decideClaim(0);
  }
  advance(1s);
  while (!Live.empty()) {
    end(0);
  }
  advance(1s);
  Watch.onEnd();
}

} // namespace zinniarail::testing
