// Checks that the commands of docs/OPERATIONS.md, run on the logs and metrics
// of real processes, show why a request failed or was served by an old
// configuration.
#include <array>
#include <cstdio>
#include <fstream>
#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace zinniarail::drill_test {

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

std::string runPageCommands(Drill &drill, const std::string &kind,
                            const std::string &id) {
  const std::string file = drill.Deployed.Plan.LogFolder + "/metrics.txt";
  std::ofstream(file) << drill.metrics();
  return runCommands(commandsOf(kind), id, drill.Deployed.Plan.LogFolder,
                     drill.logPath(0), file);
}

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

} // namespace zinniarail::drill_test
using namespace drill_test;

BOOST_DATA_TEST_CASE(operationsPageCommandsShowTheCause, Cases, it) {
  Drill drill;
  it.CauseFailure(drill);
  drill.EventLoop.runFor(200ms);
  const std::string output = runPageCommands(drill, it.Kind, it.Id);
  for (const std::string &text : it.ExpectedTexts) {
    BOOST_TEST(output.find(text) != std::string::npos, "missing: " << text
                                                                   << "\n"
                                                                   << output);
  }
  BOOST_TEST_MESSAGE(output);
}

// The instance has lost the store; a newer configuration may have the route.
BOOST_AUTO_TEST_CASE(unknownRouteIsNotDeniedForGoodByAnOutdatedInstance) {
  Drill drill;
  BOOST_TEST(drill.sendRequest("GET", "/new/", "before") == 404);
  drill.Deployed.Instances[0].StoreLink->Faults.HoldToClient = true;
  drill.Deployed.Plan.Routes.push_back(
      {"/new/", "archive", true, 1, 0, 200ms, 2000ms});
  drill.Deployed.writeConfiguration(7, drill.Deployed.Plan.Routes);
  drill.EventLoop.runFor(4s);
  const http::CallResult refused =
      drill.get(drill.Deployed.Instances[0].CallerAddress, "/new/x");
  BOOST_TEST(refused.Response.Status == 503);
  BOOST_TEST(http::findHeader(refused.Response.Fields, "Retry-After") !=
             nullptr);
  BOOST_TEST(drill.sendRequest("GET", "/new/", "elsewhere", 1) == 200);
  drill.Deployed.Instances[0].StoreLink->Faults.HoldToClient = false;
  BOOST_REQUIRE(drill.waitForLog("name=document-in-force version=7"));
  BOOST_TEST(drill.sendRequest("GET", "/new/", "after") == 200);
  drill.EventLoop.runFor(2s);
  BOOST_TEST(drill.sendRequest("GET", "/none/", "none") == 404);
}
