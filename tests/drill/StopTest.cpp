// Planned stops while requests wait, on real processes.
#include <csignal>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

constexpr unsigned RequestCount = 14;

/// Two instances and one upstream, whose slots the requests fill more than once
/// before a stop is over.
standins::DeploymentPlan planOfOneUpstream() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.HasLinks = false;
  plan.InstanceCount = 2;
  plan.Settings.StopTimeout = 3000ms;
  plan.Services = {{"orders", 1, 1000ms}};
  plan.Routes = {{"/order/", "orders", false, 1, 0, 2000ms, 10000ms},
                 {"/moving/", "orders", true, 1, 0, 2000ms, 10000ms}};
  return plan;
}

struct StopCase {
  const char *Description;
  bool IsUnresponsive; ///< Whether the upstream never responds.
};

std::ostream &operator<<(std::ostream &out, const StopCase &it) {
  return out << it.Description;
}

const std::vector<StopCase> StopCases{{"upstream without a free slot", false},
                                      {"upstream that never responds", true}};

} // namespace

// Guards against requests that wait when a stop ends and get no answer.
BOOST_DATA_TEST_CASE(stopAnswersTheRequestsThatStillWait, StopCases, row) {
  Drill drill(planOfOneUpstream());
  BOOST_REQUIRE(drill.sendRequest("POST", "/order/", "first") == 200);
  drill.Deployed.Upstreams.front()->Faults.Unresponsive = row.IsUnresponsive;
  std::vector<std::string> ids;
  const http::CallId firstCall = drill.LastCall + 1;
  for (unsigned n = 0; n < RequestCount; ++n) {
    const bool isOrder = n % 2 == 0;
    const std::string &id = ids.emplace_back("w" + std::to_string(n));
    http::Call call;
    call.Id = ++drill.LastCall;
    call.Address = drill.Deployed.Instances[0].CallerAddress;
    call.Bytes = isOrder ? "POST /order/" : "GET /moving/";
    call.Bytes.append(id)
        .append(" HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: ")
        .append(id)
        .append("\r\nX-Deadline-Milliseconds: 10000\r\n"
                "Content-Length: 0\r\n\r\n");
    drill.Pool.start(std::move(call));
    drill.EventLoop.runFor(5ms);
  }
  drill.EventLoop.runFor(200ms);
  drill.Deployed.Instances[0].Child.signal(SIGTERM);
  BOOST_REQUIRE(drill.EventLoop.runUntil(
      [&] { return drill.Results.size() == drill.LastCall; }));
  unsigned refused = 0;
  for (unsigned n = 0; n < RequestCount; ++n) {
    const http::CallResult &it = drill.Results[firstCall + n];
    BOOST_TEST((it.Outcome == http::CallOutcome::Answered), ids[n]);
    if (it.Response.Status == 503) {
      ++refused;
      BOOST_TEST(!drill.Deployed.Executions.Requests.contains(ids[n]), ids[n]);
      BOOST_TEST(http::findHeader(it.Response.Fields, "Retry-After"), ids[n]);
    }
  }
  BOOST_TEST(refused > 0U);
  BOOST_TEST(drill.waitForLog("name=stopped"));
}
