/// \file
/// Real instances, run as processes by a test.
#pragma once

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "deployment/Deployment.h"

namespace zinniarail::drill_test {

using namespace std::chrono_literals;

/// Instances with their upstreams and the store, with logs in a temporary
/// folder. Waits until all instances are ready.
class Drill {
public:
  explicit Drill(standins::DeploymentPlan plan = makePlan())
      : Deployed(EventLoop.Loop, std::move(plan)),
        Pool(EventLoop.Loop, [this](auto id, auto result) {
          Results[id] = std::move(result);
        }) {
    BOOST_REQUIRE(Deployed.start().empty());
    for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
      BOOST_REQUIRE(EventLoop.runUntil([&] { return isReady(n); }));
    }
  }
  ~Drill() { std::filesystem::remove_all(Deployed.Plan.LogFolder); }

  /// Three instances, each alone in its failure domain.
  static standins::DeploymentPlan makePlan() {
    char folder[] = "/tmp/zinniarail-drill-XXXXXX";
    BOOST_REQUIRE(mkdtemp(folder) != nullptr);
    standins::DeploymentPlan plan;
    plan.Program = ZINNIARAIL_BINARY_DIR "/programs/zinniaraild";
    plan.LogFolder = folder;
    plan.Net = standins::loopbackNet() + 40;
    plan.InstanceCount = 3;
    plan.HasLinks = true;
    plan.Services = {{"orders", 3, 20ms}, {"archive", 3, 20ms}};
    plan.Routes = {{"/order/", "orders", false, 1, 0, 200ms, 2000ms},
                   {"/moving/", "archive", true, 1, 0, 200ms, 2000ms}};
    return plan;
  }

  bool isReady(std::size_t n) {
    const http::CallResult it =
        get(Deployed.Instances[n].OperatorAddress, "/health");
    return it.Response.Status == 200;
  }

  http::CallResult get(const std::string &address, const std::string &target,
                       const std::string &fields = "",
                       const std::string &method = "GET") {
    http::Call call;
    const http::CallId id = call.Id = ++LastCall;
    call.Address = address;
    call.Bytes = method + " " + target +
                 " HTTP/1.1\r\nHost: orders.example\r\n" + fields +
                 "Content-Length: 0\r\n\r\n";
    Pool.start(std::move(call));
    EventLoop.runUntil([&] { return Results.contains(id); });
    return Results[id];
  }

  /// Sends a caller's request to an instance.
  /// \returns the HTTP status.
  unsigned sendRequest(const std::string &method, const std::string &path,
                       const std::string &id, std::size_t instance = 0) {
    return get(Deployed.Instances[instance].CallerAddress, path + id,
               "X-Request-Id: " + id + "\r\nX-Deadline-Milliseconds: 2000\r\n",
               method)
        .Response.Status;
  }

  std::string metrics() {
    return get(Deployed.Instances[0].OperatorAddress, "/metrics").Response.Body;
  }

  std::string logPath(std::size_t n) {
    return Deployed.Plan.LogFolder + "/" + Deployed.Instances[n].Id + ".log";
  }

  bool waitForLog(const std::string &text, std::size_t n = 0) {
    return EventLoop.runUntil([&] {
      std::ifstream in(logPath(n));
      const std::string all(std::istreambuf_iterator<char>(in), {});
      return all.find(text) != std::string::npos;
    });
  }

  http::TestLoop EventLoop;
  standins::Deployment Deployed;
  http::ClientPool Pool;
  std::map<http::CallId, http::CallResult> Results;
  http::CallId LastCall = 0;
};

} // namespace zinniarail::drill_test
