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

BOOST_DATA_TEST_CASE(missingFieldNameIsNoAnswer, FieldPlaces, place) {
  BOOST_TEST((outcomeOf(withName(place, "")) == CallOutcome::Broken));
}

BOOST_DATA_TEST_CASE(validFieldNameIsAnAnswer, FieldPlaces, place) {
  BOOST_TEST((outcomeOf(withName(place, "X!#$%&'*+-.^_`|~09")) ==
              CallOutcome::Answered));
}
