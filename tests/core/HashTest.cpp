#include <boost/test/unit_test.hpp>

#include "zinniarail/core/Core.h"

using namespace zinniarail;

// All instances must come to the same numbers, whichever release they run.
BOOST_AUTO_TEST_CASE(hashesAreAlikeInEveryRelease) {
  BOOST_TEST(hashBytes("zinniarail") == hashBytes("zinniarail"));
  BOOST_TEST(hashBytes("zinniarail", 1) != hashBytes("zinniarail", 2));
  BOOST_TEST(hashCombine(1, 2) != hashCombine(2, 1));
}
