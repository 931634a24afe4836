// Checks that the commands of docs/OPERATIONS.md, run on the logs and metrics
// of real processes, show why a request failed or was served by an old
// configuration.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "deployment/Deployment.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace drill_test {

constexpr auto OperationsPage = ZINNIARAIL_SOURCE_DIR "/docs/OPERATIONS.md";

/// Returns the shell block of the page after the comment "drill: NAME".
std::string commandsOf(const std::string &name) {
  std::ifstream in(OperationsPage);
  std::string out;
  bool isMarked = false;
  bool isInside = false;
  for (std::string line; std::getline(in, line);) {
    isMarked = isMarked || line == "<!-- drill: " + name + " -->";
    if (isMarked && line == "```") {
      return out;
    }
    if (isInside) {
      out += line + "\n";
    }
    isInside = isInside || (isMarked && line == "```sh");
  }
  return "";
}

/// Runs commands of the page in bash. Their shell variables hold a request's
/// id, the folder of all logs, the log of one instance and a file of its
/// metrics.
std::string runCommands(const std::string &commands, const std::string &id,
                        const std::string &logs, const std::string &log,
                        const std::string &metrics) {
  const std::string script = "ID='" + id + "' LOGS='" + logs + "' LOG='" + log +
                             "' METRICS='" + metrics + "'\n" + commands;
  const std::string scriptPath = logs + "/commands.sh";
  std::ofstream(scriptPath) << script;
  FILE *pipe = popen(("bash " + scriptPath + " 2>&1").c_str(), "r");
  std::string out;
  std::array<char, 4096> chunk;
  while (const std::size_t n = fread(chunk.data(), 1, chunk.size(), pipe)) {
    out.append(chunk.data(), n);
  }
  pclose(pipe);
  return out;
}

/// Three instances, each alone in its failure domain, with logs in a temporary
/// folder.
class Drill {
public:
  Drill()
      : Deployed(EventLoop.Loop, makePlan()),
        Pool(EventLoop.Loop, [this](auto id, auto result) {
          Results[id] = std::move(result);
        }) {
    BOOST_REQUIRE(Deployed.start().empty());
    for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
      BOOST_REQUIRE(EventLoop.runUntil([&] { return isReady(n); }));
    }
  }
  ~Drill() { std::filesystem::remove_all(Deployed.Plan.LogFolder); }

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

  /// Sends a caller's request to the first instance.
  /// \returns the HTTP status.
  unsigned sendRequest(const std::string &method, const std::string &path,
                       const std::string &id) {
    return get(Deployed.Instances[0].CallerAddress, path + id,
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

  std::string runPageCommands(const std::string &kind, const std::string &id) {
    const std::string file = Deployed.Plan.LogFolder + "/metrics.txt";
    std::ofstream(file) << metrics();
    return runCommands(commandsOf(kind), id, Deployed.Plan.LogFolder,
                       logPath(0), file);
  }

  bool waitForLog(const std::string &text) {
    return EventLoop.runUntil([&] {
      std::ifstream in(logPath(0));
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

/// A failure, the request that is affected by it, and texts that the output of
/// the page's commands must contain.
struct Case {
  const char *Kind; ///< Name of the page's block of commands.
  const char *Id;   ///< Id of the request that the commands look up.
  std::function<void(Drill &)> CauseFailure;
  std::vector<std::string> ExpectedTexts;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Kind;
}

void refuseRequest(Drill &drill) {
  for (const std::string &domain : drill.Deployed.Plan.Domains) {
    drill.Deployed.setEvacuated(domain, true);
  }
  BOOST_REQUIRE(drill.waitForLog("name=domain-out domain=c"));
  BOOST_TEST(drill.sendRequest("POST", "/order/", "refused-1") == 503);
}

void loseResponse(Drill &drill) {
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.LostResponseFraction = 1;
  }
  for (unsigned n = 0; n < 9; ++n) {
    drill.sendRequest("POST", "/order/", "before-" + std::to_string(n));
  }
  BOOST_TEST(drill.sendRequest("POST", "/order/", "lost-1") == 502);
}

void routeByOldVersion(Drill &drill) {
  drill.Deployed.Instances[0].StoreLink->Faults.HoldToClient = true;
  BOOST_REQUIRE(drill.waitForLog("name=platform-lost"));
  drill.Deployed.Plan.Routes[1].Service = "orders";
  drill.Deployed.writeConfiguration(7, drill.Deployed.Plan.Routes);
  drill.EventLoop.runFor(300ms);
  BOOST_TEST(drill.sendRequest("GET", "/moving/", "old-1") == 200);
}

const std::vector<Case> Cases{
    {"refused at once",
     "refused-1",
     refuseRequest,
     {"reason=no-upstream", "in-service=0", "name=domain-out domain=a",
      "name=domain-out domain=c"}},
    {"ran and its answer was lost",
     "lost-1",
     loseResponse,
     {"reason=upstream-failed", "outcome=unknown", "broken in",
      "closed by the peer", "upstream=orders-"}},
    {"served by an old version",
     "old-1",
     routeByOldVersion,
     {"service=archive", "version=1", "name=platform-lost",
      "name=document-in-force version=7", "zinniarail_belief_age_seconds"}},
};

} // namespace drill_test
using namespace drill_test;

BOOST_DATA_TEST_CASE(operationsPageCommandsShowTheCause, Cases, it) {
  Drill drill;
  it.CauseFailure(drill);
  drill.EventLoop.runFor(200ms);
  const std::string output = drill.runPageCommands(it.Kind, it.Id);
  for (const std::string &text : it.ExpectedTexts) {
    BOOST_TEST(output.find(text) != std::string::npos, "missing: " << text
                                                                   << "\n"
                                                                   << output);
  }
  BOOST_TEST_MESSAGE(output);
}
