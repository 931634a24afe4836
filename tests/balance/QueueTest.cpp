// The work that a long queue costs, and whose requests it holds.
#include <algorithm>
#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/balance/Engine.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};
constexpr unsigned Slots = 4;

/// An engine whose upstreams are full, and know it.
struct FullService {
  FullService(unsigned upstreams, bool ordersByCost) {
    ServicePlan plan;
    plan.Service = "s";
    plan.Domain = "a";
    plan.OrdersByCost = ordersByCost;
    for (unsigned n = 0; n < upstreams; ++n) {
      plan.Upstreams.push_back(
          {"u" + std::to_string(n), "a", Slots, Duration{0}, 0});
    }
    Tested = makeEngine(plan, Random(1, 1), 1, Start);
    for (const PlannedUpstream &it : plan.Upstreams) {
      ProbeEnded probe;
      probe.Upstream = it.Id;
      probe.Reached = probe.Healthy = true;
      probe.Report = LoadReport{Slots, 0, Slots, 1};
      handle(probe);
    }
  }

  Actions handle(const Event &event, Instant now = Start) const {
    Actions actions;
    handleEvent(*Tested, event, now, actions);
    return actions;
  }

  /// \returns the actions at the arrival of request number LastRequest.
  Actions arrive(std::uint64_t connection = 0, unsigned priority = 1) {
    RequestArrived arrival;
    arrival.Request = RequestId{++LastRequest};
    arrival.Policy.Priority = priority;
    arrival.Deadline = Start + 10s;
    arrival.Connection = connection;
    return handle(arrival);
  }

  std::uint64_t placements() const { return countersOf(*Tested).Placements; }

  EnginePtr Tested;
  std::uint64_t LastRequest = 0;
};

struct LengthCase {
  unsigned Length; ///< Of the queue.
  bool OrdersByCost;
};

std::ostream &operator<<(std::ostream &out, const LengthCase &it) {
  return out << it.Length << (it.OrdersByCost ? " by cost" : "");
}

const std::vector<LengthCase> LengthCases{{16, false},   {256, false},
                                          {4096, false}, {16, true},
                                          {256, true},   {4096, true}};

/// Searches that an event may cost on average, whatever the queue holds.
constexpr std::uint64_t SearchesPerEvent = 32;

} // namespace

// Guards against work for each event that grows with the queue.
BOOST_DATA_TEST_CASE(workOfAnEventDoesNotGrowWithTheQueue, LengthCases, row) {
  FullService it(row.Length / Slots / 4 + 1, row.OrdersByCost);
  while (waitingRequests(*it.Tested) < row.Length) {
    it.arrive();
  }
  constexpr std::uint64_t rounds = 512;
  const std::uint64_t before = it.placements();
  for (std::uint64_t n = 0; n < rounds; ++n) {
    it.handle(CallerGone{RequestId{n + 1}});
    it.arrive();
  }
  BOOST_TEST(waitingRequests(*it.Tested) == row.Length);
  BOOST_TEST(it.placements() - before <= rounds * 2 * SearchesPerEvent);
}

// A request that has waited is sent once there is room, however long the queue.
BOOST_DATA_TEST_CASE(freedSlotGoesToTheFirstInTheQueue, LengthCases, row) {
  FullService it(row.Length / Slots / 4 + 1, row.OrdersByCost);
  while (waitingRequests(*it.Tested) < row.Length) {
    it.arrive();
  }
  ProbeEnded probe;
  probe.Upstream = "u0";
  probe.Reached = probe.Healthy = true;
  probe.Report = LoadReport{0, 0, Slots, 1};
  std::set<std::uint64_t> sent;
  for (const Action &action : it.handle(probe)) {
    if (const auto *attempt = std::get_if<StartAttempt>(&action)) {
      sent.insert(numberOf(attempt->Request));
    }
  }
  BOOST_TEST(!sent.empty());
  BOOST_TEST((sent.empty() || *sent.rbegin() == sent.size()));
}

// None waits for longer than its deadline, and all get their answers.
BOOST_DATA_TEST_CASE(queuedRequestsAreRefusedInTime, LengthCases, row) {
  FullService it(row.Length / Slots / 4 + 1, row.OrdersByCost);
  while (waitingRequests(*it.Tested) < row.Length) {
    it.arrive();
  }
  Instant now = Start;
  while (waitingRequests(*it.Tested) > 0 && now < Start + 11s) {
    now = std::max(nextTimer(*it.Tested), now + 1us);
    it.handle(TimerExpired{}, now);
  }
  BOOST_TEST(waitingRequests(*it.Tested) == 0U);
  BOOST_TEST((now <= Start + 10s));
}

namespace {

struct ShareCase {
  const char *Description;
  std::vector<std::uint64_t> Queued; ///< By connection; fills the queue.
  std::uint64_t Connection;          ///< Of the newcomer.
  unsigned Priority;                 ///< Of the newcomer.
  unsigned Refused;                  ///< Number of the request that is refused.
};

std::ostream &operator<<(std::ostream &out, const ShareCase &it) {
  return out << it.Description;
}

std::vector<std::uint64_t> queueOf(std::uint64_t first, unsigned count,
                                   std::uint64_t rest) {
  std::vector<std::uint64_t> out(std::size_t{Slots} * 4, rest);
  std::fill_n(out.begin(), count, first);
  return out;
}

const std::vector<ShareCase> ShareCases{
    {"one connection holds the queue", queueOf(1, 16, 1), 2, 1, 16},
    {"the one that holds most", queueOf(1, 11, 2), 3, 1, 11},
    {"its own connection holds the queue", queueOf(1, 16, 1), 1, 1, 17},
    {"two share the queue, and it has one less", queueOf(1, 8, 2), 2, 1, 17},
    {"more urgent requests keep their places", queueOf(1, 16, 1), 2, 2, 17},
    {"an urgent newcomer", queueOf(1, 16, 1), 2, 0, 16},
    {"all of one another's",
     {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
     17,
     1,
     17}};

} // namespace

// A connection with many requests doesn't keep out callers with few.
BOOST_DATA_TEST_CASE(fullQueueIsSharedByConnections, ShareCases, row) {
  FullService it(1, false);
  for (const std::uint64_t connection : row.Queued) {
    it.arrive(connection);
  }
  BOOST_REQUIRE(waitingRequests(*it.Tested) == row.Queued.size());
  const Actions actions = it.arrive(row.Connection, row.Priority);
  std::vector<std::uint64_t> refused;
  for (const Action &action : actions) {
    if (const auto *refusal = std::get_if<Refuse>(&action)) {
      refused.push_back(numberOf(refusal->Request));
      BOOST_TEST((refusal->Outcome == Execution::DidNotRun));
    }
  }
  BOOST_TEST(refused == std::vector<std::uint64_t>{row.Refused},
             boost::test_tools::per_element());
}
