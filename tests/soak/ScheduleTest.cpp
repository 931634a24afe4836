#include <set>

#include <boost/test/unit_test.hpp>

#include "soak/Schedule.h"

using namespace zinniarail::soak;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aSeedGivesTheSameScheduleAgain) {
  BOOST_TEST((drawSchedule({}, 7) == drawSchedule({}, 7)));
  BOOST_TEST((drawSchedule({}, 7) != drawSchedule({}, 8)));
}

BOOST_AUTO_TEST_CASE(fiftySeedsPlayEachIncident) {
  std::set<Incident> seen;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const Entry &it : drawSchedule({}, seed)) {
      seen.insert(it.What);
    }
  }
  BOOST_TEST(seen.size() == IncidentCount);
}

BOOST_AUTO_TEST_CASE(allIsOverBeforeTheQuietEnd) {
  const Scope scope;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const Entry &it : drawSchedule(scope, seed)) {
      BOOST_TEST((it.At + it.For <= scope.Length - 4s));
      BOOST_TEST(it.Target < scope.Upstreams);
    }
  }
}

BOOST_AUTO_TEST_CASE(plannedWorkAloneCanBeAskedFor) {
  Scope scope;
  scope.OnlyPlanned = true;
  for (const Entry &it : drawSchedule(scope, 3)) {
    BOOST_TEST(isPlanned(it.What));
  }
}
