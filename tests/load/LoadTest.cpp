#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/load/Load.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};

struct AgeCase {
  unsigned InFlight;
  unsigned Own;
  Duration Age;
  double Others; ///< With four slots and a lifetime of 10 ms.
};

std::ostream &operator<<(std::ostream &out, const AgeCase &it) {
  return out << it.InFlight << " after " << it.Age.count() << " us";
}

const std::vector<AgeCase> AgeCases{
    {3, 1, 0us, 2},  {3, 1, 5ms, 1},
    {3, 1, 10ms, 0}, {3, 1, 1h, 0},
    {1, 3, 0us, 0},  {4'000'000'000, 0, 0us, 4}, // A lie is bounded.
};

const std::vector<double> Rates{0.0, 1.0, 10.0, 1000.0};

} // namespace

BOOST_DATA_TEST_CASE(aReportCountsLessWithItsAge, AgeCases, it) {
  ReportedLoad load;
  load.Report.InFlight = it.InFlight;
  load.Own = it.Own;
  load.At = Start;
  load.Known = true;
  BOOST_TEST(othersInFlight(load, 4, 10ms, Start + it.Age) == it.Others);
}

BOOST_DATA_TEST_CASE(probesStayWithinTheirRate, Rates, rate) {
  ProbeBudget budget;
  unsigned spent = 0;
  for (Instant now = Start; now < Start + 10s; now += 100us) {
    spent += spendProbe(budget, rate, now) ? 1 : 0;
  }
  BOOST_TEST(spent <= rate * 10 + 1);
  BOOST_TEST(spent >= rate * 10 * 0.99);
}

BOOST_DATA_TEST_CASE(aProbeIsPaidWhenItSaysSo, Rates, rate) {
  ProbeBudget budget;
  spendProbe(budget, rate, Start);
  const Instant next = nextProbe(budget, rate);
  BOOST_TEST((next == Instant::max()) == (rate == 0));
  BOOST_TEST(spendProbe(budget, rate, next) == (rate > 0));
}

BOOST_AUTO_TEST_CASE(timeThatGoesBackEarnsNothing) {
  ProbeBudget budget;
  BOOST_TEST(spendProbe(budget, 10, Start));
  BOOST_TEST(!spendProbe(budget, 10, Start - 1h));
}
