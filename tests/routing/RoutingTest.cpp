#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

#include "zinniarail/routing/Guard.h"
#include "zinniarail/routing/Routing.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

struct PickCase {
  const char *Name;
  std::vector<Candidate> Candidates;
  std::set<std::size_t> Allowed; ///< By the policy Homes; empty: none.
};

std::ostream &operator<<(std::ostream &out, const PickCase &it) {
  return out << it.Name;
}

// In flight, limit, rank, others.
const std::vector<PickCase> PickCases{
    {"none", {}, {}},
    {"all full", {{1, 1, 0, 0}, {2, 2, 0, 0}}, {}},
    {"not to be used", {{0, 0, 0, 0}, {1, 2, 0, 0}}, {1}},
    {"least in flight", {{1, 4, 0, 0}, {0, 4, 0, 0}, {2, 4, 0, 0}}, {1}},
    {"equals", {{1, 4, 0, 0}, {1, 4, 0, 0}}, {0, 1}},
    {"rank first", {{0, 4, 1, 0}, {3, 4, 0, 0}}, {1}},
    {"own before reports", {{0, 4, 0, 4}, {1, 4, 0, 0}}, {0}},
    {"reports break ties", {{1, 4, 0, 2}, {1, 4, 0, 1}}, {1}},
};

const std::vector<RoutingPolicy> Policies{
    RoutingPolicy::Homes, RoutingPolicy::TwoChoices, RoutingPolicy::Random,
    RoutingPolicy::RoundRobin};

constexpr Instant Start{1h};

} // namespace

BOOST_DATA_TEST_CASE(homesTakeTheLeastLoaded, PickCases, it) {
  Random random(1);
  std::size_t cursor = 0;
  std::set<std::size_t> picked;
  for (int n = 0; n < 100; ++n) {
    const auto best =
        pickUpstream(it.Candidates, RoutingPolicy::Homes, random, cursor);
    if (best) {
      picked.insert(*best);
    }
  }
  BOOST_TEST(picked == it.Allowed, boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(noPolicyTakesWhatHasNoRoom,
                     PickCases *boost::unit_test::data::make({0, 1, 2, 3}), it,
                     policy) {
  Random random(1);
  std::size_t cursor = 0;
  for (int n = 0; n < 100; ++n) {
    const auto best =
        pickUpstream(it.Candidates, Policies[static_cast<std::size_t>(policy)],
                     random, cursor);
    BOOST_TEST(best.has_value() == !it.Allowed.empty());
    if (best) {
      BOOST_TEST(it.Candidates[*best].InFlight < it.Candidates[*best].Limit);
    }
  }
}

BOOST_AUTO_TEST_CASE(failuresEjectForLongerEachTimeUntilAnAnswer) {
  UpstreamHealth health;
  Instant now = Start;
  Duration last{0};
  for (int round = 0; round < 6; ++round) {
    while (!noteFailure(health, now)) {
    }
    BOOST_TEST((standingOf(health, now) == Standing::Ejected));
    BOOST_TEST((health.Backoff >= last));
    last = health.Backoff;
    now = health.EjectedUntil;
    BOOST_TEST((standingOf(health, now) == Standing::OnTrial));
  }
  BOOST_TEST((last == 4s));
  noteAnswer(health, 5ms, now);
  BOOST_TEST((standingOf(health, now) == Standing::Good));
}

BOOST_AUTO_TEST_CASE(anAnswerFromBeforeDoesNotEndAnEjection) {
  UpstreamHealth health;
  while (!noteFailure(health, Start)) {
  }
  noteAnswer(health, 5ms, Start + 1ms);
  BOOST_TEST((standingOf(health, Start + 1ms) == Standing::Ejected));
}
