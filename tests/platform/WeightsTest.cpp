#include <cmath>
#include <cstdint>
#include <limits>
#include <ostream>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/Weights.h"

using namespace zinniarail::platform;

namespace {

struct WeightsCase {
  const char *Name;
  std::vector<double> Weights;
};

std::ostream &operator<<(std::ostream &out, const WeightsCase &it) {
  return out << it.Name;
}

const std::vector<WeightsCase> WeightsCases{
    {"thirds", {1.0 / 3, 2.0 / 3}},
    {"one of many", {1e-9, 1, 1, 1}},
    {"beyond 32 bits", {5e9, 15e9}},
    {"whole numbers whose sum is beyond 32 bits", {4294967295.0, 1}},
    {"enormous", {1e308, 1e308, 1e307}},
    {"tiny", {1e-300, 3e-300}},
    {"the smallest", {5e-324, 5e-324}},
    {"with zeros", {0, 0.1, 0}},
    {"only zeros", {0, 0}},
    {"many", std::vector<double>(1000, 0.001)}};

} // namespace

// Shares stay within a millionth, and a part with any weight gets some.
BOOST_DATA_TEST_CASE(wholeWeightsHaveTheSameProportions, WeightsCases, row) {
  const std::vector<unsigned> whole = makeWholeWeights(row.Weights);
  BOOST_REQUIRE(whole.size() == row.Weights.size());
  long double all = 0;
  std::uint64_t wholeSum = 0;
  for (std::size_t n = 0; n < whole.size(); ++n) {
    all += row.Weights[n];
    wholeSum += whole[n];
    BOOST_TEST((whole[n] > 0) == (row.Weights[n] > 0));
  }
  BOOST_TEST(wholeSum <= std::numeric_limits<unsigned>::max());
  for (std::size_t n = 0; n < whole.size() && all > 0; ++n) {
    const auto share = static_cast<long double>(whole[n]) / wholeSum;
    BOOST_TEST(std::abs(share - row.Weights[n] / all) < 1e-6L);
  }
}
