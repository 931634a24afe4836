#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "zinniarail/core/Random.h"
#include "zinniarail/retry/Retry.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Requests = 10'000;
const std::vector<double> Shares{0.0, 0.05, 0.1, 1.0};
const std::vector<double> Quantiles{0.5, 0.9, 0.95, 0.99};

} // namespace

BOOST_DATA_TEST_CASE(extraTriesStayAShareOfRequests, Shares, share) {
  ShareBudget budget;
  unsigned spent = 0;
  for (unsigned n = 0; n < Requests; ++n) {
    earnFor(budget, share);
    while (spendOne(budget)) {
      ++spent;
    }
  }
  BOOST_TEST(spent <= share * Requests + 10);
  BOOST_TEST(spent >= share * Requests - 1);
  BOOST_TEST(budget.Spent == spent);
}

BOOST_AUTO_TEST_CASE(aQuietSpellSavesUpNoMoreThanTheReserve) {
  ShareBudget budget;
  for (unsigned n = 0; n < 10'000; ++n) {
    earnFor(budget, 1);
  }
  unsigned spent = 0;
  while (spendOne(budget)) {
    ++spent;
  }
  BOOST_TEST(spent == 10u);
}

// A bucket is an eighth of an octave wide, 9%.
BOOST_DATA_TEST_CASE(quantilesAreThoseOfTheSamples, Quantiles, quantile) {
  LatencyDistribution latencies;
  Random random(3);
  for (int n = 0; n < 20'000; ++n) {
    const double micros = -10'000 * std::log(1 - drawShare(random));
    recordLatency(latencies, Duration(static_cast<Duration::rep>(micros)));
  }
  const double expected = -10'000 * std::log(1 - quantile);
  const auto found =
      static_cast<double>(latencyQuantile(latencies, quantile).count());
  BOOST_TEST(found > expected * 0.8);
  BOOST_TEST(found < expected * 1.25);
}

BOOST_AUTO_TEST_CASE(oldLatenciesFade) {
  LatencyDistribution latencies;
  for (int n = 0; n < 100'000; ++n) {
    recordLatency(latencies, 1s);
  }
  for (int n = 0; n < 10'000; ++n) {
    recordLatency(latencies, 1ms);
  }
  BOOST_TEST((latencyQuantile(latencies, 0.95) < 2ms));
  BOOST_TEST((meanLatency(latencies) < 2ms));
}

BOOST_AUTO_TEST_CASE(withoutSamplesNothingIsKnown) {
  const LatencyDistribution latencies;
  BOOST_TEST((latencyQuantile(latencies, 0.95) == 0us));
}
