#include <boost/test/unit_test.hpp>

#include "zinniarail/core/Core.h"

using namespace zinniarail;

BOOST_AUTO_TEST_CASE(hashesAreAlikeInEveryRelease) {
  BOOST_TEST(hashBytes("zinniarail") == hashBytes("zinniarail"));
  BOOST_TEST(hashBytes("zinniarail", 1) != hashBytes("zinniarail", 2));
  BOOST_TEST(hashCombine(1, 2) != hashCombine(2, 1));
}

BOOST_AUTO_TEST_CASE(aMailboxWakesItsOwnerOncePerBatch) {
  int wakes = 0;
  Mailbox<int> box([&] { ++wakes; });
  box.post(1);
  box.post(2);
  const std::vector<int> expected{1, 2};
  BOOST_TEST(box.take() == expected, boost::test_tools::per_element());
  box.post(3);
  BOOST_TEST(wakes == 2);
}
