#include "zinniarail/quarantine/Quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Poison = 7;
constexpr std::uint64_t Harmless = 8;

struct Step {
  std::string CrashedUpstream; // Empty if a request completed instead.
  std::vector<std::uint64_t> RequestsInFlight; // At the crash.
  std::uint64_t CompletedRequest = 0;
  Duration TimeSincePrevious = 1s;
  Duration RanFor = 100ms; // Until the crash.
};
struct CrashCase {
  std::string Name;
  std::vector<Step> Steps;
  Handling PoisonHandling;
  Handling HarmlessHandling;
};
std::ostream &operator<<(std::ostream &out, const CrashCase &row) {
  return out << row.Name;
}

const std::vector<CrashCase> CrashCases{
    {"no crash", {}, Handling::Normal, Handling::Normal},
    {"the only request at one crash",
     {{"a", {Poison}}},
     Handling::Isolate,
     Handling::Normal},
    {"the only request at crashes of two upstreams",
     {{"a", {Poison}}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"the only request at two crashes of one upstream",
     {{"a", {Poison}}, {"a", {Poison}}},
     Handling::Isolate,
     Handling::Normal},
    {"two requests at one crash",
     {{"a", {Poison, Harmless}}},
     Handling::Isolate,
     Handling::Isolate},
    {"two requests at one crash, one of them alone at the next",
     {{"a", {Poison, Harmless}}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Isolate},
    {"the only previous suspect among the requests at the second crash",
     {{"a", {Poison, 1, 2}}, {"b", {Poison, Harmless, 3}}},
     Handling::Refuse,
     Handling::Isolate},
    {"the same two requests at two crashes: neither is quarantined",
     {{"a", {Poison, Harmless}}, {"b", {Poison, Harmless}}},
     Handling::Isolate,
     Handling::Isolate},
    {"the same two requests at two crashes, one alone at the third",
     {{"a", {Poison, Harmless}}, {"b", {Poison, Harmless}}, {"c", {Poison}}},
     Handling::Refuse,
     Handling::Isolate},
    {"the harmless request completes before the second crash",
     {{"a", {Poison, Harmless}}, {"", {}, Harmless}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"the harmless request completes, then is at the second crash too",
     {{"a", {Poison, Harmless}}, {"", {}, Harmless}, {"b", {Poison, Harmless}}},
     Handling::Refuse,
     Handling::Isolate},
    {"the suspicion expires",
     {{"a", {Poison}}, {"b", {Harmless}, 0, 6min}},
     Handling::Normal,
     Handling::Isolate},
    {"a late response does not end a quarantine",
     {{"a", {Poison}}, {"b", {Poison}}, {"", {}, Poison}},
     Handling::Refuse,
     Handling::Normal},
    {"in flight at two crashes at the same time, which count as one",
     {{"a", {Poison}}, {"b", {Poison}, 0, 50ms}},
     Handling::Isolate,
     Handling::Normal},
    {"in flight at two crashes at the same time, then at a third",
     {{"a", {Poison}}, {"b", {Poison}, 0, 50ms}, {"c", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"at two crashes beside two others, which have another reason",
     {{"x", {1}}, {"y", {2}}, {"a", {Poison}}, {"b", {Poison}}},
     Handling::Isolate,
     Handling::Normal},
    {"at three crashes beside two others",
     {{"x", {1}},
      {"y", {2}},
      {"a", {Poison}},
      {"b", {Poison}},
      {"c", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"at two crashes long after two others",
     {{"x", {1}}, {"y", {2}}, {"a", {Poison}, 0, 11s}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"two identical requests in flight count as one",
     {{"a", {Poison, Poison}}, {"b", {Poison, Poison}}},
     Handling::Refuse,
     Handling::Normal},
};

/// Requests that a crash at \p now ended.
std::vector<InFlightRequest>
inFlight(const std::vector<std::uint64_t> &fingerprints, Instant now,
         Duration ranFor = 100ms) {
  std::vector<InFlightRequest> all;
  all.reserve(fingerprints.size());
  for (const std::uint64_t it : fingerprints) {
    all.push_back({it, now - ranFor, now});
  }
  return all;
}

struct Replay {
  Quarantine State;
  Instant Now{};
};

Replay replaySteps(const std::vector<Step> &steps,
                   const QuarantineLimits &limits) {
  Replay replay;
  for (const Step &it : steps) {
    replay.Now += it.TimeSincePrevious;
    if (it.CrashedUpstream.empty()) {
      recordCompletion(replay.State, it.CompletedRequest);
    } else {
      recordCrash(replay.State, limits, {it.CrashedUpstream},
                  inFlight(it.RequestsInFlight, replay.Now, it.RanFor),
                  replay.Now);
    }
  }
  return replay;
}

} // namespace

BOOST_DATA_TEST_CASE(handlingFollowsFromCrashEvidence,
                     boost::unit_test::data::make(CrashCases), row) {
  const auto replay = replaySteps(row.Steps, {});
  BOOST_TEST(
      (chooseHandling(replay.State, Poison, replay.Now) == row.PoisonHandling));
  BOOST_TEST((chooseHandling(replay.State, Harmless, replay.Now) ==
              row.HarmlessHandling));
}

// A harmless request that was sent just after each of three crashes.
BOOST_AUTO_TEST_CASE(requestsThatMayNotHaveArrivedAreNotQuarantined) {
  Quarantine state;
  Instant now{};
  for (const char *upstream : {"a", "b", "c"}) {
    now += 1s;
    const std::vector<InFlightRequest> one{{Harmless, now, now, false}};
    BOOST_TEST(
        recordCrash(state, {}, {upstream}, one, now).Quarantined.empty());
  }
  BOOST_TEST((chooseHandling(state, Harmless, now) == Handling::Isolate));
  now += 1s;
  recordCrash(state, {}, {"d"}, inFlight({Harmless}, now), now);
  BOOST_TEST((chooseHandling(state, Harmless, now) == Handling::Refuse));
}

BOOST_AUTO_TEST_CASE(quarantineExpiresAfterItsLifetime) {
  const auto replay = replaySteps({{"a", {Poison}}, {"b", {Poison}}}, {});
  BOOST_TEST((remainingRefusal(replay.State, Poison, replay.Now) == 5min));
  BOOST_TEST((chooseHandling(replay.State, Poison, replay.Now + 5min - 1us) ==
              Handling::Refuse));
  BOOST_TEST((chooseHandling(replay.State, Poison, replay.Now + 5min) ==
              Handling::Normal));
}

BOOST_AUTO_TEST_CASE(peerSuspicionsIsolateAndPeerQuarantinesRefuse) {
  Quarantine state;
  recordPeerSuspicion(state, {}, {Harmless, Instant{}, Instant{}}, {"a"},
                      Instant{});
  recordPeerSuspicion(state, {}, {Harmless, Instant{}, Instant{}}, {"b"},
                      Instant{});
  BOOST_TEST((chooseHandling(state, Harmless, Instant{}) == Handling::Isolate));
  recordPeerQuarantine(state, {}, Poison, 5min, Instant{});
  recordPeerSuspicion(state, {}, {Poison, Instant{}, Instant{}}, {"c"},
                      Instant{});
  BOOST_TEST((chooseHandling(state, Poison, Instant{}) == Handling::Refuse));
}

BOOST_AUTO_TEST_CASE(repeatedPeerQuarantinesDoNotProlongIt) {
  Quarantine state;
  BOOST_TEST(recordPeerQuarantine(state, {}, Poison, 1min, Instant{}));
  BOOST_TEST(!recordPeerQuarantine(state, {}, Poison, 1min, Instant{30s}));
  BOOST_TEST((remainingRefusal(state, Poison, Instant{30s}) == 30s));
  BOOST_TEST(!recordPeerQuarantine(state, {}, Harmless, 0s, Instant{30s}));
  BOOST_TEST(
      (chooseHandling(state, Harmless, Instant{30s}) == Handling::Normal));
  recordPeerQuarantine(state, {}, Harmless, 24h, Instant{30s});
  BOOST_TEST((remainingRefusal(state, Harmless, Instant{30s}) == 5min));
}

namespace {

constexpr std::uint64_t KnownIncarnation = 3;

/// A report by "b" after crashes of "a" at 1 s and of "b" at 2 s.
struct Report {
  const char *Name;
  std::uint64_t IncarnationOfB; ///< Known before the crash of "b".
  std::uint64_t ReportedIncarnation;
  Instant RequestedAt;
  Handling HandlingAfterReport;
  Handling HandlingAfterHold;
};
std::ostream &operator<<(std::ostream &out, const Report &it) {
  return out << it.Name;
}

const Report Reports[] = {
    {"the same incarnation", KnownIncarnation, KnownIncarnation,
     Instant{2s + 1us}, Handling::Isolate, Handling::Isolate},
    {"the same incarnation, requested at the time of the failure",
     KnownIncarnation, KnownIncarnation, Instant{2s}, Handling::Hold,
     Handling::Refuse},
    {"another incarnation", KnownIncarnation, KnownIncarnation + 1, Instant{3s},
     Handling::Hold, Handling::Refuse},
    {"no incarnation", KnownIncarnation, 0, Instant{3s}, Handling::Hold,
     Handling::Refuse},
    {"unknown incarnation before the crash", 0, KnownIncarnation, Instant{3s},
     Handling::Hold, Handling::Refuse},
};

} // namespace

BOOST_DATA_TEST_CASE(aReportOfTheSameIncarnationRefutesACrash,
                     boost::unit_test::data::make(Reports), row) {
  Quarantine state;
  const std::vector one{Poison};
  recordCrash(state, {}, {"a", KnownIncarnation}, inFlight(one, Instant{1s}),
              Instant{1s});
  const auto result = recordCrash(state, {}, {"b", row.IncarnationOfB},
                                  inFlight(one, Instant{2s}), Instant{2s});
  BOOST_TEST(result.Held == one);
  BOOST_TEST(result.Quarantined.empty());
  recordIncarnation(state, {}, "b", row.ReportedIncarnation, row.RequestedAt,
                    Instant{2500ms});
  BOOST_TEST((chooseHandling(state, Poison, Instant{2500ms}) ==
              row.HandlingAfterReport));
  quarantineExpiredHolds(state, {}, Instant{3s});
  BOOST_TEST(
      (chooseHandling(state, Poison, Instant{3s}) == row.HandlingAfterHold));
}

BOOST_AUTO_TEST_CASE(twoConfirmedCrashesQuarantineImmediately) {
  Quarantine state;
  const std::vector one{Poison};
  recordCrash(state, {}, {"a", KnownIncarnation}, inFlight(one, Instant{1s}),
              Instant{1s});
  recordCrash(state, {}, {"b", KnownIncarnation}, inFlight(one, Instant{2s}),
              Instant{2s});
  BOOST_TEST(recordIncarnation(state, {}, "a", KnownIncarnation + 1,
                               Instant{2s}, Instant{2s})
                 .empty());
  BOOST_TEST(recordIncarnation(state, {}, "b", KnownIncarnation + 1,
                               Instant{2001ms}, Instant{2100ms}) == one);
  BOOST_TEST(
      (chooseHandling(state, Poison, Instant{2100ms}) == Handling::Refuse));
}

BOOST_AUTO_TEST_CASE(onlyAReportRequestedAfterTheLastFailureRefutesACrash) {
  Quarantine state;
  recordCrash(state, {}, {"a", KnownIncarnation},
              inFlight({Poison}, Instant{1s}), Instant{1s});
  recordFurtherFailure(state, "a", Instant{2s});
  recordIncarnation(state, {}, "a", KnownIncarnation, Instant{1500ms},
                    Instant{3s});
  BOOST_TEST((chooseHandling(state, Poison, Instant{3s}) == Handling::Isolate));
  recordIncarnation(state, {}, "a", KnownIncarnation, Instant{2500ms},
                    Instant{3s});
  BOOST_TEST((chooseHandling(state, Poison, Instant{3s}) == Handling::Normal));
}

BOOST_AUTO_TEST_CASE(aPeerHoldExpiresWithoutADecision) {
  Quarantine state;
  recordPeerHold(state, {}, Poison, Instant{1s});
  BOOST_TEST((chooseHandling(state, Poison, Instant{1s}) == Handling::Hold));
  BOOST_TEST(
      (chooseHandling(state, Poison, Instant{2500ms}) == Handling::Normal));
}

BOOST_AUTO_TEST_CASE(fingerprintTablesAreBounded) {
  const QuarantineLimits limits{.MaxSuspects = 10, .MaxQuarantined = 10};
  Quarantine state;
  for (std::uint64_t it = 0; it < 1000; ++it) {
    const Instant now{std::chrono::seconds{it}};
    recordCrash(state, limits, {"a"}, inFlight({it, it + 5000}, now), now);
    recordPeerQuarantine(state, limits, it + 10000, 5min, now);
    recordPeerSuspicion(state, limits, {it + 20000, now, now}, {"b"}, now);
    recordPeerHold(state, limits, it + 30000, now);
    BOOST_TEST(state.HeldByPeers.size() <= limits.MaxQuarantined);
    BOOST_TEST(state.Suspects.size() <= limits.MaxSuspects);
    BOOST_TEST(state.Quarantined.size() <= limits.MaxQuarantined);
  }
}
