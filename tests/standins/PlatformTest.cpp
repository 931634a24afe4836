// The platform stand-in keeps docs/INTERFACES.md.

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "StandIn.h"

using namespace zinniarail::standins;
namespace data = boost::unit_test::data;

namespace {

struct Platform : StandIn {
  Platform()
      : StandIn("platform-standin", testAddress(1, 7000),
                {"--address", testAddress(1, 7000)}) {}

  Reply send(const std::string &method, const std::string &path,
             const std::string &condition = "", std::string body = "",
             zinniarail::Duration timeout = Patience) const {
    Call call;
    call.Method = method;
    call.Url = "http://" + Control + path;
    call.Body = std::move(body);
    call.Timeout = timeout;
    if (!condition.empty()) {
      call.Headers.push_back(condition);
    }
    return fetch(call);
  }
};

/// An update of an object that was written once, at version 1.
struct Update {
  const char *Method;
  const char *Key;
  const char *Condition;
  std::size_t Bytes;
  long Status;
  const char *Tag;
};

std::ostream &operator<<(std::ostream &out, const Update &it) {
  return out << it.Method << ' ' << it.Key << ' ' << it.Condition << ' '
             << it.Bytes;
}

constexpr std::size_t Megabyte = 1U << 20U;

const Update Updates[] = {
    {"PUT", "a", "", 1, 200, "\"2\""},
    {"PUT", "a", "If-Match: \"1\"", 1, 200, "\"2\""},
    {"PUT", "a", "If-Match: \"9\"", 1, 412, "\"1\""},
    {"PUT", "a", "If-None-Match: *", 1, 412, "\"1\""},
    {"PUT", "b", "If-None-Match: *", 1, 201, "\"2\""},
    {"PUT", "b", "If-Match: \"1\"", 1, 412, ""},
    {"PUT", "b", "", Megabyte, 201, "\"2\""},
    {"PUT", "b", "", Megabyte + 1, 413, ""},
    {"PUT", "b//c", "", 1, 400, ""},
    {"DELETE", "a", "If-Match: \"1\"", 0, 204, "\"2\""},
    {"DELETE", "a", "If-Match: \"9\"", 0, 412, "\"1\""},
    {"DELETE", "b", "If-Match: \"1\"", 0, 404, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(updatesAreConditional, data::make(Updates), update) {
  const Platform platform;
  BOOST_REQUIRE_EQUAL(platform.send("PUT", "/objects/a", "", "x").Status, 201);
  const auto reply =
      platform.send(update.Method, std::string("/objects/") + update.Key,
                    update.Condition, std::string(update.Bytes, 'y'));
  BOOST_TEST(reply.Status == update.Status);
  BOOST_TEST(reply.header("etag") == update.Tag);
}

BOOST_AUTO_TEST_CASE(listIsByPrefixAndSorted) {
  const Platform platform;
  for (const char *key : {"p/b", "p/a", "q"}) {
    platform.send("PUT", std::string("/objects/") + key, "", "x");
  }
  BOOST_TEST(platform.send("GET", "/objects?prefix=p/").Body ==
             R"([{"key":"p/a","version":2},{"key":"p/b","version":1}])");
}

BOOST_AUTO_TEST_CASE(aWatchAnswersOnceTheVersionIsBeyond) {
  const Platform platform;
  platform.send("PUT", "/objects/a", "", "old");
  Reply seen;
  Call watch;
  watch.Url = "http://" + platform.Control + "/watch/a?after=1&waitMs=60000";
  watch.Timeout = Patience;
  auto waiting = fetchAside(watch, seen);
  BOOST_TEST(
      await([&] { return platform.counters().at("waitingWatches") == 1; }));
  platform.send("PUT", "/objects/a", "", "new");
  waiting.join();
  BOOST_TEST(seen.Status == 200);
  BOOST_TEST(seen.Body == "new");
  BOOST_TEST(seen.header("etag") == "\"2\"");
  BOOST_TEST(platform.counters().at("byKind").at("watch").at("calls") == 1);
}

BOOST_AUTO_TEST_CASE(aWatchWithoutChangeEndsAfterItsWait) {
  const Platform platform;
  platform.send("PUT", "/objects/a", "", "old");
  BOOST_TEST(platform.send("GET", "/watch/a?after=1&waitMs=20").Status == 304);
  BOOST_TEST(platform.send("GET", "/watch/a?after=0&waitMs=20").Status == 200);
}

BOOST_AUTO_TEST_CASE(theInstanceListCanBeWatched) {
  const Platform platform;
  platform.send("POST", "/control/instances", "",
                R"([{"id":"i","state":"live"}])");
  BOOST_TEST(
      platform.send("GET", "/watch-instances?after=1&waitMs=20000").Body ==
      R"([{"id":"i","state":"live"}])");
  platform.send("POST", "/control/instances", "",
                R"({"update":[{"id":"i","state":"leaving"}]})");
  BOOST_TEST(
      platform.send("GET", "/watch-instances?after=2&waitMs=20000").Body ==
      R"([{"id":"i","state":"leaving"}])");
}

BOOST_AUTO_TEST_CASE(aDroppedAnswerLeavesItsWrite) {
  const Platform platform;
  platform.setFaults(R"({"kinds":["put"],"dropAnswerAfterWrite":1})");
  BOOST_TEST(
      !platform.send("PUT", "/objects/a", "If-None-Match: *", "x").isWhole());
  BOOST_TEST(platform.send("GET", "/objects/a").Body == "x");
}

BOOST_DATA_TEST_CASE(anOutageTakesCallsAndNoWrites,
                     data::make({"503", "close", "hang"}), outage) {
  const Platform platform;
  platform.setFaults(R"({"outage":")" + std::string(outage) + "\"}");
  const auto reply =
      platform.send("PUT", "/objects/a", "", "x", std::chrono::seconds{1});
  BOOST_TEST(reply.isWhole() == (std::string(outage) == "503"));
  BOOST_TEST(reply.Status == (reply.isWhole() ? 503 : 0));
  platform.setFaults(R"({"outage":"none"})");
  BOOST_TEST(platform.send("GET", "/objects/a").Status == 404);
}
