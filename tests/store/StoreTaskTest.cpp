#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "link/Link.h"
#include "store/Store.h"
#include "store/StoreTask.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace store_test {

// The users' bound on how soon an acknowledged change is in force.
constexpr Duration PropagationLimit = 2s;

// How often upstreams renew their registrations on the users' platform.
constexpr Duration HeartbeatInterval = 1500ms;

// How long after a disruption the users' bounds do not hold.
constexpr Duration StableWindow = 3s;

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

/// A stand-in store, a link to it and a StoreTask on one event loop.
struct Fixture {
  Fixture()
      : Store(EventLoop.Loop),
        Address(http::listenOnFreePort(
            [&](const auto &it) { return Store.listen(it); })),
        Link(makeLink(EventLoop.Loop, Address)),
        Task(EventLoop.Loop, Link->address(), LocalMirror, PropagationLimit, 1,
             {[](platform::Kind) {},
              [this](bool healthy) { Healthy = healthy; },
              [this] { Task.noteAnsweredSpans(OthersAnswered); }}) {}

  static std::unique_ptr<standins::Link> makeLink(struct ev_loop *loop,
                                                  const std::string &target) {
    std::unique_ptr<standins::Link> link;
    http::listenOnFreePort([&](const std::string &it) {
      link = std::make_unique<standins::Link>(loop, it, target);
      return link->listen();
    });
    return link;
  }

  template <typename Condition> bool runUntil(Condition holds) {
    return EventLoop.runUntil(holds);
  }

  bool untilHealthy() {
    return runUntil([this] { return Healthy; });
  }

  bool hasUpstream(const std::string &upstream) const {
    return LocalMirror.Upstreams.Entries.contains(upstream);
  }

  std::uint64_t version() const {
    return LocalMirror.Config ? LocalMirror.Config->Version : 0;
  }

  http::TestLoop EventLoop;
  standins::Store Store;
  std::string Address;
  std::unique_ptr<standins::Link> Link;
  Mirror LocalMirror;
  bool Healthy = false;
  /// What other instances tell of the store when they are asked.
  std::vector<AnsweredSpanAge> OthersAnswered;
  StoreTask Task;
};

} // namespace store_test

using namespace store_test;

BOOST_AUTO_TEST_CASE(mirrorFollowsTheStore) {
  Fixture it;
  it.Store.put("config", "main", configuration(3));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.version() == 3);
  BOOST_TEST(it.LocalMirror.Config->Routes.size() == 1);
  BOOST_TEST(it.hasUpstream("u1"));

  it.Store.put("servers", "u2", registration("s", "draining"));
  BOOST_REQUIRE(it.runUntil([&] { return it.hasUpstream("u2"); }));
  it.Store.remove("servers", "u1");
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  it.Store.put("evacuations", "b", json::object{});
  BOOST_TEST(it.runUntil(
      [&] { return it.LocalMirror.EvacuatedDomains.contains("b"); }));
  it.Store.remove("evacuations", "b");
  BOOST_TEST(
      it.runUntil([&] { return it.LocalMirror.EvacuatedDomains.empty(); }));
  it.Store.put("config", "main", configuration(5));
  BOOST_TEST(it.runUntil([&] { return it.version() == 5; }));
}

BOOST_AUTO_TEST_CASE(olderAndInvalidConfigurationsAreIgnored) {
  Fixture it;
  it.Store.put("config", "main", configuration(5));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.put("config", "main", configuration(4));
  auto broken = configuration(9);
  broken.erase("clusters");
  it.Store.put("config", "main", broken);
  it.Store.put("evacuations", "after", json::object{});
  BOOST_REQUIRE(
      it.runUntil([&] { return it.LocalMirror.EvacuatedDomains.size() == 1; }));
  it.EventLoop.runFor(300ms);
  BOOST_TEST(it.version() == 5);
}

BOOST_DATA_TEST_CASE(invalidRegistrationsAreIgnored,
                     (std::vector<std::string>{"address", "information",
                                               "status"}),
                     missing) {
  Fixture it;
  auto broken = registration("s");
  broken.erase(missing);
  it.Store.put("servers", "bad", broken);
  it.Store.put("servers", "odd", registration("s", "asleep"));
  it.Store.put("servers", "good", registration("s"));
  it.Store.put("config", "main", configuration(1));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.LocalMirror.Upstreams.Entries.size() == 1);
  BOOST_TEST(it.hasUpstream("good"));
}

BOOST_DATA_TEST_CASE(
    healthChecksBackOffDuringAnOutageOfAnyKind,
    (std::vector<int>{static_cast<int>(standins::OutageMode::NotFound),
                      static_cast<int>(standins::OutageMode::TooManyRequests),
                      static_cast<int>(standins::OutageMode::Unavailable),
                      static_cast<int>(standins::OutageMode::Garbage),
                      static_cast<int>(standins::OutageMode::NoResponse)}),
    outage) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.Faults.ActiveOutage = static_cast<standins::OutageMode>(outage);
  it.Task.startReading();
  it.EventLoop.runFor(3s);
  // One health check at a time, at least half the maximum backoff apart once
  // the backoff has grown.
  const unsigned maxCalls = 4 + 3'000 / 250;
  BOOST_TEST(it.Store.totalCalls() <= maxCalls);
  BOOST_TEST(it.Store.totalCalls() >= 4);
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_TEST(it.untilHealthy());
}

// When many instances become readers one after the other, each must send an
// unavailable store only one call, not five.
BOOST_AUTO_TEST_CASE(unavailableStoreGetsOnlyHealthChecks) {
  Fixture it;
  it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
  it.Task.startReading();
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.totalCalls() > 0; }));
  it.EventLoop.runFor(20ms);
  BOOST_TEST(it.Store.totalCalls() <= 2);
}

BOOST_AUTO_TEST_CASE(backoffIsLongerForHigherElectionRanks) {
  Fixture it;
  it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
  it.Task.setElectionRank(9);
  it.Task.startReading();
  it.EventLoop.runFor(3s);
  BOOST_TEST(it.Store.totalCalls() <= 5);
}

BOOST_AUTO_TEST_CASE(changesDuringAnOutageAreReadAfterIt) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Store.put("servers", "u2", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  // The store stops responding, also to pending watches.
  it.Store.Faults.ActiveOutage = standins::OutageMode::NoResponse;
  it.Store.remove("servers", "u1");
  it.EventLoop.runFor(5s);
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  BOOST_TEST(it.hasUpstream("u2"));
}

// Only a restore of the store that this process has read calls for it.
BOOST_AUTO_TEST_CASE(firstAnswerOfTheStoreDoesNotMakeWatchesExpensive) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  const unsigned lists = 4;
  BOOST_TEST(it.Store.LatestReads == lists);
}

BOOST_AUTO_TEST_CASE(lostHistoryCausesAListAndLatestReadsForAWhile) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  it.Store.put("config", "main", configuration(2));
  it.Store.compactHistory();
  BOOST_REQUIRE(it.runUntil([&] { return it.version() == 2; }));
  it.EventLoop.runFor(300ms);
  const unsigned before = it.Store.LatestReads;
  it.Store.put("config", "main", configuration(3));
  BOOST_REQUIRE(it.runUntil([&] { return it.version() == 3; }));
  it.EventLoop.runFor(300ms);
  BOOST_TEST(it.Store.LatestReads > before);
}

namespace store_test {

/// What may be wrong with the store while a change is made.
enum class ReadFault : std::uint8_t {
  LostNotification,      ///< Watches of the change stay silent.
  LostAfterDroppedWatch, ///< Likewise, on the watches after dropped ones.
  StaleReads,            ///< Reads that may be stale do not show the change.
};

/// A change to each kind of objects, by its kind.
struct ChangeCase {
  const char *Kind;
  std::function<void(standins::Store &)> Make;
  std::function<bool(const Fixture &)> IsSeen;
};

const std::vector<ChangeCase> &changeCases() {
  static const std::vector<ChangeCase> Cases{
      {"configuration",
       [](standins::Store &it) { it.put("config", "main", configuration(2)); },
       [](const Fixture &it) { return it.version() == 2; }},
      {"new upstream",
       [](standins::Store &it) { it.put("servers", "u2", registration("s")); },
       [](const Fixture &it) { return it.hasUpstream("u2"); }},
      {"draining upstream",
       [](standins::Store &it) {
         it.put("servers", "u1", registration("s", "draining"));
       },
       [](const Fixture &it) {
         return it.LocalMirror.Upstreams.Entries.at("u1").Record.Draining;
       }},
      {"removed upstream",
       [](standins::Store &it) { it.remove("servers", "u1"); },
       [](const Fixture &it) { return !it.hasUpstream("u1"); }},
      {"evacuation",
       [](standins::Store &it) { it.put("evacuations", "b", json::object{}); },
       [](const Fixture &it) {
         return it.LocalMirror.EvacuatedDomains.contains("b");
       }}};
  return Cases;
}

std::ostream &operator<<(std::ostream &out, const ChangeCase &it) {
  return out << it.Kind;
}

std::ostream &operator<<(std::ostream &out, ReadFault it) {
  return out << static_cast<int>(it);
}

} // namespace store_test

BOOST_DATA_TEST_CASE(changeIsInForceInTimeThoughItsWatchIsSilent,
                     changeCases() * (std::vector<ReadFault>{
                                         ReadFault::LostNotification,
                                         ReadFault::LostAfterDroppedWatch,
                                         ReadFault::StaleReads}),
                     change, fault) {
  Fixture it;
  it.LocalMirror.Era = it.Store.era(); // Stale reads are used from the start.
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  if (fault == ReadFault::LostAfterDroppedWatch) {
    it.Store.compactHistory();
    BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  }
  if (fault == ReadFault::StaleReads) {
    it.Store.beginStaleReads();
  } else {
    it.Store.Faults.LoseNotifications = true;
  }
  change.Make(it.Store);
  const Instant madeAt = readClock();
  BOOST_TEST(it.runUntil([&] { return change.IsSeen(it); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

BOOST_DATA_TEST_CASE(registrationsThatExpireInAnOutageGetTimeToBeRenewed,
                     (std::vector<int>{
                         static_cast<int>(standins::OutageMode::Unavailable),
                         static_cast<int>(standins::OutageMode::NoResponse)}),
                     outage) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.ActiveOutage = static_cast<standins::OutageMode>(outage);
  it.Store.disconnectWatches();
  BOOST_REQUIRE(it.runUntil([&] { return !it.Healthy; }));
  it.EventLoop.runFor(HeartbeatInterval * 2); // Two renewals are missed.
  it.Store.remove("servers", "u1");
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_REQUIRE(it.untilHealthy());
  it.EventLoop.runFor(1s);
  BOOST_TEST(it.hasUpstream("u1"));
  it.Store.put("servers", "u1", registration("s"));
  it.EventLoop.runFor(ReregistrationGrace);
  BOOST_TEST(it.hasUpstream("u1"));
}

// Each outage may be when a renewal is due.
BOOST_AUTO_TEST_CASE(registrationsThatExpireInManyShortOutagesGetTimeToo) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  const Instant begin = readClock();
  for (bool isLast = false; it.hasUpstream("u1") && !isLast;) {
    isLast = readClock() - begin >= HeartbeatInterval * 2;
    it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
    BOOST_REQUIRE(it.runUntil([&] { return !it.Healthy; }));
    it.EventLoop.runFor(100ms); // A health check fails.
    if (isLast) {
      it.Store.remove("servers", "u1");
    }
    it.Store.Faults.ActiveOutage = standins::OutageMode::None;
    BOOST_REQUIRE(it.untilHealthy());
  }
  it.EventLoop.runFor(1s);
  BOOST_TEST(it.hasUpstream("u1"));
}

// Guards against removals that wait though the store was up: only this
// instance's path to it was silent, again and again or for long.
BOOST_DATA_TEST_CASE(removalIsInForceInTimeIfOthersReachedTheStore,
                     (std::vector<int>{1, 5}), silences) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.OthersAnswered = {{1h, 10ms}};
  Instant madeAt{};
  for (int n = 0; n < silences; ++n) {
    it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
    BOOST_REQUIRE(it.runUntil([&] { return !it.Healthy; }));
    it.EventLoop.runFor(silences == 1 ? HeartbeatInterval * 2 : 100ms);
    if (n + 1 == silences) {
      it.Store.remove("servers", "u1");
      madeAt = readClock();
    }
    it.Store.Faults.ActiveOutage = standins::OutageMode::None;
    BOOST_REQUIRE(it.untilHealthy());
  }
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

// A reader that has just taken over knows until when the one before was
// answered.
BOOST_DATA_TEST_CASE(newReaderKnowsWhenTheStoreWasLost,
                     boost::unit_test::data::make({false, true}), isKnown) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Task.stopReading();
  it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
  it.Task.startReading(isKnown ? readClock() - 500ms : Instant::min());
  it.EventLoop.runFor(300ms); // A health check fails.
  it.Store.remove("servers", "u1");
  const Instant madeAt = readClock();
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit) == isKnown);
}

// A follower applies what its reader has decided, whatever outages it has seen
// itself while it was a reader.
BOOST_AUTO_TEST_CASE(removalsDoNotWaitAtAReaderThatHasBecomeAFollower) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Store.put("servers", "u2", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.ActiveOutage = standins::OutageMode::Unavailable;
  BOOST_REQUIRE(it.runUntil([&] { return !it.Healthy; }));
  it.EventLoop.runFor(HeartbeatInterval * 2);
  it.Store.remove("servers", "u1");
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(it.hasUpstream("u1")); // It may have expired.
  it.Task.stopReading();
  const StoreRevision later{it.LocalMirror.Era,
                            it.LocalMirror.UpstreamsRevision.Number + 9};
  updateUpstreams(it.LocalMirror, {}, {"u1", "u2"}, later, readClock());
  BOOST_TEST(!it.hasUpstream("u1"));
  BOOST_TEST(!it.hasUpstream("u2"));
}

// No registration expires in an outage of under a heartbeat: its upstream has
// left.
BOOST_DATA_TEST_CASE(removalInAShortOutageIsInForceInTime,
                     (std::vector<int>{
                         static_cast<int>(standins::OutageMode::Unavailable),
                         static_cast<int>(standins::OutageMode::NoResponse)}),
                     outage) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.ActiveOutage = static_cast<standins::OutageMode>(outage);
  it.Store.disconnectWatches();
  BOOST_REQUIRE(it.runUntil([&] { return !it.Healthy; }));
  it.Store.remove("servers", "u1");
  const Instant madeAt = readClock();
  it.EventLoop.runFor(300ms);
  it.Store.Faults.ActiveOutage = standins::OutageMode::None;
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

BOOST_AUTO_TEST_CASE(removalRightAfterDroppedWatchesIsInForceInTime) {
  Fixture it;
  it.LocalMirror.Era = it.Store.era();
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  it.Store.compactHistory();
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  it.Store.Faults.LoseNotifications = true;
  it.Store.remove("servers", "u1");
  const Instant madeAt = readClock();
  BOOST_TEST(it.runUntil([&] { return !it.hasUpstream("u1"); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

BOOST_DATA_TEST_CASE(changeIsInForceInTimeThoughItsHistoryIsGone, changeCases(),
                     change) {
  Fixture it;
  it.LocalMirror.Era = it.Store.era();
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  it.EventLoop.runFor(2400ms); // The watches end before the next revision read.
  it.Store.Faults.LoseNotifications = true;
  change.Make(it.Store);
  const Instant madeAt = readClock();
  it.Store.dropHistory();
  BOOST_TEST(it.runUntil([&] { return change.IsSeen(it); }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

// The change follows a read of the store's revision at once.
BOOST_DATA_TEST_CASE(changeIsInForceInTimeThoughTheStoreIsSlow,
                     (std::vector<int>{0, 20, 50}), delayMs) {
  Fixture it;
  it.LocalMirror.Era = it.Store.era();
  it.Store.put("config", "main", configuration(1));
  it.Store.Faults.Delay = std::chrono::milliseconds(delayMs);
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.EventLoop.runFor(800ms);
  const unsigned reads = it.Store.LatestReads;
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.LatestReads > reads; }));
  it.Store.beginStaleReads();
  it.Store.Faults.LoseNotifications = true;
  it.Store.put("config", "main", configuration(2));
  const Instant madeAt = readClock();
  BOOST_TEST(it.runUntil([&] { return it.version() == 2; }));
  BOOST_TEST((readClock() - madeAt <= PropagationLimit));
}

BOOST_AUTO_TEST_CASE(refusedLatestReadsAreRetriedAfterABackoff) {
  Fixture it;
  it.LocalMirror.Era = it.Store.era();
  it.Store.put("config", "main", configuration(1));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.RefuseLatestReads = true;
  const unsigned before = it.Store.totalCalls();
  it.EventLoop.runFor(3s);
  const unsigned maxCalls = 4 + 4 + 3'000 / 250;
  BOOST_TEST(it.Store.totalCalls() - before <= maxCalls);
  it.Store.Faults.RefuseLatestReads = false;
  it.Store.put("config", "main", configuration(2));
  BOOST_TEST(it.runUntil([&] { return it.Healthy && it.version() == 2; }));
}

// The users allow the limit from when such connections are no excuse any more.
BOOST_DATA_TEST_CASE(changeIsInForceInTimeThoughKeptConnectionsAreDead,
                     changeCases(), change) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("servers", "u1", registration("s"));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_REQUIRE(it.runUntil([&] { return it.Store.pendingWatches() == 4; }));
  it.EventLoop.runFor(1s); // Lists and health checks leave idle connections.
  it.Link->blackhole();
  change.Make(it.Store);
  const Instant madeAt = readClock();
  BOOST_TEST(it.runUntil([&] { return change.IsSeen(it); }));
  BOOST_TEST((readClock() - madeAt <= StableWindow + PropagationLimit));
}

namespace store_test {

Instance instance(const std::string &id, const std::string &domain = "a") {
  return {id, domain, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", false};
}

} // namespace store_test

BOOST_AUTO_TEST_CASE(instancesOfADomainAreWrittenAsOneRecord) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Task.setInstancesToRecord("a", {instance("i1"), instance("i2")});
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST(
      it.runUntil([&] { return it.Task.recordedInstances().size() == 2; }));
  BOOST_TEST(it.Store.Calls["POST"] == 1);
  it.EventLoop.runFor(100ms);
  BOOST_TEST(it.Store.Calls["PUT"] == 0);

  it.Task.setInstancesToRecord(
      "a", {instance("i2"), instance("i3"), instance("i4")});
  BOOST_TEST(
      it.runUntil([&] { return it.Task.recordedInstances().size() == 3; }));
  it.EventLoop.runFor(100ms);
  BOOST_TEST(it.Store.Calls["PUT"] == 1);
  BOOST_TEST((it.Task.recordedInstances().front() == instance("i2")));
}

// Other readers write the record of another domain and, before this instance
// does, the record of its own domain.
BOOST_AUTO_TEST_CASE(recordsOfOtherReadersAreReadAndUpdated) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Store.put("zinniarail-instances", "b",
               platform::encodeInstances({instance("i9", "b")}));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  BOOST_TEST((it.Task.recordedInstances() ==
              std::vector<Instance>{instance("i9", "b")}));
  it.Store.put("zinniarail-instances", "a",
               platform::encodeInstances({instance("i1")}));
  it.Task.setInstancesToRecord("a", {instance("i1"), instance("i2")});
  BOOST_TEST(
      it.runUntil([&] { return it.Task.recordedInstances().size() == 3; }));
  it.EventLoop.runFor(100ms);
  const auto *stored = it.Store.find("zinniarail-instances", "a");
  BOOST_REQUIRE(stored != nullptr);
  BOOST_TEST(
      (*stored == platform::encodeInstances({instance("i1"), instance("i2")})));
}

BOOST_AUTO_TEST_CASE(recordIsKnownAfterTheResponseToItsWriteWasLost) {
  Fixture it;
  it.Store.put("config", "main", configuration(1));
  it.Task.startReading();
  BOOST_REQUIRE(it.untilHealthy());
  it.Store.Faults.LostResponseFraction = 1;
  it.Task.setInstancesToRecord("a", {instance("i1")});
  it.EventLoop.runFor(300ms);
  it.Store.Faults.LostResponseFraction = 0;
  BOOST_TEST(
      it.runUntil([&] { return it.Task.recordedInstances().size() == 1; }));
}

namespace store_test {

/// A mirror that is up to date with the store, which then changes and is
/// restored from a copy taken before these changes.
struct RestoreFixture : Fixture {
  RestoreFixture() {
    Store.put("config", "main", configuration(3));
    Store.put("servers", "stays", registration("s"));
    Store.put("servers", "drains", registration("s"));
    Store.put("servers", "leaves", registration("s"));
    Task.setInstancesToRecord("a", {instance("i1")});
    Task.startReading();
    BOOST_REQUIRE(untilHealthy());
    BOOST_REQUIRE(runUntil([this] { return isRecorded(1); }));
    Copy = Store.takeCopy();
    Store.put("config", "main", configuration(5));
    Store.put("servers", "joins", registration("s"));
    Store.put("servers", "drains", registration("s", "draining"));
    Store.remove("servers", "leaves");
    Store.put("evacuations", "b", json::object{});
    BOOST_REQUIRE(runUntil([this] { return isInForce(); }));
  }

  /// Whether an upstream gets requests.
  bool isUsed(const std::string &id) {
    for (const Upstream &it :
         listUpstreams(LocalMirror.Upstreams, readClock())) {
      if (it.Id == id) {
        return !it.Draining;
      }
    }
    return false;
  }

  /// Whether the state before the restore is in force.
  bool isInForce() {
    return version() == 5 && isUsed("stays") && isUsed("joins") &&
           !isUsed("drains") && !isUsed("leaves") &&
           LocalMirror.EvacuatedDomains.contains("b");
  }

  /// Whether the store holds a record of this many instances of domain "a".
  bool isRecorded(unsigned count) {
    const auto *record = Store.find("zinniarail-instances", "a");
    return record != nullptr &&
           record->at("instances").as_array().size() == count;
  }

  /// Runs until the reads of the restored store are complete.
  bool untilReadAgain() {
    return runUntil([this] {
      return Healthy && LocalMirror.Era == Store.era() &&
             LocalMirror.UpstreamsRevision.Era == Store.era();
    });
  }

  standins::Store::Copy Copy;
};

std::vector<int> restoreMoments() {
  std::vector<int> moments;
  for (int ms = 0; ms <= 120; ms += 8) {
    moments.push_back(ms);
  }
  return moments;
}

} // namespace store_test

// With answers that take 25 ms, the store is restored while a list, a watch or
// a write is under way or just after it; answers of the earlier era arrive
// late.
BOOST_DATA_TEST_CASE(stateInForceSurvivesARestoreAtAnyMoment, restoreMoments(),
                     moment) {
  RestoreFixture it;
  it.Store.Faults.Delay = 25ms;
  it.Store.compactHistory(); // The next reads are lists.
  it.Store.put("servers", "other", registration("s"));
  it.Task.setInstancesToRecord("a", {instance("i1"), instance("i2")});
  it.EventLoop.runFor(std::chrono::milliseconds{moment});
  it.Store.restore(it.Copy);
  const Instant end = readClock() + 1500ms;
  while (readClock() < end) {
    it.EventLoop.runFor(5ms);
    BOOST_REQUIRE(it.isInForce());
  }
  BOOST_REQUIRE(it.untilReadAgain());
  // What this instance wrote is written again.
  BOOST_TEST(it.runUntil([&] { return it.isRecorded(2); }));

  // What the operator and the upstreams wrote is written again, and changes.
  it.Store.put("config", "main", configuration(5));
  it.Store.put("servers", "joins", registration("s"));
  it.Store.put("evacuations", "b", json::object{});
  it.EventLoop.runFor(300ms);
  BOOST_TEST(it.version() == 5);
  BOOST_TEST(it.isUsed("stays"));
  BOOST_TEST(it.isUsed("joins"));
  BOOST_TEST(!it.isUsed("drains"));
  BOOST_TEST(!it.isUsed("leaves"));
  BOOST_TEST(it.LocalMirror.EvacuatedDomains.contains("b"));
  it.Store.put("config", "main", configuration(6));
  it.Store.remove("evacuations", "b");
  it.Store.remove("servers", "stays");
  BOOST_TEST(it.runUntil([&] {
    return it.version() == 6 && it.LocalMirror.EvacuatedDomains.empty() &&
           !it.isUsed("stays");
  }));
}

// The store assigns the revisions again and passes the one that this instance
// watches from, so the watch continues without an error.
BOOST_AUTO_TEST_CASE(changesUnderReassignedRevisionsAreSeen) {
  RestoreFixture it;
  it.Store.restore(it.Copy);
  for (unsigned n = 0; n < 20; ++n) {
    it.Store.put("servers", "new" + std::to_string(n), registration("s"));
  }
  BOOST_TEST(it.runUntil([&] {
    bool all = true;
    for (unsigned n = 0; n < 20; ++n) {
      all = all && it.isUsed("new" + std::to_string(n));
    }
    return all;
  }));
}

// An upstream that is not written again after the restore has left.
BOOST_AUTO_TEST_CASE(
    upstreamMissingFromTheCopyIsRemovedUnlessItRegistersAgain) {
  RestoreFixture it;
  it.Store.restore(it.Copy);
  BOOST_REQUIRE(it.untilReadAgain());
  BOOST_TEST(it.isUsed("joins"));
  BOOST_TEST(it.runUntil([&] { return !it.isUsed("joins"); }));
  BOOST_TEST(it.isUsed("stays"));
}

// The copy is of a moment before another reader wrote its record.
BOOST_AUTO_TEST_CASE(recordsOfOtherReadersAreKeptUntilTheyAreWrittenAgain) {
  RestoreFixture it;
  it.Store.put("zinniarail-instances", "b",
               platform::encodeInstances({instance("i9", "b")}));
  BOOST_REQUIRE(
      it.runUntil([&] { return it.Task.recordedInstances().size() == 2; }));
  it.Store.restore(it.Copy);
  BOOST_REQUIRE(it.untilReadAgain());
  BOOST_TEST(it.Task.recordedInstances().size() == 2);
}
