#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cluster/System.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

// Between two steps of a fault, so that load meets each state.
constexpr auto Pause = 500ms;
constexpr auto LongPause = 3500ms; // beyond the lifetime of a view

void rest(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

void killOne(System &it) { it.kill(it.Nodes.instances()[0]); }

void killTwoDomains(System &it) {
  it.kill(it.Nodes.instances()[0]);
  it.kill(it.Nodes.instances()[1]);
}

void freezeAndWake(System &it) {
  it.Nodes.instances()[2].Running.signal(SIGSTOP);
  rest(LongPause);
  it.Nodes.instances()[2].Running.signal(SIGCONT);
}

void platformOut(System &it) {
  BOOST_TEST(it.Nodes.setPlatformFaults({{"outage", "hang"}}));
  rest(LongPause);
}

void freezeWhilePlatformIsOut(System &it) {
  platformOut(it);
  freezeAndWake(it);
}

void freezeUpstreamsAndKill(System &it) {
  BOOST_TEST(it.Nodes.setUpstreamFaults(
      {{"freeze", true},
       {"upstreams", {"pedidos-1", "pedidos-2", "pedidos-3"}}}));
  killOne(it);
}

struct Case {
  const char *Name;
  void (*Disturb)(System &);
};

std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name;
}

const std::vector<Case> Cases{
    {"instances of two failure domains are killed", killTwoDomains},
    {"an instance is frozen and wakes while the platform hangs",
     freezeWhilePlatformIsOut},
    {"upstreams freeze, and an instance is killed", freezeUpstreamsAndKill},
};

constexpr unsigned LoadSeconds = 8;

} // namespace

BOOST_DATA_TEST_CASE(nothingIsLostDoubledOrFalse, Cases, it) {
  System system;
  system.startCallers(LoadSeconds);
  rest(Pause);
  it.Disturb(system);
  checkSound(system.finish());
}

// Callers that find no instance at all get no answer; an order that ran before
// must not run again after the return, though no instance remembers it.
BOOST_AUTO_TEST_CASE(nothingIsDoubledWhenAllInstancesAreKilledAndReturn) {
  System system;
  system.startCallers(LoadSeconds);
  rest(Pause);
  for (auto &node : system.Nodes.instances()) {
    system.kill(node);
  }
  for (auto &node : system.Nodes.instances()) {
    BOOST_REQUIRE(system.Nodes.startInstance(node));
  }
  checkTrue(system.finish());
}

BOOST_AUTO_TEST_CASE(aDomainThatIsOutGetsNoNewWorkUntilItReturns) {
  System system;
  constexpr unsigned seconds = 12;
  system.startCallers(seconds);
  rest(Pause);
  BOOST_TEST(system.takenIn("bilbao") > 0u);
  const auto shown = standins::fetch(
      {.Url = "http://" + system.Nodes.instances()[0].OperatorAddress +
              "/version-in-force"});
  BOOST_TEST(boost::json::parse(shown.Body).at("environment").as_string() ==
             "production");
  BOOST_TEST(system.operate({"domain", "out", "bilbao"}) == 0);
  BOOST_TEST(system.operate({"status", "--wait-ms", "60000"}) == 0);
  const auto before = system.takenIn("bilbao");
  rest(LongPause);
  BOOST_TEST(system.takenIn("bilbao") == before);
  BOOST_TEST(system.operate({"domain", "in", "bilbao"}) == 0);
  BOOST_TEST(system.operate({"status", "--wait-ms", "60000"}) == 0);
  const auto report = system.finish();
  checkSound(report);
  BOOST_TEST(countIn(report, "unknown") == 0u, report);
  BOOST_TEST(system.takenIn("bilbao") > before);
}
