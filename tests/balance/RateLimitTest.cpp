// Limits that upstreams name on the requests they take from all instances.
#include <algorithm>
#include <chrono>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Simulation.h"
#include "balance/RateLimits.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace {

// What the users allow: in any window from LimitGrace after the limit was first
// named, OverLimitFactor times what it takes and ExtraRequests.
constexpr Duration LimitGrace = 3s;
constexpr Duration LimitWindow = 4s;
constexpr double OverLimitFactor = 1.5;
constexpr double ExtraRequests = 5;

double allowedInWindow(double limit) {
  return limit * std::chrono::duration<double>(LimitWindow).count() *
             OverLimitFactor +
         ExtraRequests;
}

/// The most arrivals in a window that begins at \p from or later.
std::size_t mostInWindow(const std::vector<Instant> &arrivals, Instant from) {
  std::size_t most = 0;
  for (auto it = std::lower_bound(arrivals.begin(), arrivals.end(), from);
       it != arrivals.end(); ++it) {
    const auto end = std::lower_bound(it, arrivals.end(), *it + LimitWindow);
    most = std::max(most, static_cast<std::size_t>(end - it));
  }
  return most;
}

RequestKind lookups(double perSecond) {
  RequestKind it;
  it.Name = "lookup";
  it.RequestsPerSecond = perSecond;
  it.Policy = {"lookup", true, 2, 2, 200ms};
  return it;
}

struct LimitCase {
  const char *Name;
  std::size_t Instances;
  double Limit;
  unsigned LimitedUpstreams; ///< Of 14.
  double RequestsPerSecond;
};
std::ostream &operator<<(std::ostream &out, const LimitCase &it) {
  return out << it.Name;
}

const LimitCase LimitCases[] = {
    {"1 instance", 1, 1.7, 2, 60},
    {"13 instances", 13, 1.7, 2, 100},
    {"13 instances, a lower limit", 13, 1.2, 2, 100},
    {"13 instances, nearly nothing", 13, 0.1, 2, 100},
    {"13 instances, a higher limit", 13, 12, 2, 100},
    {"13 instances, all upstreams", 13, 1.7, 14, 60},
    {"100 instances", 100, 1.7, 2, 100},
    {"100 instances, all upstreams", 100, 1.7, 14, 60},
    {"300 instances", 300, 1.2, 2, 100},
    {"300 instances, a higher limit", 300, 12, 2, 100},
};

/// Limits the first upstreams.
void nameLimits(Simulation &simulation, const LimitCase &row) {
  for (unsigned n = 0; n < row.LimitedUpstreams; ++n) {
    simulation.Upstreams[n].RateLimit = row.Limit;
  }
}

void checkLimits(const Simulation &simulation, const LimitCase &row,
                 Instant named) {
  for (unsigned n = 0; n < row.LimitedUpstreams; ++n) {
    BOOST_TEST(mostInWindow(simulation.Upstreams[n].LimitedArrivals,
                            named + LimitGrace) <= allowedInWindow(row.Limit));
  }
}

} // namespace

BOOST_DATA_TEST_CASE(limitsThatUpstreamsNameAreKept,
                     boost::unit_test::data::make(LimitCases), row) {
  Simulation simulation(row.Instances, {}, 67);
  simulation.addLoad(lookups(row.RequestsPerSecond), 60s);
  simulation.run(2s);
  nameLimits(simulation, row);
  const Instant named = simulation.now();
  simulation.run(58s);
  checkLimits(simulation, row, named);
  if (row.LimitedUpstreams < simulation.Upstreams.size()) {
    BOOST_TEST(simulation.tally(2s, 60s).served() >= 0.99);
  }
}

// Requests come in bursts, after which all instances have requests to place.
BOOST_DATA_TEST_CASE(limitsAreKeptInBursts,
                     boost::unit_test::data::make(LimitCases), row) {
  Simulation simulation(row.Instances, {}, 71);
  simulation.addLoad(lookups(20), 60s);
  for (unsigned n = 0; n < 5; ++n) {
    simulation.scheduleAfter(
        12s * n + 6s, [&simulation] { simulation.addLoad(lookups(600), 2s); });
  }
  simulation.run(2s);
  nameLimits(simulation, row);
  const Instant named = simulation.now();
  simulation.run(60s);
  checkLimits(simulation, row, named);
}

// A quarter of the instances leaves and comes back.
BOOST_DATA_TEST_CASE(limitsAreKeptWhileInstancesComeAndGo,
                     boost::unit_test::data::make(LimitCases), row) {
  Simulation simulation(row.Instances, {}, 73);
  const std::size_t stayers = row.Instances - row.Instances / 4;
  simulation.addLoad(lookups(row.RequestsPerSecond), 60s, 0, stayers);
  simulation.run(2s);
  nameLimits(simulation, row);
  const Instant named = simulation.now();
  for (unsigned n = 0; n < 5; ++n) {
    simulation.run(10s);
    simulation.KnownInstances = n % 2 == 0 ? stayers : row.Instances;
    simulation.updatePlan();
  }
  simulation.run(8s);
  checkLimits(simulation, row, named);
}

// All upstreams are limited to much less than what is asked for.
BOOST_AUTO_TEST_CASE(requestsBeyondAllLimitsAreRefusedAtOnce) {
  Simulation simulation(13, {}, 79);
  simulation.addLoad(lookups(100), 60s);
  simulation.run(2s);
  for (SimulatedUpstream &it : simulation.Upstreams) {
    it.RateLimit = 2;
  }
  simulation.run(60s);
  unsigned refused = 0;
  unsigned late = 0;
  std::set<Duration> retryAfter;
  for (const auto &[id, it] : simulation.Requests) {
    if (it.Arrived < Simulation::start() + 10s ||
        it.Refusal != RefusalReason::Overloaded) {
      continue;
    }
    ++refused;
    BOOST_TEST((it.RefusedOutcome == Execution::DidNotRun));
    late += *it.AnsweredAt - it.Arrived > 20ms ? 1 : 0;
    retryAfter.insert(it.RetryAfter);
    BOOST_TEST((it.RetryAfter > 0ms));
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(late <= refused / 20);
  BOOST_TEST(retryAfter.size() > refused / 2); // They don't return together.
  const Tally all = simulation.tally(10s, 60s);
  constexpr double taken = 2 * 14 * 50; // By the limits.
  BOOST_TEST(all.InTime + all.Late >= taken / 2);
}

// Most of the instances hold no share, and must not send callers away for long.
BOOST_AUTO_TEST_CASE(refusalsWithoutAShareSayWhenOthersMayServe) {
  UpstreamProfile two;
  two.Count = 2;
  Simulation simulation(100, two, 89);
  simulation.addLoad(lookups(40), 30s);
  simulation.run(2s);
  for (SimulatedUpstream &it : simulation.Upstreams) {
    it.RateLimit = 2;
  }
  simulation.run(30s);
  for (const auto &[id, it] : simulation.Requests) {
    if (it.Refusal == RefusalReason::Overloaded) {
      BOOST_TEST((it.RetryAfter <= 10s));
    }
  }
}

BOOST_AUTO_TEST_CASE(anUpstreamWhoseLimitEndsIsUsedInFullAgain) {
  Simulation simulation(13, {}, 83);
  simulation.addLoad(lookups(100), 80s);
  simulation.run(2s);
  simulation.Upstreams[0].RateLimit = 1.7;
  simulation.run(10s);
  simulation.Upstreams[0].RateLimit.reset();
  simulation.run(10s);
  const unsigned before = simulation.Upstreams[0].Arrivals;
  simulation.run(10s);
  const double even = 100.0 / 14 * 10;
  BOOST_TEST(simulation.Upstreams[0].Arrivals - before >= even / 2);
}

namespace {

struct ShareCase {
  std::size_t Instances;
  double Limit;
};
std::ostream &operator<<(std::ostream &out, const ShareCase &it) {
  return out << it.Instances << " instances, limit " << it.Limit;
}
const ShareCase ShareCases[] = {{1, 1.7},  {2, 0},     {13, 0.3},
                                {13, 1.7}, {13, 40},   {300, 1.2},
                                {300, 25}, {300, 900}, {300, 1e30}};

} // namespace

// All holders may send a request at the same moment.
BOOST_DATA_TEST_CASE(theSharesOfALimitDoNotExceedIt,
                     boost::unit_test::data::make(ShareCases), row) {
  std::vector<std::string> ids;
  for (std::size_t n = 0; n < row.Instances; ++n) {
    ids.push_back("i" + std::to_string(n));
  }
  double inWindow = 0;
  for (const std::string &it : ids) {
    const RateShare share = shareOf(row.Limit, "u", it, ids);
    BOOST_TEST(share.Interval.count() >= 0);
    if (share.IsHolder) {
      inWindow += 1 + std::chrono::duration<double>(LimitWindow) /
                          std::chrono::duration<double>(share.Interval);
    }
  }
  BOOST_TEST(inWindow > 0);
  BOOST_TEST(inWindow <= allowedInWindow(row.Limit));
}
