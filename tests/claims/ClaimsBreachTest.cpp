// Each rule is broken on purpose: the same check must then find a double
// grant, else it would prove nothing.
#include "ClaimNet.h"

#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

std::vector<Fault> drawFaults(Random &draws) {
  std::vector<Fault> faults(5 + drawBelow(draws, 20));
  for (Fault &it : faults) {
    it = {static_cast<Fault::Kind>(drawBelow(draws, 6)), drawBelow(draws, 32),
          drawBelow(draws, 50), drawBelow(draws, 20)};
  }
  return faults;
}

// A schedule of faults drawn at random.
bool playAnything(ClaimRule broken, unsigned seed) {
  Random draws(seed);
  ClaimNet net({.Broken = broken, .Seed = seed});
  net.play(drawFaults(draws));
  return net.Violations.empty();
}

// All holders are cut off together, from the store and from the others, who
// are most of the members, for longer than lost claims are waited out.
bool cutHoldersOff(ClaimRule broken, unsigned seed) {
  ClaimNet net({.Nodes = 7, .Broken = broken, .Seed = seed, .PerService = 100});
  net.Quiet = true;
  net.Noise = false;
  net.run(3s);
  const auto holders = net.holders();
  std::vector<unsigned> others;
  for (unsigned it = 0; it < 7; ++it) {
    if (std::find(holders.begin(), holders.end(), it) == holders.end()) {
      others.push_back(it);
    }
  }
  for (const unsigned it : holders) {
    net.cutStore(it, true);
    for (const unsigned other : others) {
      net.cut(it, other, true);
    }
  }
  for (int it = 0; it < 60; ++it) {
    const std::string key = "k" + std::to_string(it);
    net.claim(holders[0], key);
    net.run(100ms);
    net.claim(others[0], key);
    net.run(100ms);
  }
  return net.Violations.empty();
}

// A holder starts again with nothing while the roster cannot change, and
// another that has the claim is paused.
bool restartHolder(ClaimRule broken, unsigned seed) {
  ClaimNet net({.Broken = broken, .Seed = seed});
  net.Quiet = true;
  net.Noise = false;
  net.run(3s);
  net.Outage = true;
  const auto holders = net.holders();
  net.claim(holders[0], "k" + std::to_string(seed));
  net.run(20ms);
  net.crash(holders[seed % 3], 100ms);
  net.run(600ms);
  net.pause(holders[(seed + 1) % 3], 3s);
  net.run(300ms);
  net.claim(holders[(seed + 2) % 3], "k" + std::to_string(seed));
  net.run(1s);
  return net.Violations.empty();
}

// An asker sleeps through the window between its records and its grant, with
// answers of witnesses that it still trusts.
bool sleepBeforeGrant(ClaimRule broken, unsigned seed) {
  ClaimNet net(
      {.Broken = broken, .Seed = seed, .WitnessLifetime = Duration{1h}});
  net.Quiet = true;
  net.Noise = false;
  net.run(3s);
  const auto holders = net.holders();
  net.claim(holders[seed % 3], "k");
  net.run(Duration{500}); // Asked, not yet answered.
  net.pause(holders[seed % 3], 3500ms);
  for (int it = 0; it < 40; ++it) {
    net.claim(holders[(seed + 1) % 3], "k");
    net.run(100ms);
  }
  return net.Violations.empty();
}

using Schedule = bool (*)(ClaimRule broken, unsigned seed);

struct Breach {
  std::string Name;
  ClaimRule Rule;
  Schedule Play;
};
std::ostream &operator<<(std::ostream &out, const Breach &it) {
  return out << it.Name;
}

const std::vector<Breach> Breaches{
    {"a grant with one record", ClaimRule::MajorityRecords, playAnything},
    {"a holder vouches in any generation", ClaimRule::SameGeneration,
     playAnything},
    {"a new holder vouches at once", ClaimRule::ReadyBeforeRecord,
     playAnything},
    {"a new holder asks one former holder", ClaimRule::ReadyByMajority,
     playAnything},
    {"lost claims are not waited out", ClaimRule::WaitWhenLost, playAnything},
    {"an asker needs no witnesses", ClaimRule::Witnesses, cutHoldersOff},
    {"a restarted holder is the same one", ClaimRule::NewIncarnation,
     restartHolder},
    {"a full holder drops a young claim", ClaimRule::KeepYoung, playAnything},
    {"a release drops any claim", ClaimRule::TokenOnRelease, playAnything},
    {"a late grant counts", ClaimRule::GrantInTime, sleepBeforeGrant},
};

constexpr unsigned SchedulesPerRule = 100;

/// \returns with which seed a double grant was found; 0 for never.
unsigned findDoubleGrant(const Breach &breach, ClaimRule broken) {
  for (unsigned it = 1; it <= SchedulesPerRule; ++it) {
    if (!breach.Play(broken, it)) {
      return it;
    }
  }
  return 0;
}

} // namespace

BOOST_DATA_TEST_CASE(aBrokenRuleIsFound, boost::unit_test::data::make(Breaches),
                     breach) {
  const unsigned found = findDoubleGrant(breach, breach.Rule);
  BOOST_TEST_MESSAGE(breach.Name << ": found with seed " << found);
  BOOST_TEST(found != 0);
}

BOOST_DATA_TEST_CASE(
    theSameSchedulesHoldWithEveryRule,
    boost::unit_test::data::make<Schedule>({playAnything, cutHoldersOff,
                                            restartHolder, sleepBeforeGrant}),
    schedule) {
  BOOST_TEST(
      findDoubleGrant({"", ClaimRule::None, schedule}, ClaimRule::None) == 0);
}
