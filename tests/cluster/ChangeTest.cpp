// Failure domains and instances leave and return at the size of today, also
// while the platform is out.

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cluster/System.h"

using namespace zinniarail;
using namespace zinniarail::testing;
namespace json = boost::json;

namespace {

constexpr unsigned AllInstances = 13;
constexpr auto InForceWithin = 4s; // the promise
constexpr auto Watched = 1s;       // that nothing new comes
constexpr auto Briefly = 700ms;
const std::string Domain = "serra-a";

std::string versionOf(const ClusterInstance &it) {
  const auto shown = standins::fetch(
      {.Url = "http://" + it.OperatorAddress + "/version-in-force"});
  return json::serialize(json::parse(shown.Body).at("version"));
}

// A stop lasts as long as callers keep their addresses.
void shortenStops(System &system) {
  auto document = json::parse(system.Nodes.document()).as_object();
  document["resolveLifetimeMs"] = 100;
  BOOST_TEST(system.Nodes.putDocument(json::serialize(document)));
  BOOST_TEST(system.operate({"status", "--wait-ms", "60000"}) == 0);
}

void restartAll(System &system) {
  for (auto &it : system.Nodes.instances()) {
    BOOST_TEST(system.restart(it), it.Id);
  }
}

void twoDomainsOutAndIn(System &system) {
  BOOST_TEST(system.Nodes.putDomainsOut({Domain, "serra-b"}));
  std::this_thread::sleep_for(Briefly);
  BOOST_TEST(system.Nodes.putDomainsOut({}));
}

// One instance has it: the peers carry it to all others.
void outAsThePlatformHangs(System &system) {
  const auto &first = system.Nodes.instances().front();
  const auto before = versionOf(first);
  BOOST_TEST(system.Nodes.putDomainsOut({Domain}));
  const auto until = readClock() + Patience;
  while (versionOf(first) == before && readClock() < until) {
  }
  BOOST_TEST(system.Nodes.setPlatformFaults({{"outage", "hang"}}));
  std::this_thread::sleep_for(InForceWithin);
  const auto taken = system.takenIn(Domain);
  std::this_thread::sleep_for(Watched);
  BOOST_TEST(system.takenIn(Domain) == taken);
  BOOST_TEST(system.Nodes.setPlatformFaults({{"outage", "none"}}));
  BOOST_TEST(system.Nodes.putDomainsOut({}));
  BOOST_TEST(system.operate({"status", "--wait-ms", "60000"}) == 0);
  std::this_thread::sleep_for(Watched);
  BOOST_TEST(system.takenIn(Domain) > taken);
}

// What can't be accepted is said, and changes nothing.
void outWhileThePlatformIsOut(System &system) {
  BOOST_TEST(system.Nodes.setPlatformFaults({{"outage", "503"}}));
  BOOST_TEST(system.operate({"domain", "out", Domain}) != 0);
  const auto taken = system.takenIn(Domain);
  std::this_thread::sleep_for(Watched);
  BOOST_TEST(system.takenIn(Domain) > taken);
  BOOST_TEST(system.Nodes.setPlatformFaults({{"outage", "none"}}));
  std::this_thread::sleep_for(Watched);
  BOOST_TEST(system.operate({"status", "--wait-ms", "60000"}) == 0);
}

struct Change {
  const char *Name;
  void (*Happens)(System &);
  unsigned Seconds; ///< How long requests arrive.
  void (*Prepare)(System &) = nullptr;
};

std::ostream &operator<<(std::ostream &out, const Change &it) {
  return out << it.Name;
}

const Change Changes[] = {
    {"all instances are restarted, one by one", restartAll, 23, shortenStops},
    {"two domains go out and come back within a second", twoDomainsOutAndIn, 3},
    {"a domain goes out as the platform hangs", outAsThePlatformHangs, 8},
    {"a domain can't go out while the platform is out",
     outWhileThePlatformIsOut, 4},
};

} // namespace

BOOST_DATA_TEST_CASE(aPlannedChangeServesAll,
                     boost::unit_test::data::make(Changes), change) {
  System system(Serrano, AllInstances);
  if (change.Prepare != nullptr) {
    change.Prepare(system);
  }
  system.startCallers(change.Seconds);
  std::this_thread::sleep_for(Briefly);
  change.Happens(system);
  const auto report = system.finish();
  checkSound(report);
  BOOST_TEST(report.at("served") == report.at("sent"), report);
}
