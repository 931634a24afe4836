// Versions of the configuration with entries that can't be read, on a real
// process.
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;
namespace json = boost::json;

namespace {

/// How soon an accepted version must be in force.
constexpr Duration PropagationLimit = 2s;

struct SpoiledCase {
  const char *Description;
  std::function<void(json::object &)> Spoil;
  unsigned StatusOfKept = 200;      ///< With a key that stays.
  unsigned StatusOfWithdrawn = 401; ///< With one that was taken away.
};

std::ostream &operator<<(std::ostream &out, const SpoiledCase &it) {
  return out << it.Description;
}

json::object &customerOf(json::object &it, std::size_t n) {
  return it["tenants"].at(n).as_object();
}

const std::vector<SpoiledCase> SpoiledCases{
    {"nothing", [](json::object &) {}},
    {"a timeout in minutes",
     [](json::object &it) {
       it["listeners"]
           .at(0)
           .at("rules")
           .at(0)
           .at("action")
           .as_object()["timeout"] = "2m";
     }},
    {"a rate that is null",
     [](json::object &it) { customerOf(it, 1)["rate_per_s"] = nullptr; }},
    {"a customer without keys",
     [](json::object &it) { customerOf(it, 1).erase("api_keys"); }},
    {"a key of two customers",
     [](json::object &it) {
       customerOf(it, 1)["api_keys"] = json::array{"hall-1"};
     },
     503},
    {"no destination",
     [](json::object &it) {
       it["listeners"].at(0).at("rules").at(0).at("action").as_object().erase(
           "service");
     },
     503, 503}};

} // namespace

// Guards against a dropped route that is served on, and a withdrawn key that
// works, because another entry of the version can't be read.
BOOST_DATA_TEST_CASE(versionWithAnUnreadableEntryIsInForce, SpoiledCases, row) {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.InstanceCount = 2;
  plan.HasLinks = false;
  plan.Customers = {{"hall", {"hall-1", "hall-2"}}, {"desk", {"desk-1"}}};
  Drill drill(plan);
  unsigned sent = 0;
  const auto status = [&](const std::string &path, const std::string &key,
                          std::size_t instance) {
    const std::string id = "k" + std::to_string(++sent);
    return drill
        .get(drill.Deployed.Instances[instance].CallerAddress, path + id,
             "X-Request-Id: " + id +
                 "\r\nX-Deadline-Milliseconds: 2000\r\nX-Credential: " + key +
                 "\r\n")
        .Response.Status;
  };
  BOOST_REQUIRE(status("/moving/", "hall-2", 0) == 200U);
  json::object next =
      drill.Deployed.TheStore.find("config", "main")->as_object();
  next["version"] = 2;
  next["listeners"].at(0).at("rules").as_array().pop_back(); // "/moving/"
  customerOf(next, 0)["api_keys"] = json::array{"hall-1"};
  row.Spoil(next);
  drill.Deployed.TheStore.put("config", "main", next);
  drill.EventLoop.runFor(PropagationLimit);
  for (std::size_t n = 0; n < plan.InstanceCount; ++n) {
    BOOST_TEST(status("/moving/", "hall-1", n) == 404U);
    BOOST_TEST(status("/order/", "hall-1", n) == row.StatusOfKept);
    BOOST_TEST(status("/order/", "hall-2", n) == row.StatusOfWithdrawn);
    BOOST_TEST(drill.waitForLog("name=document-in-force version=2", n));
  }
}
