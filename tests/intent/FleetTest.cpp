#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "FleetModel.h"
#include "zinniarail/core/Random.h"

using namespace zinniarail;
using namespace zinniarail::fleet;

namespace {

constexpr unsigned BreachSeeds = 200;

std::vector<Event> drawSchedule(std::uint64_t seed) {
  Random random(seed);
  std::vector<Event> events(5 + drawBelow(random, 20));
  for (Event &it : events) {
    it.What = static_cast<FleetFault>(drawBelow(random, 7));
    it.Who = drawBelow(random, 100);
    it.Then = 50ms * drawBelow(random, 120);
  }
  return events;
}

// Plays a schedule and heals; says what promise was broken.
std::optional<std::string> play(const std::vector<Event> &events,
                                Breach breach) {
  Fleet fleet(breach);
  for (const Event &it : events) {
    fleet.apply(it);
  }
  fleet.heal();
  if (!fleet.Violation && !fleet.isEverywhere()) {
    return "not in force everywhere after the faults healed";
  }
  return fleet.Violation;
}

} // namespace

BOOST_AUTO_TEST_CASE(versionsOnlyRiseReachEverybodyAndExpire) {
  BOOST_TEST(rc::check([](std::uint64_t seed) {
    const auto violation = play(drawSchedule(seed), Breach::None);
    RC_ASSERT(violation.value_or("") == "");
  }));
}

BOOST_DATA_TEST_CASE(theCheckFindsADeliberateBreach,
                     (std::vector<int>{
                         static_cast<int>(Breach::ArrivalIsProof),
                         static_cast<int>(Breach::ContactInDomain),
                         static_cast<int>(Breach::VersionsFall)}),
                     breach) {
  unsigned found = 0;
  for (unsigned seed = 0; seed < BreachSeeds; ++seed) {
    found += play(drawSchedule(seed), static_cast<Breach>(breach)) ? 1 : 0;
  }
  BOOST_TEST(found > 0u);
}

namespace {

struct Story {
  const char *Name;
  std::vector<Event> Events;
  Breach Flaw;
  unsigned Valid; ///< Instances that may act at the end.
};
std::ostream &operator<<(std::ostream &out, const Story &it) {
  return out << it.Name;
}

const std::vector<Event> HoursOfOutage{{FleetFault::Outage, 0, 2h}};
const std::vector<Event> RestartInOutage{{FleetFault::Outage, 0, 5s},
                                         {FleetFault::Restart, 1, 5s}};
const std::vector<Event> RollInOutage{
    {FleetFault::Outage, 0, 5s},  {FleetFault::Restart, 0, 5s},
    {FleetFault::Restart, 1, 5s}, {FleetFault::Restart, 2, 5s},
    {FleetFault::Restart, 3, 5s}, {FleetFault::Restart, 4, 5s},
    {FleetFault::Restart, 5, 5s}};
const std::vector<Event> AllAtOnceInOutage{
    {FleetFault::Outage, 0, 5s},   {FleetFault::Restart, 0, 0s},
    {FleetFault::Restart, 1, 0s},  {FleetFault::Restart, 2, 0s},
    {FleetFault::Restart, 3, 0s},  {FleetFault::Restart, 4, 0s},
    {FleetFault::Restart, 5, 1min}};

// What an outage of the platform leaves working, and what it would not.
const std::vector<Story> Stories{
    {"outage for hours", HoursOfOutage, Breach::None, 6},
    {"outage for hours, contact counts nothing", HoursOfOutage,
     Breach::PlatformOnly, 0},
    {"one restarts in an outage", RestartInOutage, Breach::None, 6},
    {"one restarts in an outage, no relays", RestartInOutage, Breach::NoRelays,
     5},
    {"all restart one by one in an outage", RollInOutage, Breach::None, 6},
    {"all restart at once in an outage", AllAtOnceInOutage, Breach::None, 0},
    {"one is paused for minutes, and is still",
     {{FleetFault::Pause, 1, 5min}},
     Breach::None,
     5},
    {"a domain is cut off", {{FleetFault::CutDomain, 1, 5s}}, Breach::None, 4},
    {"a domain is cut off in an outage",
     {{FleetFault::Outage, 0, 5s}, {FleetFault::CutDomain, 1, 5s}},
     Breach::None,
     4},
    {"a change while one is paused, which wakes",
     {{FleetFault::Pause, 1, 10s},
      {FleetFault::Write, 0, 10s},
      {FleetFault::Pause, 1, 4s}},
     Breach::None,
     6},
    {"a change just before an outage",
     {{FleetFault::Write, 0, 500ms}, {FleetFault::Outage, 0, 4s}},
     Breach::None,
     6},
};

} // namespace

BOOST_DATA_TEST_CASE(whatAnOutageLeaves, Stories, it) {
  Fleet fleet(it.Flaw);
  for (const Event &event : it.Events) {
    fleet.apply(event);
  }
  BOOST_TEST(fleet.Violation.value_or("") == "");
  const auto valid =
      std::count_if(fleet.Nodes.begin(), fleet.Nodes.end(),
                    [&](const Node &node) { return fleet.isValid(node); });
  BOOST_TEST(valid == it.Valid);
}
