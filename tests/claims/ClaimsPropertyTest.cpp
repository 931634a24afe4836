#include "ClaimNet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

rc::Gen<Fault> anyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::What,
                   rc::gen::element(Fault::Kind::Crash, Fault::Kind::Pause,
                                    Fault::Kind::Cut, Fault::Kind::Isolate,
                                    Fault::Kind::Outage, Fault::Kind::Leave)),
      rc::gen::set(&Fault::Who, rc::gen::inRange(0U, 32U)),
      rc::gen::set(&Fault::Length, rc::gen::inRange(0U, 50U)),
      rc::gen::set(&Fault::After, rc::gen::inRange(0U, 20U)));
}

} // namespace

namespace rc {
template <> struct Arbitrary<Fault> {
  static Gen<Fault> arbitrary() { return anyFault(); }
};
} // namespace rc

BOOST_AUTO_TEST_CASE(noKeyIsGrantedTwice) {
  unsigned grants = 0;
  const bool holds = rc::check(
      "at most one grant for a key in its window", [&](std::uint64_t seed) {
        ClaimNet net({.Seed = seed});
        const auto count = *rc::gen::inRange<std::size_t>(0, 25);
        net.play(*rc::gen::container<std::vector<Fault>>(count, anyFault()));
        grants += net.Grants;
        RC_ASSERT(net.Violations.empty());
      });
  BOOST_TEST(holds);
  BOOST_TEST_MESSAGE("grants checked: " << grants);
  BOOST_TEST(grants > 1000);
}

BOOST_AUTO_TEST_CASE(everybodyServesOnceAllIsHealed) {
  BOOST_TEST(rc::check("claims are granted again", [](std::uint64_t seed) {
    ClaimNet net({.Seed = seed});
    const auto count = *rc::gen::inRange<std::size_t>(0, 15);
    net.play(*rc::gen::container<std::vector<Fault>>(count, anyFault()));
    RC_ASSERT(net.everybodyServes(30s));
  }));
}
