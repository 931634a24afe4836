#include <future>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeUpstream.h"
#include "zinniarail/gateway/Gateway.h"

using namespace zinniarail;
using namespace zinniarail::gateway;

namespace {

std::uint16_t freePort(const std::string &host) {
  std::uint16_t port = 0;
  close(listenAt(host, port));
  return port;
}

Settings makeSettings(unsigned low) {
  Settings settings;
  settings.InstanceId = "i" + std::to_string(low);
  settings.FailureDomain = "a";
  settings.CallerAddress =
      testAddress(low) + ":" + std::to_string(freePort(testAddress(low)));
  settings.PeerTimeout = std::chrono::milliseconds{100};
  settings.StopTimeout = std::chrono::seconds{20};
  settings.Seed = 7;
  return settings;
}

/// A gateway on a thread of its own. Claims are granted at once.
struct Instanced {
  Settings Options;
  prometheus::Registry Registry;
  GatewayTask Task;
  std::future<ExitCode> Ended;

  explicit Instanced(unsigned low)
      : Options(makeSettings(low)),
        Task(Options,
             {[](const control::Message &) {},
              [this](const peers::Message &it) { answerPeers(it); }},
             Registry) {
    BOOST_REQUIRE(Task.open());
    Ended = std::async(std::launch::async, [this] { return Task.run(); });
  }

  ~Instanced() {
    if (Ended.valid()) {
      stop();
    }
  }

  ExitCode stop() {
    Task.inbox().post(StopWanted{});
    return Ended.get();
  }

  void answerPeers(const peers::Message &message) {
    if (const auto *it = std::get_if<peers::ClaimWanted>(&message)) {
      Task.inbox().post(
          ClaimAnswer{it->Service, {it->Request, ClaimVerdict::Granted}});
    } else if (std::holds_alternative<peers::StopBegun>(message)) {
      Task.inbox().post(ClaimsHandedOver{});
    }
  }

  Instance self() const {
    return {.Id = Options.InstanceId,
            .Domain = "a",
            .CallerAddress = Options.CallerAddress};
  }

  int connect() const {
    const SocketAddress it = parseAddress(Options.CallerAddress);
    return connectTo(it.Host, it.Port);
  }

  std::string ask(const std::string &request) const {
    const int fd = connect();
    sendAll(fd, request);
    std::string answer = receiveMessage(fd);
    close(fd);
    return answer;
  }

  boost::json::object dump() {
    std::promise<boost::json::object> promise;
    Task.inbox().post(DumpWanted{
        [&](boost::json::object it) { promise.set_value(std::move(it)); }});
    return promise.get_future().get();
  }
};

std::shared_ptr<View> makeView(const std::vector<Instance> &instances,
                               const std::vector<std::string> &upstreams,
                               unsigned homes = 3) {
  auto document = std::make_shared<Document>();
  document->Environment = "trial";
  document->ResolveLifetime = std::chrono::milliseconds{100};
  document->Domains = {{"a", "r", true}, {"out", "r", false}};
  ServiceSpec service;
  service.Name = "s";
  service.Homes = homes;
  service.HedgeShare = 0;
  service.ProbesPerSecond = 0;
  service.Classes = {{.Name = "print",
                      .Method = "POST",
                      .Idempotent = false,
                      .Deadline = std::chrono::seconds{10}},
                     {.Name = "read", .Deadline = std::chrono::seconds{10}}};
  for (const std::string &it : upstreams) {
    const SocketAddress address = parseAddress(it);
    service.Upstreams.push_back({.Id = it,
                                 .Address = address.Host,
                                 .Port = address.Port,
                                 .Domain = "a"});
  }
  ServiceSpec bare = service; // Its requests match no class.
  bare.Name = "bare";
  bare.Classes.clear();
  document->Services = {service, bare};
  auto view = std::make_shared<View>();
  view->Intent = document;
  view->Version = 3;
  view->Instances = instances;
  view->ValidUntil = readClock() + std::chrono::hours{1};
  return view;
}

std::string get(const std::string &target, const std::string &fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

std::string postWith(const std::string &fields, const std::string &body) {
  return "POST /s/print HTTP/1.1\r\nHost: x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Reply echoWhole(const std::string &request, int) {
  return {wholeAnswer(request)};
}

} // namespace

BOOST_AUTO_TEST_CASE(aRequestGoesToAnUpstreamAndItsAnswerBack) {
  std::string seen;
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int n) {
    seen = it;
    return echoWhole(it, n);
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
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
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
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

BOOST_AUTO_TEST_CASE(aChunkedRequestArrivesWhole) {
  const std::string body(1U << 20U, 'b');
  std::size_t seen = 0;
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int) {
    seen = it.size() - it.find("\r\n\r\n") - 4;
    return Reply{wholeAnswer(it, body)};
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
  const std::string answer =
      gateway.ask("POST /s/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: "
                  "k\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" +
                  body + "\r\n0\r\n\r\n");
  BOOST_TEST(answer.ends_with("\r\n\r\n" + body));
  BOOST_TEST(seen == body.size());
}

BOOST_AUTO_TEST_CASE(aHalfClosedCallerIsServed) {
  std::atomic<bool> go{false};
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int n) {
    while (!go) {
      std::this_thread::yield();
    }
    return echoWhole(it, n);
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
  const int fd = gateway.connect();
  sendAll(fd, get("/s/x"));
  shutdown(fd, SHUT_WR);
  while (upstream.requests() == 0) {
    std::this_thread::yield();
  }
  // The interim answer shows that the end of the stream was seen.
  std::string answer = receiveMessage(fd);
  BOOST_TEST(answer == "HTTP/1.1 102 Processing\r\n\r\n");
  go = true;
  answer = receiveMessage(fd);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.ends_with("hello"));
  close(fd);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesFreesItsUpstream) {
  std::atomic<bool> go{false};
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int n) {
    while (!go && n == 1) {
      std::this_thread::yield();
    }
    return echoWhole(it, n);
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
  const int fd = gateway.connect();
  sendAll(fd, get("/s/x"));
  while (upstream.requests() == 0) {
    std::this_thread::yield();
  }
  close(fd);
  while (gateway.dump().at("openRequests").to_number<int>() != 0) {
    std::this_thread::yield();
  }
  go = true;
  BOOST_TEST(gateway.ask(get("/s/x")).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(aGracefulStopCutsOffNoRequest) {
  std::atomic<bool> go{false};
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int n) {
    while (!go) {
      std::this_thread::yield();
    }
    return echoWhole(it, n);
  });
  Instanced gateway(10);
  gateway.Task.inbox().post(
      ViewChanged{makeView({gateway.self()}, {upstream.address()})});
  const int running = gateway.connect();
  const int idle = gateway.connect();
  sendAll(running, get("/s/x"));
  while (upstream.requests() == 0) {
    std::this_thread::yield();
  }
  gateway.Task.inbox().post(StopWanted{});
  while (!gateway.Task.status().Stopping) {
    std::this_thread::yield();
  }
  sendAll(idle, get("/s/x"));
  go = true;
  for (const int fd : {running, idle}) {
    const std::string answer = receiveMessage(fd);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(fieldOf(answer, "Connection") == "close");
    close(fd);
  }
  BOOST_TEST((gateway.Ended.get() == ExitCode::Done));
}
