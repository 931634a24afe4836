#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "Standin.h"
#include "zinniarail/intent/Format.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr unsigned Instances = 4;

// Whole instances as processes, in two failure domains.
struct Fleet {
  Fleet() : Platform(standins::loopbackAddress("52.99:7000")) {
    boost::json::array list;
    for (unsigned n = 0; n < Instances; ++n) {
      list.push_back({{"id", idOf(n)},
                      {"domain", domainOf(n)},
                      {"callerAddress", addressOf(n, "8000")},
                      {"peerAddress", addressOf(n, "8001")},
                      {"operatorAddress", addressOf(n, "8002")},
                      {"state", "live"}});
    }
    Platform.call("POST", "/control/instances", boost::json::serialize(list));
    Platform.putDocument(
        serialiseDocument({.Domains = {{"d0", "", true}, {"d1", "", true}}}));
    for (unsigned n = 0; n < Instances; ++n) {
      start(n);
    }
  }

  static std::string idOf(unsigned n) { return "i" + std::to_string(n); }
  static std::string domainOf(unsigned n) {
    return "d" + std::to_string(n % 2);
  }
  static std::string addressOf(unsigned n, const std::string &port) {
    return standins::loopbackAddress("52." + std::to_string(n + 1) + ":" +
                                     port);
  }

  void start(unsigned n) {
    Nodes[n] = startProgram(
        "/programs/zinniaraild",
        {"--instance-id", idOf(n), "--failure-domain", domainOf(n),
         "--environment", "trial", "--caller-address", addressOf(n, "8000"),
         "--peer-address", addressOf(n, "8001"), "--operator-address",
         addressOf(n, "8002"), "--platform-address", Platform.Address,
         "--log-level", "error"});
  }
  void end(unsigned n) {
    Nodes[n].signal(SIGKILL);
    BOOST_TEST(Nodes[n].wait(Patience).has_value());
  }
  boost::json::value ask(unsigned n, const std::string &path) const {
    boost::json::error_code ec;
    return boost::json::parse(
        request("GET", "http://" + addressOf(n, "8002") + path).Body, ec);
  }
  // Whether an instance may act on its version.
  bool isValid(unsigned n) const {
    const auto word = ask(n, "/version-in-force");
    const auto *it = word.is_object()
                         ? word.get_object().if_contains("validForMs")
                         : nullptr;
    return it != nullptr && it->to_number<int>() > 0;
  }
  bool areValid() const {
    for (unsigned n = 0; n < Instances; ++n) {
      if (!isValid(n)) {
        return false;
      }
    }
    return true;
  }
  // Whether one instance takes another for lost.
  bool hasLost(unsigned n, unsigned other) const {
    const auto dump = ask(n, "/dump");
    return dump.is_object() &&
           dump.at("control").at("lost").get_object().contains(idOf(other));
  }

  PlatformStandin Platform;
  Process Nodes[Instances];
};

} // namespace

// A crash during an outage: the others notice, and the new process gets the
// document from them, though the platform answers nothing.
BOOST_AUTO_TEST_CASE(aRestartedInstanceGetsItsDocumentInAnOutage) {
  Fleet fleet;
  BOOST_REQUIRE(waitFor([&] { return fleet.areValid(); }));
  fleet.Platform.setFaults(R"({"outage":"hang"})");
  fleet.end(1);
  BOOST_REQUIRE(waitFor([&] {
    return fleet.hasLost(0, 1) && fleet.hasLost(2, 1) && fleet.hasLost(3, 1);
  }));
  fleet.start(1);
  BOOST_TEST(waitFor([&] { return fleet.areValid(); }));
}
