// Requests that crash the upstreams that run them, on real processes.
#include <csignal>
#include <string>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

constexpr unsigned CrashingRequests = 6;

/// Three instances in one failure domain.
standins::DeploymentPlan makePlan() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.HasLinks = false;
  plan.Services = {{"orders", 8, 20ms}, {"archive", 3, 20ms}};
  return plan;
}

/// Starts crashed upstreams again, each under another id.
void restartCrashed(Drill &drill) {
  static unsigned restarts = 0;
  for (auto &it : drill.Deployed.Upstreams) {
    if (!it->isAlive()) {
      it->restart("again" + std::to_string(++restarts));
      it->Faults.CrashOn = "crashing";
    }
  }
}

void sendCrashing(Drill &drill, std::size_t instance) {
  static unsigned sent = 0;
  drill.get(drill.Deployed.Instances[instance].CallerAddress, "/order/crashing",
            "X-Request-Id: c" + std::to_string(++sent) +
                "\r\nX-Deadline-Milliseconds: 2000\r\n",
            "POST");
}

} // namespace

// Connections to the upstreams are kept from health checks and other requests.
BOOST_DATA_TEST_CASE(requestsThatCrashUpstreamsOnKeptConnectionsAreQuarantined,
                     (std::vector<unsigned>{0, 1, 4}), harmlessBefore) {
  Drill drill(makePlan());
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.CrashOn = "crashing";
  }
  unsigned sent = 0;
  for (unsigned n = 0; n < CrashingRequests; ++n) {
    const std::size_t instance = n % drill.Deployed.Instances.size();
    for (unsigned k = 0; k < harmlessBefore; ++k) {
      BOOST_TEST(drill.sendRequest("POST", "/order/",
                                   "w" + std::to_string(++sent),
                                   instance) == 200);
    }
    sendCrashing(drill, instance);
    drill.EventLoop.runFor(300ms);
    restartCrashed(drill);
    drill.EventLoop.runFor(200ms);
  }
  BOOST_TEST(drill.Deployed.Executions.Crashes >= 1);
  BOOST_TEST(drill.Deployed.Executions.Crashes <= 3);
}

BOOST_AUTO_TEST_CASE(restartedInstanceKnowsTheQuarantine) {
  Drill drill(makePlan());
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.CrashOn = "crashing";
  }
  for (unsigned n = 0; n < CrashingRequests; ++n) {
    sendCrashing(drill, 0);
    drill.EventLoop.runFor(100ms);
  }
  const unsigned before = drill.Deployed.Executions.Crashes;
  BOOST_REQUIRE(before <= 3);
  drill.Deployed.Instances[1].Child.signal(SIGKILL);
  drill.Deployed.Instances[1].Child.wait(5s);
  BOOST_REQUIRE(drill.Deployed.startInstance(1));
  BOOST_REQUIRE(drill.EventLoop.runUntil([&] { return drill.isReady(1); }));
  drill.EventLoop.runFor(1s);
  sendCrashing(drill, 1);
  drill.EventLoop.runFor(200ms);
  BOOST_TEST(drill.Deployed.Executions.Crashes == before);
}
