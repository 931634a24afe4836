#include <algorithm>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "RaceModel.h"

using namespace zinniarail;
using namespace zinniarail::race;

namespace {

constexpr std::uint64_t FirstSeed = 20261203;
constexpr unsigned Seeds = 100; // for each number of operators

// What the first violation of each breach must be among its seeds.
struct Expected {
  Breach Flaw;
  const char *Promise;
};
std::ostream &operator<<(std::ostream &out, const Expected &it) {
  return out << it.Promise;
}

const std::vector<Expected> Breaches{
    {Breach::UnconditionalPut, "overwrote what it had not seen"},
    {Breach::LostIsAccepted, "told accepted, not written"},
    {Breach::LostIsAccepted, "two winners"},
    {Breach::LossForgotten, "told not written, written"},
    {Breach::BlindRebase, "written twice"},
    {Breach::BlindRebase, "an accepted change was silently lost"},
    {Breach::OlderTaken, "a version went back"},
    {Breach::ContentKept, "another content under an accepted version"},
    {Breach::ReadsOnce, "not in force everywhere"},
};

} // namespace

BOOST_DATA_TEST_CASE(operatorsWhoRaceLoseNothingSilently,
                     (std::vector<unsigned>{1, 2, 3, 8}), operators) {
  std::map<ChangeStep, unsigned> told;
  for (unsigned n = 0; n < Seeds; ++n) {
    Race race(operators, FirstSeed + n, Breach::None);
    race.run();
    BOOST_TEST(race.Violation.value_or("") == "", "seed " << FirstSeed + n);
    for (const auto &[step, count] : race.Told) {
      told[step] += count;
    }
  }
  BOOST_TEST(told[ChangeStep::Accepted] > 0u);
  BOOST_TEST(told[ChangeStep::Unknown] > 0u);
  BOOST_TEST(told[ChangeStep::NotWritten] > 0u);
  BOOST_TEST((told[ChangeStep::LostRace] > 0u) == (operators > 1));
}

BOOST_DATA_TEST_CASE(theChecksOfARaceFindABreach, Breaches, it) {
  bool found = false;
  for (unsigned n = 0; n < Seeds && !found; ++n) {
    Race race(3, FirstSeed + n, it.Flaw);
    race.run();
    found = race.Violation.value_or("") == it.Promise;
  }
  BOOST_TEST(found);
}
