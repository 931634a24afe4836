// Upstreams that are removed from the store while an instance loses its path to
// it, on real processes.
#include <algorithm>
#include <string>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

/// How long a removed upstream may still get new requests, at most.
constexpr Duration DrainTime = 2s;

/// How long the path of the reader is silent, and the time between two
/// silences.
constexpr Duration Silence = 620ms;
constexpr Duration SilencePeriod = 1900ms;
constexpr unsigned Silences = 5;

/// Two instances in each of two failure domains.
standins::DeploymentPlan planOfTwoDomains() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a", "b"};
  plan.InstanceCount = 4;
  plan.Services = {{"orders", 4, 10ms}};
  plan.Routes = {{"/order/", "orders", true, 1, 0, 200ms, 2000ms}};
  return plan;
}

bool readsTheStore(Drill &drill, std::size_t n) {
  const std::string dump =
      drill.get(drill.Deployed.Instances[n].OperatorAddress, "/dump")
          .Response.Body;
  return boost::json::parse(dump).at("peers").at("duty").as_string() == "read";
}

void setSilent(standins::Link &link, bool silent) {
  link.Faults.HoldToTarget = link.Faults.HoldToClient = silent;
}

} // namespace

// Guards against removals that wait, on all instances of a failure domain, for
// registrations to be renewed, though only the path of their reader was silent.
BOOST_AUTO_TEST_CASE(removalIsInForceInTimeThoughItsReaderLosesItsPath) {
  Drill drill(planOfTwoDomains());
  const std::size_t reader = readsTheStore(drill, 0) ? 0 : 2;
  const std::size_t follower = 2 - reader;
  standins::Link &path = *drill.Deployed.Instances[reader].StoreLink;
  standins::Upstream &removed = *drill.Deployed.Upstreams.front();
  unsigned sent = 0;
  const auto runFor = [&](Duration time) {
    const Instant end = readClock() + time;
    while (readClock() < end) {
      const std::string id = "r" + std::to_string(++sent);
      BOOST_TEST(drill.sendRequest("GET", "/order/", id, follower) == 200);
      drill.EventLoop.runFor(5ms);
    }
  };
  Instant removedAt{};
  for (unsigned n = 0; n < Silences; ++n) {
    setSilent(path, true);
    runFor(Silence / 2);
    if (n + 1 == Silences) {
      removed.deregister(); // It never reports that it drains.
      removedAt = readClock();
    }
    runFor(Silence / 2);
    setSilent(path, false);
    runFor(SilencePeriod - Silence);
  }
  runFor(DrainTime);
  const auto &all = drill.Deployed.Executions.Arrivals;
  const auto late = std::count_if(all.begin(), all.end(), [&](const auto &it) {
    return it.UpstreamId == removed.id() &&
           it.ReceivedAt > removedAt + DrainTime;
  });
  BOOST_TEST(late == 0);
}
