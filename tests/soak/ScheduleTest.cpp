#include <set>

#include <boost/test/unit_test.hpp>

#include "soak/Schedule.h"

using namespace zinniarail::soak;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aSeedAlwaysGivesTheSameSchedule) {
  BOOST_TEST((drawSchedule({}, 7) == drawSchedule({}, 7)));
  BOOST_TEST((drawSchedule({}, 7) != drawSchedule({}, 8)));
}

BOOST_AUTO_TEST_CASE(fiftySeedsCoverEveryIncident) {
  std::set<Incident> seen;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const ScheduledIncident &it : drawSchedule({}, seed)) {
      seen.insert(it.Kind);
    }
  }
  BOOST_TEST(seen.size() == IncidentCount);
}

BOOST_AUTO_TEST_CASE(incidentsEndBeforeTheQuietEnd) {
  const ScheduleParameters parameters;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const ScheduledIncident &it : drawSchedule(parameters, seed)) {
      BOOST_TEST((it.StartOffset + it.ActiveTime <= parameters.Length - 4s));
      BOOST_TEST(it.Target < parameters.Upstreams);
    }
  }
}

BOOST_AUTO_TEST_CASE(onlyPlannedSchedulesContainNoFaults) {
  ScheduleParameters parameters;
  parameters.PlannedWorkOnly = true;
  for (const ScheduledIncident &it : drawSchedule(parameters, 3)) {
    BOOST_TEST(isPlanned(it.Kind));
  }
}
