#include "zinniarail/quarantine/Quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Poison = 7;
constexpr std::uint64_t Innocent = 8;

struct Step {
  std::string Crashed;                 // Empty: Finished counts.
  std::vector<std::uint64_t> InFlight; // At the crash.
  std::uint64_t Finished = 0;
  Duration After = 1s;
};
struct Row {
  std::string Name;
  std::vector<Step> Steps;
  Handling OfPoison;
  Handling OfInnocent;
};
std::ostream &operator<<(std::ostream &out, const Row &row) {
  return out << row.Name;
}

const std::vector<Row> Rows{
    {"nothing seen", {}, Handling::Normal, Handling::Normal},
    {"one crash", {{"a", {Poison}}}, Handling::Isolate, Handling::Normal},
    {"alone at two upstreams",
     {{"a", {Poison}}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"same upstream twice",
     {{"a", {Poison}}, {"a", {Poison}}},
     Handling::Isolate,
     Handling::Normal},
    {"together at one",
     {{"a", {Poison, Innocent}}},
     Handling::Isolate,
     Handling::Isolate},
    {"together, then isolated",
     {{"a", {Poison, Innocent}}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Isolate},
    {"together, then beside fresh ones",
     {{"a", {Poison, 1, 2}}, {"b", {Poison, Innocent, 3}}},
     Handling::Refuse,
     Handling::Isolate},
    {"together at two upstreams: neither is condemned",
     {{"a", {Poison, Innocent}}, {"b", {Poison, Innocent}}},
     Handling::Isolate,
     Handling::Isolate},
    {"together at two, then alone",
     {{"a", {Poison, Innocent}}, {"b", {Poison, Innocent}}, {"c", {Poison}}},
     Handling::Refuse,
     Handling::Isolate},
    {"the innocent one finishes elsewhere",
     {{"a", {Poison, Innocent}}, {"", {}, Innocent}, {"b", {Poison}}},
     Handling::Refuse,
     Handling::Normal},
    {"finished before the second crash beside it",
     {{"a", {Poison, Innocent}}, {"", {}, Innocent}, {"b", {Poison, Innocent}}},
     Handling::Refuse,
     Handling::Isolate},
    {"suspicion expires",
     {{"a", {Poison}}, {"b", {Innocent}, 0, 6min}},
     Handling::Normal,
     Handling::Isolate},
    {"a late answer does not free a refused one",
     {{"a", {Poison}}, {"b", {Poison}}, {"", {}, Poison}},
     Handling::Refuse,
     Handling::Normal},
    {"two alike in flight are one request",
     {{"a", {Poison, Poison}}, {"b", {Poison, Poison}}},
     Handling::Refuse,
     Handling::Normal},
};

struct Played {
  Quarantine State;
  Instant Now{};
};

Played play(const std::vector<Step> &steps, const QuarantineLimits &limits) {
  Played played;
  for (const Step &it : steps) {
    played.Now += it.After;
    if (it.Crashed.empty()) {
      noteFinished(played.State, it.Finished);
    } else {
      noteCrash(played.State, limits, {it.Crashed}, it.InFlight, played.Now);
    }
  }
  return played;
}

} // namespace

BOOST_DATA_TEST_CASE(judgesByEvidence, boost::unit_test::data::make(Rows),
                     row) {
  const auto played = play(row.Steps, {});
  BOOST_TEST((judge(played.State, Poison, played.Now) == row.OfPoison));
  BOOST_TEST((judge(played.State, Innocent, played.Now) == row.OfInnocent));
}

BOOST_AUTO_TEST_CASE(refusalExpiresAndCounts) {
  const auto played = play({{"a", {Poison}}, {"b", {Poison}}}, {});
  BOOST_TEST((refusedFor(played.State, Poison, played.Now) == 5min));
  BOOST_TEST((judge(played.State, Poison, played.Now + 5min - 1us) ==
              Handling::Refuse));
  BOOST_TEST(
      (judge(played.State, Poison, played.Now + 5min) == Handling::Normal));
}

BOOST_AUTO_TEST_CASE(wordsSpread) {
  Quarantine other;
  noteSuspected(other, {}, Innocent, {"a"}, Instant{});
  noteSuspected(other, {}, Innocent, {"b"}, Instant{});
  BOOST_TEST((judge(other, Innocent, Instant{}) == Handling::Isolate));
  noteCondemned(other, {}, Poison, Instant{});
  noteSuspected(other, {}, Poison, {"c"}, Instant{});
  BOOST_TEST((judge(other, Poison, Instant{}) == Handling::Refuse));
}

namespace {

constexpr std::uint64_t Life = 3;

/// One report after two crashes: of "a" at 1 s and of "b" at 2 s.
struct Report {
  const char *Name;
  std::uint64_t LifeOfB; ///< As known before its crash.
  std::uint64_t Reported;
  Instant Asked;
  Handling After;
  Handling AfterHold;
};
std::ostream &operator<<(std::ostream &out, const Report &it) {
  return out << it.Name;
}

const Report Reports[] = {
    {"the same life", Life, Life, Instant{2s + 1us}, Handling::Isolate,
     Handling::Isolate},
    {"the same life, asked at the break", Life, Life, Instant{2s},
     Handling::Hold, Handling::Refuse},
    {"another life", Life, Life + 1, Instant{3s}, Handling::Hold,
     Handling::Refuse},
    {"no life", Life, 0, Instant{3s}, Handling::Hold, Handling::Refuse},
    {"the life before was unknown", 0, Life, Instant{3s}, Handling::Hold,
     Handling::Refuse},
};

} // namespace

BOOST_DATA_TEST_CASE(reportsRefuteCrashes,
                     boost::unit_test::data::make(Reports), row) {
  Quarantine state;
  const std::vector one{Poison};
  noteCrash(state, {}, {"a", Life}, one, Instant{1s});
  const auto verdicts =
      noteCrash(state, {}, {"b", row.LifeOfB}, one, Instant{2s});
  BOOST_TEST(verdicts.Held == one);
  BOOST_TEST(verdicts.Condemned.empty());
  noteLife(state, {}, "b", row.Reported, row.Asked, Instant{2500ms});
  BOOST_TEST((judge(state, Poison, Instant{2500ms}) == row.After));
  condemnHeld(state, {}, Instant{3s});
  BOOST_TEST((judge(state, Poison, Instant{3s}) == row.AfterHold));
}

BOOST_AUTO_TEST_CASE(certainCrashesCondemnAtOnce) {
  Quarantine state;
  const std::vector one{Poison};
  noteCrash(state, {}, {"a", Life}, one, Instant{1s});
  noteCrash(state, {}, {"b", Life}, one, Instant{2s});
  BOOST_TEST(
      noteLife(state, {}, "a", Life + 1, Instant{2s}, Instant{2s}).empty());
  BOOST_TEST(noteLife(state, {}, "b", Life + 1, Instant{2001ms},
                      Instant{2100ms}) == one);
  BOOST_TEST((judge(state, Poison, Instant{2100ms}) == Handling::Refuse));
}

BOOST_AUTO_TEST_CASE(aVictimsBreakNeedsALaterReport) {
  Quarantine state;
  noteCrash(state, {}, {"a", Life}, std::vector{Poison}, Instant{1s});
  noteVictim(state, "a", Instant{2s});
  noteLife(state, {}, "a", Life, Instant{1500ms}, Instant{3s});
  BOOST_TEST((judge(state, Poison, Instant{3s}) == Handling::Isolate));
  noteLife(state, {}, "a", Life, Instant{2500ms}, Instant{3s});
  BOOST_TEST((judge(state, Poison, Instant{3s}) == Handling::Normal));
}

BOOST_AUTO_TEST_CASE(aHeldWordEndsByItself) {
  Quarantine state;
  noteHeld(state, {}, Poison, Instant{1s});
  BOOST_TEST((judge(state, Poison, Instant{1s}) == Handling::Hold));
  BOOST_TEST((judge(state, Poison, Instant{2500ms}) == Handling::Normal));
}

BOOST_AUTO_TEST_CASE(memoryIsBounded) {
  const QuarantineLimits limits{.Suspects = 10, .Refused = 10};
  Quarantine state;
  for (std::uint64_t it = 0; it < 1000; ++it) {
    const Instant now{std::chrono::seconds{it}};
    noteCrash(state, limits, {"a"}, std::vector{it, it + 5000}, now);
    noteCondemned(state, limits, it + 10000, now);
    noteSuspected(state, limits, it + 20000, {"b"}, now);
    noteHeld(state, limits, it + 30000, now);
    BOOST_TEST(state.HeldElsewhere.size() <= limits.Refused);
    BOOST_TEST(state.Suspects.size() <= limits.Suspects);
    BOOST_TEST(state.Refused.size() <= limits.Refused);
  }
}
