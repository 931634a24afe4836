#include <ostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/JsonText.h"

using namespace zinniarail;

namespace json_text_test {

struct Case {
  std::string Text;
  std::string Expected;
};

std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Text.substr(0, 60);
}

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

const std::vector<Case> Cases{
    {"{}", "{}"},
    {" [ ] ", "[]"},
    {R"({"a":[1,"x",{"b":null}],"c":-1.5})",
     R"({"a":[1,"x",{"b":null}],"c":-1.5E0})"},
    {"[1,\"\xff\",3]", "[1,null,3]"},
    {R"([1,"\ud800",3])", "[1,null,3]"},
    {R"([1,"\"],[",3,x])", R"([1,"\"],[",3,null])"},
    {R"([1,"\\",x])", R"([1,"\\",null])"},
    {"[" + nested(100000) + ",2]", R"([[[[[[null]]]]],2])"},
    {R"({"a":{"b":1e99999999999,"c":2},"d":[{"e":x,"f":3}]})",
     R"({"a":{"b":null,"c":2},"d":[{"e":null,"f":3}]})"},
    {R"({"a":x,"a":1})", R"({"a":1})"},
    {"{\"\xff\":1,\"b\":2}", R"({"b":2})"},
    {"", "null"},
    {"x", "null"},
    {"[1,2", "null"},
    {"[1,2]]", "null"},
    {"[1,,2]", "null"},
    {R"({"a" 1})", "null"},
    {R"({"a":1,})", "null"},
    {R"(["a)", "null"},
    {R"(["a\)", "null"}};

} // namespace json_text_test
using namespace json_text_test;

// Guards against one part that can't be parsed and hides all others.
BOOST_DATA_TEST_CASE(partsThatCannotBeParsedBecomeNull, Cases, row) {
  BOOST_TEST(boost::json::serialize(parseReadableParts(row.Text)) ==
             row.Expected);
}
