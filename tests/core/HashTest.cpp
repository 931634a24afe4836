#include <boost/test/unit_test.hpp>

#include "zinniarail/core/Core.h"

using namespace zinniarail;

// Instances of all releases must agree on every hash. This checks only that the
// result is repeatable and depends on the seed and on the order of values.
BOOST_AUTO_TEST_CASE(hashesAreRepeatableAndDependOnSeedAndOrder) {
  BOOST_TEST(hashBytes("zinniarail") == hashBytes("zinniarail"));
  BOOST_TEST(hashBytes("zinniarail", 1) != hashBytes("zinniarail", 2));
  BOOST_TEST(hashCombine(1, 2) != hashCombine(2, 1));
}
