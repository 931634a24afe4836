// What an upstream says of itself in its responses, on real processes: that it
// leaves, and for how long it wants no requests.
#include <algorithm>
#include <csignal>
#include <string>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

/// Three instances in one failure domain, so that two follow the reader.
standins::DeploymentPlan planOfOneDomain() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.HasLinks = false;
  return plan;
}

/// Counts the requests that reached an upstream.
std::size_t arrivalsAt(const Drill &drill, const standins::Upstream &upstream) {
  const auto &all = drill.Deployed.Executions.Arrivals;
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto &it) {
        return it.UpstreamId == upstream.id();
      }));
}

/// Slows down all upstreams but the first.
/// \returns the first one, which is preferred from now on.
standins::Upstream &preferFirst(Drill &drill) {
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.Slowdown = it == drill.Deployed.Upstreams.front() ? 1 : 3;
  }
  return *drill.Deployed.Upstreams.front();
}

void sendOrders(Drill &drill, std::size_t instance, unsigned count) {
  static unsigned sent = 0;
  for (unsigned n = 0; n < count; ++n) {
    BOOST_TEST(drill.sendRequest("POST", "/order/",
                                 "o" + std::to_string(++sent),
                                 instance) == 200);
  }
}

void restart(Drill &drill, std::size_t instance) {
  drill.Deployed.Instances[instance].Child.signal(SIGKILL);
  drill.Deployed.Instances[instance].Child.wait(5s);
  BOOST_REQUIRE(drill.Deployed.startInstance(instance));
  BOOST_REQUIRE(
      drill.EventLoop.runUntil([&] { return drill.isReady(instance); }));
}

} // namespace

// The store still lists the upstream as ready: it never reports that it drains.
BOOST_AUTO_TEST_CASE(upstreamThatAnnouncesItsLeavingGetsNoNewRequests) {
  Drill drill(planOfOneDomain());
  standins::Upstream &leaving = preferFirst(drill);
  sendOrders(drill, 0, 12);
  leaving.Faults.Leaving = true;
  sendOrders(drill, 0, 24); // A response or a health check announces it.
  for (std::size_t n = 0; n < drill.Deployed.Instances.size(); ++n) {
    BOOST_REQUIRE(drill.waitForLog("draining=" + leaving.id(), n));
  }
  const std::size_t before = arrivalsAt(drill, leaving);
  for (std::size_t n = 0; n < drill.Deployed.Instances.size(); ++n) {
    sendOrders(drill, n, 12);
  }
  BOOST_TEST(arrivalsAt(drill, leaving) == before);

  // A restarted instance learns it with its snapshot, also without the store.
  restart(drill, 1);
  drill.EventLoop.runFor(300ms);
  sendOrders(drill, 1, 12);
  BOOST_TEST(arrivalsAt(drill, leaving) == before);
  drill.Deployed.TheStore.Faults.ActiveOutage =
      standins::OutageMode::Unavailable;
  restart(drill, 2);
  sendOrders(drill, 2, 12);
  BOOST_TEST(arrivalsAt(drill, leaving) == before);
}

// The other two upstreams have room, so no request waits.
BOOST_AUTO_TEST_CASE(upstreamThatAsksForAPauseGetsNoRequestsMeanwhile) {
  Drill drill(planOfOneDomain());
  standins::Upstream &pausing = preferFirst(drill);
  sendOrders(drill, 0, 12);
  pausing.Faults.RetryAfter = "2.5";
  const auto received = [&] {
    return arrivalsAt(drill, pausing) + pausing.healthChecks();
  };
  const std::size_t before = received();
  BOOST_REQUIRE(drill.EventLoop.runUntil([&] {
    sendOrders(drill, 0, 1);
    return received() > before;
  }));
  const Instant refusedAt = readClock();
  drill.EventLoop.runFor(500ms);
  const std::size_t atStart = received();
  while (readClock() < refusedAt + 2400ms) {
    sendOrders(drill, 0, 1);
  }
  BOOST_TEST(received() - atStart <= 2);
  pausing.Faults.RetryAfter.clear();
  const std::size_t pausedArrivals = arrivalsAt(drill, pausing);
  BOOST_TEST(drill.EventLoop.runUntil([&] {
    sendOrders(drill, 0, 1);
    return arrivalsAt(drill, pausing) > pausedArrivals;
  }));
}

// Guards against a health check without an end, which kept its upstream from
// being checked, and readmitted, for as long as the connection was open.
BOOST_AUTO_TEST_CASE(upstreamThatLeftAHealthCheckUnansweredIsUsedAgain) {
  Drill drill(planOfOneDomain());
  standins::Upstream &silent = preferFirst(drill);
  sendOrders(drill, 0, 5);
  BOOST_REQUIRE(arrivalsAt(drill, silent) > 0);
  silent.Faults.Unresponsive = true;
  for (unsigned n = 0; n < 3; ++n) {
    drill.sendRequest("POST", "/order/", "silent-" + std::to_string(n));
  }
  silent.Faults.Unresponsive = false;
  const std::size_t before = arrivalsAt(drill, silent);
  BOOST_TEST(drill.EventLoop.runUntil([&] {
    sendOrders(drill, 0, 1);
    return arrivalsAt(drill, silent) > before;
  }));
}

namespace {

const std::vector<std::string> EndlessStarts{
    "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n5;a="};

} // namespace

// A request that must not run twice is sent once, and its outcome is unknown;
// one that may is sent to another upstream. The caller gets no success of it.
BOOST_DATA_TEST_CASE(endlessResponseIsNoSuccessAndEjectsItsUpstream,
                     EndlessStarts, start) {
  constexpr unsigned count = 12;
  Drill drill(planOfOneDomain());
  for (auto &it : drill.Deployed.Upstreams) {
    const bool isSound = it->Config.Service == "archive" &&
                         it != drill.Deployed.Upstreams.back();
    it->Faults.EndlessStart = isSound ? "" : start;
  }
  for (unsigned n = 0; n < count; ++n) {
    const std::string id = "once-" + std::to_string(n);
    const unsigned status = drill.sendRequest("POST", "/order/", id);
    const unsigned runs = drill.Deployed.Executions.Requests[id].TimesStarted;
    BOOST_TEST(runs <= 1U);
    BOOST_TEST((runs == 1 ? status == 502 : status == 503));
    BOOST_TEST(drill.sendRequest("GET", "/moving/",
                                 "again-" + std::to_string(n)) == 200);
  }
  BOOST_TEST(drill.Deployed.Executions.Requests["once-0"].TimesStarted == 1U);
  BOOST_TEST(drill.waitForLog("name=upstream-ejected"));
}
