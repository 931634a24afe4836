// Real processes, a fault, and a request that went wrong: the commands of
// docs/OPERATIONS.md, over logs and metrics alone, lead to the cause.
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

constexpr auto Page = ZINNIARAIL_SOURCE_DIR "/docs/OPERATIONS.md";

/// The commands of the page's block that is marked with a name.
std::string commandsOf(const std::string &name) {
  std::ifstream in(Page);
  std::string out;
  bool marked = false;
  bool inside = false;
  for (std::string line; std::getline(in, line);) {
    marked = marked || line == "<!-- drill: " + name + " -->";
    if (marked && line == "```") {
      return out;
    }
    if (inside) {
      out += line + "\n";
    }
    inside = inside || (marked && line == "```sh");
  }
  return "";
}

/// Runs them with what an engineer on call has.
std::string runCommands(const std::string &commands, const std::string &id,
                        const std::string &logs, const std::string &log,
                        const std::string &metrics) {
  const std::string line = "ID='" + id + "' LOGS='" + logs + "' LOG='" + log +
                           "' METRICS='" + metrics + "'\n" + commands;
  const std::string script = logs + "/commands.sh";
  std::ofstream(script) << line;
  FILE *pipe = popen(("bash " + script + " 2>&1").c_str(), "r");
  std::string out;
  std::array<char, 4096> chunk;
  while (const std::size_t n = fread(chunk.data(), 1, chunk.size(), pipe)) {
    out.append(chunk.data(), n);
  }
  pclose(pipe);
  return out;
}

/// Three instances, each alone in its failure domain, with logs in a folder.
class Drill {
public:
  Drill()
      : Deployed(Turns.Loop, makePlan()),
        Pool(Turns.Loop, [this](auto id, auto result) {
          Results[id] = std::move(result);
        }) {
    BOOST_REQUIRE(Deployed.start().empty());
    for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
      BOOST_REQUIRE(Turns.runUntil([&] { return isReady(n); }));
    }
  }
  ~Drill() { std::filesystem::remove_all(Deployed.Plan.Logs); }

  static standins::DeploymentPlan makePlan() {
    char folder[] = "/tmp/zinniarail-drill-XXXXXX";
    BOOST_REQUIRE(mkdtemp(folder) != nullptr);
    standins::DeploymentPlan plan;
    plan.Program = ZINNIARAIL_BINARY_DIR "/programs/zinniaraild";
    plan.Logs = folder;
    plan.Net = standins::loopbackNet() + 40;
    plan.Instances = 3;
    plan.Links = true;
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
    Turns.runUntil([&] { return Results.contains(id); });
    return Results[id];
  }

  /// A caller's request to the first instance.
  /// \returns the status.
  unsigned ask(const std::string &method, const std::string &path,
               const std::string &id) {
    return get(Deployed.Instances[0].CallerAddress, path + id,
               "X-Request-Id: " + id + "\r\nX-Deadline-Milliseconds: 2000\r\n",
               method)
        .Response.Status;
  }

  std::string metrics() {
    return get(Deployed.Instances[0].OperatorAddress, "/metrics").Response.Body;
  }

  std::string logOf(std::size_t n) {
    return Deployed.Plan.Logs + "/" + Deployed.Instances[n].Id + ".log";
  }

  std::string explain(const std::string &kind, const std::string &id) {
    const std::string file = Deployed.Plan.Logs + "/metrics.txt";
    std::ofstream(file) << metrics();
    return runCommands(commandsOf(kind), id, Deployed.Plan.Logs, logOf(0),
                       file);
  }

  bool logHas(const std::string &text) {
    return Turns.runUntil([&] {
      std::ifstream in(logOf(0));
      const std::string all(std::istreambuf_iterator<char>(in), {});
      return all.find(text) != std::string::npos;
    });
  }

  http::TestLoop Turns;
  standins::Deployment Deployed;
  http::ClientPool Pool;
  std::map<http::CallId, http::CallResult> Results;
  http::CallId LastCall = 0;
};

/// A fault, the request that meets it, and what the commands must show.
struct Case {
  const char *Kind;
  const char *Id;
  std::function<void(Drill &)> Play;
  std::vector<std::string> Shown;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Kind;
}

void refuse(Drill &drill) {
  for (const std::string &domain : drill.Deployed.Plan.Domains) {
    drill.Deployed.evacuate(domain, true);
  }
  BOOST_REQUIRE(drill.logHas("name=domain-out domain=c"));
  BOOST_TEST(drill.ask("POST", "/order/", "refused-1") == 503);
}

void loseAnswer(Drill &drill) {
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults.LoseShare = 1;
  }
  for (unsigned n = 0; n < 9; ++n) {
    drill.ask("POST", "/order/", "before-" + std::to_string(n));
  }
  BOOST_TEST(drill.ask("POST", "/order/", "lost-1") == 502);
}

void runByAnOldVersion(Drill &drill) {
  drill.Deployed.Instances[0].ToStore->Faults.HoldBack = true;
  BOOST_REQUIRE(drill.logHas("name=platform-lost"));
  drill.Deployed.Plan.Routes[1].Service = "orders";
  drill.Deployed.configure(7, drill.Deployed.Plan.Routes);
  drill.Turns.runFor(300ms);
  BOOST_TEST(drill.ask("GET", "/moving/", "old-1") == 200);
}

const std::vector<Case> Cases{
    {"refused at once",
     "refused-1",
     refuse,
     {"reason=no-upstream", "in-service=0", "name=domain-out domain=a",
      "name=domain-out domain=c"}},
    {"ran and its answer was lost",
     "lost-1",
     loseAnswer,
     {"reason=upstream-failed", "outcome=unknown", "broken in",
      "closed by the peer", "upstream=orders-"}},
    {"served by an old version",
     "old-1",
     runByAnOldVersion,
     {"service=archive", "version=1", "name=platform-lost",
      "name=document-in-force version=7", "zinniarail_belief_age_seconds"}},
};

} // namespace drill_test
using namespace drill_test;

BOOST_DATA_TEST_CASE(thePageLeadsToTheCause, Cases, it) {
  Drill drill;
  it.Play(drill);
  drill.Turns.runFor(200ms);
  const std::string shown = drill.explain(it.Kind, it.Id);
  for (const std::string &text : it.Shown) {
    BOOST_TEST(shown.find(text) != std::string::npos, "missing: " << text
                                                                  << "\n"
                                                                  << shown);
  }
  BOOST_TEST_MESSAGE(shown);
}
