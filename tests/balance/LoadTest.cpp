// What callers get under loads and faults. The bounds are what the users ask
// for, or what the upstreams could give at best, less a stated part.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "World.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace load_test {

Kind lookups(double perSecond) {
  Kind it;
  it.Name = "lookup";
  it.PerSecond = perSecond;
  it.Work = 60ms;
  it.Treatment = {"lookup", true, 2, 2, 200ms};
  it.Deadline = 800ms;
  return it;
}

Kind prints(double perSecond) {
  Kind it;
  it.Name = "print";
  it.PerSecond = perSecond;
  it.Work = 78ms;
  it.Treatment = {"print", false, 1, 2, 250ms};
  it.Deadline = 1000ms;
  return it;
}

/// Upstreams that are slow by turns, as beside noisy neighbours, and that lose
/// by the use of their last slot.
UpstreamKind noisy() {
  UpstreamKind it;
  it.NoiseShare = 0.25;
  it.LastSlotFactor = 1.7;
  return it;
}

} // namespace load_test
using namespace load_test;

// A quarter of the upstreams is slow at any moment: a blind choice is late one
// time in four.
BOOST_DATA_TEST_CASE(slowUpstreamsAreAvoided,
                     (std::vector<std::size_t>{1, 4, 13}), instances) {
  World world(instances, noisy(), 11);
  world.load(lookups(107), 20s);
  world.load(prints(48), 20s);
  world.run(22s);
  const Tally all = world.tally(1s, 20s);
  BOOST_TEST(all.inTime() >= 0.97);
  BOOST_TEST(all.served() >= 0.999);
}

BOOST_AUTO_TEST_CASE(withoutReportsTheLeastUsedAreTaken) {
  UpstreamKind silent = noisy();
  silent.TellsLoad = false;
  World world(4, silent, 11);
  world.load(lookups(107), 20s);
  world.run(22s);
  const Tally all = world.tally(1s, 20s);
  BOOST_TEST(all.inTime() >= 0.70); // A quarter is slow, and nothing tells.
  BOOST_TEST(all.served() >= 0.99);
}

// The upstreams bear about 450 lookups a second at best: three quarters of
// them, three slots of each. A burst of 1.5 times that must not leave them
// worse than the burst itself does, and must be over when it is over.
BOOST_DATA_TEST_CASE(aBurstBeyondCapacityEndsWhenItEnds,
                     (std::vector<std::size_t>{4, 13}), instances) {
  World world(instances, noisy(), 7);
  constexpr double capacity = 14 * 0.75 * 3 / 0.060;
  world.load(lookups(150), 3s);
  world.run(3s);
  world.load(lookups(capacity * 1.5), 4s);
  world.run(4s);
  world.load(lookups(150), 5s);
  world.run(7s);
  const Tally burst = world.tally(3s, 7s);
  const Tally after = world.tally(8s, 12s);
  // At best two thirds can be served; half of that is asked for in time.
  BOOST_TEST(burst.inTime() >= 0.33);
  BOOST_TEST(after.inTime() >= 0.97);
}

// What is more urgent is served before the rest where there is not enough.
BOOST_AUTO_TEST_CASE(theUrgentGoFirstUnderPressure) {
  World world(4, noisy(), 3);
  world.load(prints(100), 6s);
  world.load(lookups(500), 6s);
  world.run(8s);
  const Tally urgent = world.tally(1s, 6s, "print");
  const Tally others = world.tally(1s, 6s, "lookup");
  BOOST_TEST(urgent.inTime() >= others.inTime());
  BOOST_TEST(urgent.served() >= 0.9);
}

// Refusals come when they are decided, not when the caller gives up.
BOOST_AUTO_TEST_CASE(whatCannotBeServedIsRefusedAtOnceAndTruly) {
  World world(4, noisy(), 5);
  world.load(lookups(900), 4s);
  world.run(6s);
  for (const auto &[id, it] : world.Requests) {
    if (it.RefusedAs == Truth::DidNotRun) {
      BOOST_TEST(it.Runs == 0);
      BOOST_TEST((it.RetryAfter > Duration{0}));
      BOOST_TEST((*it.AnsweredAt - it.Arrived < 800ms));
    }
  }
}

BOOST_AUTO_TEST_CASE(nothingThatRunsOnceRunsTwice) {
  World world(6, noisy(), 9);
  for (SimulatedUpstream &it : world.Upstreams) {
    it.FailShare = 0.05;
    it.ShedShare = 0.1;
  }
  world.load(prints(120), 10s);
  world.load(lookups(150), 10s);
  for (unsigned n = 0; n < 5; ++n) {
    world.at(1s * n + 500ms, [&world, n] { world.kill(n); });
    world.at(1s * n + 1500ms, [&world, n] { world.Upstreams[n].Alive = true; });
  }
  world.run(13s);
  for (const auto &[id, it] : world.Requests) {
    if (!it.Idempotent) {
      BOOST_TEST(it.Runs <= 1);
      if (it.RefusedAs == Truth::DidNotRun) {
        BOOST_TEST(it.Runs == 0);
      }
    }
    BOOST_TEST(it.AnsweredAt.has_value());
  }
}

// Over all instances, in any 10 s, repeats stay below a fifth of the requests
// and 56 more, however bad it is.
BOOST_AUTO_TEST_CASE(repeatsStayWithinTheirBudget) {
  World world(13, noisy(), 21);
  for (SimulatedUpstream &it : world.Upstreams) {
    it.ShedShare = 0.6;
    it.FailShare = 0.3;
  }
  world.load(lookups(200), 10s);
  world.run(12s);
  const Tally all = world.tally(0s, 10s);
  BOOST_TEST(static_cast<double>(world.Repeats) <= 0.2 * all.Asked + 56);
}

// An upstream bears 14 requests a second while it is cold; 1.5 times that and 5
// more is what the users allow, over all instances.
BOOST_DATA_TEST_CASE(coldUpstreamsGetNoMoreThanTheyBear,
                     (std::vector<std::size_t>{1, 5, 13}), instances) {
  World world(instances, noisy(), 13);
  constexpr double most = 14 * 1.5 + 5;
  world.Plan.Cold = {most, instances};
  world.replan();
  world.load(lookups(250), 12s);
  world.run(2s);
  for (std::size_t n = 0; n < 9; ++n) {
    world.Upstreams[n].ColdUntil = world.now() + 4s;
    world.Upstreams[n].Plan.ColdFor = 4s;
    world.Upstreams[n].Plan.StartedMs = 2;
  }
  world.replan();
  world.run(12s);
  for (const SimulatedUpstream &it : world.Upstreams) {
    for (const auto &[second, count] : it.ColdPerSecond) {
      BOOST_TEST(count <= most);
    }
  }
  BOOST_TEST(world.Upstreams[0].ColdArrivals > 0);
}

BOOST_AUTO_TEST_CASE(deadUpstreamsCostLittle) {
  World world(6, noisy(), 17);
  world.load(lookups(107), 10s);
  world.load(prints(48), 10s);
  world.run(2s);
  world.kill(0);
  world.kill(5);
  world.run(10s);
  const Tally all = world.tally(2s, 10s);
  BOOST_TEST(all.inTime() >= 0.96);
  BOOST_TEST(all.served() >= 0.99);
}

BOOST_AUTO_TEST_CASE(silentUpstreamsAreLeftAlone) {
  World world(6, noisy(), 19);
  world.load(lookups(107), 12s);
  world.run(2s);
  world.Upstreams[3].Silent = true;
  world.run(12s);
  const Tally all = world.tally(3s, 12s);
  BOOST_TEST(all.inTime() >= 0.97);
}

// It fails two of five requests, quickly and with its health in order.
BOOST_AUTO_TEST_CASE(upstreamsThatFailQuicklyDoNotDrawTheRequests) {
  World world(6, noisy(), 23);
  world.load(prints(100), 12s);
  world.run(2s);
  const unsigned before = world.Upstreams[3].Arrivals;
  world.Upstreams[3].FailShare = 0.4;
  world.run(12s);
  const double share =
      static_cast<double>(world.Upstreams[3].Arrivals - before) /
      world.tally(2s, 12s).Asked;
  BOOST_TEST(share <= 1.0 / 14 / 2); // Half of its usual part.
}

// Work takes five times as long there and no report says so.
BOOST_AUTO_TEST_CASE(upstreamsThatAreSlowWithoutSayingSoGetLess) {
  World world(6, noisy(), 29);
  world.load(lookups(150), 14s);
  world.run(2s);
  const unsigned before = world.Upstreams[3].Arrivals;
  world.Upstreams[3].Slow = 5;
  world.run(13s);
  const double share =
      static_cast<double>(world.Upstreams[3].Arrivals - before) /
      world.tally(2s, 14s).Asked;
  BOOST_TEST(share <= 1.0 / 14 / 2);
  BOOST_TEST(world.tally(3s, 14s).inTime() >= 0.96);
}

// Where nothing was heard of the others for a while, they are asked first. In a
// large fleet each instance may save up little more than one repeat.
BOOST_DATA_TEST_CASE(aRequestThatTakesLongIsTriedElsewhereToo,
                     (std::vector<std::size_t>{1, 13, 126, 300}), sharers) {
  World world(1, UpstreamKind{}, 47);
  world.Plan.Budget = {0.2, 162, sharers};
  world.replan();
  world.load(lookups(50), 2s);
  world.run(4s);
  const std::uint64_t before = world.Repeats;
  Kind stuck = lookups(1);
  stuck.Work = 10s;
  world.ask(stuck, 0);
  world.run(500ms);
  BOOST_TEST(world.Repeats == before + 1);
}

BOOST_AUTO_TEST_CASE(withoutAnyUpstreamRequestsAreRefusedAtOnce) {
  World world(2, noisy(), 1);
  world.Upstreams.clear();
  world.replan();
  const auto id = world.ask(lookups(1), 0);
  world.run(1s);
  const SimulatedRequest &it = world.Requests.at(id);
  BOOST_REQUIRE(it.RefusedAs.has_value());
  BOOST_TEST((*it.RefusedAs == Truth::DidNotRun));
  BOOST_TEST((*it.AnsweredAt == it.Arrived));
  BOOST_TEST((it.RetryAfter > Duration{0}));
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesFreesTheUpstream) {
  World world(1, UpstreamKind{}, 1);
  Kind kind = lookups(1);
  kind.Work = 10s;
  kind.Treatment.MaxAttempts = 1;
  kind.Deadline = 20s;
  const auto id = world.ask(kind, 0);
  world.run(100ms);
  unsigned running = 0;
  for (const SimulatedUpstream &it : world.Upstreams) {
    running += it.Running;
  }
  BOOST_TEST(running == 1);
  world.leave(id);
  world.run(100ms);
  for (const SimulatedUpstream &it : world.Upstreams) {
    BOOST_TEST(it.Running == 0);
  }
}

// Such a request crashes each upstream that begins to run it, and its caller
// sends it again, anywhere.
BOOST_AUTO_TEST_CASE(requestsThatCrashUpstreamsAreRefusedEverywhere) {
  World world(6, noisy(), 31);
  world.load(lookups(100), 20s);
  constexpr std::uint64_t poison = 0xdead;
  for (unsigned n = 0; n < 20; ++n) {
    world.at(500ms * (n + 2),
             [&world, n] { world.ask(lookups(1), n % 6, poison, true); });
  }

  world.run(22s);
  unsigned crashes = 0;
  for (const auto &[id, it] : world.Requests) {
    crashes += it.Poison ? it.Runs : 0;
  }
  BOOST_TEST(crashes <= 3);
  BOOST_TEST(world.tally(12s, 20s).served() >= 0.99);
}

// The same load at the same seed gives the same.
BOOST_AUTO_TEST_CASE(aSeedGivesTheSameRunAgain) {
  const auto play = [] {
    World world(4, noisy(), 41);
    world.load(lookups(200), 3s);
    world.run(4s);
    return world.tally(0s, 3s).InTime;
  };
  BOOST_TEST(play() == play());
}

// Only few of many upstreams work, and all want to know how those are. In any
// second one upstream may be asked 60 times, over all instances.
BOOST_DATA_TEST_CASE(oneUpstreamIsNotAskedForAll,
                     (std::vector<std::size_t>{1, 6, 13}), instances) {
  World world(instances, noisy(), 59);
  world.load(lookups(100), 10s);
  for (unsigned n = 2; n < world.Upstreams.size(); ++n) {
    world.kill(n);
  }
  world.run(10s);
  for (const SimulatedUpstream &it : world.Upstreams) {
    BOOST_TEST(it.Probes <= 60 * 10);
  }
}

// It was out of order, and its health checks go on to say so.
BOOST_AUTO_TEST_CASE(anUpstreamThatSaysItIsIllIsAskedRarely) {
  World world(3, noisy(), 53);
  world.load(lookups(100), 8s);
  world.run(1s);
  world.kill(0);
  world.run(1s);
  world.Upstreams[0].Alive = true;
  world.Upstreams[0].SaysIll = true;
  const unsigned before = world.Upstreams[0].Probes;
  world.run(5s);
  BOOST_TEST(world.Upstreams[0].Probes - before <= 3 * 5);
}

// Health checks stay below half of what the users allow for an upstream.
BOOST_AUTO_TEST_CASE(healthChecksStayWithinTheirBudget) {
  World world(13, noisy(), 43);
  world.load(lookups(800), 10s);
  world.run(10s);
  for (const SimulatedUpstream &it : world.Upstreams) {
    BOOST_TEST(it.Probes <= 60 * 10);
  }
}
