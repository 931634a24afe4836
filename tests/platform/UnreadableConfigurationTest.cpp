// Versions of the configuration with entries that can't be read: the rest is in
// force, and what operators took away is gone.
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/Platform.h"
#include "zinniarail/customers/Customers.h"

using namespace zinniarail;
using namespace zinniarail::platform;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr const char *Before = R"({
  "version": 1,
  "listeners": [{"host": "h.example", "rules": [
    {"name": "all", "kind": "unsafe", "target_latency": "300ms", "priority": 2,
     "match": {"path_prefix": "/"},
     "action": {"service": "other", "timeout": "3s", "max_attempts": 2}},
    {"name": "look", "kind": "safe", "target_latency": "200ms", "priority": 3,
     "match": {"path_prefix": "/look/"},
     "action": {"service": "s", "timeout": "800ms", "max_attempts": 2}},
    {"name": "drop", "kind": "safe", "target_latency": "200ms", "priority": 3,
     "match": {"path_prefix": "/look/drop/"},
     "action": {"service": "s", "timeout": "800ms", "max_attempts": 2}}]}],
  "clusters": [{"name": "s", "health_check_path": "/up",
                "connection_limit": 70, "warmup": "4s", "warmup_per_s": 9}],
  "tenants": [{"name": "a", "api_keys": ["ka", "withdrawn"], "priority": 1,
               "rate_per_s": 5, "burst": 2},
              {"name": "b", "api_keys": ["kb"]}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout": "3s", "idle_timeout": "15s"}})";

/// Changes a version that drops a route and withdraws a key.
using Edit = std::function<void(json::object &)>;
using Check = std::function<bool(const Configuration &)>;

struct UnreadableCase {
  const char *Description;
  Edit Spoil;
  Check IsSafe;
};

std::ostream &operator<<(std::ostream &out, const UnreadableCase &it) {
  return out << it.Description;
}

json::object &rule(json::object &it) {
  return it["listeners"].at(0).at("rules").at(1).as_object();
}
json::object &action(json::object &it) {
  return rule(it)["action"].as_object();
}
json::object &service(json::object &it) {
  return it["clusters"].at(0).as_object();
}
json::array &customers(json::object &it) { return it["tenants"].as_array(); }
json::object &customer(json::object &it, std::size_t n = 0) {
  return customers(it).at(n).as_object();
}

Edit setIn(json::object &(*part)(json::object &), const char *key,
           const json::value &value) {
  return [=](json::object &it) { part(it)[key] = value; };
}
Edit eraseIn(json::object &(*part)(json::object &), const char *key) {
  return [=](json::object &it) { part(it).erase(key); };
}
Edit setInCustomer(const char *key, const json::value &value) {
  return [=](json::object &it) { customer(it)[key] = value; };
}

const Route *look(const Configuration &it) {
  return findRoute(it, "h.example", "/look/x");
}

Check routeIs(const std::function<bool(const Route &)> &check) {
  return [=](const Configuration &it) {
    const Route *route = look(it);
    return route != nullptr && route->PathPrefix == "/look/" && check(*route);
  };
}
Check timeoutIs(Duration timeout) {
  return routeIs([=](const Route &it) { return it.Timeout == timeout; });
}
Check goesTo(const std::vector<Destination> &expected) {
  return routeIs([=](const Route &it) { return it.Destinations == expected; });
}
Check serviceIs(const std::function<bool(const ServiceConfig &)> &check) {
  return [=](const Configuration &it) {
    const ServiceConfig *found = findService(it, "s");
    return found != nullptr && check(*found);
  };
}
Check customerIs(const std::function<bool(const Customer &)> &check,
                 const std::string &name = "a") {
  return [=](const Configuration &it) {
    const auto found = std::ranges::find(it.Customers, name, &Customer::Name);
    return found != it.Customers.end() && check(*found);
  };
}

/// Whose a key is; "": it is not clear, "-": nobody's.
std::string holderOf(const Configuration &config, const char *key) {
  CustomerDirectory directory;
  updateDirectory(directory, config.Customers);
  const std::string text = key;
  const Identity it = identify(directory, Route{}, &text);
  return it.IsUnclear ? "" : it.Holder == nullptr ? "-" : it.Holder->Name;
}
Check holderIs(const char *key, const std::string &name) {
  return [=](const Configuration &it) { return holderOf(it, key) == name; };
}
Check both(const Check &first, const Check &second) {
  return [=](const Configuration &it) { return first(it) && second(it); };
}

json::value split(const char *text) { return json::parse(text); }

Edit splitInto(const char *parts) {
  return [=](json::object &it) {
    action(it).erase("service");
    action(it)["traffic_split"] = split(parts);
  };
}

const std::vector<UnreadableCase> UnreadableCases{
    {"a timeout in minutes", setIn(action, "timeout", "2m"), timeoutIs(2min)},
    {"a timeout with two units", setIn(action, "timeout", "1m30s"),
     timeoutIs(90s)},
    {"a timeout without a unit", setIn(action, "timeout", "800"),
     timeoutIs(800ms)},
    {"a timeout that is a number", setIn(action, "timeout", 2),
     timeoutIs(800ms)},
    {"no timeout", eraseIn(action, "timeout"), timeoutIs(800ms)},
    {"no timeout of a new route",
     [](json::object &it) {
       action(it).erase("timeout");
       rule(it)["match"].as_object()["path_prefix"] = "/look/x/";
     },
     [](const Configuration &it) {
       const Route *route = findRoute(it, "h.example", "/look/x/y");
       return route != nullptr && route->PathPrefix == "/look/x/" &&
              route->Timeout == UnknownTimeout;
     }},
    {"no latency target", eraseIn(rule, "target_latency"),
     routeIs([](const Route &it) { return it.TargetLatency == 200ms; })},
    {"no attempts", eraseIn(action, "max_attempts"),
     routeIs([](const Route &it) { return it.MaxAttempts == 1; })},
    {"attempts with a fraction", setIn(action, "max_attempts", 2.5),
     routeIs([](const Route &it) { return it.MaxAttempts == 2; })},
    {"a priority with a fraction", setIn(rule, "priority", 1.5),
     routeIs([](const Route &it) { return it.Priority == 1; })},
    {"a negative priority", setIn(rule, "priority", -1),
     routeIs([](const Route &it) { return it.Priority == 0; })},
    {"no priority", eraseIn(rule, "priority"),
     routeIs([](const Route &it) { return it.Priority == 3; })},
    {"no kind", eraseIn(rule, "kind"),
     routeIs([](const Route &it) { return !it.Idempotent; })},
    {"a kind that is no text", setIn(rule, "kind", 1),
     routeIs([](const Route &it) { return !it.Idempotent; })},
    {"anonymous callers allowed by a text",
     setIn(rule, "allow_anonymous", "true"),
     routeIs([](const Route &it) { return !it.AllowAnonymous; })},
    {"no name of a route", eraseIn(rule, "name"),
     routeIs([](const Route &it) { return it.Name == "look"; })},
    {"a service that is no text", setIn(action, "service", 7), goesTo({})},
    {"no action", eraseIn(rule, "action"), goesTo({})},
    {"a split without a part", splitInto("[]"), goesTo({})},
    {"weights that are texts",
     splitInto(R"([{"service":"s","weight":"3"},{"service":"t","weight":1}])"),
     goesTo({{"s", 3}, {"t", 1}})},
    {"one weight that is nothing",
     splitInto(R"([{"service":"s","weight":3},{"service":"t"}])"),
     goesTo({{"s", 3}, {"t", 0}})},
    {"no weights", splitInto(R"([{"service":"s"},{"service":"t"}])"),
     goesTo({{"s", 1}, {"t", 1}})},
    {"a part without a service",
     splitInto(R"([{"service":"s","weight":3},{"weight":2}])"),
     goesTo({{"s", 3}})},
    {"no health path", eraseIn(service, "health_check_path"),
     serviceIs([](const ServiceConfig &it) { return it.HealthPath == "/up"; })},
    {"no connection limit", eraseIn(service, "connection_limit"),
     serviceIs(
         [](const ServiceConfig &it) { return it.ConnectionLimit == 70U; })},
    {"a rate of cold upstreams that is no number",
     setIn(service, "warmup_per_s", "x"),
     serviceIs([](const ServiceConfig &it) {
       return it.WarmupPerSecond == 9 && it.Warmup == 4s;
     })},
    {"a key twice", setInCustomer("api_keys", json::array{"ka", "ka"}),
     holderIs("ka", "a")},
    {"a key of two customers",
     [](json::object &it) {
       customer(it, 1)["api_keys"] = json::array{"kb", "ka"};
     },
     both(holderIs("ka", ""), holderIs("kb", "b"))},
    {"a key with a space", setInCustomer("api_keys", json::array{"k a", "ka"}),
     both(holderIs("k a", "a"), holderIs("ka", "a"))},
    {"a key beyond ASCII",
     setInCustomer("api_keys", json::array{"k\xc3\xa9", "ka"}),
     both(holderIs("k\xc3\xa9", "a"), holderIs("ka", "a"))},
    {"a key that can't be sent",
     setInCustomer("api_keys", json::array{"k\n", "ka", 5}),
     both(holderIs("k\n", "-"), holderIs("ka", "a"))},
    {"no keys", [](json::object &it) { customer(it).erase("api_keys"); },
     both(holderIs("ka", "-"), holderIs("kb", "b"))},
    {"keys that are no list", setInCustomer("api_keys", "ka"),
     both(holderIs("ka", "-"), holderIs("kb", "b"))},
    {"a rate that is null", setInCustomer("rate_per_s", nullptr),
     customerIs([](const Customer &it) { return it.RatePerSecond == 0; })},
    {"a rate that is a text", setInCustomer("rate_per_s", "4"),
     customerIs([](const Customer &it) { return it.RatePerSecond == 4; })},
    {"a rate that can't be read", setInCustomer("rate_per_s", "four"),
     customerIs([](const Customer &it) {
       return it.RatePerSecond == 5 && it.Burst == 2;
     })},
    {"a negative rate", setInCustomer("rate_per_s", -3),
     customerIs([](const Customer &it) { return it.RatePerSecond == 5; })},
    {"a customer's priority with a fraction", setInCustomer("priority", 0.5),
     customerIs([](const Customer &it) { return it.Priority == 0U; })},
    {"a customer's priority that can't be read",
     setInCustomer("priority", "high"),
     customerIs([](const Customer &it) { return it.Priority == 1U; })},
    {"a name with a blank behind it", setInCustomer("name", "a "),
     holderIs("ka", "a")},
    {"a name that can't be sent", setInCustomer("name", "a\r\nX: y"),
     both(holderIs("ka", ""), holderIs("kb", "b"))},
    {"no name", [](json::object &it) { customer(it).erase("name"); },
     both(holderIs("ka", ""), holderIs("kb", "b"))},
    {"two customers of one name",
     [](json::object &it) {
       customer(it, 1)["name"] = "a";
       customer(it, 1)["rate_per_s"] = 3;
     },
     both(
         both(holderIs("ka", "a"), holderIs("kb", "a")),
         customerIs([](const Customer &it) { return it.RatePerSecond == 3; }))},
    {"a customer that is no object",
     [](json::object &it) { customers(it).emplace_back("c"); },
     both(holderIs("ka", "a"), holderIs("kb", "b"))},
    {"a limit that can't be read",
     [](json::object &it) {
       it["limits"].as_object()["header_timeout"] = json::array{};
       it["limits"].as_object()["idle_timeout"] = "10s";
     },
     [](const Configuration &it) {
       return it.Limits.HeaderTimeout == 3s && it.Limits.IdleTimeout == 10s;
     }},
    {"limits that are no object", [](json::object &it) { it["limits"] = 5; },
     [](const Configuration &it) { return it.Limits.MaxBodyBytes == 1000U; }},
    {"a route without a prefix beside it",
     [](json::object &it) {
       it["listeners"].at(0).at("rules").as_array().push_back(
           {{"name", "x"}, {"match", json::object{}}});
     },
     goesTo({{"s", 1}})},
    {"a listener without a host",
     [](json::object &it) {
       it["listeners"].as_array().emplace_back(
           json::object{{"rules", json::array{}}});
     },
     goesTo({{"s", 1}})},
    {"a service without a name",
     [](json::object &it) {
       it["clusters"].as_array().emplace_back(
           json::object{{"health_check_path", "/"}});
     },
     goesTo({{"s", 1}})}};

/// A version that drops a route and withdraws a key.
json::object nextVersion() {
  json::object out = json::parse(Before).as_object();
  out["version"] = 2;
  out["listeners"].at(0).at("rules").as_array().pop_back();
  customer(out)["api_keys"] = json::array{"ka"};
  return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(versionWithoutUnreadableEntriesHasNoErrors) {
  const auto read = readConfiguration(nextVersion());
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().Errors.empty());
  const auto strict = decodeConfiguration(nextVersion());
  BOOST_REQUIRE(strict.has_value());
  BOOST_TEST((completeDraft(read.value().Draft, nullptr) == strict.value()));
}

// Guards against an entry that keeps the whole version out of force.
BOOST_DATA_TEST_CASE(unreadableEntryCostsOnlyItself, UnreadableCases, row) {
  const auto before = decodeConfiguration(json::parse(Before));
  BOOST_REQUIRE(before.has_value());
  json::object document = nextVersion();
  row.Spoil(document);
  const auto strict = decodeConfiguration(document);
  BOOST_REQUIRE(!strict.has_value()); // The check of a document tells.
  const auto read = readConfiguration(document);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read.value().Errors.empty());
  for (const DocumentError &it : read.value().Errors) {
    const std::string text = describe(it);
    BOOST_TEST(text.find("ka") == std::string::npos, text);
  }
  const Configuration next = completeDraft(read.value().Draft, &before.value());
  BOOST_TEST(next.Version == 2U);
  BOOST_TEST(row.IsSafe(next));
  const Route *dropped = findRoute(next, "h.example", "/look/drop/x");
  BOOST_TEST((dropped == nullptr || dropped->PathPrefix != "/look/drop/"));
  BOOST_TEST(holderOf(next, "withdrawn") != "a");
  BOOST_TEST(holderOf(next, "withdrawn") != "b");
}

namespace {

struct CustomersCase {
  const char *Description;
  json::value Customers;
  bool IsFirst; ///< There is no version before.
  std::string HolderOfKey;
  std::string HolderOfOther; ///< Of a key that no version ever had.
};

std::ostream &operator<<(std::ostream &out, const CustomersCase &it) {
  return out << it.Description;
}

const std::vector<CustomersCase> CustomersCases{
    {"null after customers", nullptr, false, "-", "-"},
    {"null at first", nullptr, true, "-", "-"},
    {"an object after customers", json::object{}, false, "a", "-"},
    {"an object at first", json::object{}, true, "", ""},
    {"a number at first", 3, true, "", ""}};

} // namespace

// Null is as if there were none, so that no key is needed.
BOOST_DATA_TEST_CASE(unreadableCustomersGiveNobodyAccess, CustomersCases, row) {
  const auto before = decodeConfiguration(json::parse(Before));
  json::object document = nextVersion();
  document["tenants"] = row.Customers;
  const auto read = readConfiguration(document);
  BOOST_REQUIRE(read.has_value());
  const Configuration next = completeDraft(
      read.value().Draft, row.IsFirst ? nullptr : &before.value());
  BOOST_TEST(next.Customers.empty() == row.Customers.is_null());
  BOOST_TEST(holderOf(next, "ka") == row.HolderOfKey);
  BOOST_TEST(holderOf(next, "other") == row.HolderOfOther);
}

namespace {

const std::vector<std::string> NeededParts{"version", "listeners", "clusters"};

} // namespace

BOOST_DATA_TEST_CASE(documentWithoutANeededPartIsRefused, NeededParts, part) {
  json::object document = nextVersion();
  document.erase(part);
  BOOST_TEST(!readConfiguration(document).has_value());
  document[part] = nullptr;
  BOOST_TEST(!readConfiguration(document).has_value());
}
