/// \file
/// Turns requests and upstream calls into the engines' events, and the engines'
/// actions into upstream calls and answers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <boost/json/object.hpp>

#include "http/ClientPool.h"
#include "http/Server.h"
#include "proxy/Dialect.h"
#include "proxy/Metrics.h"
#include "proxy/RequestLog.h"
#include "zinniarail/balance/Engine.h"
#include "zinniarail/fleet/RoutingSnapshot.h"

namespace zinniarail::proxy {

/// Bounds that hold over all instances, from the settings.
struct SharedBounds {
  double RetryRatio = 0.1;     ///< Repeats for each request.
  double ExtraRetries = 10;    ///< Beyond that in one window.
  double ColdOvershoot = 1;    ///< Times the rate that a cold upstream bears.
  double ColdSlack = 0;        ///< Requests a second beyond that.
  double ProbesPerSecond = 10; ///< To one upstream.
};

/// What the proxy knows of its process.
struct ProxyContext {
  std::string Self;
  std::string Domain;
  std::uint64_t Seed = 0;
  SharedBounds Bounds;
  const Dialect *Names = nullptr;
};

/// Where the proxy's doings go.
struct ProxyOutlets {
  std::function<void(http::ExchangeId, http::Response)> Answer;
  std::function<void(http::Call)> Start;
  std::function<void(http::CallId)> Cancel;
  std::function<void(const std::string &address)> Forget; ///< An upstream's.
  std::function<void(const balance::CrashSuspect &)> TellSuspected;
  std::function<void(std::uint64_t fingerprint)> TellCondemned;
};

/// Owns the requests between their arrival and their answer. Each event reads
/// the clock anew.
class Proxy {
public:
  /// \param registry outlives this.
  Proxy(ProxyContext context, ProxyOutlets outlets,
        prometheus::Registry &registry);

  void onFleet(std::shared_ptr<const RoutingSnapshot> fleet);
  void onRequest(http::ExchangeId id, http::Request request);
  void onCallerGone(http::ExchangeId id);
  void onCallEnded(http::CallId id, http::CallResult result);
  /// Another instance suspects or condemns requests that crash upstreams.
  void onWord(const balance::Event &word);
  void onWake();

  /// When to call onWake next; Instant::max() when there is nothing to do.
  Instant nextWake() const;

  /// Whether a request may be run before those in front of it are answered.
  bool mayOvertake(const http::Request &request) const;

  std::size_t openRequests() const { return Open.size(); }

  /// Brings the gauges up to date.
  void measure();

  /// Logs how many lines were left out; to be called about once a second.
  void tellLeftOut();

  boost::json::object describe(Instant now) const;

private:
  struct ServiceEntry {
    std::string Name;
    std::string HealthPath;
    balance::EnginePtr Engine;
    std::map<std::string, std::string> Addresses; ///< By the upstream's id.
    Instant Wake = Instant::max();
  };
  struct OpenRequest {
    http::Request Content;
    ServiceEntry *Entry = nullptr;
    bool Idempotent = false;
    RequestRecord Record;
  };
  struct UpstreamCall {
    ServiceEntry *Entry = nullptr;
    http::ExchangeId Request = 0; ///< 0: a health check.
    std::string Upstream;
    http::CallResult Result;
    bool Done = false;
  };

  const Route *routeOf(const http::Request &request) const;
  ServiceEntry &entryOf(const std::string &service);
  balance::ServicePlan planOf(const std::string &service) const;
  std::map<std::string, std::string>
  addressesOf(const std::string &service) const;
  const std::string &pickService(const Route &route);
  void refuseUnplaced(http::ExchangeId id, const http::Request &request,
                      unsigned status, const char *reason, Duration retryAfter);
  std::optional<Instant> deadlineOf(const http::Request &request,
                                    const Route &route, Instant now) const;
  void post(ServiceEntry &entry, balance::Event event);
  void drain();
  void note(ServiceEntry &entry);
  void perform(ServiceEntry &entry, balance::Action &action);
  void startAttempt(ServiceEntry &entry, const balance::StartAttempt &wanted);
  void startProbe(ServiceEntry &entry, const std::string &upstream);
  void deliver(const balance::Deliver &wanted);
  void refuse(const balance::Refuse &wanted);
  void endAttempt(http::CallId id, UpstreamCall &call);
  void endProbe(const UpstreamCall &call, const http::CallResult &result);
  void notice(const ServiceEntry &entry,
              const balance::UpstreamStatusChanged &it);
  void finish(http::ExchangeId id, http::Response response,
              const RequestEnd &end);
  void forget(http::ExchangeId id);
  balance::AttemptEnded judge(const http::CallResult &result) const;

  ProxyContext Context;
  ProxyOutlets Outlets;
  Metrics Counts;
  RequestLog Log;
  Random Draws;
  std::shared_ptr<const RoutingSnapshot> Current;
  std::map<std::string, std::unique_ptr<ServiceEntry>> Entries;
  std::unordered_map<http::ExchangeId, OpenRequest> Open;
  std::unordered_map<http::CallId, UpstreamCall> Calls;
  http::CallId LastProbe = 0;
  std::deque<std::pair<ServiceEntry *, balance::Event>> Events;
  bool Draining = false;
  std::set<std::pair<Instant, ServiceEntry *>> Wakes;
};

} // namespace zinniarail::proxy
