#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Instanced.h"

using namespace zinniarail;
using namespace zinniarail::gateway;
using namespace std::string_literals;

namespace {

struct Bad {
  std::string Name;
  std::string Bytes;
  int Status;
  std::string Reason;
};

std::ostream &operator<<(std::ostream &out, const Bad &it) {
  return out << it.Name;
}

std::string post(const std::string &fields, const std::string &rest = "") {
  return "POST /s/print HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" +
         fields + "\r\n" + rest;
}

const std::string Half(4'500'000, 'b');
const std::string TooMuch = Half + Half; // in hexadecimal 895440 bytes
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

const std::vector<Bad> BadBytes{
    {"a TLS hello", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc"s, 400, "malformed"},
    {"zeroes", std::string(64, '\0'), 400, "malformed"},
    {"much of it", std::string(200'000, '\xff'), 400, "malformed"},
    {"no method ends", std::string(40, 'a'), 400, "malformed"},
    {"line ends", std::string(40, '\n'), 400, "malformed"},
    {"two lengths", post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
     400, "malformed"},
    {"length and coding", post("Content-Length: 1\r\n" + Chunked, "0\r\n\r\n"),
     400, "malformed"},
    {"a coding", post("Transfer-Encoding: gzip\r\n", "ab"), 400, "malformed"},
    {"a long head", get("/s/x", "A: " + std::string(40'000, 'a') + "\r\n"), 431,
     "head-too-large"},
    {"a long body", post("Content-Length: 9000000\r\n", TooMuch), 413,
     "body-too-large"},
    {"long chunks", post(Chunked, "895440\r\n" + TooMuch + "\r\n0\r\n\r\n"),
     413, "body-too-large"},
    {"a long body begun", post("Content-Length: 9000000\r\n", "b"), 413,
     "body-too-large"},
    {"long chunks begun", post(Chunked, "ffffff\r\n" + TooMuch), 413,
     "body-too-large"},
    {"a word", "garbage\r\n", 400, "malformed"},
    // The library's own answers.
    {"a longer head", get("/s/x", "A: " + std::string(99'000, 'a') + "\r\n"),
     431, ""},
    {"another version", "GET /s/x HTTP/7\r\n\r\n", 400, ""},
    {"no colon", get("/s/x", "nothing\r\n"), 400, ""},
    {"a bad chunk", post(Chunked, "zz\r\n"), 400, ""},
};

std::string receiveAll(int fd) {
  std::string all;
  char buf[4096];
  for (ssize_t n = 1; n > 0;) {
    n = recv(fd, buf, sizeof buf, 0);
    all.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
  }
  return all;
}

} // namespace

BOOST_DATA_TEST_CASE(badBytesAreAnsweredAndTheConnectionClosed, BadBytes, it) {
  FakeUpstream upstream(testAddress(1), &echoWhole);
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const int fd = gateway.connect();
  sendAll(fd, it.Bytes);
  const std::string answer = receiveAll(fd);
  close(fd);
  BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(it.Status)));
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Reason") == it.Reason);
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Outcome") ==
             (it.Reason.empty() ? "" : "did-not-run"));
  BOOST_TEST(upstream.requests() == 0);
  BOOST_TEST(gateway.ask(get("/s/x")).ends_with("hello"));
  while (gateway.count("callerConnections") != 0) {
    std::this_thread::yield();
  }
}
