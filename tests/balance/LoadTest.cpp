// Outcomes that callers get under load and faults, in a simulation. The bounds
// are the users' requirements, or a stated part of what the upstreams could
// serve at best.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Simulation.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace load_test {

RequestKind lookups(double perSecond) {
  RequestKind it;
  it.Name = "lookup";
  it.RequestsPerSecond = perSecond;
  it.ServiceTime = 60ms;
  it.Policy = {"lookup", true, 2, 2, 200ms};
  it.Deadline = 800ms;
  return it;
}

RequestKind prints(double perSecond) {
  RequestKind it;
  it.Name = "print";
  it.RequestsPerSecond = perSecond;
  it.ServiceTime = 78ms;
  it.Policy = {"print", false, 1, 2, 250ms};
  it.Deadline = 1000ms;
  return it;
}

/// Upstreams that are slow at times, as with noisy neighbours, and that lose
/// throughput when their last slot is in use.
UpstreamProfile noisyUpstreams() {
  UpstreamProfile it;
  it.NoiseShare = 0.25;
  it.LastSlotFactor = 1.7;
  return it;
}

} // namespace load_test
using namespace load_test;

// A quarter of the upstreams is slow at any time, so a blind choice would be
// late one time in four.
BOOST_DATA_TEST_CASE(slowUpstreamsAreAvoided,
                     (std::vector<std::size_t>{1, 4, 13}), instances) {
  Simulation simulation(instances, noisyUpstreams(), 11);
  simulation.addLoad(lookups(107), 20s);
  simulation.addLoad(prints(48), 20s);
  simulation.run(22s);
  const Tally all = simulation.tally(1s, 20s);
  BOOST_TEST(all.inTime() >= 0.97);
  BOOST_TEST(all.served() >= 0.999);
}

BOOST_AUTO_TEST_CASE(withoutLoadReportsMostRequestsAreServedInTime) {
  UpstreamProfile unreported = noisyUpstreams();
  unreported.ReportsLoad = false;
  Simulation simulation(4, unreported, 11);
  simulation.addLoad(lookups(107), 20s);
  simulation.run(22s);
  const Tally all = simulation.tally(1s, 20s);
  BOOST_TEST(all.inTime() >= 0.70); // A quarter is slow and no report shows it.
  BOOST_TEST(all.served() >= 0.99);
}

// The upstreams can serve about 525 lookups a second at best: three quarters of
// them, with three slots each. A burst of 1.5 times that must not reduce their
// throughput further, and its effects must end with it.
BOOST_DATA_TEST_CASE(aBurstBeyondCapacityHasNoLastingEffect,
                     (std::vector<std::size_t>{4, 13}), instances) {
  Simulation simulation(instances, noisyUpstreams(), 7);
  constexpr double capacity = 14 * 0.75 * 3 / 0.060;
  simulation.addLoad(lookups(150), 3s);
  simulation.run(3s);
  simulation.addLoad(lookups(capacity * 1.5), 4s);
  simulation.run(4s);
  simulation.addLoad(lookups(150), 5s);
  simulation.run(7s);
  const Tally burst = simulation.tally(3s, 7s);
  const Tally after = simulation.tally(8s, 12s);
  // At best two thirds can be served; half of these must be in time.
  BOOST_TEST(burst.inTime() >= 0.33);
  BOOST_TEST(after.inTime() >= 0.97);
}

// Prints are more urgent than lookups. Both together exceed the capacity, and
// prints must fare at least as well as lookups.
BOOST_AUTO_TEST_CASE(printsAreServedBeforeLookupsUnderOverload) {
  Simulation simulation(4, noisyUpstreams(), 3);
  simulation.addLoad(prints(100), 6s);
  simulation.addLoad(lookups(500), 6s);
  simulation.run(8s);
  const Tally urgent = simulation.tally(1s, 6s, "print");
  const Tally others = simulation.tally(1s, 6s, "lookup");
  BOOST_TEST(urgent.inTime() >= others.inTime());
  BOOST_TEST(urgent.served() >= 0.9);
}

// A request that can't be served is refused before its caller's deadline, with
// a Retry-After. A refusal must not claim that a request did not run if it did.
BOOST_AUTO_TEST_CASE(requestsRefusedAsNotRunNeverRanAndAreRefusedEarly) {
  Simulation simulation(4, noisyUpstreams(), 5);
  simulation.addLoad(lookups(900), 4s);
  simulation.run(6s);
  for (const auto &[id, it] : simulation.Requests) {
    if (it.RefusedOutcome == Execution::DidNotRun) {
      BOOST_TEST(it.Runs == 0);
      BOOST_TEST((it.RetryAfter > Duration{0}));
      BOOST_TEST((*it.AnsweredAt - it.Arrived < 800ms));
    }
  }
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestsRunAtMostOnce) {
  Simulation simulation(6, noisyUpstreams(), 9);
  for (SimulatedUpstream &it : simulation.Upstreams) {
    it.FailureRate = 0.05;
    it.ShedShare = 0.1;
  }
  simulation.addLoad(prints(120), 10s);
  simulation.addLoad(lookups(150), 10s);
  for (unsigned n = 0; n < 5; ++n) {
    simulation.scheduleAfter(1s * n + 500ms,
                             [&simulation, n] { simulation.kill(n); });
    simulation.scheduleAfter(1s * n + 1500ms, [&simulation, n] {
      simulation.Upstreams[n].Reachable = true;
    });
  }
  simulation.run(13s);
  for (const auto &[id, it] : simulation.Requests) {
    if (!it.Idempotent) {
      BOOST_TEST(it.Runs <= 1);
      if (it.RefusedOutcome == Execution::DidNotRun) {
        BOOST_TEST(it.Runs == 0);
      }
    }
    BOOST_TEST(it.AnsweredAt.has_value());
  }
}

// Over all instances and any 10 s, retries and hedges must stay within a fifth
// of the requests plus 56, whatever fails.
BOOST_AUTO_TEST_CASE(retriesAndHedgesStayWithinTheirBudget) {
  Simulation simulation(13, noisyUpstreams(), 21);
  for (SimulatedUpstream &it : simulation.Upstreams) {
    it.ShedShare = 0.6;
    it.FailureRate = 0.3;
  }
  simulation.addLoad(lookups(200), 10s);
  simulation.run(12s);
  const Tally all = simulation.tally(0s, 10s);
  BOOST_TEST(static_cast<double>(simulation.RepeatedArrivals) <=
             0.2 * all.Total + 56);
}

// An upstream can serve 14 requests a second while it is cold; the users allow
// 1.5 times that plus 5, over all instances.
BOOST_DATA_TEST_CASE(coldUpstreamsStayBelowTheirRequestRateLimit,
                     (std::vector<std::size_t>{1, 5, 13}), instances) {
  Simulation simulation(instances, noisyUpstreams(), 13);
  constexpr double most = 14 * 1.5 + 5;
  simulation.Plan.ColdUpstreams = {most, instances};
  simulation.updatePlan();
  simulation.addLoad(lookups(250), 12s);
  simulation.run(2s);
  for (std::size_t n = 0; n < 9; ++n) {
    simulation.Upstreams[n].ColdUntil = simulation.now() + 4s;
    simulation.Upstreams[n].Plan.WarmupRemaining = 4s;
    simulation.Upstreams[n].Plan.StartedMs = 2;
  }
  simulation.updatePlan();
  simulation.run(12s);
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    for (const auto &[second, count] : it.ColdPerSecond) {
      BOOST_TEST(count <= most);
    }
  }
  BOOST_TEST(simulation.Upstreams[0].ColdArrivals > 0);
}

BOOST_AUTO_TEST_CASE(requestsAreServedInTimeAfterUpstreamsCrash) {
  Simulation simulation(6, noisyUpstreams(), 17);
  simulation.addLoad(lookups(107), 10s);
  simulation.addLoad(prints(48), 10s);
  simulation.run(2s);
  simulation.kill(0);
  simulation.kill(5);
  simulation.run(10s);
  const Tally all = simulation.tally(2s, 10s);
  BOOST_TEST(all.inTime() >= 0.96);
  BOOST_TEST(all.served() >= 0.99);
}

BOOST_AUTO_TEST_CASE(unresponsiveUpstreamsDoNotDelayRequests) {
  Simulation simulation(6, noisyUpstreams(), 19);
  simulation.addLoad(lookups(107), 12s);
  simulation.run(2s);
  simulation.Upstreams[3].Unresponsive = true;
  simulation.run(12s);
  const Tally all = simulation.tally(3s, 12s);
  BOOST_TEST(all.inTime() >= 0.97);
}

// One upstream fails two of five requests although its health checks succeed.
BOOST_AUTO_TEST_CASE(failingUpstreamsWithGoodHealthChecksGetFewerRequests) {
  Simulation simulation(6, noisyUpstreams(), 23);
  simulation.addLoad(prints(100), 12s);
  simulation.run(2s);
  const unsigned before = simulation.Upstreams[3].Arrivals;
  simulation.Upstreams[3].FailureRate = 0.4;
  simulation.run(12s);
  const double share =
      static_cast<double>(simulation.Upstreams[3].Arrivals - before) /
      simulation.tally(2s, 12s).Total;
  BOOST_TEST(share <= 1.0 / 14 / 2); // Half of an upstream's usual share.
}

// Requests take five times as long on one upstream, but its load reports don't
// show it.
BOOST_AUTO_TEST_CASE(upstreamsWithUnreportedSlownessGetFewerRequests) {
  Simulation simulation(6, noisyUpstreams(), 29);
  simulation.addLoad(lookups(150), 14s);
  simulation.run(2s);
  const unsigned before = simulation.Upstreams[3].Arrivals;
  simulation.Upstreams[3].UnreportedSlowdown = 5;
  simulation.run(13s);
  const double share =
      static_cast<double>(simulation.Upstreams[3].Arrivals - before) /
      simulation.tally(2s, 14s).Total;
  BOOST_TEST(share <= 1.0 / 14 / 2);
  BOOST_TEST(simulation.tally(3s, 14s).inTime() >= 0.96);
}

// The other upstreams' load reports are out of date, so they are probed before
// the hedge. In a large fleet an instance's retry budget holds little more than
// one token.
BOOST_DATA_TEST_CASE(aSlowRequestIsHedgedOnAnotherUpstream,
                     (std::vector<std::size_t>{1, 13, 126, 300}), sharers) {
  Simulation simulation(1, UpstreamProfile{}, 47);
  simulation.Plan.Budget = {0.2, 162, sharers};
  simulation.updatePlan();
  simulation.addLoad(lookups(50), 2s);
  simulation.run(4s);
  const std::uint64_t before = simulation.RepeatedArrivals;
  RequestKind stuck = lookups(1);
  stuck.ServiceTime = 10s;
  simulation.sendRequest(stuck, 0);
  simulation.run(500ms);
  BOOST_TEST(simulation.RepeatedArrivals == before + 1);
}

BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWithoutUpstreams) {
  Simulation simulation(2, noisyUpstreams(), 1);
  simulation.Upstreams.clear();
  simulation.updatePlan();
  const auto id = simulation.sendRequest(lookups(1), 0);
  simulation.run(1s);
  const SimulatedRequest &it = simulation.Requests.at(id);
  BOOST_REQUIRE(it.RefusedOutcome.has_value());
  BOOST_TEST((*it.RefusedOutcome == Execution::DidNotRun));
  BOOST_TEST((*it.AnsweredAt == it.Arrived));
  BOOST_TEST((it.RetryAfter > Duration{0}));
  BOOST_TEST((it.Refusal == RefusalReason::NoUpstream));
}

// Three of the upstreams refuse all requests for two seconds and say so. The
// others have room for the load, so nobody waits for these three.
BOOST_DATA_TEST_CASE(upstreamsThatAskForAPauseGetOne,
                     (std::vector<std::size_t>{1, 4, 13}), instances) {
  Simulation simulation(instances, UpstreamProfile{}, 61);
  simulation.addLoad(lookups(200), 6s);
  simulation.addLoad(prints(60), 6s);
  simulation.run(1s);
  for (unsigned n = 0; n < 3; ++n) {
    simulation.Upstreams[n].RefusesUntil = simulation.now() + 2s;
  }
  simulation.run(2s);
  std::vector<unsigned> runs;
  for (unsigned n = 0; n < 3; ++n) {
    for (const auto &[instance, count] :
         simulation.Upstreams[n].ArrivalsWhileRefusing) {
      BOOST_TEST(count <= 2);
    }
    runs.push_back(simulation.Upstreams[n].Runs);
  }
  simulation.run(4s);
  const Tally all = simulation.tally(1s, 6s);
  BOOST_TEST(all.served() >= 0.99);
  BOOST_TEST(all.inTime() >= 0.97);
  for (unsigned n = 0; n < 3; ++n) { // They are used again after the pause.
    BOOST_TEST(simulation.Upstreams[n].Runs > runs[n]);
  }
}

// All upstreams refuse for longer than any request can wait: each request is
// refused at once, with the end of the pause as its Retry-After.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhileAllUpstreamsAskForAPause) {
  Simulation simulation(1, UpstreamProfile{}, 67);
  simulation.addLoad(lookups(50), 2s);
  simulation.run(1s);
  for (SimulatedUpstream &it : simulation.Upstreams) {
    it.RefusesUntil = simulation.now() + 5s;
  }
  simulation.run(1s);
  unsigned upstreamsKnown = 0;
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    upstreamsKnown += it.FirstRefusalAt.empty() ? 0 : 1;
  }
  BOOST_REQUIRE(upstreamsKnown == simulation.Upstreams.size());
  const auto id = simulation.sendRequest(lookups(1), 0);
  const Instant sentAt = simulation.now();
  simulation.run(1s);
  const SimulatedRequest &it = simulation.Requests.at(id);
  BOOST_REQUIRE(it.RefusedOutcome.has_value());
  BOOST_TEST((*it.RefusedOutcome == Execution::DidNotRun));
  BOOST_TEST((*it.AnsweredAt == sentAt));
  BOOST_TEST((it.RetryAfter >= 3900ms && it.RetryAfter <= 4100ms));
}

namespace {

struct RetryAfterCase {
  const char *Name;
  Duration Stated;
  Duration Expected; ///< How long the upstream gets nothing.
};

std::ostream &operator<<(std::ostream &out, const RetryAfterCase &it) {
  return out << it.Name;
}

} // namespace

BOOST_DATA_TEST_CASE(statedPausesAreLimited,
                     (std::vector<RetryAfterCase>{
                         {"negative", -5s, 0s},
                         {"zero", 0s, 0s},
                         {"fraction of a second", 1500ms, 1500ms},
                         {"a year", std::chrono::hours{24 * 365}, 5min}}),
                     it) {
  ServicePlan plan;
  plan.Upstreams = {{"u", "a", 4}};
  Instant now{1h};
  const auto engine = makeEngine(plan, Random{1}, 1, now);
  Actions actions;
  ProbeEnded event{"u", true, false, LoadReport{0, 0, 4, 1}};
  event.RetryAfter = it.Stated;
  handleEvent(*engine, event, now, actions);
  // The request can wait for the end of the pause, but for no longer.
  handleEvent(*engine,
              RequestArrived{RequestId{1}, lookups(1).Policy, 1,
                             now + it.Expected + 1s},
              now, actions);
  const auto isSent = [&] {
    return std::any_of(actions.begin(), actions.end(), [](const Action &any) {
      return std::holds_alternative<SendProbe>(any) ||
             std::holds_alternative<StartAttempt>(any);
    });
  };
  if (it.Expected > 0s) {
    now += it.Expected - 1us;
    handleEvent(*engine, TimerExpired{}, now, actions);
    BOOST_TEST(!isSent());
    now += 1us;
    handleEvent(*engine, TimerExpired{}, now, actions);
  }
  BOOST_TEST(isSent());
}

BOOST_AUTO_TEST_CASE(aDisconnectedCallerFreesTheUpstreamSlot) {
  Simulation simulation(1, UpstreamProfile{}, 1);
  RequestKind kind = lookups(1);
  kind.ServiceTime = 10s;
  kind.Policy.MaxAttempts = 1;
  kind.Deadline = 20s;
  const auto id = simulation.sendRequest(kind, 0);
  simulation.run(100ms);
  unsigned running = 0;
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    running += it.Running;
  }
  BOOST_TEST(running == 1);
  simulation.disconnectCaller(id);
  simulation.run(100ms);
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    BOOST_TEST(it.Running == 0);
  }
}

namespace {

/// A request that crashes upstreams, sent again and again.
struct CrashCase {
  const char *Name;
  std::size_t Instances;
  Simulation::CrashTime When;
  Duration Interval; ///< Between two of them.
};
std::ostream &operator<<(std::ostream &out, const CrashCase &it) {
  return out << it.Name;
}

constexpr std::uint64_t PoisonFingerprint = 0xdead;
using CrashTime = Simulation::CrashTime;

const CrashCase CrashCases[] = {
    {"3 instances", 3, CrashTime::AtEndOfRun, 500ms},
    {"6 instances", 6, CrashTime::AtEndOfRun, 500ms},
    {"13 instances", 13, CrashTime::AtEndOfRun, 500ms},
    {"6 instances, at once", 6, CrashTime::AtStartOfRun, 500ms},
    {"13 instances, at once", 13, CrashTime::AtStartOfRun, 500ms},
    {"13 instances, often", 13, CrashTime::AtEndOfRun, 250ms},
};

/// Sends twenty poison requests, each to the next instance.
void sendPoison(Simulation &simulation, const CrashCase &row) {
  simulation.PoisonCrashes = row.When;
  for (unsigned n = 0; n < 20; ++n) {
    simulation.scheduleAfter(1s + row.Interval * n, [&simulation, &row, n] {
      simulation.sendRequest(lookups(1), n % row.Instances, PoisonFingerprint,
                             true);
    });
  }
}

unsigned countQuarantined(const Simulation &simulation) {
  unsigned count = 0;
  for (const auto &[id, it] : simulation.Requests) {
    count += !it.Poison && it.Refusal == RefusalReason::Quarantined ? 1 : 0;
  }
  return count;
}

} // namespace

// Connections are kept, so an attempt on one may end because it was stale.
BOOST_DATA_TEST_CASE(requestsThatCrashUpstreamsAreQuarantinedOnAllInstances,
                     boost::unit_test::data::make(CrashCases), row) {
  Simulation simulation(row.Instances, noisyUpstreams(), 31);
  simulation.addLoad(lookups(100), 20s);
  sendPoison(simulation, row);
  simulation.run(22s);
  BOOST_TEST(simulation.crashesByRequests() <= 3);
  BOOST_TEST(simulation.tally(12s, 20s).served() >= 0.99);
  BOOST_TEST(countQuarantined(simulation) == 0);
}

// Many requests are equal, and upstreams crash for another reason.
BOOST_DATA_TEST_CASE(harmlessRequestsBesideCrashesAreNotQuarantined,
                     boost::unit_test::data::xrange(1, 13), seed) {
  Simulation simulation(13, noisyUpstreams(), static_cast<std::uint64_t>(seed));
  RequestKind kind = lookups(150);
  kind.Contents = 20;
  simulation.addLoad(kind, 20s);
  for (std::size_t n = 0; n < 60; ++n) {
    simulation.scheduleAfter(1s + 300ms * n, [&simulation, n] {
      simulation.crash(n * 5 % simulation.Upstreams.size());
    });
  }
  simulation.run(22s);
  BOOST_TEST(countQuarantined(simulation) == 0);
}

// The first of two attempts breaks and the hedge is refused. The request is not
// retried before a health check shows whether it crashed the first upstream.
BOOST_AUTO_TEST_CASE(aRetryWaitsForTheCrashCheckOfTheUpstreamThatBroke) {
  ServicePlan plan;
  plan.Upstreams = {{"u", "a", 4}, {"v", "a", 4}, {"w", "a", 4}};
  plan.Budget = {1, 100, 1};
  Instant now{1h};
  const auto engine = makeEngine(plan, Random{1}, 1, now);
  Actions actions;
  const auto starts = [&] {
    std::vector<StartAttempt> all;
    for (const Action &it : actions) {
      if (const auto *start = std::get_if<StartAttempt>(&it)) {
        all.push_back(*start);
      }
    }
    return all;
  };
  const auto send = [&](std::uint64_t id) {
    RequestArrived event{RequestId{id}, lookups(1).Policy, id, now + 10s};
    event.Policy.MaxAttempts = 3;
    handleEvent(*engine, event, now, actions);
  };
  const auto end = [&](AttemptId id, AttemptEnd how) {
    AttemptEnded event{id, how, how == AttemptEnd::Answered ? 200U : 503U};
    handleEvent(*engine, event, now, actions);
  };
  // A response without a load report: from now on, requests are placed without
  // health checks.
  send(1);
  for (const char *id : {"u", "v", "w"}) {
    handleEvent(*engine, ProbeEnded{id, true, true, LoadReport{0, 0, 4, 1}},
                now, actions);
  }
  BOOST_REQUIRE(starts().size() == 1);
  end(starts().back().Attempt, AttemptEnd::Answered);
  actions.clear();

  send(2);
  BOOST_REQUIRE(starts().size() == 1);
  now += 2s;
  handleEvent(*engine, TimerExpired{}, now, actions);
  BOOST_REQUIRE(starts().size() == 2);
  BOOST_TEST(starts().back().Reason.IsHedge);
  end(starts()[0].Attempt, AttemptEnd::Broken);
  end(starts()[1].Attempt, AttemptEnd::RefusedUnrun);
  BOOST_TEST(starts().size() == 2);
  handleEvent(*engine, ProbeEnded{starts()[0].Upstream, true, true}, now,
              actions);
  BOOST_TEST(starts().size() == 3);
}

// The same load and seed must give the same results.
BOOST_AUTO_TEST_CASE(runsWithTheSameSeedAreEqual) {
  const auto countInTime = [] {
    Simulation simulation(4, noisyUpstreams(), 41);
    simulation.addLoad(lookups(200), 3s);
    simulation.run(4s);
    return simulation.tally(0s, 3s).InTime;
  };
  BOOST_TEST(countInTime() == countInTime());
}

// Only two upstreams are reachable, so all instances probe them often. All
// instances together may probe an upstream 60 times a second.
BOOST_DATA_TEST_CASE(theLastReachableUpstreamsAreNotOverProbed,
                     (std::vector<std::size_t>{1, 6, 13}), instances) {
  Simulation simulation(instances, noisyUpstreams(), 59);
  simulation.addLoad(lookups(100), 10s);
  for (unsigned n = 2; n < simulation.Upstreams.size(); ++n) {
    simulation.kill(n);
  }
  simulation.run(10s);
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    BOOST_TEST(it.Probes <= 60 * 10);
  }
}

// One upstream is reachable again, but its health checks report it unhealthy.
BOOST_AUTO_TEST_CASE(upstreamsThatReportUnhealthyAreRarelyProbed) {
  Simulation simulation(3, noisyUpstreams(), 53);
  simulation.addLoad(lookups(100), 8s);
  simulation.run(1s);
  simulation.kill(0);
  simulation.run(1s);
  simulation.Upstreams[0].Reachable = true;
  simulation.Upstreams[0].ReportsUnhealthy = true;
  const unsigned before = simulation.Upstreams[0].Probes;
  simulation.run(5s);
  BOOST_TEST(simulation.Upstreams[0].Probes - before <= 3 * 5);
}

// An upstream may get 60 health checks a second, half of what the users allow.
BOOST_AUTO_TEST_CASE(healthChecksStayWithinTheirBudget) {
  Simulation simulation(13, noisyUpstreams(), 43);
  simulation.addLoad(lookups(800), 10s);
  simulation.run(10s);
  for (const SimulatedUpstream &it : simulation.Upstreams) {
    BOOST_TEST(it.Probes <= 60 * 10);
  }
}
