#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/Message.h"

using namespace zinniarail::http;

namespace {

struct HopByHopCase {
  const char *Description;
  Headers Fields;
  std::vector<std::string> Kept; ///< Names, in order.
};

std::ostream &operator<<(std::ostream &out, const HopByHopCase &it) {
  return out << it.Description;
}

const std::vector<HopByHopCase> HopByHopCases{
    {"no options", {{"Host", "h"}, {"A", "1"}}, {"Host", "A"}},
    {"always removed",
     {{"Content-Length", "0"}, {"te", "x"}, {"A", "1"}, {"Expect", "x"}},
     {"A"}},
    {"options in any case and with blanks",
     {{"Connection", "keep-alive, B ,c"}, {"A", "1"}, {"b", "2"}, {"C", "3"}},
     {"A"}},
    {"options in two fields",
     {{"B", "1"},
      {"Connection", "b"},
      {"connection", "A"},
      {"a", "2"},
      {"D", "3"}},
     {"D"}},
    {"empty options", {{"Connection", ",,"}, {"A", "1"}}, {"A"}},
    {"part of a name",
     {{"Connection", "ab"}, {"A", "1"}, {"abc", "2"}},
     {"A", "abc"}}};

} // namespace

BOOST_DATA_TEST_CASE(onlyFieldsOfTheConnectionAreRemoved, HopByHopCases, row) {
  Headers fields = row.Fields;
  removeHopByHopHeaders(fields);
  std::vector<std::string> kept;
  for (const Header &it : fields) {
    kept.push_back(it.Name);
  }
  BOOST_TEST(kept == row.Kept, boost::test_tools::per_element());
}
