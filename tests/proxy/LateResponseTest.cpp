// Upstreams that send a response once more where the next one is expected.
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>

#include "../http/RawConnection.h"
#include "platform/Platform.h"
#include "proxy/Proxy.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr unsigned MaxAttempts = 3;

/// A service whose only upstream refuses the first attempts and runs the next.
/// It sends its last response on a connection again before it reads further.
struct RepeatingUpstream {
  /// \param refusals attempts that are refused, of all connections together.
  RepeatingUpstream(const std::string &instance, unsigned refusals)
      : Instance(instance), RefusalsLeft(refusals) {}

  void serve() {
    Connections.push_back(Socket.accept());
    if (!Connections.back()) {
      Connections.pop_back();
    }
    for (const auto &it : Connections) {
      State &state = States[it.get()];
      const std::string &all = it->read();
      const std::size_t end = all.find("\r\n\r\n", state.Parsed);
      if (end != std::string::npos) {
        const std::string head = all.substr(state.Parsed, end - state.Parsed);
        state.Parsed = end + 4;
        it->send(std::exchange(state.LastResponse, {}));
        respond(*it, state, head);
      }
    }
  }

  unsigned Runs = 0;
  http::RawServer Socket;

private:
  struct State {
    std::size_t Parsed = 0;
    std::string LastResponse; ///< Empty once it was sent again.
  };

  void respond(const http::RawConnection &to, State &state,
               const std::string &head) {
    const std::string common = "Content-Length: 0\r\nX-Server-Load: 0,0,4\r\n";
    if (head.starts_with("GET /health")) {
      to.send("HTTP/1.1 200 OK\r\n" + common +
              "X-Warmup-Milliseconds: 60000\r\nX-Instance-Id: " + Instance +
              "\r\n\r\n");
      return;
    }
    const std::size_t from = head.find("X-Request-Id: ");
    const std::string id =
        from == std::string::npos
            ? ""
            : head.substr(from, head.find("\r\n", from) - from) + "\r\n";
    if (RefusalsLeft > 0) {
      --RefusalsLeft;
      state.LastResponse = "HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Not-Executed: 1\r\n" +
                           common + id + "\r\n";
      to.send(state.LastResponse);
      return;
    }
    ++Runs;
    state.LastResponse =
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Target: " +
        head.substr(0, head.find(" HTTP/")) + "\r\n" + common + id + "\r\n";
    to.send(state.LastResponse);
  }

  std::string Instance;
  unsigned RefusalsLeft;
  std::vector<std::unique_ptr<http::RawConnection>> Connections;
  std::map<const http::RawConnection *, State> States;
};

/// A proxy whose calls go over sockets to one upstream.
struct ConnectedProxy {
  explicit ConnectedProxy(unsigned refusals)
      : Upstream("u", refusals),
        Pool(EventLoop.Loop,
             [this](http::CallId id, http::CallResult result) {
               Tested.onCallEnded(id, std::move(result));
             }),
        Tested({"i", "a", 7, {0.2, 56, 1.5, 5, 60}, &platform::dialect()},
               callbacks(), Registry) {
    auto config = std::make_shared<Configuration>();
    config->Version = 1;
    for (const bool idempotent : {true, false}) {
      Route &route = config->Routes.emplace_back();
      route.Name = idempotent ? "read" : "write";
      route.Host = "orders.example";
      route.PathPrefix = "/" + route.Name + "/";
      route.Idempotent = idempotent;
      route.MaxAttempts = MaxAttempts;
      route.Destinations = {{"orders", 1}};
    }
    config->Services = {{"orders", "/health", 200, {}, 0}};
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->Config = config;
    snapshot->Upstreams = {{"u", Upstream.Socket.Address, "orders", "a", 4}};
    Tested.onRoutingSnapshot(std::move(snapshot));
  }

  /// \param requestId empty: the caller sends none.
  /// \returns the response that the caller gets.
  http::Response send(const std::string &path, const std::string &requestId) {
    const http::ExchangeId exchange = ++LastExchange;
    http::Request request{
        "POST",
        path,
        {{"Host", "orders.example"}, {"X-Deadline-Milliseconds", "2000"}},
        ""};
    if (!requestId.empty()) {
      request.Fields.push_back({"X-Request-Id", requestId});
    }
    Tested.onRequest(exchange, std::move(request));
    EventLoop.runUntil([&] {
      Upstream.serve();
      if (Tested.nextTimer() <= readClock()) {
        Tested.onTimer();
      }
      return Responses.contains(exchange);
    });
    return Responses[exchange];
  }

  bool isCold() const {
    const auto state = Tested.describe(readClock());
    const auto &service = state.at("services").at(0);
    return service.at("upstreams").at(0).at("cold").as_bool();
  }

  http::TestLoop EventLoop;
  RepeatingUpstream Upstream;

private:
  proxy::ProxyCallbacks callbacks() {
    proxy::ProxyCallbacks out;
    out.SendResponse = [this](http::ExchangeId id, http::Response response) {
      Responses.insert_or_assign(id, std::move(response));
    };
    out.StartCall = [this](http::Call call) { Pool.start(std::move(call)); };
    out.CancelCall = [this](http::CallId id) { Pool.cancel(id); };
    out.UpstreamLeaving = [](const std::string &, std::uint64_t) {};
    out.CloseIdleConnections = [](const std::string &) {};
    out.BroadcastSuspected = [](const balance::CrashSuspect &) {};
    out.BroadcastQuarantined = [](std::uint64_t) {};
    out.BroadcastCleared = [](std::uint64_t) {};
    out.BroadcastLimitEnded = [](const std::string &) {};
    out.ReachChanged = [](bool, bool) {};
    out.RelayTargets = [] { return std::vector<proxy::RelayTarget>{}; };
    return out;
  }

  prometheus::Registry Registry;
  http::ExchangeId LastExchange = 0;
  std::map<http::ExchangeId, http::Response> Responses;
  http::ClientPool Pool;

public:
  proxy::Proxy Tested;
};

struct RepeatCase {
  std::string Path;
  unsigned Refusals;
};

std::ostream &operator<<(std::ostream &out, const RepeatCase &it) {
  return out << it.Path << ", refused " << it.Refusals << " times";
}

const std::vector<RepeatCase> RepeatCases{
    {"/write/", 1}, {"/write/", 2}, {"/read/", 1}, {"/read/", 2}};

} // namespace

// Guards against a late copy of a refusal that passes for the response to the
// next attempt, which runs: the caller was told that it did not.
BOOST_DATA_TEST_CASE(lateCopyOfARefusalDoesNotEndTheNextAttempt, RepeatCases,
                     row) {
  ConnectedProxy it(row.Refusals);
  BOOST_TEST(it.send(row.Path, "r1").Status == 200U);
  BOOST_TEST(it.Upstream.Runs == 1U);
}

// Guards against a late copy of a response that passes for the response to the
// next request on its connection, if neither has an id to tell them apart.
BOOST_AUTO_TEST_CASE(lateCopyDoesNotAnswerARequestWithoutAnId) {
  ConnectedProxy it(0);
  for (const std::string target : {"/write/a", "/write/b", "/write/c"}) {
    const http::Response response = it.send(target, "");
    const std::string *answered = http::findHeader(response.Fields, "X-Target");
    BOOST_REQUIRE(answered != nullptr);
    BOOST_TEST(*answered == "POST " + target);
  }
}

// Guards against a late copy of a response that passes for the response to a
// health check: an upstream that warms up would get requests at the full rate.
BOOST_AUTO_TEST_CASE(lateCopyDoesNotAnswerAHealthCheck) {
  ConnectedProxy it(0);
  for (const std::string id : {"r1", "r2", "r3"}) {
    BOOST_TEST(it.send("/read/", id).Status == 200U);
    BOOST_TEST(it.isCold());
    it.EventLoop.runFor(50ms); // The load report gets old.
  }
}
