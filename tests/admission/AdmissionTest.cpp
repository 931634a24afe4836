#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/admission/Admission.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

struct AdmitCase {
  unsigned Newcomer; ///< Its priority.
  std::size_t Limit;
  bool Admitted;
  std::uint64_t Shed; ///< Request that goes; 0 for none.
};

std::ostream &operator<<(std::ostream &out, const AdmitCase &it) {
  return out << "priority " << it.Newcomer << ", limit " << it.Limit;
}

const std::vector<AdmitCase> AdmitCases{
    {2, 4, true, 0},  {0, 3, true, 12}, {1, 3, true, 12},
    {2, 3, false, 0}, {0, 0, true, 12},
};

struct WaitCase {
  std::size_t Ahead;
  unsigned Slots;
  Duration Wait;
};

std::ostream &operator<<(std::ostream &out, const WaitCase &it) {
  return out << it.Ahead << " ahead of " << it.Slots << " slots";
}

const std::vector<WaitCase> WaitCases{
    {0, 1, 10ms}, {3, 4, 10ms}, {7, 4, 20ms}, {0, 0, Duration::max()}};

} // namespace

BOOST_DATA_TEST_CASE(theWorstGoesFirst, AdmitCases, it) {
  const WaitingQueue queue{{0, 1, 10}, {2, 2, 11}, {2, 3, 12}};
  const Admission verdict = admit(queue, {it.Newcomer, 9, 99}, it.Limit);
  BOOST_TEST(verdict.Admitted == it.Admitted);
  BOOST_TEST((verdict.Shed ? verdict.Shed->Request : 0) == it.Shed);
}

BOOST_DATA_TEST_CASE(theWaitIsWhatIsAhead, WaitCases, it) {
  BOOST_TEST((expectWait(it.Ahead, {it.Slots, 10ms}) == it.Wait));
}

BOOST_AUTO_TEST_CASE(onlyBetterPlacesAreAhead) {
  const WaitingQueue queue{{0, 1, 10}, {1, 2, 11}, {2, 3, 12}};
  BOOST_TEST(countAhead(queue, {1, 9, 99}) == 2u);
  BOOST_TEST(countAhead(queue, {0, 9, 99}) == 1u);
}
