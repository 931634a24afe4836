// Responses in a transfer coding.
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace zinniarail::http::pool_test;

namespace {

/// A response in a transfer coding, and whether it can be decoded.
struct CodingCase {
  const char *Version;
  std::string Fields;
  bool IsDecodable;
};

std::ostream &operator<<(std::ostream &out, const CodingCase &it) {
  return out << it.Version << " " << it.Fields;
}

const std::vector<CodingCase> CodingCases{
    {"1.1", "Transfer-Encoding: chunked\r\n", true},
    {"1.1", "transfer-encoding:  Chunked \r\n", true},
    {"1.1", "Transfer-Encoding: chunked, gzip\r\n", false},
    {"1.1", "Transfer-Encoding: gzip, chunked\r\n", false},
    {"1.1", "Transfer-Encoding: chunked, chunked\r\n", false},
    {"1.1", "Transfer-Encoding: xchunked\r\n", false},
    {"1.1", "Transfer-Encoding: chunked;a=1\r\n", false},
    {"1.1", "Transfer-Encoding: \"chunked\"\r\n", false},
    {"1.1", "Transfer-Encoding: identity\r\n", false},
    {"1.1", "Transfer-Encoding: identity, chunked\r\n", false},
    {"1.1", "Transfer-Encoding:\r\n", false},
    {"1.1", "Transfer-Encoding: ,\r\n", false},
    {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", false},
    {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", false},
    {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     false},
    {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 15\r\n", false},
    {"1.1", "Content-Length: 15\r\nTransfer-Encoding: gzip\r\n", false},
    {"1.1", "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n", false},
    {"1.0", "Transfer-Encoding: chunked\r\n", false},
    {"1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", false}};

} // namespace

// Guards against a success whose body is the framing of chunks, or coded bytes
// without the field that says so.
BOOST_DATA_TEST_CASE(responseInAnotherCodingThanChunksIsNoAnswer, CodingCases,
                     row) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  upstream->send(std::string("HTTP/") + row.Version +
                 " 200 OK\r\nX-Request-Id: a\r\n" + row.Fields +
                 "\r\n4\r\nbody\r\n0\r\n\r\n");
  upstream->close();
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome ==
              (row.IsDecodable ? CallOutcome::Answered : CallOutcome::Broken)));
  BOOST_TEST(it.Results[1].Response.Body == (row.IsDecodable ? "body" : ""));
}
