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
    {"fractions",
     R"([{"service":"a","weight":0.5},{"service":"b","weight":0.5}])",
     {{"a", 5}, {"b", 5}}},
    {"a whole number and a fraction",
     R"([{"service":"a","weight":99},{"service":"b","weight":0.25}])",
     {{"a", 9900}, {"b", 25}}},
    {"whole numbers written as fractions",
     R"([{"service":"a","weight":9.0},{"service":"b","weight":1e0}])",
     {{"a", 9}, {"b", 1}}},
    {"no part", "[]", {}},
    {"endless weight", R"([{"service":"a","weight":1e999}])", {}},
    {"weight that is no number", R"([{"service":"a","weight":"1"}])", {}},
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

namespace {

struct CustomersCase {
  std::string Name;
  std::string Customers; ///< The value of tenants as JSON.
  bool IsValid;
};

std::ostream &operator<<(std::ostream &out, const CustomersCase &it) {
  return out << it.Name;
}

const std::vector<CustomersCase> CustomersCases{
    {"two customers",
     R"([{"name":"a","api_keys":["k1","k2"],"priority":0,"rate_per_s":2.5,"burst":9},{"name":"b","api_keys":["k3"]}])",
     true},
    {"no keys", R"([{"name":"a","api_keys":[]}])", true},
    {"no limit", R"([{"name":"a","api_keys":["k"],"rate_per_s":0}])", true},
    {"no customers", "[]", true},
    {"not a list", R"({"name":"a"})", false},
    {"an entry that is no object", R"(["a"])", false},
    {"no name", R"([{"api_keys":["k"]}])", false},
    {"empty name", R"([{"name":"","api_keys":["k"]}])", false},
    {"name with a space", R"([{"name":"a b","api_keys":["k"]}])", true},
    {"name with a space before it", R"([{"name":" a","api_keys":["k"]}])",
     false},
    {"name with a space behind it", R"([{"name":"a ","api_keys":["k"]}])",
     false},
    {"name with a tab", R"([{"name":"a\tb","api_keys":["k"]}])", false},
    {"name with a deletion", R"([{"name":"a\u007fb","api_keys":["k"]}])",
     false},
    {"key with a space", R"([{"name":"a","api_keys":["k l"]}])", false},
    {"name with a line break", R"([{"name":"a\r\nX: y","api_keys":["k"]}])",
     false},
    {"name that is no ASCII", R"([{"name":"\u00e9","api_keys":["k"]}])", true},
    {"name twice",
     R"([{"name":"a","api_keys":["k"]},{"name":"a","api_keys":["l"]}])", false},
    {"no list of keys", R"([{"name":"a"}])", false},
    {"one key without a list", R"([{"name":"a","api_keys":"k"}])", false},
    {"key that is a number", R"([{"name":"a","api_keys":[1]}])", false},
    {"empty key", R"([{"name":"a","api_keys":[""]}])", false},
    {"key twice", R"([{"name":"a","api_keys":["k","k"]}])", false},
    {"key of two customers",
     R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])", false},
    {"negative rate", R"([{"name":"a","api_keys":[],"rate_per_s":-1}])", false},
    {"endless rate", R"([{"name":"a","api_keys":[],"rate_per_s":1e999}])",
     false},
    {"rate that is no number",
     R"([{"name":"a","api_keys":[],"rate_per_s":"1"}])", false},
    {"negative burst", R"([{"name":"a","api_keys":[],"burst":-1}])", false},
    {"priority with a fraction",
     R"([{"name":"a","api_keys":[],"priority":0.5}])", false}};

} // namespace

BOOST_DATA_TEST_CASE(customersAreDecodedOrRejected, CustomersCases, it) {
  json::object document = configuration("safe", {{"service", "s"}});
  json::error_code ec;
  document["tenants"] = json::parse(it.Customers, ec);
  const auto config = decodeConfiguration(document);
  BOOST_TEST(config.has_value() == it.IsValid);
  if (!config) {
    // Errors are logged, and keys are secrets.
    BOOST_TEST(describe(config.error()).find("k1") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(customersKeepTheirKeysAndLimits) {
  json::object document = configuration("safe", {{"service", "s"}});
  document["tenants"] = json::parse(CustomersCases.front().Customers);
  document["listeners"].at(0).at("rules").at(0).as_object()["allow_anonymous"] =
      true;
  const auto config = decodeConfiguration(document);
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().Routes.front().AllowAnonymous);
  const std::vector<Customer> &all = config.value().Customers;
  BOOST_REQUIRE(all.size() == 2U);
  BOOST_TEST(all[0].Name == "a");
  BOOST_TEST(all[0].Priority.value_or(9) == 0U);
  BOOST_TEST(all[0].RatePerSecond == 2.5);
  BOOST_TEST(all[0].Burst == 9);
  BOOST_TEST(all[0].Keys.size() == 2U);
  BOOST_TEST((all[1].Keys == std::vector{digestKey("k3")}));
  BOOST_TEST(!all[1].Priority.has_value());
}

namespace {

struct OrderCase {
  std::string Name;
  std::string Specification;           ///< JSON
  std::string Status;                  ///< JSON
  std::optional<rollout::Phase> State; ///< None: the order is invalid.
  double Share = 0;
};

std::ostream &operator<<(std::ostream &out, const OrderCase &it) {
  return out << it.Name;
}

constexpr const char *ValidOrder =
    R"({"service":"s","target_version":"v2","duration":"12s"})";

const std::vector<OrderCase> OrderCases{
    {"new", ValidOrder, "null", rollout::Phase::Ordered},
    {"running", ValidOrder,
     R"({"state":"running","target_version":"v2","share":0.25})",
     rollout::Phase::Running, 0.25},
    {"completed", ValidOrder,
     R"({"state":"completed","target_version":"v2","share":7})",
     rollout::Phase::Completed, 1},
    {"rolled back", ValidOrder,
     R"({"state":"rolled_back","target_version":"v2"})",
     rollout::Phase::RolledBack},
    {"status of an earlier target", ValidOrder,
     R"({"state":"completed","target_version":"v1"})", rollout::Phase::Ordered},
    {"unknown state", ValidOrder, R"({"state":"x","target_version":"v2"})",
     rollout::Phase::Ordered},
    {"status of another type", ValidOrder, "[1]", rollout::Phase::Ordered},
    {"no target", R"({"service":"s","duration":"12s"})", "null", std::nullopt},
    {"no time", R"({"service":"s","target_version":"v2","duration":"0s"})",
     "null", std::nullopt},
    {"no object", "3", "null", std::nullopt}};

} // namespace

BOOST_DATA_TEST_CASE(ordersAreReadWithTheStatusOfTheirTarget, OrderCases, it) {
  Object object;
  object.Name = "o";
  object.Created = 5;
  object.Revision = {1, 6};
  object.Content = json::parse(it.Specification);
  object.Status = json::parse(it.Status);
  const auto order = decodeRollout(object);
  BOOST_REQUIRE(order.has_value() == it.State.has_value());
  if (order) {
    BOOST_TEST((order->State == *it.State));
    BOOST_TEST(order->Share == it.Share);
    BOOST_TEST(order->Created == 5U);
    object.Status = encodeRolloutStatus(*order);
    BOOST_TEST((decodeRollout(object) == order));
  }
}
