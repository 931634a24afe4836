#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace zinniarail::http::pool_test;
using namespace std::chrono_literals;

namespace {

/// Bytes that one connection may add in one iteration of the loop.
constexpr std::size_t WakeupBytes = std::size_t{64} << 10;

/// What an upstream sends without end after a start, or before it closes.
struct EndlessBytes {
  const char *Description;
  std::string Start;
  std::string Repeated;
  std::size_t MaxHeldBytes; ///< Bound on what the pool holds at any time.
};

std::ostream &operator<<(std::ostream &out, const EndlessBytes &it) {
  return out << it.Description;
}

constexpr std::size_t HeadLimit = std::size_t{64} << 10;
constexpr std::size_t FramingBound = HeadLimit + WakeupBytes;

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessBytes> EndlessHeadsAndFramings{
    {"bytes that never are a status line", "", "\x01\x02\x03", FramingBound},
    {"line ends", "", "\r\n", FramingBound},
    {"a status line without an end", "HTTP/1.1 200 O", "K", FramingBound},
    {"a header name without an end", "HTTP/1.1 200 OK\r\n", "X", FramingBound},
    {"a header value without an end", "HTTP/1.1 200 OK\r\nX: ", "v",
     FramingBound},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X: v\r\n", FramingBound},
    {"header fields, parts of which end within a name", "HTTP/1.1 200 OK\r\nX",
     ": v\r\nX", FramingBound},
    {"a folded header value", "HTTP/1.1 200 OK\r\nX: v", "\r\n v",
     FramingBound},
    {"a chunk size", ChunkedHead, "0", FramingBound},
    {"a chunk extension", ChunkedHead + "5;a=", "b", FramingBound},
    {"the extension of the last chunk", ChunkedHead + "0;a=", "b",
     FramingBound},
    {"trailers", ChunkedHead + "0\r\n", "X: v\r\n", FramingBound},
    {"a trailer without an end", ChunkedHead + "0\r\nX: ", "v", FramingBound},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", FramingBound},
    {"responses to other requests", "",
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Request-Id: z\r\n\r\nb",
     FramingBound}};

/// Sends until the call ended. Each part ends where Repeated ends.
/// \returns the most bytes that the pool held after an iteration of the loop.
std::size_t sendUntilEnded(PoolFixture &it, const RawConnection &upstream,
                           CallId id, const EndlessBytes &endless,
                           std::size_t maxSentBytes) {
  upstream.send(endless.Start);
  std::string part;
  while (part.size() < std::size_t{8} << 10) {
    part += endless.Repeated;
  }
  std::size_t held = 0;
  std::size_t sent = 0;
  while (sent < maxSentBytes && !it.Results.contains(id)) {
    const std::string_view rest =
        std::string_view(part).substr(sent % part.size());
    sent += upstream.trySend(rest);
    it.EventLoop.runOnce();
    held = std::max(held, it.Pool.receivedBytes());
  }
  return held;
}

} // namespace

// Guards against heads and chunk framing that arrive for as long as the call
// lasts and are held whole.
BOOST_DATA_TEST_CASE(endlessHeadOrFramingBreaksTheCall, EndlessHeadsAndFramings,
                     endless) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  const std::size_t held =
      sendUntilEnded(it, *upstream, 1, endless, std::size_t{16} * FramingBound);
  BOOST_TEST(held <= endless.MaxHeldBytes);
  BOOST_REQUIRE(it.Results.contains(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
  BOOST_TEST(!it.Results[1].Cancelled);
  BOOST_TEST(it.Pool.connections() == 0);
  BOOST_TEST(it.Pool.receivedBytes() == 0);
}

namespace {

constexpr std::size_t BodyLimit = std::size_t{1} << 20;
constexpr std::size_t BodyBound = BodyLimit + WakeupBytes;

const std::vector<EndlessBytes> EndlessBodies{
    {"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", "b",
     BodyBound},
    {"a body of the greatest length",
     "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n", "b",
     BodyBound},
    {"a body of a length above the limit",
     "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n", "b", BodyBound},
    {"chunks", ChunkedHead, "8\r\n12345678\r\n", BodyBound},
    {"a chunk above the limit", ChunkedHead + "fffffffffffffff\r\n", "b",
     BodyBound},
    {"chunks with extensions", ChunkedHead,
     "8;a=" + std::string(100, 'b') + "\r\n12345678\r\n", BodyBound},
    {"large responses to other requests", "",
     "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\nX-Request-Id: z\r\n\r\n" +
         std::string(500000, 'b'),
     BodyBound}};

} // namespace

BOOST_DATA_TEST_CASE(endlessBodyBreaksTheCall, EndlessBodies, endless) {
  PoolFixture it(BodyLimit);
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  const std::size_t held =
      sendUntilEnded(it, *upstream, 1, endless, std::size_t{32} * BodyLimit);
  BOOST_TEST(held <= endless.MaxHeldBytes);
  BOOST_REQUIRE(it.Results.contains(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
  BOOST_TEST(!it.Results[1].Cancelled);
  BOOST_TEST(it.Pool.connections() == 0);
  BOOST_TEST(it.Pool.receivedBytes() == 0);
}

namespace {

const std::vector<EndlessBytes> SlowResponses{
    {"no byte", "", "", 0},
    {"a head", "HTTP/1.1 200 OK\r\n", "X", WakeupBytes},
    {"a body", "HTTP/1.1 200 OK\r\n\r\n", "b", WakeupBytes},
    {"chunks", ChunkedHead, "1\r\nb\r\n", WakeupBytes}};

} // namespace

// Guards against a peer that sends too little to reach a limit of size, or
// nothing, and so keeps a call for as long as it likes.
BOOST_DATA_TEST_CASE(slowEndlessResponseEndsWithTheTimeoutOfTheCall,
                     SlowResponses, endless) {
  PoolFixture it;
  Call call = it.call(1);
  call.Timeout = 200ms;
  it.Pool.start(std::move(call));
  const auto upstream = it.acceptRequest();
  upstream->trySend(endless.Start);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    upstream->trySend(endless.Repeated);
    return it.Results.contains(1);
  }));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
  BOOST_TEST(!it.Results[1].Cancelled);
  BOOST_TEST(it.Pool.connections() == 0);
}

BOOST_AUTO_TEST_CASE(timeoutOfACallDoesNotEndTheNextOneOnItsConnection) {
  PoolFixture it;
  Call call = it.call(1);
  call.Timeout = 50ms;
  it.Pool.start(std::move(call));
  const auto upstream = it.acceptRequest();
  upstream->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  it.Pool.start(it.call(2));
  it.EventLoop.runFor(100ms);
  BOOST_TEST(!it.Results.contains(2));
  upstream->send(response("two"));
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST(it.Results[2].Response.Body == "two");
}

// Guards against many endless responses, each below the limit of one, that
// together take more memory than the instance has.
BOOST_AUTO_TEST_CASE(endlessBodiesShareOneLimitAndSpareASmallerResponse) {
  constexpr CallId endlessCalls = 8;
  const std::string body(BodyLimit / 16, 'b');
  PoolFixture it(BodyLimit);
  it.Pool.start(it.call(1));
  const auto sound = it.acceptRequest();
  sound->send(response(body).substr(0, body.size()));
  std::vector<std::unique_ptr<RawConnection>> endless;
  for (CallId id = 2; id < 2 + endlessCalls; ++id) {
    it.Pool.start(it.call(id));
    endless.push_back(it.acceptRequest());
    endless.back()->send("HTTP/1.1 200 OK\r\n\r\n");
  }
  const std::string part(BodyLimit / 64, 'b');
  std::size_t held = 0;
  for (unsigned n = 0; n < 128; ++n) {
    for (const auto &upstream : endless) {
      upstream->trySend(part);
    }
    it.EventLoop.runOnce();
    held = std::max(held, it.Pool.receivedBytes());
  }
  BOOST_TEST(held <= BodyBound);
  BOOST_TEST(it.Results.size() == endlessCalls);
  BOOST_TEST(!it.Results.contains(1));
  sound->send(response(body).substr(body.size()));
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Answered));
  BOOST_TEST((it.Results[1].Response.Body == body));
  BOOST_TEST(it.Pool.receivedBytes() == 0);
}

// Guards against reading for as long as bytes arrive, which keeps the loop from
// all else and holds all of them in memory unparsed.
BOOST_AUTO_TEST_CASE(fastSenderIsReadInBoundedTurns) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\n");
  it.EventLoop.runFor(20ms);
  BOOST_REQUIRE(it.Pool.receivedBytes() == 0);
  BOOST_REQUIRE(upstream->sendWhilePossible(std::string(WakeupBytes, 'x')) >
                4 * WakeupBytes);
  for (unsigned n = 0; n < 4; ++n) {
    const std::size_t before = it.Pool.receivedBytes();
    it.EventLoop.runOnce();
    BOOST_TEST(it.Pool.receivedBytes() - before <= WakeupBytes);
  }
}
