#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

#include "Wire.h"
#include "http/Server.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace server_test {

CallerLimits smallLimits() {
  return {.HeadBytes = 1024,
          .BodyBytes = 2000,
          .HeadTime = 300ms,
          .IdleTime = 600ms};
}

/// A server whose requests the test answers by hand. POST may not overtake.
struct Served {
  Served()
      : Tested(Turns.Loop,
               {[](const Request &it) { return it.Method != "POST"; },
                [this](ExchangeId id, Request request) {
                  Order.push_back(request.Target);
                  Ids[request.Target] = id;
                  Requests[request.Target] = std::move(request);
                },
                [this](ExchangeId id) { Gone.push_back(id); }}) {
    Tested.setLimits(smallLimits());
    Address = listenSomewhere(
        [&](const std::string &it) { return Tested.listen(it); });
  }

  std::unique_ptr<Wire> connect() const { return Wire::connect(Address); }

  bool arrived(const std::string &target) {
    return Turns.until([&] { return Ids.contains(target); });
  }

  void answer(const std::string &target, const std::string &body) {
    Tested.answer(Ids.at(target), {200, {}, body});
  }

  TestLoop Turns;
  Server Tested;
  std::string Address;
  std::vector<std::string> Order;
  std::map<std::string, ExchangeId> Ids;
  std::map<std::string, Request> Requests;
  std::vector<ExchangeId> Gone;
};

std::string get(const std::string &target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string post(const std::string &target, const std::string &body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace server_test
using namespace server_test;

BOOST_AUTO_TEST_CASE(aRequestIsHandedOnAndAnswered) {
  Served it;
  const auto caller = it.connect();
  caller->send(post("/a?b=c", "body"));
  BOOST_REQUIRE(it.arrived("/a?b=c"));
  const Request &request = it.Requests.at("/a?b=c");
  BOOST_TEST(request.Method == "POST");
  BOOST_TEST(request.Body == "body");
  BOOST_TEST(*findHeader(request.Fields, "host") == "h");
  it.answer("/a?b=c", "done");
  BOOST_TEST(it.Turns.until([&] { return caller->has("\r\n\r\ndone"); }));
  BOOST_TEST(caller->has("HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(!caller->Ended);
}

// libmicrohttpd reads a request only once the one before it on its connection
// was answered, and callers give up on those that are not read in time.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunAtTheSameTimeAndAreAnsweredInOrder) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/1") + get("/2") + get("/3"));
  BOOST_REQUIRE(it.arrived("/3"));
  it.answer("/3", "third");
  it.answer("/2", "second");
  it.Turns.runFor(50ms);
  BOOST_TEST(caller->read().empty());
  it.answer("/1", "first");
  BOOST_REQUIRE(it.Turns.until([&] { return caller->has("third"); }));
  BOOST_TEST(caller->Bytes.find("first") < caller->Bytes.find("second"));
  BOOST_TEST(caller->Bytes.find("second") < caller->Bytes.find("third"));
}

BOOST_AUTO_TEST_CASE(whatRunsOnceWaitsForThoseBeforeIt) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/1") + post("/2", "x") + get("/3"));
  BOOST_REQUIRE(it.arrived("/1"));
  it.Turns.runFor(50ms);
  BOOST_TEST(!it.Ids.contains("/2"));
  it.answer("/1", "first");
  BOOST_TEST(it.arrived("/2"));
}

BOOST_AUTO_TEST_CASE(whatStandsBehindAClosingResponseIsNotRead) {
  Served it;
  const auto caller = it.connect();
  caller->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
               post("/2", "x"));
  BOOST_REQUIRE(it.arrived("/1"));
  it.answer("/1", "first");
  BOOST_REQUIRE(it.Turns.until([&] {
    caller->read();
    return caller->Ended;
  }));
  BOOST_TEST(!caller->Reset);
  BOOST_TEST(caller->has("Connection: close"));
  BOOST_TEST(it.Order.size() == 1);
}

BOOST_AUTO_TEST_CASE(oncesBehindAResponseThatClosesAreGivenUp) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/1") + get("/2"));
  BOOST_REQUIRE(it.arrived("/2"));
  it.Tested.closeAfterAnswers();
  it.answer("/1", "first");
  BOOST_TEST(it.Turns.until([&] { return it.Gone.size() == 1; }));
  BOOST_TEST(it.Gone.front() == it.Ids.at("/2"));
  it.answer("/2", "second"); // Nobody waits for it.
  it.Turns.runFor(20ms);
  BOOST_TEST(!caller->has("second"));
}

BOOST_AUTO_TEST_CASE(chunksAreTakenTogether) {
  Served it;
  const auto caller = it.connect();
  caller->send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3\r\nabc\r\n");
  it.Turns.runFor(20ms);
  caller->send("2\r\nde\r\n0\r\n\r\n");
  BOOST_REQUIRE(it.arrived("/c"));
  BOOST_TEST(it.Requests.at("/c").Body == "abcde");
}

BOOST_DATA_TEST_CASE(aCallerThatClosesIsNoticedAtOnce,
                     (std::vector<bool>{true, false}), byReset) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/1") + get("/2"));
  BOOST_REQUIRE(it.arrived("/2"));
  if (byReset) {
    caller->reset();
  } else {
    caller->close();
  }
  BOOST_TEST(it.Turns.until([&] { return it.Gone.size() == 2; }));
  BOOST_TEST(it.Tested.connections() == 0);
}

namespace server_test {

struct Refusal {
  const char *What;
  std::string Bytes;
  const char *Status;
};

std::ostream &operator<<(std::ostream &out, const Refusal &it) {
  return out << it.What;
}

const std::vector<Refusal> Refusals{
    {"a body that is announced too large",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n", "413"},
    {"chunks that become too large",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n" +
         std::string(2001, 'x') + "\r\n0\r\n\r\n",
     "413"},
    {"a head that is too large",
     "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
     "431"},
    {"bytes that begin no request", "\x16\x03\x01\x02\r\n\r\n", "400"},
    {"two lengths that differ",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     "400"},
    {"a length beside a coding",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n"
     "\r\n0\r\n\r\n",
     "400"},
    {"a head that never ends", "GET / HTTP/1.1\r\nHost: h\r\n", "408"},
    {"a body that never ends",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", "408"}};

} // namespace server_test
using namespace server_test;

BOOST_DATA_TEST_CASE(whatIsNoProperRequestIsRefusedAndTheConnectionEnds,
                     Refusals, refusal) {
  Served it;
  const auto caller = it.connect();
  caller->send(refusal.Bytes);
  BOOST_REQUIRE(it.Turns.until([&] {
    caller->read();
    return caller->Ended;
  }));
  BOOST_TEST(caller->Bytes.starts_with(std::string("HTTP/1.1 ") +
                                       refusal.Status + " "),
             caller->Bytes);
  BOOST_TEST(it.Order.empty());
  BOOST_TEST(!caller->Reset);
}

BOOST_AUTO_TEST_CASE(aRefusalComesBehindTheAnswersBeforeIt) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/1") + "nonsense\r\n\r\n");
  BOOST_REQUIRE(it.arrived("/1"));
  it.Turns.runFor(20ms);
  BOOST_TEST(caller->read().empty());
  it.answer("/1", "first");
  BOOST_TEST(it.Turns.until([&] { return caller->has("HTTP/1.1 400"); }));
  BOOST_TEST(caller->has("first"));
}

BOOST_AUTO_TEST_CASE(aQuietConnectionIsClosedAndOneThatWaitsIsNot) {
  Served it;
  const auto quiet = it.connect();
  const auto waits = it.connect();
  waits->send(get("/1"));
  BOOST_REQUIRE(it.arrived("/1"));
  BOOST_TEST(it.Turns.until([&] {
    quiet->read();
    return quiet->Ended;
  }));
  it.Turns.runFor(700ms);
  waits->read();
  BOOST_TEST(!waits->Ended);
  it.answer("/1", "late");
  BOOST_TEST(it.Turns.until([&] { return waits->has("late"); }));
}

BOOST_AUTO_TEST_CASE(theHeadOfAnAnswerAloneKeepsItsLength) {
  Served it;
  const auto caller = it.connect();
  caller->send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(it.arrived("/h"));
  it.answer("/h", "12345");
  BOOST_TEST(it.Turns.until([&] { return caller->has("\r\n\r\n"); }));
  BOOST_TEST(caller->has("Content-Length: 5"));
  BOOST_TEST(!caller->has("12345"));
}

BOOST_AUTO_TEST_CASE(aSlowReaderGetsTheWholeAnswer) {
  Served it;
  const auto caller = it.connect();
  caller->send(get("/big"));
  BOOST_REQUIRE(it.arrived("/big"));
  const std::string body(8'000'000, 'b');
  it.answer("/big", body);
  it.Turns.runFor(50ms);
  BOOST_TEST(it.Tested.openExchanges() == 1);
  BOOST_TEST(
      it.Turns.until([&] { return caller->read().size() > body.size(); }));
  BOOST_TEST(it.Turns.until([&] { return it.Tested.openExchanges() == 0; }));
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedOnRequestAndOthersGoOn) {
  Served it;
  const auto idle = it.connect();
  const auto busy = it.connect();
  busy->send(get("/1"));
  BOOST_REQUIRE(it.arrived("/1"));
  it.Tested.stopListening();
  it.Tested.closeIdle();
  BOOST_TEST(it.Turns.until([&] {
    idle->read();
    return idle->Ended;
  }));
  it.answer("/1", "whole");
  BOOST_TEST(it.Turns.until([&] { return busy->has("whole"); }));
  BOOST_TEST(it.connect() == nullptr);
}
