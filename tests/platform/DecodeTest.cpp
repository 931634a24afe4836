#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/Platform.h"

using namespace zinniarail;
using namespace zinniarail::platform;
namespace json = boost::json;

namespace {

json::object configuration(const std::string &kind, json::object destination) {
  json::object action = std::move(destination);
  action["timeout"] = "800ms";
  action["max_attempts"] = 2;
  return {
      {"version", 1},
      {"listeners",
       json::array{{{"host", "h.example"},
                    {"rules", json::array{{{"name", "r"},
                                           {"kind", kind},
                                           {"target_latency", "200ms"},
                                           {"priority", 2},
                                           {"match", {{"path_prefix", "/r/"}}},
                                           {"action", action}}}}}}},
      {"clusters", json::array{}}};
}

struct KindCase {
  std::string Kind;
  bool IsIdempotent;
};

std::ostream &operator<<(std::ostream &out, const KindCase &it) {
  return out << it.Kind;
}

const std::vector<KindCase> KindCases{{"safe", true},
                                      {"download", true},
                                      {"unsafe", false},
                                      {"keyed", false},
                                      {"", false}};

struct SplitCase {
  std::string Name;
  std::string Parts;                 ///< The value of traffic_split as JSON.
  std::vector<Destination> Expected; ///< Empty: the configuration is invalid.
};

std::ostream &operator<<(std::ostream &out, const SplitCase &it) {
  return out << it.Name;
}

const std::vector<SplitCase> SplitCases{
    {"two parts",
     R"([{"service":"a","weight":90},{"service":"b","weight":10}])",
     {{"a", 90}, {"b", 10}}},
    {"a part of weight 0",
     R"([{"service":"a","weight":1},{"service":"b","weight":0}])",
     {{"a", 1}, {"b", 0}}},
    {"no part", "[]", {}},
    {"no weight", R"([{"service":"a"}])", {}},
    {"negative weight", R"([{"service":"a","weight":-1}])", {}},
    {"no service", R"([{"weight":1}])", {}},
    {"not a list", R"({"a":1})", {}}};

} // namespace

BOOST_DATA_TEST_CASE(onlyKindsThatMayRunTwiceAreIdempotent, KindCases, it) {
  const auto config =
      decodeConfiguration(configuration(it.Kind, {{"service", "s"}}));
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().Routes.front().Idempotent == it.IsIdempotent);
}

BOOST_DATA_TEST_CASE(splitRoutesKeepTheirServicesAndWeights, SplitCases, it) {
  const auto config = decodeConfiguration(
      configuration("safe", {{"traffic_split", json::parse(it.Parts)}}));
  BOOST_REQUIRE(config.has_value() == !it.Expected.empty());
  if (config) {
    BOOST_TEST((config.value().Routes.front().Destinations == it.Expected));
  }
}
