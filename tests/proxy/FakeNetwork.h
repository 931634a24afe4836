/// \file
/// Proxies whose callers, upstreams and connections are simulated in memory.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <prometheus/registry.h>

#include "platform/Platform.h"
#include "proxy/Proxy.h"

namespace zinniarail::proxy_test {

using namespace std::chrono_literals;

/// What becomes of the calls to upstreams.
enum class Path : std::uint8_t {
  Open,    ///< They are answered.
  Silent,  ///< They get no answer, as on a connection behind a partition.
  Refused, ///< Their connections are refused.
  Reset,   ///< Their connections are reset after the request was sent.
};

inline std::ostream &operator<<(std::ostream &out, Path it) {
  constexpr const char *names[]{"open", "silent", "refused", "reset"};
  return out << names[static_cast<std::size_t>(it)];
}

constexpr unsigned UpstreamCount = 6;

inline std::string upstreamId(unsigned n) { return "u" + std::to_string(n); }
inline std::string upstreamAddress(unsigned n) {
  return "192.0.2." + std::to_string(n + 1) + ":80";
}

/// One route for requests that may be repeated, one for others; the upstreams
/// report their load.
inline std::shared_ptr<const RoutingSnapshot>
makeSnapshot(std::uint64_t version = 1) {
  auto config = std::make_shared<Configuration>();
  config->Version = version;
  for (const bool idempotent : {true, false}) {
    Route route;
    route.Name = idempotent ? "read" : "write";
    route.Host = "orders.example";
    route.PathPrefix = "/" + route.Name + "/";
    route.Idempotent = idempotent;
    route.MaxAttempts = 3;
    route.Destinations = {{"orders", 1}};
    config->Routes.push_back(route);
  }
  config->Services = {{"orders", "/health", 200, {}, 0}};
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->Config = config;
  for (unsigned n = 0; n < UpstreamCount; ++n) {
    snapshot->Upstreams.push_back(
        {upstreamId(n), upstreamAddress(n), "orders", "a", 4});
  }
  return snapshot;
}

inline http::Response answerOf(const std::string &upstream) {
  return {200,
          {{"X-Response-Signature", "signature"},
           {"X-Server-Load", "0,0,4"},
           {"X-Instance-Id", upstream}},
          "body of " + upstream};
}

/// A proxy and the calls that it has made.
class TestInstance {
public:
  explicit TestInstance(const std::string &id = "i1")
      : Proxy({id, "a", 7, {0.2, 56, 1.5, 5, 60}, &platform::dialect()},
              callbacks(), Registry) {
    Proxy.onRoutingSnapshot(makeSnapshot());
  }

  /// Hands a caller's request to the proxy. Each has another query, so that
  /// none seems to crash upstreams as others did.
  http::ExchangeId send(const std::string &path, Duration deadline = 1s,
                        const http::Headers &fields = {}) {
    const http::ExchangeId id = ++LastExchange;
    const auto ms = std::chrono::floor<std::chrono::milliseconds>(deadline);
    http::Request request{
        "GET",
        path + "?n=" + std::to_string(id),
        {{"Host", "orders.example"},
         {"X-Request-Id", "r" + std::to_string(id)},
         {"X-Deadline-Milliseconds", std::to_string(ms.count())}},
        ""};
    request.Fields.insert(request.Fields.end(), fields.begin(), fields.end());
    Proxy.onRequest(id, std::move(request));
    return id;
  }

  /// Ends the calls whose answers are due, and runs expired timers.
  void run() {
    for (auto &[id, result] : std::exchange(EndedCalls, {})) {
      Proxy.onCallEnded(id, std::move(result));
    }
    if (Proxy.nextTimer() <= readClock()) {
      Proxy.onTimer();
    }
  }

  bool hasResponse(http::ExchangeId id) const { return Responses.contains(id); }

  /// Sends requests, each after the answer to the last, until the proxy knows
  /// what the upstreams' responses look like.
  void warmUp() {
    for (unsigned n = 0; n < 20; ++n) {
      const http::ExchangeId id = send("/read/");
      while (!hasResponse(id)) {
        run();
      }
    }
  }

  Path ToUpstreams = Path::Open;
  /// How the next calls for requests end, before ToUpstreams counts.
  std::deque<http::CallResult> NextResults;
  std::vector<proxy::RelayTarget> Targets;
  bool IsStateOutdated = false;
  /// As in proxy::ProxyCallbacks; by default each request is admitted.
  std::function<quota::Decision(const std::string &, http::ExchangeId)>
      TakeCredit = [](auto &&...) { return quota::Decision{}; };
  std::function<void(const std::string &, Instant)> ReturnCredit =
      [](auto &&...) {};
  std::function<void(http::ExchangeId)> ForgetHeld = [](auto &&...) {};
  http::CallOutcome OutcomeOfCancel = http::CallOutcome::Broken;
  std::string LastUpstreamBytes; ///< The last call to an upstream.
  std::map<http::ExchangeId, http::Response> Responses;
  /// Calls to addresses other than upstreams'; the test ends them.
  std::vector<http::Call> OtherCalls;
  std::vector<http::CallId> Cancelled;
  /// Calls with their results, which run passes on.
  std::deque<std::pair<http::CallId, http::CallResult>> EndedCalls;

private:
  proxy::ProxyCallbacks callbacks() {
    proxy::ProxyCallbacks out;
    out.SendResponse = [this](http::ExchangeId id, http::Response response) {
      Responses.insert_or_assign(id, std::move(response));
    };
    out.StartCall = [this](http::Call call) { startCall(std::move(call)); };
    out.CancelCall = [this](http::CallId id) {
      http::CallResult result;
      result.Outcome = OutcomeOfCancel;
      result.Cancelled = true;
      Cancelled.push_back(id);
      EndedCalls.emplace_back(id, std::move(result));
    };
    out.UpstreamLeaving = [](const std::string &, std::uint64_t) {};
    out.CloseIdleConnections = [](const std::string &) {};
    out.BroadcastSuspected = [](const balance::CrashSuspect &) {};
    out.BroadcastQuarantined = [](std::uint64_t) {};
    out.BroadcastCleared = [](std::uint64_t) {};
    out.BroadcastLimitEnded = [](const std::string &) {};
    out.IsStateOutdated = [this] { return IsStateOutdated; };
    out.ReachChanged = [](bool, bool) {};
    out.RelayTargets = [this] { return Targets; };
    out.TakeCredit = [this](const std::string &customer, http::ExchangeId id) {
      return TakeCredit(customer, id);
    };
    out.ReturnCredit = [this](const std::string &customer, Instant endsAt) {
      ReturnCredit(customer, endsAt);
    };
    out.ForgetHeld = [this](http::ExchangeId id) { ForgetHeld(id); };
    return out;
  }

  void startCall(http::Call call) {
    for (unsigned n = 0; n < UpstreamCount; ++n) {
      if (call.Address == upstreamAddress(n)) {
        LastUpstreamBytes = call.Bytes;
        return answer(call, upstreamId(n));
      }
    }
    OtherCalls.push_back(std::move(call));
  }

  void answer(const http::Call &call, const std::string &upstream) {
    const http::CallId id = call.Id;
    if (!NextResults.empty() && !call.EchoValue.empty()) {
      EndedCalls.emplace_back(id, std::move(NextResults.front()));
      return NextResults.pop_front();
    }
    http::CallResult result;
    switch (ToUpstreams) {
    case Path::Silent:
      return;
    case Path::Open:
      result.Outcome = http::CallOutcome::Answered;
      result.Response = answerOf(upstream);
      break;
    case Path::Refused:
      result.Outcome = http::CallOutcome::NotSent;
      break;
    case Path::Reset:
      result.Outcome = http::CallOutcome::Broken;
      break;
    }
    EndedCalls.emplace_back(id, std::move(result));
  }

  prometheus::Registry Registry;
  http::ExchangeId LastExchange = 0;

public:
  proxy::Proxy Proxy;
};

/// An instance that reaches no upstream and knows three other instances.
struct CutOffInstance : TestInstance {
  CutOffInstance() {
    warmUp();
    ToUpstreams = Path::Refused;
    while (Proxy.reachesUpstreams()) {
      send("/read/", 50ms);
      run();
      std::this_thread::sleep_for(1ms);
    }
    Responses.clear();
    Targets = {{"i2", "192.0.2.102:80"},
               {"i3", "192.0.2.103:80"},
               {"i4", "192.0.2.104:80"}};
  }
};

} // namespace zinniarail::proxy_test
