#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;
using namespace zinniarail::http::pool_test;

BOOST_AUTO_TEST_CASE(completeResponseLeavesTheConnectionOpenForReuse) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  BOOST_TEST(upstream->has("GET /1 "));
  upstream->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Answered));
  BOOST_TEST(it.Results[1].Response.Body == "one");
  BOOST_TEST(!it.Results[1].ReusedConnection);
  it.Pool.start(it.call(2));
  BOOST_TEST(it.EventLoop.runUntil([&] { return upstream->has("GET /2 "); }));
  upstream->send(response("two"));
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST(it.Results[2].ReusedConnection);
  BOOST_TEST(it.Pool.connections() == 1);
}

// A client that accepts the first response that arrives, as libcurl does, would
// assign the late response to the wrong call.
BOOST_AUTO_TEST_CASE(lateResponseToAnEarlierRequestIsIgnored) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  upstream->send(response("a", "a"));
  BOOST_REQUIRE(it.waitForResult(1));
  it.Pool.start(it.call(2, "b"));
  BOOST_REQUIRE(
      it.EventLoop.runUntil([&] { return upstream->has("GET /2 "); }));
  upstream->send(response("again", "a"));
  it.EventLoop.runFor(20ms);
  BOOST_TEST(!it.Results.contains(2));
  upstream->send(response("b", "b"));
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST(it.Results[2].Response.Body == "b");
}

// A peer may add an id of its own to the response to a call that has none.
BOOST_AUTO_TEST_CASE(callWithoutAnIdSkipsOnlyTheResponseToTheCallBefore) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  upstream->send(response("a", "a"));
  BOOST_REQUIRE(it.waitForResult(1));
  for (const CallId id : {2, 3}) {
    Call call = it.call(id);
    call.EchoHeader = "X-Request-Id";
    it.Pool.start(std::move(call));
    BOOST_REQUIRE(it.EventLoop.runUntil(
        [&] { return upstream->has("GET /" + std::to_string(id) + " "); }));
    upstream->send(response("again", "a") + response("own", "z"));
    BOOST_REQUIRE(it.waitForResult(id));
    BOOST_TEST(it.Results[id].Response.Body == "own");
    BOOST_TEST(it.Results[id].StrayResponses == 1U);
  }
}

BOOST_AUTO_TEST_CASE(unexpectedResponseClosesAnIdleConnection) {
  PoolFixture it;
  it.Pool.start(it.call(1, "a"));
  const auto upstream = it.acceptRequest();
  upstream->send(response("a", "a"));
  BOOST_REQUIRE(it.waitForResult(1));
  upstream->send(response("again", "a"));
  BOOST_TEST(it.EventLoop.runUntil([&] { return it.Pool.connections() == 0; }));
  it.Pool.start(it.call(2, "b"));
  const auto other = it.acceptRequest();
  other->send(response("b", "b"));
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST(it.Results[2].Response.Body == "b");
}

BOOST_AUTO_TEST_CASE(extraBytesAfterAResponseCloseTheConnection) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send(response("one") + "more");
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.Results[1].Response.Body == "one");
  BOOST_TEST(it.Pool.connections() == 0);
}

BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send("HTTP/1.1 100 Continue\r\n\r\n" + response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.Results[1].Response.Status == 200);
}

namespace zinniarail::http::pool_test {

struct InvalidResponse {
  const char *Description;
  std::string Bytes;
};

std::ostream &operator<<(std::ostream &out, const InvalidResponse &it) {
  return out << it.Description;
}

const std::vector<InvalidResponse> InvalidResponses{
    {"no bytes", ""},
    {"truncated header", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
    {"truncated chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
    {"bytes that are not HTTP", "\x01\x02garbage\r\n\r\n"}};

} // namespace zinniarail::http::pool_test
using namespace zinniarail::http::pool_test;

BOOST_DATA_TEST_CASE(incompleteOrMalformedResponsesEndAsBroken,
                     InvalidResponses, invalid) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send(invalid.Bytes);
  upstream->close();
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
  BOOST_TEST(it.Results[1].ResponseStarted == !invalid.Bytes.empty());
  BOOST_TEST(it.Pool.connections() == 0);
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthIsCompleteWhenThePeerCloses) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\nall of it");
  it.EventLoop.runFor(20ms);
  BOOST_TEST(!it.Results.contains(1));
  upstream->close();
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Answered));
  BOOST_TEST(it.Results[1].Response.Body == "all of it");
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthIsBrokenByAReset) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\npart");
  it.EventLoop.runFor(20ms);
  upstream->reset();
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
}

BOOST_AUTO_TEST_CASE(responseBeforeTheRequestIsFullySentClosesTheConnection) {
  PoolFixture it;
  Call call = it.call(1);
  std::string body;
  body.resize(32'000'000, 'x');
  call.Bytes =
      "POST /1 HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  it.Pool.start(std::move(call));
  const auto upstream = it.accept();
  it.EventLoop.runFor(20ms);
  upstream->send(response("early"));
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.Results[1].Response.Body == "early");
  BOOST_TEST(it.Pool.connections() == 0);
}

BOOST_AUTO_TEST_CASE(refusedConnectionEndsAsNotSent) {
  PoolFixture it;
  it.Upstream.stop();
  it.Pool.start(it.call(1));
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(idleConnectionClosedByThePeerIsNotReused) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto first = it.acceptRequest();
  first->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  first->close();
  it.Pool.start(it.call(2)); // The loop has not seen the close yet.
  const auto second = it.acceptRequest();
  BOOST_TEST(second->has("GET /2 "));
  second->send(response("two"));
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST((it.Results[2].Outcome == CallOutcome::Answered));
}

BOOST_AUTO_TEST_CASE(resetOfAReusedConnectionIsBrokenAndMarkedReused) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  it.Pool.start(it.call(2));
  BOOST_REQUIRE(
      it.EventLoop.runUntil([&] { return upstream->has("GET /2 "); }));
  upstream->reset();
  BOOST_REQUIRE(it.waitForResult(2));
  BOOST_TEST((it.Results[2].Outcome == CallOutcome::Broken));
  BOOST_TEST(it.Results[2].ReusedConnection);
  BOOST_TEST(!it.Results[2].ResponseStarted);
}

BOOST_AUTO_TEST_CASE(connectionIdleBeyondTheLimitOfTheCallIsNotReused) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto first = it.acceptRequest();
  first->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  it.EventLoop.runFor(30ms);
  Call call = it.call(2);
  call.MaxIdleTime = 10ms;
  it.Pool.start(std::move(call));
  const auto second = it.acceptRequest();
  BOOST_TEST(second->has("GET /2 "));
}

BOOST_DATA_TEST_CASE(keepAliveTimeoutOfThePeerIsRespected,
                     (std::vector<std::string>{"timeout=0",
                                               "timeout=0, max=5"}),
                     keepAlive) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto first = it.acceptRequest();
  first->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: " +
              keepAlive + "\r\n\r\n");
  BOOST_REQUIRE(it.waitForResult(1));
  it.EventLoop.runFor(5ms);
  it.Pool.start(it.call(2));
  BOOST_TEST(it.acceptRequest()->has("GET /2 "));
}

BOOST_AUTO_TEST_CASE(connectionCloseHeaderClosesTheConnection) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.Pool.connections() == 0);
}

BOOST_AUTO_TEST_CASE(aCancelledCallClosesItsConnection) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  it.Pool.cancel(1);
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.Results[1].Cancelled);
  BOOST_TEST((it.Results[1].Outcome == CallOutcome::Broken));
  BOOST_TEST(it.EventLoop.runUntil([&] {
    upstream->read();
    return upstream->PeerClosed;
  }));
}

// Guards against connections to upstreams that use up the descriptors.
BOOST_AUTO_TEST_CASE(callsBeyondTheConnectionsWaitInTheirOrder) {
  PoolFixture it;
  it.Pool.setMaxConnections(2);
  for (CallId id = 1; id <= 5; ++id) {
    it.Pool.start(it.call(id));
  }
  const auto first = it.acceptRequest();
  const auto second = it.acceptRequest();
  it.EventLoop.runFor(20ms);
  BOOST_TEST(it.Upstream.accept() == nullptr);
  BOOST_TEST(it.Pool.connections() == 2U);
  BOOST_TEST(it.Pool.waitingCalls() == 3U);

  it.Pool.cancel(4); // It has no connection.
  BOOST_REQUIRE(it.waitForResult(4));
  BOOST_TEST((it.Results[4].Outcome == CallOutcome::NotSent));
  BOOST_TEST(it.Results[4].Cancelled);

  first->send(response("one")); // The next call reuses its connection.
  BOOST_REQUIRE(it.waitForResult(1));
  BOOST_TEST(it.EventLoop.runUntil([&] { return first->has("GET /3 "); }));
  second->close(); // The next one gets a new connection in its place.
  BOOST_REQUIRE(it.waitForResult(2));
  const auto third = it.acceptRequest();
  BOOST_TEST(third->has("GET /5 "));
  BOOST_TEST(it.Pool.connections() == 2U);
  BOOST_TEST(it.Pool.waitingCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(idleConnectionMakesWayForACallToAnotherUpstream) {
  PoolFixture it;
  const RawServer other;
  it.Pool.setMaxConnections(1);
  it.Pool.start(it.call(1));
  const auto kept = it.acceptRequest();
  kept->send(response("one"));
  BOOST_REQUIRE(it.waitForResult(1));
  Call call = it.call(2);
  call.Address = other.Address;
  it.Pool.start(std::move(call));
  BOOST_TEST(it.EventLoop.runUntil([&] {
    kept->read();
    return kept->PeerClosed;
  }));
  std::unique_ptr<RawConnection> next;
  BOOST_TEST(it.EventLoop.runUntil([&] {
    if (next == nullptr) {
      next = other.accept();
    }
    return next != nullptr && next->has("GET /2 ");
  }));
  BOOST_TEST(it.Pool.connections() == 1U);
}
