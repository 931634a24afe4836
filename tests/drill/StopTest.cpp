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

namespace {

/// A request behind one that outlasts the time in which callers may still come.
struct RequestBehind {
  const char *Id;
  const char *Method;
  Duration SentAfterStop; ///< Negative: before the stop.
};

const std::vector<RequestBehind> RequestsBehind{
    {"repeatable-before", "GET", -300ms},
    {"once-before", "POST", -300ms},
    {"repeatable-after", "GET", 200ms},
    {"repeatable-late", "GET", 2500ms},
    {"once-late", "POST", 2500ms}};

std::string requestOf(const std::string &method, const std::string &id) {
  return method + (method == "GET" ? " /moving/" : " /order/") + id +
         " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Milliseconds: 10000\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against requests that are passed on and get no response, since the one
// before them closes the connection: callers send them again.
BOOST_AUTO_TEST_CASE(stopAnswersWhatItHasPassedOn) {
  standins::DeploymentPlan plan = planOfOneUpstream();
  plan.Settings.StopTimeout = 6000ms;
  plan.Services = {{"orders", 3, 300ms}};
  Drill drill(plan);
  for (auto &it : drill.Deployed.Upstreams) {
    it->Config.ServiceTimeSigma = 0;
    it->Faults.Slowdown = 12; // 3.6 s
  }
  standins::RunningInstance &instance = drill.Deployed.Instances[0];
  auto &runs = drill.Deployed.Executions.Requests;
  std::vector<std::unique_ptr<http::RawConnection>> callers;
  for (const RequestBehind &it : RequestsBehind) {
    const std::string open = std::string("open-") + it.Id;
    callers.push_back(http::RawConnection::connect(instance.CallerAddress));
    BOOST_REQUIRE(callers.back() != nullptr);
    callers.back()->send(requestOf("GET", open));
    BOOST_REQUIRE(
        drill.EventLoop.runUntil([&] { return runs.contains(open); }));
  }
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.Slowdown = 1;
  }
  const auto sendAt = [&](Duration moment) {
    for (std::size_t n = 0; n < callers.size(); ++n) {
      const RequestBehind &it = RequestsBehind[n];
      if (it.SentAfterStop == moment) {
        callers[n]->send(requestOf(it.Method, it.Id));
      }
    }
  };
  sendAt(-300ms);
  drill.EventLoop.runFor(300ms);
  instance.Child.signal(SIGTERM);
  drill.EventLoop.runFor(200ms);
  sendAt(200ms);
  drill.EventLoop.runFor(2300ms);
  sendAt(2500ms);
  for (std::size_t n = 0; n < callers.size(); ++n) {
    http::RawConnection &caller = *callers[n];
    const std::string id = RequestsBehind[n].Id;
    BOOST_REQUIRE(drill.EventLoop.runUntil([&] {
      caller.read();
      return caller.PeerClosed;
    }));
    const auto answers = [&](const std::string &any) {
      return caller.has("X-Request-Id: " + any + "\r\n");
    };
    BOOST_TEST(answers("open-" + id), id);
    BOOST_TEST((answers(id) || !runs.contains(id)), id);
    BOOST_TEST(!caller.PeerReset, id);
  }
  BOOST_TEST(drill.waitForLog("name=stopped"));
}
