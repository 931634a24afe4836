#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "core/HttpClient.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

/// What a server sends without end after a start, and how the request ends.
struct EndlessBytes {
  const char *Description;
  std::string Start;
  std::string Repeated;
  HttpReply::Outcome Expected;
  bool EndsByTimeout; ///< The bytes are dropped as they come.
};

std::ostream &operator<<(std::ostream &out, const EndlessBytes &it) {
  return out << it.Description;
}

constexpr auto Broken = HttpReply::Outcome::Broken;
constexpr auto TooLarge = HttpReply::Outcome::TooLarge;

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessBytes> EndlessResponses{
    {"bytes that never are a status line", "", "\x01\x02\x03", Broken, false},
    {"a status line without an end", "HTTP/1.1 200 O", "K", Broken, false},
    {"a header value without an end", "HTTP/1.1 200 OK\r\nX: ", "v", Broken,
     false},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X: v\r\n", Broken, false},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", Broken, false},
    {"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", "b",
     TooLarge, false},
    {"a body of the greatest length",
     "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", "b",
     TooLarge, false},
    {"chunks", ChunkedHead, "8\r\n12345678\r\n", TooLarge, false},
    {"a chunk extension", ChunkedHead + "5;a=", "b", Broken, true},
    {"trailers", ChunkedHead + "0\r\n", "X: v\r\n", Broken, false},
    {"a trailer without an end", ChunkedHead + "0\r\nX: ", "v", Broken, false}};

} // namespace

// Guards against a head or a body without an end that takes the memory of the
// instance, or that seems to be a response.
BOOST_DATA_TEST_CASE(endlessResponseEndsTheRequest, EndlessResponses, endless) {
  http::TestLoop loop;
  const http::RawServer server;
  HttpClient client(loop.Loop);
  std::optional<HttpReply> reply;
  HttpRequest request;
  request.Url = "http://" + server.Address + "/objects/servers";
  request.Timeout = endless.EndsByTimeout ? 300ms : 10s;
  request.MaxBodyBytes = std::size_t{1} << 20;
  client.send(std::move(request), [&](HttpReply it) { reply = std::move(it); });
  std::unique_ptr<http::RawConnection> peer;
  std::string part;
  while (part.size() < std::size_t{8} << 10) {
    part += endless.Repeated;
  }
  std::size_t sent = 0;
  BOOST_REQUIRE(loop.runUntil([&] {
    if (!peer) {
      peer = server.accept();
      if (peer) {
        peer->send(endless.Start);
      }
    } else {
      sent += peer->trySend(std::string_view(part).substr(sent % part.size()));
    }
    return reply.has_value();
  }));
  BOOST_TEST((reply->Result == endless.Expected));
  BOOST_TEST(reply->TimedOut == endless.EndsByTimeout);
  BOOST_TEST(reply->Body.size() <= std::size_t{1} << 20);
}

namespace {

/// A whole response.
struct WholeResponse {
  const char *Description;
  std::string Bytes;
  std::size_t UnusedBytes = 0; ///< At the end: libcurl doesn't wait for them.
};

std::ostream &operator<<(std::ostream &out, const WholeResponse &it) {
  return out << it.Description;
}

const std::vector<WholeResponse> WholeResponses{
    {"a length", "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                 "Content-Length: 12\r\n\r\n{\"items\":[]}"},
    {"no body", "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n"},
    {"chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "c\r\n{\"items\":[]}\r\n0\r\n\r\n",
     1},
    {"an interim response before",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
     "\r\n{}"},
    {"no content", "HTTP/1.1 204 No Content\r\nStore-Era: 1\r\n\r\n"}};

} // namespace

// Guards against a response that was cut off and passes for a whole one.
BOOST_DATA_TEST_CASE(responseThatIsCutOffIsNoAnswer, WholeResponses, row) {
  http::TestLoop loop;
  const http::RawServer server;
  HttpClient client(loop.Loop);
  for (std::size_t n = 0; n < row.Bytes.size() - row.UnusedBytes; ++n) {
    std::optional<HttpReply> reply;
    HttpRequest request;
    request.Url = "http://" + server.Address + "/objects/servers";
    request.Timeout = 10s;
    client.send(std::move(request),
                [&](HttpReply it) { reply = std::move(it); });
    std::unique_ptr<http::RawConnection> peer;
    BOOST_REQUIRE(loop.runUntil([&] {
      if (!peer) {
        peer = server.accept();
      }
      return peer && peer->has("\r\n\r\n");
    }));
    peer->send(row.Bytes.substr(0, n));
    peer->close();
    BOOST_REQUIRE(loop.runUntil([&] { return reply.has_value(); }));
    BOOST_TEST((reply->Result == HttpReply::Outcome::Broken), n);
  }
}

namespace {

/// Sends a request to a server that the test plays itself.
struct ReplyFixture {
  ReplyFixture() : Client(Loop.Loop) {
    HttpRequest request;
    request.Url = "http://" + Server.Address + "/objects/servers";
    request.Timeout = 10s;
    Client.send(std::move(request),
                [this](HttpReply it) { Reply = std::move(it); });
    BOOST_REQUIRE(Loop.runUntil([this] {
      if (!Peer) {
        Peer = Server.accept();
      }
      return Peer && Peer->has("\r\n\r\n");
    }));
  }

  HttpReply waitForReply() {
    BOOST_REQUIRE(Loop.runUntil([this] { return Reply.has_value(); }));
    return *Reply;
  }

  http::TestLoop Loop;
  http::RawServer Server;
  std::optional<HttpReply> Reply;
  std::unique_ptr<http::RawConnection> Peer;
  HttpClient Client;
};

} // namespace

// Guards against a status code outside 100 to 599 that passes for the store's
// answer. libcurl reads signs, and the first three of more digits.
BOOST_DATA_TEST_CASE(invalidStatusCodeIsNoAnswer,
                     boost::unit_test::data::make(std::vector<std::string>{
                         "000", "099", "600", "999", "1000", "2000", "20", "2",
                         "+20", "-20", "+200", " 200", "2 00", "2O0"}),
                     code) {
  ReplyFixture it;
  it.Peer->send("HTTP/1.1 " + code +
                " Strange\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}");
  BOOST_TEST((it.waitForReply().Result == HttpReply::Outcome::Broken));
}

namespace {

// A response; "{name}" stands for the name of a field.
const std::vector<std::string> FieldPlaces{
    "HTTP/1.1 200 OK\r\n{name}: 2\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{name}: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\n{name}: 2\r\n\r\n{}",
    ChunkedHead + "2\r\n{}\r\n0\r\n{name}: 2\r\n\r\n"};

// The response to a request whose server sends these bytes and closes.
HttpReply replyTo(const std::string &bytes) {
  ReplyFixture it;
  it.Peer->send(bytes);
  it.Peer->close();
  return it.waitForReply();
}

std::string withName(std::string bytes, const std::string &name) {
  const std::string placeholder = "{name}";
  return bytes.replace(bytes.find(placeholder), placeholder.size(), name);
}

} // namespace

// Guards against a line that libcurl passes over, though it may have been the
// length of the body.
BOOST_DATA_TEST_CASE(invalidFieldNameIsNoAnswer,
                     boost::unit_test::data::make(FieldPlaces) *
                         boost::unit_test::data::make(std::vector<int>{
                             0, 1, '\t', '\n', '\v', '\f', '\r', 31, ' ', '"',
                             '(', '/', '@', '[', 127, 128, 255}),
                     place, byte) {
  const std::string invalid(1, static_cast<char>(byte));
  for (const std::string &name :
       {"Content" + invalid + "Length", "Content-Length" + invalid,
        invalid + "Content-Length"}) {
    if (name.front() == '\n') {
      continue; // It ends the head.
    }
    BOOST_TEST(
        (replyTo(withName(place, name)).Result == HttpReply::Outcome::Broken),
        name);
  }
  BOOST_TEST((replyTo(withName(place, "X!#$%&'*+-.^_`|~09")).Result ==
              HttpReply::Outcome::Answered));
}
