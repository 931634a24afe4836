// Responses with a field whose name is none.
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace zinniarail::http::pool_test;

namespace {

/// A response; "{name}" stands for the name of a field.
struct FieldPlace {
  const char *Description;
  std::string Bytes;
};

std::ostream &operator<<(std::ostream &out, const FieldPlace &it) {
  return out << it.Description;
}

const std::string Status = "HTTP/1.1 200 OK\r\n";
const std::string OwnFields = "X-Request-Id: a\r\nX-Response-Signature: s\r\n";

// Responses with a line that begins with blanks, for which "{name}" stands.
const std::vector<FieldPlace> FoldPlaces{
    {"behind the status line",
     Status + "{name}Content-Length: 2\r\n" + OwnFields + "\r\nbody"},
    {"behind a field", Status + OwnFields +
                           "Content-Length: 4\r\nX-F: a\r\n"
                           "{name}b\r\n\r\nbody"},
    {"in place of the length",
     Status + OwnFields + "{name}Content-Length: 2\r\n\r\nbody"},
    {"behind a field without a value", Status + OwnFields +
                                           "X-F:\r\n{name}X-Not-Executed: 1\r\n"
                                           "Content-Length: 4\r\n\r\nbody"},
    {"a blank line", Status + OwnFields + "{name}\r\n\r\nbody"}};

const std::vector<FieldPlace> FieldPlaces{
    {"the first field",
     Status + "{name}: 4\r\n" + OwnFields + "Content-Length: 4\r\n\r\nbody"},
    {"a later field",
     Status + OwnFields + "{name}: 4\r\nContent-Length: 4\r\n\r\nbody"},
    {"the last field",
     Status + OwnFields + "Content-Length: 4\r\n{name}: 4\r\n\r\nbody"},
    {"the only length", Status + OwnFields + "{name}: 4\r\n\r\nbody"},
    {"a trailer", Status + OwnFields +
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "4\r\nbody\r\n0\r\n{name}: 4\r\n\r\n"}};

// No byte of a name (RFC 9110, section 5.6.2).
const std::vector<int> InvalidBytes{0,    1,   '\t', '\n', '\v', '\f',
                                    '\r', 31,  ' ',  '"',  '(',  '/',
                                    '@',  '[', 127,  128,  255};

std::string withName(const FieldPlace &place, const std::string &name) {
  const std::string placeholder = "{name}";
  std::string out = place.Bytes;
  return out.replace(out.find(placeholder), placeholder.size(), name);
}

CallOutcome outcomeOf(const std::string &bytes) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  upstream->send(bytes);
  upstream->close();
  BOOST_REQUIRE(it.waitForResult(1));
  return it.Results[1].Outcome;
}

} // namespace

// Guards against a line that is passed on to the caller though it is no field,
// and against a length that is overlooked because of its name.
BOOST_DATA_TEST_CASE(invalidFieldNameIsNoAnswer,
                     boost::unit_test::data::make(FieldPlaces) *
                         boost::unit_test::data::make(InvalidBytes),
                     place, byte) {
  const std::string invalid(1, static_cast<char>(byte));
  for (const std::string &name :
       {"Content" + invalid + "Length", "Content-Length" + invalid}) {
    BOOST_TEST((outcomeOf(withName(place, name)) == CallOutcome::Broken));
  }
}

// Guards against a line that is joined to the field before it, though the
// upstream may have meant a field of its own.
BOOST_DATA_TEST_CASE(foldedFieldIsNoAnswer,
                     boost::unit_test::data::make(FoldPlaces) *
                         boost::unit_test::data::make(std::vector<std::string>{
                             " ", "\t", "  \t"}),
                     place, blanks) {
  BOOST_TEST((outcomeOf(withName(place, blanks)) == CallOutcome::Broken));
}

// The end of the head is where blanks behind a line end begin to be data,
// however its bytes arrive.
BOOST_AUTO_TEST_CASE(blanksBehindALineEndOfABodyAreData) {
  const std::string body = "\r\n a\r\n\r\n\tb";
  const std::string bytes = Status + OwnFields +
                            "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    PoolFixture it;
    it.Pool.start(it.call(1, "a"));
    const auto upstream = it.acceptRequest();
    upstream->send(bytes.substr(0, n));
    it.EventLoop.runOnce();
    upstream->send(bytes.substr(n));
    BOOST_REQUIRE(it.waitForResult(1));
    BOOST_TEST(it.Results[1].Response.Body == body, n);
  }
}

BOOST_DATA_TEST_CASE(missingFieldNameIsNoAnswer, FieldPlaces, place) {
  BOOST_TEST((outcomeOf(withName(place, "")) == CallOutcome::Broken));
}

BOOST_DATA_TEST_CASE(validFieldNameIsAnAnswer, FieldPlaces, place) {
  BOOST_TEST((outcomeOf(withName(place, "X!#$%&'*+-.^_`|~09")) ==
              CallOutcome::Answered));
}
