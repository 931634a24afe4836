#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

#include "Wire.h"
#include "http/ClientPool.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace pool_test {

/// A pool, and the upstream that the test plays by hand.
struct Pooled {
  Pooled()
      : Tested(Turns.Loop, [this](CallId id, CallResult result) {
          Results[id] = std::move(result);
        }) {}

  Call call(CallId id, const std::string &echo = "") const {
    Call call;
    call.Id = id;
    call.Address = Upstream.Address;
    call.Bytes = "GET /" + std::to_string(id) + " HTTP/1.1\r\nHost: u\r\n\r\n";
    call.EchoName = echo.empty() ? "" : "X-Request-Id";
    call.EchoValue = echo;
    return call;
  }

  std::unique_ptr<Wire> accept() {
    std::unique_ptr<Wire> wire;
    Turns.until([&] {
      if (!wire) {
        wire = Upstream.accept();
      }
      return wire != nullptr;
    });
    return wire;
  }

  /// The upstream's end of a new connection, with the request on it.
  std::unique_ptr<Wire> takeRequest() {
    auto wire = accept();
    Turns.until([&] { return wire->has("\r\n\r\n"); });
    return wire;
  }

  bool ended(CallId id) {
    return Turns.until([&] { return Results.contains(id); });
  }

  TestLoop Turns;
  RawServer Upstream;
  ClientPool Tested;
  std::map<CallId, CallResult> Results;
};

std::string response(const std::string &body, const std::string &id = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + "\r\n" +
         body;
}

} // namespace pool_test
using namespace pool_test;

BOOST_AUTO_TEST_CASE(aWholeResponseIsTakenAndTheConnectionKept) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  BOOST_TEST(upstream->has("GET /1 "));
  upstream->send(response("one"));
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST((it.Results[1].How == Ending::Answered));
  BOOST_TEST(it.Results[1].Response.Body == "one");
  BOOST_TEST(!it.Results[1].OnKept);
  it.Tested.start(it.call(2));
  BOOST_TEST(it.Turns.until([&] { return upstream->has("GET /2 "); }));
  upstream->send(response("two"));
  BOOST_REQUIRE(it.ended(2));
  BOOST_TEST(it.Results[2].OnKept);
  BOOST_TEST(it.Tested.connections() == 1);
}

// libcurl takes the first response that comes for the call's own.
BOOST_AUTO_TEST_CASE(aLateResponseToAnEarlierRequestIsPassedOver) {
  Pooled it;
  it.Tested.start(it.call(1, "a"));
  const auto upstream = it.takeRequest();
  upstream->send(response("a", "a"));
  BOOST_REQUIRE(it.ended(1));
  it.Tested.start(it.call(2, "b"));
  BOOST_REQUIRE(it.Turns.until([&] { return upstream->has("GET /2 "); }));
  upstream->send(response("again", "a"));
  it.Turns.runFor(20ms);
  BOOST_TEST(!it.Results.contains(2));
  upstream->send(response("b", "b"));
  BOOST_REQUIRE(it.ended(2));
  BOOST_TEST(it.Results[2].Response.Body == "b");
}

BOOST_AUTO_TEST_CASE(aStrayResponseOnARestingConnectionEndsIt) {
  Pooled it;
  it.Tested.start(it.call(1, "a"));
  const auto upstream = it.takeRequest();
  upstream->send(response("a", "a"));
  BOOST_REQUIRE(it.ended(1));
  upstream->send(response("again", "a"));
  BOOST_TEST(it.Turns.until([&] { return it.Tested.connections() == 0; }));
  it.Tested.start(it.call(2, "b"));
  const auto other = it.takeRequest();
  other->send(response("b", "b"));
  BOOST_REQUIRE(it.ended(2));
  BOOST_TEST(it.Results[2].Response.Body == "b");
}

BOOST_AUTO_TEST_CASE(bytesBehindAResponseEndTheConnection) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send(response("one") + "more");
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST(it.Results[1].Response.Body == "one");
  BOOST_TEST(it.Tested.connections() == 0);
}

BOOST_AUTO_TEST_CASE(interimResponsesAreNone) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send("HTTP/1.1 100 Continue\r\n\r\n" + response("one"));
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST(it.Results[1].Response.Status == 200);
}

namespace pool_test {

struct Fault {
  const char *What;
  std::string Bytes;
};

std::ostream &operator<<(std::ostream &out, const Fault &it) {
  return out << it.What;
}

const std::vector<Fault> Faults{
    {"nothing at all", ""},
    {"half a head", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
    {"half a chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
    {"no response", "\x01\x02garbage\r\n\r\n"}};

} // namespace pool_test
using namespace pool_test;

BOOST_DATA_TEST_CASE(whatIsNoWholeResponseIsBroken, Faults, fault) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send(fault.Bytes);
  upstream->close();
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST((it.Results[1].How == Ending::Broken));
  BOOST_TEST(it.Results[1].AnyBytes == !fault.Bytes.empty());
  BOOST_TEST(it.Tested.connections() == 0);
}

BOOST_AUTO_TEST_CASE(aResponseWithoutALengthEndsWithItsConnection) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\nall of it");
  it.Turns.runFor(20ms);
  BOOST_TEST(!it.Results.contains(1));
  upstream->close();
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST((it.Results[1].How == Ending::Answered));
  BOOST_TEST(it.Results[1].Response.Body == "all of it");
}

BOOST_AUTO_TEST_CASE(aResponseWithoutALengthThatIsResetIsBroken) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\npart");
  it.Turns.runFor(20ms);
  upstream->reset();
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST((it.Results[1].How == Ending::Broken));
}

BOOST_AUTO_TEST_CASE(anEarlyResponseEndsAConnectionWithAHalfSentRequest) {
  Pooled it;
  Call call = it.call(1);
  std::string body;
  body.resize(32'000'000, 'x');
  call.Bytes =
      "POST /1 HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  it.Tested.start(std::move(call));
  const auto upstream = it.accept();
  it.Turns.runFor(20ms);
  upstream->send(response("early"));
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST(it.Results[1].Response.Body == "early");
  BOOST_TEST(it.Tested.connections() == 0);
}

BOOST_AUTO_TEST_CASE(withoutAListenerNothingWasSent) {
  Pooled it;
  it.Upstream.stop();
  it.Tested.start(it.call(1));
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST((it.Results[1].How == Ending::NotSent));
}

BOOST_AUTO_TEST_CASE(aKeptConnectionThatItsPeerClosedIsNotUsed) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto first = it.takeRequest();
  first->send(response("one"));
  BOOST_REQUIRE(it.ended(1));
  first->close();
  it.Tested.start(it.call(2)); // Before the loop saw the end.
  const auto second = it.takeRequest();
  BOOST_TEST(second->has("GET /2 "));
  second->send(response("two"));
  BOOST_REQUIRE(it.ended(2));
  BOOST_TEST((it.Results[2].How == Ending::Answered));
}

BOOST_AUTO_TEST_CASE(aResetOfAKeptConnectionIsToldFromOthers) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send(response("one"));
  BOOST_REQUIRE(it.ended(1));
  it.Tested.start(it.call(2));
  BOOST_REQUIRE(it.Turns.until([&] { return upstream->has("GET /2 "); }));
  upstream->reset();
  BOOST_REQUIRE(it.ended(2));
  BOOST_TEST((it.Results[2].How == Ending::Broken));
  BOOST_TEST(it.Results[2].OnKept);
  BOOST_TEST(!it.Results[2].AnyBytes);
}

BOOST_AUTO_TEST_CASE(aConnectionThatRestedTooLongIsNotUsed) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto first = it.takeRequest();
  first->send(response("one"));
  BOOST_REQUIRE(it.ended(1));
  it.Turns.runFor(30ms);
  Call call = it.call(2);
  call.LongestRest = 10ms;
  it.Tested.start(std::move(call));
  const auto second = it.takeRequest();
  BOOST_TEST(second->has("GET /2 "));
}

BOOST_DATA_TEST_CASE(theTimeThatThePeerGrantsIsKept,
                     (std::vector<std::string>{"timeout=0",
                                               "timeout=0, max=5"}),
                     granted) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto first = it.takeRequest();
  first->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: " + granted +
              "\r\n\r\n");
  BOOST_REQUIRE(it.ended(1));
  it.Turns.runFor(5ms);
  it.Tested.start(it.call(2));
  BOOST_TEST(it.takeRequest()->has("GET /2 "));
}

BOOST_AUTO_TEST_CASE(aConnectionThatClosesIsNotKept) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  upstream->send(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST(it.Tested.connections() == 0);
}

BOOST_AUTO_TEST_CASE(aCancelledCallClosesItsConnection) {
  Pooled it;
  it.Tested.start(it.call(1));
  const auto upstream = it.takeRequest();
  it.Tested.cancel(1);
  BOOST_REQUIRE(it.ended(1));
  BOOST_TEST(it.Results[1].Cancelled);
  BOOST_TEST((it.Results[1].How == Ending::Broken));
  BOOST_TEST(it.Turns.until([&] {
    upstream->read();
    return upstream->Ended;
  }));
}
