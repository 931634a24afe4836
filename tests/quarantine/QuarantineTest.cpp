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
      noteCrash(played.State, limits, it.Crashed, it.InFlight, played.Now);
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
  noteSuspected(other, {}, Innocent, "a", Instant{});
  noteSuspected(other, {}, Innocent, "b", Instant{});
  BOOST_TEST((judge(other, Innocent, Instant{}) == Handling::Isolate));
  noteCondemned(other, {}, Poison, Instant{});
  noteSuspected(other, {}, Poison, "c", Instant{});
  BOOST_TEST((judge(other, Poison, Instant{}) == Handling::Refuse));
}

BOOST_AUTO_TEST_CASE(memoryIsBounded) {
  const QuarantineLimits limits{.Suspects = 10, .Refused = 10};
  Quarantine state;
  for (std::uint64_t it = 0; it < 1000; ++it) {
    const Instant now{std::chrono::seconds{it}};
    noteCrash(state, limits, "a", std::vector{it, it + 5000}, now);
    noteCondemned(state, limits, it + 10000, now);
    noteSuspected(state, limits, it + 20000, "b", now);
    BOOST_TEST(state.Suspects.size() <= limits.Suspects);
    BOOST_TEST(state.Refused.size() <= limits.Refused);
  }
}
