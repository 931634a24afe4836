// A firm's processes under faults: callers lose nothing, nothing runs twice,
// no refusal is untrue, and each answer goes to its own caller.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "common/Cluster.h"

using namespace zinniarail;
using namespace zinniarail::standins;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

constexpr unsigned Instances = 6;
constexpr const char *Service = "credencial";
constexpr std::chrono::seconds CallerTimeout{120};

ClusterSettings clusterSettings(unsigned number) {
  const char *net = std::getenv("ZINNIARAIL_TEST_NET");
  ClusterSettings out;
  out.BinaryDirectory = ZINNIARAIL_BINARY_DIR;
  out.Document = ZINNIARAIL_SOURCE_DIR "/examples/serrano.json";
  out.Net = net == nullptr ? out.Net : std::strtoul(net, nullptr, 10);
  out.Number = number;
  out.Instances = Instances;
  out.InstanceFlags = {"--log-level", "error"};
  return out;
}

void shortWait() { std::this_thread::sleep_for(1s); }

bool restart(Cluster &cluster, ClusterInstance &it) {
  it.Running.signal(SIGTERM);
  return it.Running.wait(60s) == 0 && cluster.startInstance(it) &&
         awaitStatus("http://" + it.OperatorAddress + "/health", 200, 60s);
}

std::string withDomain(const Cluster &cluster, bool inService) {
  auto document = json::parse(cluster.document());
  document.at("domains").as_array()[0].as_object()["inService"] = inService;
  return json::serialize(document);
}

/// What happens while callers are served.
struct Fault {
  const char *Name;
  std::function<void(Cluster &)> Happens;
  /// Planned, or no more than one upstream in trouble: all must be served.
  bool ServesAll = false;
  unsigned Seconds = 5; ///< How long requests arrive.
};

std::ostream &operator<<(std::ostream &out, const Fault &it) {
  return out << it.Name;
}

Fault onUpstreams(const char *name, const char *change,
                  bool servesAll = false) {
  return {name,
          [change](Cluster &cluster) {
            BOOST_TEST(
                cluster.setUpstreamFaults(json::parse(change).as_object()));
          },
          servesAll};
}

const Fault Faults[] = {
    {"none", [](Cluster &) {}, true},
    {"an instance is killed",
     [](Cluster &cluster) {
       cluster.instances()[1].Running.signal(SIGKILL);
       cluster.instances()[1].Running.wait(60s);
     }},
    {"two instances are killed and come back",
     [](Cluster &cluster) {
       for (const int n : {0, 1}) {
         auto &it = cluster.instances()[n];
         it.Running.signal(SIGKILL);
         it.Running.wait(60s);
         BOOST_TEST(cluster.startInstance(it));
       }
     }},
    {"an instance is paused for longer than its view lasts",
     [](Cluster &cluster) {
       cluster.instances()[2].Running.signal(SIGSTOP);
       std::this_thread::sleep_for(4s);
       cluster.instances()[2].Running.signal(SIGCONT);
     }},
    {"all instances are restarted, one by one",
     [](Cluster &cluster) {
       for (auto &it : cluster.instances()) {
         BOOST_TEST(restart(cluster, it), it.Id);
       }
     },
     true, 20},
    {"the platform hangs, then an instance is killed",
     [](Cluster &cluster) {
       cluster.setPlatformFaults({{"outage", "hang"}});
       shortWait();
       cluster.instances()[3].Running.signal(SIGKILL);
       cluster.instances()[3].Running.wait(60s);
     }},
    {"a failure domain goes out and comes back",
     [](Cluster &cluster) {
       BOOST_TEST(cluster.putDocument(withDomain(cluster, false)));
       std::this_thread::sleep_for(3s);
       BOOST_TEST(cluster.putDocument(withDomain(cluster, true)));
     },
     true, 8},
    onUpstreams("connections close before and after runs",
                R"({"closeBeforeShare":0.02,"closeAfterShare":0.02})"),
    onUpstreams("answers are short, crossed and late",
                R"({"shortShare":0.02,"crossedShare":0.02,"lateShare":0.02})"),
    onUpstreams("upstreams turn cold",
                R"({"turnCold":true,"upstreams":["credencial-1"]})", true),
    onUpstreams(
        "upstreams crash",
        R"({"crash":true,"upstreams":["credencial-1","credencial-2"]})"),
    onUpstreams("upstreams freeze",
                R"({"freeze":true,"upstreams":["credencial-1"]})"),
    onUpstreams("upstreams refuse connections",
                R"({"refuse":true,"upstreams":["credencial-1"]})", true),
    onUpstreams("upstreams drain",
                R"({"draining":true,"upstreams":["credencial-1"]})", true),
};

} // namespace

namespace {

/// Callers of the service and their report.
struct Callers {
  std::string File = std::filesystem::temp_directory_path() /
                     ("zinniarail-callers-" + std::to_string(getpid()));
  Process Running;

  Callers(const Cluster &cluster, unsigned seconds,
          const std::vector<std::string> &more = {}) {
    auto command = cluster.callerCommand(Service);
    command.insert(command.end(),
                   {"--rate", "200", "--seconds", std::to_string(seconds),
                    "--loss-retries", "6", "--refusal-retries", "6", "--output",
                    File});
    command.insert(command.end(), more.begin(), more.end());
    BOOST_REQUIRE(Running.start(command, ""));
  }

  /// Waits for their end. An exit code of 0 says that nothing was lost,
  /// doubled, crossed or refused untruly.
  json::object finish() {
    BOOST_TEST((Running.wait(CallerTimeout) == 0));
    std::ifstream in(File);
    std::stringstream text;
    text << in.rdbuf();
    std::filesystem::remove(File);
    BOOST_TEST_MESSAGE(text.str());
    return json::parse(text.str()).as_object();
  }
};

} // namespace

BOOST_DATA_TEST_CASE(callersLoseNothing, data::make(Faults), fault) {
  Cluster cluster(clusterSettings(9));
  BOOST_REQUIRE_MESSAGE(cluster.start(), cluster.error());
  Callers callers(cluster, fault.Seconds);
  shortWait();
  fault.Happens(cluster);
  const auto report = callers.finish();
  if (fault.ServesAll) {
    BOOST_TEST(report.at("served") == report.at("sent"));
  }
}

BOOST_AUTO_TEST_CASE(aRequestThatCrashesUpstreamsIsStopped) {
  Cluster cluster(clusterSettings(9));
  BOOST_REQUIRE_MESSAGE(cluster.start(), cluster.error());
  Callers callers(cluster, 6, {"--marked", "6"});
  const auto report = callers.finish();
  std::uint64_t crashes = 0;
  const auto counters = cluster.upstreamCounters();
  for (const auto &it : counters.at("upstreams").as_object()) {
    crashes += it.value().at("crashes").to_number<std::uint64_t>();
  }
  BOOST_TEST_MESSAGE("crashes " << crashes);
  BOOST_TEST(crashes >= 1);
  BOOST_TEST(crashes <= 3); // it needs two to tell, and one may be under way
}
