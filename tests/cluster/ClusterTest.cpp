// A firm's processes under faults: callers lose nothing, nothing runs twice,
// no refusal is untrue, and each answer goes to its own caller.

#include <functional>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cluster/System.h"

using namespace zinniarail;
using namespace zinniarail::testing;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

void shortWait() { std::this_thread::sleep_for(1s); }

/// What happens while callers are served.
struct Fault {
  const char *Name;
  std::function<void(System &)> Happens;
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
          [change](System &system) {
            BOOST_TEST(system.Nodes.setUpstreamFaults(
                json::parse(change).as_object()));
          },
          servesAll};
}

const Fault Faults[] = {
    {"none", [](System &) {}, true},
    {"an instance is killed",
     [](System &system) { system.kill(system.Nodes.instances()[1]); }},
    {"two instances are killed and come back",
     [](System &system) {
       for (const int n : {0, 1}) {
         auto &it = system.Nodes.instances()[n];
         system.kill(it);
         BOOST_TEST(system.Nodes.startInstance(it));
       }
     }},
    {"an instance is paused for longer than its view lasts",
     [](System &system) {
       system.Nodes.instances()[2].Running.signal(SIGSTOP);
       std::this_thread::sleep_for(4s);
       system.Nodes.instances()[2].Running.signal(SIGCONT);
     }},
    {"all instances are restarted, one by one",
     [](System &system) {
       for (auto &it : system.Nodes.instances()) {
         BOOST_TEST(system.restart(it), it.Id);
       }
     },
     true, 20},
    {"the platform hangs, then an instance is killed",
     [](System &system) {
       system.Nodes.setPlatformFaults({{"outage", "hang"}});
       shortWait();
       system.kill(system.Nodes.instances()[3]);
     }},
    {"a failure domain goes out and comes back",
     [](System &system) {
       BOOST_TEST(system.Nodes.putDomainsOut({"serra-a"}));
       std::this_thread::sleep_for(3s);
       BOOST_TEST(system.Nodes.putDomainsOut({}));
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

BOOST_DATA_TEST_CASE(callersLoseNothing, data::make(Faults), fault) {
  System system(Serrano);
  system.startCallers(fault.Seconds);
  shortWait();
  fault.Happens(system);
  const auto report = system.finish();
  checkSound(report);
  if (fault.ServesAll) {
    BOOST_TEST(report.at("served") == report.at("sent"), report);
  }
}

BOOST_AUTO_TEST_CASE(aRequestThatCrashesUpstreamsIsStopped) {
  System system(Serrano);
  system.startCallers(6, {"--marked", "6"});
  checkSound(system.finish());
  std::uint64_t crashes = 0;
  const auto counters = system.Nodes.upstreamCounters();
  for (const auto &it : counters.at("upstreams").as_object()) {
    crashes += it.value().at("crashes").to_number<std::uint64_t>();
  }
  BOOST_TEST_MESSAGE("crashes " << crashes);
  BOOST_TEST(crashes >= 1);
  BOOST_TEST(crashes <= 3); // it needs two to tell, and one may be under way
}
