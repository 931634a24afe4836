#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

#include "zinniarail/warmup/Warmup.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};
constexpr unsigned Share = 2;

// What a home makes of one observation of an upstream.
struct SeenCase {
  const char *Name;
  WarmthPhase Before;
  bool Ramps;
  std::function<void(Warmth &, bool ramps)> Observe;
  unsigned Allowance;
};

std::ostream &operator<<(std::ostream &out, const SeenCase &it) {
  return out << it.Name;
}

LoadReport report(std::uint64_t incarnation, bool cold) {
  return {0, 0, incarnation, cold, false};
}

auto reported(std::uint64_t incarnation, bool cold) {
  return [=](Warmth &it, bool ramps) {
    noteReport(it, report(incarnation, cold), ramps, Start + 1ms);
  };
}

auto probed(std::uint64_t incarnation, bool cold, Duration after) {
  return [=](Warmth &it, bool ramps) {
    noteProbe(it, report(incarnation, cold), ramps, Start + after);
  };
}

auto toldWarm(std::uint64_t incarnation) {
  return [=](Warmth &it, bool) { noteWarmWord(it, incarnation, Start + 1ms); };
}

auto toldCold(std::uint64_t incarnation) {
  return [=](Warmth &it, bool ramps) {
    noteColdWord(it, incarnation, ramps, Start + 1ms);
  };
}

constexpr auto Warm = WarmthPhase::Warm;
constexpr auto Waiting = WarmthPhase::Waiting;

// Each knows life 7 of the upstream, which was warm here.
const std::vector<SeenCase> SeenCases{
    {"warm stays warm", Warm, false, reported(7, false), 2},
    {"says cold, ramps", Warm, true, reported(7, true), 1},
    {"says cold, waits", Warm, false, reported(7, true), 0},
    {"new life, ramps", Warm, true, reported(8, false), 1},
    {"new life, waits", Warm, false, reported(8, false), 0},
    {"told cold, ramps", Warm, true, toldCold(7), 1},
    {"told cold, waits", Warm, false, toldCold(7), 0},
    {"told warm", Waiting, false, toldWarm(7), 1},
    {"told warm of another life", Waiting, false, toldWarm(6), 0},
    {"probe, same life", Waiting, false, probed(7, false, 1ms), 1},
    {"probe, new life", Waiting, false, probed(8, false, 1ms), 0},
    {"probe, cold", Waiting, false, probed(7, true, 1h), 0},
    {"probe, new life after", Waiting, false, probed(8, false, 1h), 0},
    {"refused when warm", Warm, true,
     [](Warmth &it, bool) { noteRefused(it, Share, Start); }, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(anObservationSetsTheAllowance, SeenCases, it) {
  Warmth warmth;
  warmth.Phase = it.Before;
  warmth.Incarnation = 7;
  warmth.WarmLife = 7;
  warmth.Since = Start;
  it.Observe(warmth, it.Ramps);
  BOOST_TEST(allowance(warmth, Share) == it.Allowance);
}

BOOST_AUTO_TEST_CASE(aNewLifeIsTakenUpWhenTheWordIsOverdue) {
  Warmth warmth;
  beginCold(warmth, false, Start);
  noteProbe(warmth, report(8, false), false, Start + 499ms);
  BOOST_TEST(allowance(warmth, Share) == 0u);
  noteProbe(warmth, report(8, false), false, Start + 500ms);
  BOOST_TEST(allowance(warmth, Share) == 1u);
}

BOOST_AUTO_TEST_CASE(aRampGrowsByAnswersAndFallsBack) {
  Warmth warmth;
  beginCold(warmth, true, Start);
  unsigned answers = 0;
  while (allowance(warmth, 4) < 4) {
    noteGood(warmth, 4, Start);
    ++answers;
  }
  BOOST_TEST(answers == 4u + 8u + 12u);
  noteBad(warmth);
  BOOST_TEST(allowance(warmth, 4) == 2u);
}

BOOST_AUTO_TEST_CASE(oneThatAlwaysSaysColdIsUsedInTheEnd) {
  Warmth warmth;
  warmth.Incarnation = 7;
  beginCold(warmth, true, Start);
  unsigned answers = 0;
  while (allowance(warmth, Share) < Share || answers < 1000) {
    noteReport(warmth, report(7, true), true, Start);
    noteGood(warmth, Share, Start);
    ++answers;
    BOOST_REQUIRE(answers < 2000u);
  }
  BOOST_TEST(allowance(warmth, Share) == Share);
}

BOOST_AUTO_TEST_CASE(theRampStartsAnewWhereItMoves) {
  Warmth from;
  beginCold(from, true, Start);
  moveRamp(from, false, Start);
  BOOST_TEST(allowance(from, Share) == 0u);
  Warmth to;
  beginCold(to, false, Start);
  moveRamp(to, true, Start);
  BOOST_TEST(allowance(to, Share) == 1u);
}
