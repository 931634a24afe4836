#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/Wire.h"
#include "store/Store.h"
#include "store/StoreTask.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

json::object registration(const std::string &service,
                          const std::string &state = "ready") {
  return {
      {"address", "127.0.0.1:80"},
      {"born", 1000},
      {"information",
       {{"service", service}, {"version", "v1"}, {"zone", "a"}, {"slots", 4}}},
      {"status",
       {{"state", state}, {"sequence", 1}, {"warmup_remaining", "0ms"}}}};
}

json::object configuration(unsigned version) {
  return {
      {"version", version},
      {"listeners",
       json::array{{{"host", "h.example"},
                    {"rules", json::array{{{"name", "r"},
                                           {"kind", "safe"},
                                           {"target_latency", "200ms"},
                                           {"priority", 2},
                                           {"match", {{"path_prefix", "/r/"}}},
                                           {"action",
                                            {{"service", "s"},
                                             {"timeout", "800ms"},
                                             {"max_attempts", 2}}}}}}}}},
      {"clusters", json::array{{{"name", "s"},
                                {"health_check_path", "/health"},
                                {"connection_limit", 220}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1000},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}}};
}

/// A store and a task beside it on one loop.
struct Bench {
  Bench()
      : Store(Turns.Loop), Address(http::listenSomewhere([&](const auto &it) {
          return Store.listen(it);
        })),
        Task(Turns.Loop, Address, Known, 1,
             {[](platform::Kind) {},
              [this](bool healthy) { Healthy = healthy; }}) {}

  template <typename Condition> bool until(Condition holds) {
    return Turns.until(holds);
  }

  bool untilHealthy() {
    return until([this] { return Healthy; });
  }

  bool has(const std::string &upstream) const {
    return Known.Upstreams.Entries.contains(upstream);
  }

  std::uint64_t version() const {
    return Known.Config ? Known.Config->Version : 0;
  }

  http::TestLoop Turns;
  standins::Store Store;
  std::string Address;
  Mirror Known;
  bool Healthy = false;
  StoreTask Task;
};

} // namespace

BOOST_AUTO_TEST_CASE(thePictureFollowsTheStore) {
  Bench it;
  it.Store.put("config", "main", configuration(3));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.version() == 3);
  BOOST_TEST(it.Known.Config->Routes.size() == 1);
  BOOST_TEST(it.has("u1"));

  it.Store.put("servers", "u2", registration("s", "draining"));
  BOOST_REQUIRE(it.until([&] { return it.has("u2"); }));
  it.Store.remove("servers", "u1");
  BOOST_TEST(it.until([&] { return !it.has("u1"); }));
  it.Store.put("evacuations", "b", json::object{});
  BOOST_TEST(it.until([&] { return it.Known.DomainsOut.contains("b"); }));
  it.Store.remove("evacuations", "b");
  BOOST_TEST(it.until([&] { return it.Known.DomainsOut.empty(); }));
  it.Store.put("config", "main", configuration(5));
  BOOST_TEST(it.until([&] { return it.version() == 5; }));
}

BOOST_AUTO_TEST_CASE(aVersionNeverGoesBackAndAnUnreadableOneIsNotTaken) {
  Bench it;
  it.Store.put("config", "main", configuration(5));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.put("config", "main", configuration(4));
  auto broken = configuration(9);
  broken.erase("clusters");
  it.Store.put("config", "main", broken);
  it.Store.put("evacuations", "after", json::object{});
  BOOST_REQUIRE(it.until([&] { return it.Known.DomainsOut.size() == 1; }));
  it.Turns.runFor(300ms);
  BOOST_TEST(it.version() == 5);
}

BOOST_DATA_TEST_CASE(anEntryOfAnotherWriterNamesNoUpstream,
                     (std::vector<std::string>{"address", "information",
                                               "status"}),
                     missing) {
  Bench it;
  auto broken = registration("s");
  broken.erase(missing);
  it.Store.put("servers", "bad", broken);
  it.Store.put("servers", "odd", registration("s", "asleep"));
  it.Store.put("servers", "good", registration("s"));
  it.Store.put("config", "main", configuration(1));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.Known.Upstreams.Entries.size() == 1);
  BOOST_TEST(it.has("good"));
}

BOOST_DATA_TEST_CASE(anOutageOfAnyKindIsAskedAboutWithPauses,
                     (std::vector<int>{
                         static_cast<int>(standins::Outage::NotFound),
                         static_cast<int>(standins::Outage::TooMany),
                         static_cast<int>(standins::Outage::Unavailable),
                         static_cast<int>(standins::Outage::Garbage),
                         static_cast<int>(standins::Outage::Silence)}),
                     kind) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Store.Faults.Out = static_cast<standins::Outage>(kind);
  it.Task.begin();
  it.Turns.runFor(3s);
  // One question at a time, at least half the longest pause apart once the
  // pauses have grown.
  const unsigned most = 4 + 3'000 / 250;
  BOOST_TEST(it.Store.calls() <= most);
  BOOST_TEST(it.Store.calls() >= 4);
  it.Store.Faults.Out = standins::Outage::None;
  BOOST_TEST(it.untilHealthy());
}

// Where many instances step in one after the other each costs a call, not five.
BOOST_AUTO_TEST_CASE(aStoreThatIsAwayIsAskedOneQuestionFirst) {
  Bench it;
  it.Store.Faults.Out = standins::Outage::Unavailable;
  it.Task.begin();
  BOOST_REQUIRE(it.until([&] { return it.Store.calls() > 0; }));
  it.Turns.runFor(20ms);
  BOOST_TEST(it.Store.calls() <= 2);
}

BOOST_AUTO_TEST_CASE(whoStandsBehindOthersAsksMoreRarely) {
  Bench it;
  it.Store.Faults.Out = standins::Outage::Unavailable;
  it.Task.setPosition(9);
  it.Task.begin();
  it.Turns.runFor(3s);
  BOOST_TEST(it.Store.calls() <= 5);
}

BOOST_AUTO_TEST_CASE(whatChangedUnheardIsReadAfterTheOutage) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Store.put("servers", "u2", registration("s"));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  // The store stops answering; what waits there is never answered.
  it.Store.Faults.Out = standins::Outage::Silence;
  it.Store.remove("servers", "u1");
  it.Turns.runFor(5s);
  it.Store.Faults.Out = standins::Outage::None;
  BOOST_TEST(it.until([&] { return !it.has("u1"); }));
  BOOST_TEST(it.has("u2"));
}

BOOST_AUTO_TEST_CASE(lostHistoryIsReadAnewAndCheapReadsRest) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.until([&] { return it.Store.waiting() == 4; }));
  it.Store.put("config", "main", configuration(2));
  it.Store.forgetHistory();
  BOOST_REQUIRE(it.until([&] { return it.version() == 2; }));
  it.Turns.runFor(300ms);
  const unsigned before = it.Store.LatestReads;
  it.Store.put("config", "main", configuration(3));
  BOOST_REQUIRE(it.until([&] { return it.version() == 3; }));
  it.Turns.runFor(300ms);
  BOOST_TEST(it.Store.LatestReads > before);
}

namespace {

Instance instance(const std::string &id, const std::string &domain = "a") {
  return {id, domain, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", false};
}

} // namespace

BOOST_AUTO_TEST_CASE(theInstancesOfADomainAreOneRecord) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Task.wantRecorded("a", {instance("i1"), instance("i2")});
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.until([&] { return it.Task.recorded().size() == 2; }));
  BOOST_TEST(it.Store.Calls["POST"] == 1);
  it.Turns.runFor(100ms);
  BOOST_TEST(it.Store.Calls["PUT"] == 0);

  it.Task.wantRecorded("a", {instance("i2"), instance("i3"), instance("i4")});
  BOOST_TEST(it.until([&] { return it.Task.recorded().size() == 3; }));
  it.Turns.runFor(100ms);
  BOOST_TEST(it.Store.Calls["PUT"] == 1);
  BOOST_TEST((it.Task.recorded().front() == instance("i2")));
}

// Another reader of the domain, or of another one, wrote in between.
BOOST_AUTO_TEST_CASE(recordsOfOthersAreSeenAndKept) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("zinniarail-instances", "b",
               platform::encodeInstances({instance("i9", "b")}));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(
      (it.Task.recorded() == std::vector<Instance>{instance("i9", "b")}));
  it.Store.put("zinniarail-instances", "a",
               platform::encodeInstances({instance("i1")}));
  it.Task.wantRecorded("a", {instance("i1"), instance("i2")});
  BOOST_TEST(it.until([&] { return it.Task.recorded().size() == 3; }));
  it.Turns.runFor(100ms);
  const auto *stored = it.Store.find("zinniarail-instances", "a");
  BOOST_REQUIRE(stored != nullptr);
  BOOST_TEST(
      (*stored == platform::encodeInstances({instance("i1"), instance("i2")})));
}

BOOST_AUTO_TEST_CASE(aRecordWhoseAnswerIsLostIsWrittenOnce) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Task.begin();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.LoseAnswers = 1;
  it.Task.wantRecorded("a", {instance("i1")});
  it.Turns.runFor(300ms);
  it.Store.Faults.LoseAnswers = 0;
  BOOST_TEST(it.until([&] { return it.Task.recorded().size() == 1; }));
}
