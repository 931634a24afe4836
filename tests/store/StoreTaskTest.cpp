#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "FakeStore.h"
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
      : Owned(ev_loop_new(EVFLAG_AUTO)), Loop(Owned.get()), Store(Loop),
        Task(std::make_unique<StoreTask>(
            Loop, Store.Address,
            Instance{"i1", "a", "127.0.0.1:1", "127.0.0.1:2", "", false}, 1,
            [this](const Picture &it) { Last = it; })) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// Runs until it holds or a time is over that is far beyond any need.
  template <typename Condition> bool until(Condition holds) {
    const Instant giveUp = readClock() + 20s;
    while (!holds() && readClock() < giveUp) {
      turn();
    }
    return holds();
  }

  bool untilComplete() {
    return until([this] { return Last.Complete; });
  }

  void runFor(Duration time) {
    const Instant end = readClock() + time;
    while (readClock() < end) {
      turn();
    }
  }

  void turn() {
    ev_timer pause;
    ev_timer_init(
        &pause, [](struct ev_loop *, ev_timer *, int) {}, 0.005, 0);
    ev_timer_start(Loop, &pause);
    ev_run(Loop, EVRUN_ONCE);
    ev_timer_stop(Loop, &pause);
  }

  bool has(const std::string &upstream) const {
    return std::any_of(Last.Upstreams.begin(), Last.Upstreams.end(),
                       [&](const Upstream &it) { return it.Id == upstream; });
  }

  struct LoopDelete {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };

  std::unique_ptr<struct ev_loop, LoopDelete> Owned;
  struct ev_loop *Loop;
  FakeStore Store;
  Picture Last;
  std::unique_ptr<StoreTask> Task;
};

} // namespace

BOOST_AUTO_TEST_CASE(thePictureFollowsTheStore) {
  Bench it;
  it.Store.put("config", "main", configuration(3));
  it.Store.put("servers", "u1", registration("s"));
  it.Task->start();
  BOOST_REQUIRE(it.untilComplete());
  BOOST_TEST(it.Last.Config->Version == 3);
  BOOST_TEST(it.Last.Config->Routes.size() == 1);
  BOOST_TEST(it.has("u1"));
  BOOST_TEST(it.until([&] { return it.Last.Instances.size() == 1; }));

  it.Store.put("servers", "u2", registration("s", "draining"));
  BOOST_REQUIRE(it.until([&] { return it.has("u2"); }));
  it.Store.remove("servers", "u1");
  BOOST_TEST(it.until([&] { return !it.has("u1"); }));
  it.Store.put("evacuations", "b", json::object{});
  BOOST_TEST(it.until([&] { return it.Last.DomainsOut.contains("b"); }));
  it.Store.remove("evacuations", "b");
  BOOST_TEST(it.until([&] { return it.Last.DomainsOut.empty(); }));
  it.Store.put("config", "main", configuration(5));
  BOOST_TEST(it.until([&] { return it.Last.Config->Version == 5; }));
}

BOOST_AUTO_TEST_CASE(aVersionNeverGoesBackAndAnUnreadableOneIsNotTaken) {
  Bench it;
  it.Store.put("config", "main", configuration(5));
  it.Task->start();
  BOOST_REQUIRE(it.untilComplete());
  it.Store.put("config", "main", configuration(4));
  auto broken = configuration(9);
  broken.erase("clusters");
  it.Store.put("config", "main", broken);
  it.Store.put("evacuations", "after", json::object{});
  BOOST_REQUIRE(it.until([&] { return it.Last.DomainsOut.size() == 1; }));
  it.runFor(300ms);
  BOOST_TEST(it.Last.Config->Version == 5);
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
  it.Task->start();
  BOOST_REQUIRE(it.untilComplete());
  BOOST_TEST(it.Last.Upstreams.size() == 1);
  BOOST_TEST(it.has("good"));
}

BOOST_DATA_TEST_CASE(anOutageOfAnyKindIsAskedAboutWithPauses,
                     (std::vector<int>{
                         static_cast<int>(FakeStore::Outages::NotFound),
                         static_cast<int>(FakeStore::Outages::TooMany),
                         static_cast<int>(FakeStore::Outages::Unavailable),
                         static_cast<int>(FakeStore::Outages::Reset),
                         static_cast<int>(FakeStore::Outages::Silence)}),
                     kind) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Store.Outage = static_cast<FakeStore::Outages>(kind);
  it.Task->start();
  it.runFor(3s);
  // Four first calls, and then one at a time, at least half the longest pause
  // apart once the pauses have grown.
  const unsigned most = 4 + 3 + 3'000 / 250;
  BOOST_TEST(it.Store.calls() <= most);
  BOOST_TEST(it.Store.calls() >= 4);
  it.Store.Outage = FakeStore::Outages::None;
  BOOST_TEST(it.untilComplete());
}

BOOST_AUTO_TEST_CASE(whatChangedUnheardIsReadAfterTheOutage) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Store.put("servers", "u2", registration("s"));
  it.Task->start();
  BOOST_REQUIRE(it.untilComplete());
  // The store stops answering; what waits there is never answered.
  it.Store.Outage = FakeStore::Outages::Silence;
  it.Store.removeSilently("servers", "u1");
  it.runFor(5s);
  it.Store.Outage = FakeStore::Outages::None;
  BOOST_TEST(it.until([&] { return !it.has("u1"); }));
  BOOST_TEST(it.has("u2"));
}

BOOST_AUTO_TEST_CASE(lostHistoryIsReadAnewAndCheapReadsRest) {
  Bench it;
  it.Store.put("config", "main", configuration(1));
  it.Task->start();
  BOOST_REQUIRE(it.untilComplete());
  it.Store.HistoryGone = true;
  it.Store.put("config", "main", configuration(2));
  BOOST_REQUIRE(it.until([&] { return it.Last.Config->Version == 2; }));
  it.Store.HistoryGone = false;
  it.runFor(300ms);
  const unsigned before = it.Store.LatestReads;
  it.Store.put("config", "main", configuration(3));
  BOOST_REQUIRE(it.until([&] { return it.Last.Config->Version == 3; }));
  it.runFor(300ms);
  BOOST_TEST(it.Store.LatestReads > before);
}
