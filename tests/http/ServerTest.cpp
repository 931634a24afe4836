#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include "RawConnection.h"
#include "http/Server.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace server_test {

CallerLimits smallLimits() {
  return {.MaxHeaderBytes = 1024,
          .MaxBodyBytes = 2000,
          .HeaderTimeout = 300ms,
          .IdleTimeout = 600ms};
}

/// A server whose requests the test answers itself. POST requests may not run
/// concurrently with earlier ones on their connection.
struct ServerFixture {
  ServerFixture()
      : TestedServer(EventLoop.Loop,
                     {[](const Request &it) { return it.Method != "POST"; },
                      [this](ExchangeId id, Request request) {
                        ArrivalOrder.push_back(request.Target);
                        Ids[request.Target] = id;
                        Requests[request.Target] = std::move(request);
                      },
                      [this](ExchangeId id) { Abandoned.push_back(id); }}) {
    TestedServer.setLimits(smallLimits());
    Address = listenOnFreePort(
        [&](const std::string &it) { return TestedServer.listen(it); });
  }

  std::unique_ptr<RawConnection> connect() const {
    return RawConnection::connect(Address);
  }

  bool waitForRequest(const std::string &target) {
    return EventLoop.runUntil([&] { return Ids.contains(target); });
  }

  void respond(const std::string &target, const std::string &body) {
    TestedServer.sendResponse(Ids.at(target), {200, {}, body});
  }

  TestLoop EventLoop;
  Server TestedServer;
  std::string Address;
  std::vector<std::string> ArrivalOrder;
  std::map<std::string, ExchangeId> Ids;
  std::map<std::string, Request> Requests;
  std::vector<ExchangeId> Abandoned;
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

BOOST_AUTO_TEST_CASE(requestIsDispatchedAndItsResponseSent) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(post("/a?b=c", "body"));
  BOOST_REQUIRE(it.waitForRequest("/a?b=c"));
  const Request &request = it.Requests.at("/a?b=c");
  BOOST_TEST(request.Method == "POST");
  BOOST_TEST(request.Body == "body");
  BOOST_TEST(*findHeader(request.Fields, "host") == "h");
  it.respond("/a?b=c", "done");
  BOOST_TEST(
      it.EventLoop.runUntil([&] { return caller->has("\r\n\r\ndone"); }));
  BOOST_TEST(caller->has("HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(!caller->PeerClosed);
}

// Guards against reading a pipelined request only once the one before it has
// its response, as libmicrohttpd does: callers give up on requests that are not
// read in time.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunAtTheSameTimeAndAreAnsweredInOrder) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(get("/1") + get("/2") + get("/3"));
  BOOST_REQUIRE(it.waitForRequest("/3"));
  it.respond("/3", "third");
  it.respond("/2", "second");
  it.EventLoop.runFor(50ms);
  BOOST_TEST(caller->read().empty());
  it.respond("/1", "first");
  BOOST_REQUIRE(it.EventLoop.runUntil([&] { return caller->has("third"); }));
  BOOST_TEST(caller->Bytes.find("first") < caller->Bytes.find("second"));
  BOOST_TEST(caller->Bytes.find("second") < caller->Bytes.find("third"));
}

BOOST_AUTO_TEST_CASE(requestThatMayNotRunConcurrentlyWaitsForEarlierResponses) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(get("/1") + post("/2", "x") + get("/3"));
  BOOST_REQUIRE(it.waitForRequest("/1"));
  it.EventLoop.runFor(50ms);
  BOOST_TEST(!it.Ids.contains("/2"));
  it.respond("/1", "first");
  BOOST_TEST(it.waitForRequest("/2"));
}

BOOST_AUTO_TEST_CASE(requestAfterAConnectionCloseRequestIsNotDispatched) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
               post("/2", "x"));
  BOOST_REQUIRE(it.waitForRequest("/1"));
  it.respond("/1", "first");
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    caller->read();
    return caller->PeerClosed;
  }));
  BOOST_TEST(!caller->PeerReset);
  BOOST_TEST(caller->has("Connection: close"));
  BOOST_TEST(it.ArrivalOrder.size() == 1);
}

namespace server_test {

/// Requests on one connection of a server that begins to close its connections.
struct ClosingCase {
  const char *Description;
  std::vector<std::string> ReadBefore; ///< Targets; "/p" begins those of POST.
  std::string Part;                    ///< Of a further request, sent before.
  std::vector<std::string> SentAfter;
  std::vector<std::string> AnswerOrder; ///< Of the handler.
  /// What is answered, in this order; the others must not be dispatched.
  std::vector<std::string> Expected;
};

std::ostream &operator<<(std::ostream &out, const ClosingCase &it) {
  return out << it.Description;
}

const std::vector<ClosingCase> ClosingCases{
    {"one open request", {"/1"}, "", {}, {"/1"}, {"/1"}},
    {"two under way", {"/1", "/2"}, "", {}, {"/1", "/2"}, {"/1", "/2"}},
    {"two under way, the last is answered first",
     {"/1", "/2"},
     "",
     {},
     {"/2", "/1"},
     {"/1", "/2"}},
    {"one waits for the other",
     {"/1", "/p2"},
     "",
     {},
     {"/1", "/p2"},
     {"/1", "/p2"}},
    {"all wait for the first",
     {"/1", "/p2", "/3", "/p4"},
     "",
     {},
     {"/1", "/p2", "/3", "/p4"},
     {"/1", "/p2", "/3", "/p4"}},
    {"another comes behind the open one", {"/1"}, "", {"/2"}, {"/1"}, {"/1"}},
    {"others come behind two",
     {"/1", "/p2"},
     "",
     {"/3", "/p4"},
     {"/1", "/p2"},
     {"/1", "/p2"}},
    {"the rest of another comes",
     {"/1"},
     "GET /2 HTTP/1.1\r\nHo",
     {"/2"},
     {"/1"},
     {"/1"}},
    {"the next two come on an idle connection",
     {},
     "",
     {"/1", "/2"},
     {"/1"},
     {"/1"}}};

std::string requestTo(const std::string &target) {
  return target.starts_with("/p") ? post(target, "x") : get(target);
}

} // namespace server_test

// Guards against requests that are read and passed on behind one whose response
// closes the connection, and that get no response: their caller sends them
// again, and they run twice.
BOOST_DATA_TEST_CASE(whatIsReadBeforeACloseIsAnswered, ClosingCases, row) {
  ServerFixture it;
  CallerLimits limits = smallLimits();
  limits.HeaderTimeout = limits.IdleTimeout = 20s;
  it.TestedServer.setLimits(limits);
  const auto caller = it.connect();
  std::string before;
  for (const std::string &target : row.ReadBefore) {
    before += requestTo(target);
  }
  caller->send(before + row.Part);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    return it.TestedServer.connections() == 1 &&
           it.TestedServer.openExchanges() == row.ReadBefore.size();
  }));
  it.EventLoop.runFor(20ms);
  it.TestedServer.closeAfterResponses();
  for (const std::string &target : row.SentAfter) {
    const std::string bytes = requestTo(target);
    caller->send(bytes.substr(std::min(bytes.size(), row.Part.size())));
  }
  it.EventLoop.runFor(20ms);
  for (const std::string &target : row.AnswerOrder) {
    BOOST_REQUIRE(it.waitForRequest(target));
    BOOST_TEST(it.TestedServer.openExchanges() > 0U);
    it.respond(target, "to" + target + ";");
  }
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    caller->read();
    return caller->PeerClosed;
  }));
  BOOST_TEST(!caller->PeerReset);
  BOOST_TEST((it.ArrivalOrder == row.Expected));
  BOOST_TEST(it.Abandoned.empty());
  std::size_t at = 0;
  for (const std::string &target : row.Expected) {
    at = caller->Bytes.find("to" + target + ";", at);
    BOOST_TEST(at != std::string::npos);
  }
  // Only the last response says that the connection closes.
  const std::size_t close = caller->Bytes.find("Connection: close");
  BOOST_TEST(close != std::string::npos);
  BOOST_TEST(caller->Bytes.find("HTTP/1.1", close) == std::string::npos);
  BOOST_TEST(it.TestedServer.openExchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(chunkedRequestBodyIsReassembled) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3\r\nabc\r\n");
  it.EventLoop.runFor(20ms);
  caller->send("2\r\nde\r\n0\r\n\r\n");
  BOOST_REQUIRE(it.waitForRequest("/c"));
  BOOST_TEST(it.Requests.at("/c").Body == "abcde");
}

BOOST_DATA_TEST_CASE(callerDisconnectIsReportedForEveryUnansweredRequest,
                     (std::vector<bool>{true, false}), byReset) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(get("/1") + get("/2"));
  BOOST_REQUIRE(it.waitForRequest("/2"));
  if (byReset) {
    caller->reset();
  } else {
    caller->close();
  }
  BOOST_TEST(it.EventLoop.runUntil([&] { return it.Abandoned.size() == 2; }));
  BOOST_TEST(it.TestedServer.connections() == 0);
}

namespace server_test {

struct InvalidRequest {
  const char *Description;
  std::string Bytes;
  const char *Status;
};

std::ostream &operator<<(std::ostream &out, const InvalidRequest &it) {
  return out << it.Description;
}

/// A request whose body holds the text of another one, in one chunk or bare.
std::string postWithCoding(const std::string &coding, bool isChunked,
                           const std::string &version = "HTTP/1.1") {
  const std::string inner = post("/inner", "x");
  char size[8];
  std::snprintf(size, sizeof size, "%zx", inner.size());
  return "POST / " + version + "\r\nHost: h\r\nTransfer-Encoding: " + coding +
         "\r\n\r\n" +
         (isChunked ? size + ("\r\n" + inner) + "\r\n0\r\n\r\n" : inner);
}

const std::vector<InvalidRequest> InvalidRequests{
    {"Content-Length above the body limit",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n", "413"},
    {"chunked body above the body limit",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n" +
         std::string(2001, 'x') + "\r\n0\r\n\r\n",
     "413"},
    {"header above the header limit",
     "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
     "431"},
    {"bytes that are not HTTP", "\x16\x03\x01\x02\r\n\r\n", "400"},
    {"two different Content-Length headers",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     "400"},
    {"Content-Length with Transfer-Encoding",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n"
     "\r\n0\r\n\r\n",
     "400"},
    {"coding after chunked", postWithCoding("chunked, identity", false), "400"},
    {"coding before chunked", postWithCoding("gzip, chunked", true), "400"},
    {"chunked twice", postWithCoding("chunked, chunked", true), "400"},
    {"chunked in two fields",
     postWithCoding("chunked\r\nTransfer-Encoding: chunked", true), "400"},
    {"unknown coding", postWithCoding("xchunked", false), "400"},
    {"identity", postWithCoding("identity", false), "400"},
    {"empty coding", postWithCoding("", false), "400"},
    {"coding in quotes", postWithCoding("\"chunked\"", false), "400"},
    {"parameter of chunked", postWithCoding("chunked;a=b", true), "400"},
    {"unknown coding beside a Content-Length",
     postWithCoding("xchunked\r\nContent-Length: 1", false), "400"},
    {"chunked before HTTP/1.1", postWithCoding("chunked", true, "HTTP/1.0"),
     "400"},
    {"incomplete header", "GET / HTTP/1.1\r\nHost: h\r\n", "408"},
    {"incomplete body",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", "408"}};

} // namespace server_test
using namespace server_test;

BOOST_DATA_TEST_CASE(invalidRequestsAreRejectedAndTheConnectionClosed,
                     InvalidRequests, invalid) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(invalid.Bytes);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    caller->read();
    return caller->PeerClosed;
  }));
  BOOST_TEST(caller->Bytes.starts_with(std::string("HTTP/1.1 ") +
                                       invalid.Status + " "),
             caller->Bytes);
  BOOST_TEST(it.ArrivalOrder.empty());
  BOOST_TEST(!caller->PeerReset);
}

BOOST_DATA_TEST_CASE(chunkedBodyIsReadHoweverItsCodingIsWritten,
                     (std::vector<std::string>{"chunked", "Chunked",
                                               " \t CHUNKED \t "}),
                     coding) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(postWithCoding(coding, true));
  BOOST_REQUIRE(it.waitForRequest("/"));
  BOOST_TEST(it.Requests.at("/").Body == post("/inner", "x"));
  BOOST_TEST(it.ArrivalOrder.size() == 1U);
}

// Guards against a caller whose requests keep the others waiting: two send many
// behind one another at the same time as one sends a single one.
BOOST_AUTO_TEST_CASE(connectionsTakeTurns) {
  constexpr unsigned turn = 8; // See MaxRequestsPerTurn.
  TestLoop eventLoop;
  std::vector<std::string> order;
  std::unique_ptr<Server> server;
  server = std::make_unique<Server>(
      eventLoop.Loop, ServerHandlers{[](const Request &) { return true; },
                                     [&](ExchangeId id, const Request &it) {
                                       order.push_back(it.Target);
                                       server->sendResponse(id, {200, {}, ""});
                                     },
                                     [](ExchangeId) {}});
  const std::string address =
      listenOnFreePort([&](const auto &it) { return server->listen(it); });
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (unsigned n = 0; n < 3; ++n) {
    callers.push_back(RawConnection::connect(address));
  }
  BOOST_REQUIRE(eventLoop.runUntil([&] { return server->connections() == 3; }));
  std::string many;
  for (unsigned n = 0; n < 500; ++n) {
    many += get("/many");
  }
  callers[0]->trySend(many);
  callers[1]->trySend(get("/one"));
  callers[2]->trySend(many);
  BOOST_REQUIRE(eventLoop.runUntil([&] { return order.size() >= 1001; }));
  const auto position =
      std::find(order.begin(), order.end(), "/one") - order.begin();
  BOOST_TEST(position <= 2 * 2 * turn);
}

BOOST_AUTO_TEST_CASE(errorResponseIsSentAfterEarlierResponses) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(get("/1") + "nonsense\r\n\r\n");
  BOOST_REQUIRE(it.waitForRequest("/1"));
  it.EventLoop.runFor(20ms);
  BOOST_TEST(caller->read().empty());
  it.respond("/1", "first");
  BOOST_TEST(
      it.EventLoop.runUntil([&] { return caller->has("HTTP/1.1 400"); }));
  BOOST_TEST(caller->has("first"));
}

BOOST_AUTO_TEST_CASE(idleConnectionIsClosedButNotOneAwaitingAResponse) {
  ServerFixture it;
  const auto idle = it.connect();
  const auto waiting = it.connect();
  waiting->send(get("/1"));
  BOOST_REQUIRE(it.waitForRequest("/1"));
  BOOST_TEST(it.EventLoop.runUntil([&] {
    idle->read();
    return idle->PeerClosed;
  }));
  it.EventLoop.runFor(700ms);
  waiting->read();
  BOOST_TEST(!waiting->PeerClosed);
  it.respond("/1", "late");
  BOOST_TEST(it.EventLoop.runUntil([&] { return waiting->has("late"); }));
}

BOOST_AUTO_TEST_CASE(headResponseKeepsContentLengthWithoutTheBody) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(it.waitForRequest("/h"));
  it.respond("/h", "12345");
  BOOST_TEST(it.EventLoop.runUntil([&] { return caller->has("\r\n\r\n"); }));
  BOOST_TEST(caller->has("Content-Length: 5"));
  BOOST_TEST(!caller->has("12345"));
}

BOOST_AUTO_TEST_CASE(slowReaderReceivesTheWholeResponse) {
  ServerFixture it;
  const auto caller = it.connect();
  caller->send(get("/big"));
  BOOST_REQUIRE(it.waitForRequest("/big"));
  const std::string body(8'000'000, 'b');
  it.respond("/big", body);
  it.EventLoop.runFor(50ms);
  BOOST_TEST(it.TestedServer.openExchanges() == 1);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return caller->read().size() > body.size(); }));
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.TestedServer.openExchanges() == 0; }));
}

BOOST_AUTO_TEST_CASE(closeIdleLeavesBusyConnectionsOpen) {
  ServerFixture it;
  const auto idle = it.connect();
  const auto busy = it.connect();
  busy->send(get("/1"));
  BOOST_REQUIRE(it.waitForRequest("/1"));
  it.TestedServer.stopListening();
  it.TestedServer.closeIdle();
  BOOST_TEST(it.EventLoop.runUntil([&] {
    idle->read();
    return idle->PeerClosed;
  }));
  it.respond("/1", "whole");
  BOOST_TEST(it.EventLoop.runUntil([&] { return busy->has("whole"); }));
  BOOST_TEST(it.connect() == nullptr);
}

// The configured limit of the head is above the bytes that are buffered by
// default.
BOOST_AUTO_TEST_CASE(headsUpToALargeLimitAreRead) {
  ServerFixture it;
  CallerLimits limits = smallLimits();
  limits.MaxHeaderBytes = std::size_t{200} << 10;
  limits.HeaderTimeout = 5s;
  it.TestedServer.setLimits(limits);
  const auto caller = it.connect();
  std::string request = "GET /large HTTP/1.1\r\nHost: h\r\n";
  for (unsigned n = 0; n < 3; ++n) {
    request += "X-Long: " + std::string(std::size_t{50} << 10, 'x') + "\r\n";
  }
  request += "\r\n";
  std::size_t sent = 0;
  const bool arrived = it.EventLoop.runUntil([&] {
    constexpr std::size_t part = 4096;
    if (sent < request.size()) {
      caller->send(request.substr(sent, part));
      sent += part;
    }
    return it.Ids.contains("/large");
  });
  BOOST_TEST(arrived);
}

// Guards against discarding a closing connection's bytes for as long as they
// arrive, which keeps the loop from all else.
BOOST_AUTO_TEST_CASE(bytesAfterAClosingResponseAreReadInBoundedTurns) {
  ServerFixture it;
  const auto caller = it.connect();
  const std::string part(std::size_t{64} << 10, 'x');
  caller->send("nonsense\r\n\r\n");
  BOOST_REQUIRE(
      it.EventLoop.runUntil([&] { return caller->has("HTTP/1.1 400"); }));
  BOOST_REQUIRE(caller->sendWhilePossible(part) > 4 * part.size());
  it.EventLoop.runOnce();
  // The receive buffer may also have grown.
  BOOST_TEST(caller->sendWhilePossible(part) < 16 * part.size());
  BOOST_TEST(it.TestedServer.connections() == 1);
}

// Guards against a head that the parser takes field by field, without a limit.
BOOST_AUTO_TEST_CASE(headThatArrivesFieldByFieldIsLimited) {
  ServerFixture it;
  CallerLimits limits = smallLimits();
  limits.HeaderTimeout = 5s;
  it.TestedServer.setLimits(limits);
  const auto caller = it.connect();
  caller->send("GET / HTTP/1.1\r\nX");
  for (unsigned n = 0; n < 100 && !caller->has("HTTP/1.1 "); ++n) {
    caller->send(": " + std::string(100, 'v') + "\r\nX");
    it.EventLoop.runOnce();
  }
  BOOST_TEST(caller->has("HTTP/1.1 431"));
}

namespace server_test {

/// Requests of a caller that leaves before it has a response.
struct LeavingCase {
  unsigned Requests;
  bool LastIsWhole;
  bool Resets; ///< Instead of closing.
};

std::ostream &operator<<(std::ostream &out, const LeavingCase &it) {
  return out << it.Requests << " requests"
             << (it.LastIsWhole ? "" : " and a part")
             << (it.Resets ? ", reset" : ", closed");
}

const std::vector<LeavingCase> LeavingCases{
    {1, true, false},  {1, false, false},  {2, true, false},  {2, false, false},
    {2, false, true},  {31, true, false},  {31, false, true}, {32, true, false},
    {33, true, false}, {33, false, false}, {40, true, true},  {64, true, false},
    {64, false, true}};

} // namespace server_test

// Guards against a connection that is used after its end: the handler for its
// first abandoned request answered the others.
BOOST_DATA_TEST_CASE(responsesDuringTheEndOfAConnectionAreIgnored, LeavingCases,
                     row) {
  constexpr std::size_t mostDispatched = 32;
  TestLoop loop;
  std::vector<ExchangeId> dispatched;
  std::vector<ExchangeId> abandoned;
  Server *tested = nullptr;
  Server server(loop.Loop, {[](const Request &) { return true; },
                            [&](ExchangeId id, const Request &) {
                              dispatched.push_back(id);
                            },
                            [&](ExchangeId id) {
                              abandoned.push_back(id);
                              for (const ExchangeId it : dispatched) {
                                tested->sendResponse(it, {503, {}, {}});
                              }
                            }});
  tested = &server;
  const auto caller = RawConnection::connect(listenOnFreePort(
      [&](const std::string &it) { return server.listen(it); }));
  std::string bytes;
  for (unsigned n = 0; n < row.Requests; ++n) {
    bytes += get("/" + std::to_string(n));
  }
  bytes += row.LastIsWhole ? "" : "GET /part HTTP/1.1\r\nHo";
  caller->send(bytes);
  const std::size_t expected =
      std::min<std::size_t>(row.Requests, mostDispatched);
  BOOST_REQUIRE(loop.runUntil([&] { return dispatched.size() == expected; }));
  if (row.Resets) {
    caller->reset();
  } else {
    caller->close();
  }
  BOOST_REQUIRE(loop.runUntil([&] { return server.connections() == 0; }));
  loop.runFor(20ms);
  BOOST_TEST((abandoned == dispatched));
  BOOST_TEST(server.openExchanges() == 0U);
}
