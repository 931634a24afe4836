#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Instanced.h"

using namespace zinniarail;
using namespace zinniarail::gateway;

BOOST_AUTO_TEST_CASE(aRequestGoesToAnUpstreamAndItsAnswerBack) {
  std::string seen;
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int n) {
    seen = it;
    return echoWhole(it, n);
  });
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const std::string answer = gateway.ask(
      get("/s/x?q=1", "X-Request-Id: mine\r\nX-Deadline-Ms: 5000\r\n"
                      "Connection: X-Secret\r\nX-Secret: 1\r\n"));
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.ends_with("\r\n\r\nhello"));
  BOOST_TEST(fieldOf(answer, "X-Request-Id") == "mine");
  BOOST_TEST(fieldOf(answer, "X-Attempt-Id").empty());
  BOOST_TEST(seen.starts_with("GET /s/x?q=1 HTTP/1.1\r\n"));
  BOOST_TEST(fieldOf(seen, "X-Secret").empty());
  BOOST_TEST(std::stoi(fieldOf(seen, "X-Deadline-Ms")) <= 5000);
}

namespace {

struct Refused {
  std::string Request;
  int Status;
  std::string Reason;
};

std::ostream &operator<<(std::ostream &out, const Refused &it) {
  return out << it.Status << ' ' << it.Reason;
}

const std::vector<Refused> Refusals{
    {get("/none/x"), 404, "unknown-service"},
    {get("/"), 404, "unknown-service"},
    {get("/.zinniarail/nothing"), 404, "unknown-service"},
    {get("/.zinniarail/resolve?service=none"), 404, "unknown-service"},
    {get("/s/x", "X-Deadline-Ms: soon\r\n"), 400, "malformed"},
    {get("/s/x", "X-Deadline-Ms: 0\r\n"), 504, "deadline-passed"},
    {get("/s/x", "X-Request-Id: " + std::string(129, 'i') + "\r\n"), 400,
     "malformed"},
    {postWith("Idempotency-Key: " + std::string(129, 'k') + "\r\n", ""), 400,
     "malformed"},
    {postWith("", "order"), 400, "key-missing"},
    {"POST /bare/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 400,
     "key-missing"},
    {"POST /s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 8388609\r\n\r\n", 413,
     "body-too-large"},
};

} // namespace

BOOST_DATA_TEST_CASE(arefusalSaysThatItDidNotRun, Refusals, it) {
  FakeUpstream upstream(testAddress(1), &echoWhole);
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const std::string answer = gateway.ask(it.Request);
  BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(it.Status)));
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Reason") == it.Reason);
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Outcome") == "did-not-run");
  BOOST_TEST(upstream.requests() == 0);
}

BOOST_AUTO_TEST_CASE(withoutAViewNothingRuns) {
  Instanced gateway(10);
  const std::string answer = gateway.ask(get("/s/x"));
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Reason") == "view-expired");
  BOOST_TEST(fieldOf(answer, "Retry-After") == "1");
}

BOOST_AUTO_TEST_CASE(aNonIdempotentRequestThatBreaksIsNotSentAgain) {
  FakeUpstream one(testAddress(1), [](const std::string &, int) {
    return Reply{"", true};
  });
  FakeUpstream two(testAddress(2), [](const std::string &, int) {
    return Reply{"", true};
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {one.address(), two.address()})});
  const std::string answer =
      gateway.ask(postWith("Idempotency-Key: k\r\n", "order"));
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Outcome") == "unknown");
  BOOST_TEST(one.requests() + two.requests() == 1);
}

BOOST_AUTO_TEST_CASE(resolveNamesNoLeavingInstanceAndNoDomainThatIsOut) {
  Instanced gateway(10);
  Instance leaving{.Id = "l", .Domain = "a", .CallerAddress = "127.0.0.1:1"};
  leaving.Leaving = true;
  const Instance out{
      .Id = "o", .Domain = "out", .CallerAddress = "127.0.0.1:2"};
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self(), leaving, out}, {})});
  const std::string answer = gateway.ask(get("/.zinniarail/resolve?service=s"));
  const auto body =
      boost::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  BOOST_TEST(body.at("keepMs").as_int64() == 100);
  BOOST_REQUIRE(body.at("addresses").as_array().size() == 1u);
  BOOST_TEST(body.at("addresses").at(0).at("address").as_string() ==
             gateway.Options.CallerAddress);
}

namespace {

/// A view of three instances in which the first is no home, for its failure
/// domain is out, one home is \p home and the other cannot be reached.
std::shared_ptr<View> makeViewFrom(Instance self, const Instance &home) {
  const std::string host = testAddress(12);
  self.Domain = "out";
  const Instance gone{.Id = "gone",
                      .Domain = "a",
                      .CallerAddress =
                          host + ":" + std::to_string(freePort(host))};
  return makeView({self, home, gone}, {}, 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(aRequestIsHandedToAHomeThatCanBeReached) {
  FakeUpstream upstream(testAddress(1), &echoWhole);
  Instanced one(10);
  Instanced two(11);
  one.Task.inbox().post(ViewChanged{makeViewFrom(one.self(), two.self())});
  two.Task.inbox().post(
      ViewChanged{makeView({two.self()}, {upstream.address()})});
  for (int n = 0; n < 4; ++n) {
    const std::string answer = one.ask(get("/s/x", "X-Request-Id: mine\r\n"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
    BOOST_TEST(fieldOf(answer, "X-Request-Id") == "mine");
    BOOST_TEST(fieldOf(answer, "X-Attempt-Id").empty());
  }
  BOOST_TEST(upstream.requests() == 4);
}

BOOST_AUTO_TEST_CASE(aForwardedRequestIsNotForwardedAgain) {
  FakeUpstream upstream(testAddress(1), &echoWhole);
  Instanced one(10);
  Instanced two(11);
  // Each takes the other for the home.
  one.Task.inbox().post(ViewChanged{makeViewFrom(one.self(), two.self())});
  two.Task.inbox().post(ViewChanged{makeViewFrom(two.self(), one.self())});
  const std::string answer = one.ask(get("/s/x"));
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Reason") == "no-upstream");
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Outcome") == "did-not-run");
}

BOOST_AUTO_TEST_CASE(aBrokenForwardIsNotSentAgain) {
  FakeUpstream home(testAddress(11), [](const std::string &, int) {
    return Reply{"", true};
  });
  Instanced one(10);
  const Instance two{
      .Id = "i11", .Domain = "a", .CallerAddress = home.address()};
  one.Task.inbox().post(ViewChanged{makeViewFrom(one.self(), two)});
  const std::string answer =
      one.ask(postWith("Idempotency-Key: k\r\n", "order"));
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
  BOOST_TEST(fieldOf(answer, "X-Zinniarail-Outcome") == "unknown");
  BOOST_TEST(home.requests() == 1);
}

// The views of instances change one after the other.
BOOST_AUTO_TEST_CASE(aReadThatAHomeNoLongerTakesGoesToTheNext) {
  FakeUpstream upstream(testAddress(1), &echoWhole);
  Instanced one(10);
  Instanced former(11);
  Instanced home(12);
  Instance self = one.self();
  self.Domain = "out";
  one.Task.inbox().post(
      ViewChanged{makeView({self, former.self(), home.self()}, {}, 2)});
  former.Task.inbox().post(
      ViewChanged{makeViewFrom(former.self(), home.self())});
  home.Task.inbox().post(
      ViewChanged{makeView({home.self()}, {upstream.address()})});
  for (int n = 0; n < 4; ++n) {
    const std::string answer = one.ask(get("/s/x"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  }
  BOOST_TEST(upstream.requests() == 4);
}

BOOST_AUTO_TEST_CASE(aReadThatWaitsAtAHomeThatChangesGoesToTheNext) {
  std::atomic<bool> go{false};
  FakeUpstream busy(testAddress(1), [&](const std::string &it, int n) {
    while (!go) {
      std::this_thread::yield();
    }
    return echoWhole(it, n);
  });
  FakeUpstream upstream(testAddress(2), &echoWhole);
  Instanced one(10);
  Instanced two(11);
  auto view = makeView({one.self()}, {busy.address()});
  one.Task.inbox().post(ViewChanged{view});
  two.Task.inbox().post(
      ViewChanged{makeView({two.self()}, {upstream.address()})});
  const int running = one.connect();
  sendAll(running, get("/s/x"));
  while (busy.requests() == 0) { // One at a time, as it starts cold.
    std::this_thread::yield();
  }
  const int waiting = one.connect();
  sendAll(waiting, get("/s/x"));
  while (one.dump().at("openRequests").to_number<int>() != 2) {
    std::this_thread::yield();
  }
  one.Task.inbox().post(ViewChanged{makeViewFrom(one.self(), two.self())});
  const std::string answer = receiveMessage(waiting);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  go = true;
  BOOST_TEST(receiveMessage(running).starts_with("HTTP/1.1 200"));
  close(waiting);
  close(running);
}

BOOST_AUTO_TEST_CASE(aGracefulStopCutsOffNoRequest) {
  HeldUpstream upstream(testAddress(1));
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const int running = gateway.connect();
  const int idle = gateway.connect();
  sendAll(running, get("/s/x"));
  upstream.awaitRequest();
  gateway.Task.inbox().post(StopWanted{});
  while (!gateway.Task.status().Stopping) {
    std::this_thread::yield();
  }
  sendAll(idle, get("/s/x"));
  upstream.release();
  for (const int fd : {running, idle}) {
    const std::string answer = receiveMessage(fd);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(fieldOf(answer, "Connection") == "close");
    close(fd);
  }
  BOOST_TEST((gateway.Ended.get() == ExitCode::Done));
}
