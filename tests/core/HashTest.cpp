#include <boost/test/unit_test.hpp>

#include "zinniarail/core/Core.h"

using namespace zinniarail;

// Instances of all releases must agree on every hash: the values are those of
// XXH3.
BOOST_AUTO_TEST_CASE(hashesAreTheSameInAllReleases) {
  BOOST_TEST(hashBytes("") == 0x2d06800538d394c2);
  BOOST_TEST(hashBytes("zinniarail") == 0x0aaa8759f7379b63);
  BOOST_TEST(hashBytes("zinniarail", 1) == 0xff65974e59fb531e);
  BOOST_TEST(hashCombine(1, 2) == 0x07ee86c281446bef);
  BOOST_TEST(hashCombine(2, 1) != hashCombine(1, 2));
}
