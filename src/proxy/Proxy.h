/// \file
/// Connects the engines to the network: passes requests and the results of
/// upstream calls to the engines as events, and carries out the engines'
/// actions as upstream calls and responses to callers.
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
#include "zinniarail/balance/Reach.h"
#include "zinniarail/customers/Customers.h"
#include "zinniarail/fleet/RoutingSnapshot.h"
#include "zinniarail/quota/Quota.h"
#include "zinniarail/rollout/Tracker.h"

namespace zinniarail::proxy {

/// Limits on all instances together, from the settings.
struct FleetLimits {
  double RetryRatio = 0.1;  ///< Retries and hedges per request.
  double ExtraRetries = 10; ///< Additional retries and hedges per window.
  /// Factor on the configured request rate of an upstream that is warming up.
  double ColdOvershoot = 1;
  /// Requests per second that an upstream may get beyond its configured request
  /// rate while it warms up.
  double ColdSlack = 0;
  double ProbesPerSecond = 10; ///< Health checks of one upstream.
};

/// Identity and settings of the process that the proxy runs in.
struct ProxyContext {
  std::string InstanceId;
  std::string Domain; ///< This instance's failure domain.
  std::uint64_t Seed = 0;
  FleetLimits Limits;
  const Dialect *PlatformDialect = nullptr;
  bool OrdersByCost = false; ///< As in ServicePlan, without customers too.
};

/// Another instance that requests can be relayed to.
struct RelayTarget {
  std::string InstanceId;
  std::string CallerAddress;
  /// In another failure domain, and only used if there is no other target.
  bool IsOutside = false;
};

/// Functions through which the proxy sends responses, calls upstreams and
/// notifies the other instances.
struct ProxyCallbacks {
  std::function<void(http::ExchangeId, http::Response)> SendResponse;
  std::function<void(http::Call)> StartCall;
  std::function<void(http::CallId)> CancelCall;
  /// An upstream announced that it leaves. May call onRoutingSnapshot.
  /// \param startedMs its incarnation, as Upstream::StartedMs.
  std::function<void(const std::string &id, std::uint64_t startedMs)>
      UpstreamLeaving;
  /// Closes the idle keep-alive connections to an upstream's former address.
  std::function<void(const std::string &address)> CloseIdleConnections;
  std::function<void(const balance::CrashSuspect &)> BroadcastSuspected;
  std::function<void(std::uint64_t fingerprint)> BroadcastQuarantined;
  std::function<void(std::uint64_t fingerprint)> BroadcastCleared;
  std::function<void(const std::string &upstream)> BroadcastLimitEnded;
  /// Whether the store may hold a newer configuration than the one in force.
  std::function<bool()> IsStateOutdated;
  /// Called when either changes: whether this instance can reach any upstream,
  /// and whether it can reach one of each service.
  std::function<void(bool any, bool ofEachService)> ReachChanged;
  /// The other instances that are ready and reach upstreams.
  std::function<std::vector<RelayTarget>()> RelayTargets;
  /// Takes credit of a customer that has a limit; onCreditDecided follows if
  /// the request is held. None of the three: no limit is kept.
  std::function<quota::Decision(const std::string &customer, http::ExchangeId)>
      TakeCredit;
  /// Gives back the credit of a request that did not run.
  std::function<void(const std::string &customer, Instant creditEndsAt)>
      ReturnCredit;
  /// The caller of a request that is held has left.
  std::function<void(http::ExchangeId)> ForgetHeld;
  /// A request is sent to an upstream of a service. May be empty.
  std::function<void(const std::string &service, const std::string &upstream,
                     const std::string &route)>
      RequestSent = nullptr;
  /// An attempt has ended. May be empty.
  std::function<void(const rollout::AnswerSeen &)> AnswerReceived = nullptr;
};

/// A request's way over another instance.
struct Relay {
  http::CallId Call = 0;
  std::set<std::string> TriedInstances;
  std::string Target;      ///< Instance that Call is sent to.
  bool MayHaveRun = false; ///< In an attempt or relay that has ended.
  bool TimedOut = false;   ///< Call was cancelled at EndsAt.
  Instant EndsAt{};        ///< Deadline of the request.
};

/// Owns each request from its arrival until its response is sent. Each
/// event is handled with a new reading of the clock.
class Proxy {
public:
  /// \param registry must outlive this object.
  Proxy(ProxyContext context, ProxyCallbacks callbacks,
        prometheus::Registry &registry);

  void onRoutingSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  void onRequest(http::ExchangeId id, http::Request request);
  /// Logs a request that is refused for want of memory before onRequest.
  /// \param request may lack its body.
  /// \returns the response.
  http::Response refuseForMemory(const http::Request &request);
  /// Called when an exchange ended without its response; see
  /// http::ServerHandlers.
  void onCallerGone(http::ExchangeId id);
  void onCallEnded(http::CallId id, http::CallResult result);
  /// Called when another instance suspects that requests crash upstreams, has
  /// quarantined such requests, or has found them harmless. \param notice a
  /// PeerSuspected, PeerQuarantined or PeerCleared event.
  void onQuarantineNotice(const balance::Event &notice);
  /// Called when it is decided whether a request that was held is admitted.
  void onCreditDecided(http::ExchangeId id, const quota::Decision &decision);
  /// Called when another instance has found that an upstream's limit ended.
  void onLimitEnded(const std::string &upstream);
  void onTimer();

  /// This instance stops: requests that can't be served in time are refused,
  /// and each has its answer by \p when at the latest, if the timers run.
  void stopAt(Instant when);

  /// The quarantines to tell to instances that may have missed them.
  std::vector<balance::PeerQuarantined>
  latestQuarantines(std::size_t most) const;

  /// When to call onTimer next; Instant::max() when no timer is pending.
  Instant nextTimer() const;

  /// Whether a pipelined request may be dispatched before earlier ones on its
  /// connection have their responses.
  bool mayRunConcurrently(const http::Request &request) const;

  std::size_t openRequests() const { return OpenRequests.size(); }

  /// The number of attempts that run at the selected upstreams of a service and
  /// must not run again elsewhere.
  std::size_t countUnrepeatable(
      const std::string &service,
      const std::function<bool(const std::string &upstream)> &isSelected) const;

  /// Whether this instance can reach any upstream, as far as it knows.
  bool reachesUpstreams() const { return AllServices.State.AnyReachable; }

  /// Sets the gauges to the current values.
  void updateGauges();

  /// Logs how many request-served lines were omitted. To be called about once
  /// per second.
  void logOmittedCount();

  /// The state as JSON, for a dump.
  boost::json::object describe(Instant now) const;

private:
  /// Where the requests for an upstream are sent.
  struct Target {
    std::string Address;
    std::uint64_t StartedMs = 0; ///< As Upstream::StartedMs.
  };
  /// The path to the upstreams of one service, or of all.
  struct ReachScope {
    std::string Service; ///< Empty: all.
    balance::Reach State;
    bool Applied = true;               ///< State.AnyReachable, as applied last.
    std::set<http::CallId> CheckCalls; ///< Calls of the check under way.
    std::size_t CheckedCount = 0; ///< Upstreams called in all checks so far.
  };
  struct ServiceEntry {
    std::string Name;
    std::string HealthPath;
    ReachScope Reach;
    /// Instances that are known not to serve this service, by id, and until
    /// when they get no relays.
    std::map<std::string, Instant> NoRelaysUntil;
    balance::EnginePtr Engine;
    std::map<std::string, Target> Targets; ///< By upstream id.
    Instant NextTimer = Instant::max();
  };
  struct OpenRequest {
    std::shared_ptr<const http::Request> Content;
    ServiceEntry *Entry = nullptr;
    bool Idempotent = false;
    bool WasRelayed = false; ///< Came from another instance.
    RequestRecord Record;
    std::optional<Relay> RelayState; ///< Set once the engine has given it up.
    Instant CreditEndsAt{}; ///< As quota::Decision::CreditEndsAt; or none.
  };
  /// A request that waits for its customer's credit.
  struct HeldRequest {
    http::Request Content;
    std::shared_ptr<const Configuration> Config; ///< Owns MatchedRoute.
    const Route *MatchedRoute = nullptr;
    std::string Customer;
    Instant ArrivedAt{};
    Instant Deadline{};
  };
  /// For whom a request is dispatched.
  struct Admission {
    const Customer *For = nullptr; ///< Null: no customer.
    Instant CreditEndsAt{};        ///< As in OpenRequest.
  };
  struct UpstreamCall {
    ServiceEntry *Entry = nullptr;
    http::ExchangeId Request = 0; ///< 0 for a health check.
    std::string Upstream;
    std::uint64_t StartedMs = 0; ///< Incarnation that the call was sent to.
    http::CallResult Result;     ///< Set when an attempt has ended.
    bool HasEnded = false;
    std::string Route = {};
    Instant SentAt{};
    bool IsCold = false; ///< The upstream was warming up.
  };

  bool isRelayOfAnotherVersion(const http::Request &request) const;
  void updateCustomers(const Configuration &config);
  const Route *routeOf(const http::Request &request) const;
  ServiceEntry &getOrCreateEntry(const std::string &service);
  balance::ServicePlan makePlan(const std::string &service) const;
  std::map<std::string, Target> targetsOf(const std::string &service) const;
  const std::string &pickService(const Route &route);
  void refuseUndispatched(http::ExchangeId id, const http::Request &request,
                          unsigned status, const char *reason,
                          Duration retryAfter,
                          const std::string &customer = {});
  void admit(http::ExchangeId id, HeldRequest request, const Identity &caller);
  void refuseUncredited(http::ExchangeId id, const HeldRequest &request,
                        const quota::Decision &decision);
  void returnCreditOf(const OpenRequest &request, const RequestEnd &end);
  Identity identifyCaller(const http::Request &request,
                          const Route &route) const;
  const Customer *relayedCustomer(const http::Request &request) const;
  http::Response makeUndispatchedRefusal(const http::Request &request,
                                         unsigned status, const char *reason,
                                         Duration retryAfter,
                                         const std::string &customer);
  void dispatch(http::ExchangeId id, http::Request request, const Route &route,
                const Admission &admission, Instant arrivedAt,
                Instant deadline);
  /// Removes what an instance sets itself, and names the customer.
  void prepareFields(http::Headers &fields, const Customer *customer) const;
  std::optional<Instant> deadlineOf(const http::Request &request,
                                    const Route &route, Instant now) const;
  void postEvent(ServiceEntry &entry, balance::Event event);
  void processEvents();
  void applyPlan(ServiceEntry &entry);
  void updateTimer(ServiceEntry &entry);
  void performAction(ServiceEntry &entry, balance::Action &action);
  void startAttempt(ServiceEntry &entry, const balance::StartAttempt &action);
  void startProbe(ServiceEntry &entry, const balance::SendProbe &action);
  void identifyCall(http::Call &call, const http::Request &request) const;
  void reportAnswer(const UpstreamCall &call,
                    const balance::AttemptEnded &event) const;
  http::Call makeHealthCheck(http::CallId id, const std::string &address,
                             const std::string &path) const;
  void recordCallStart(ServiceEntry &entry, balance::CallPurpose purpose);
  void recordCallEnd(const UpstreamCall &call, const http::CallResult &result);
  void endReachCheckCall(http::CallId id, const http::CallResult &result);
  void advanceReach();
  void advanceReach(ReachScope &scope);
  void startReachCheck(ReachScope &scope);
  void endReachCheck(ReachScope &scope);
  void applyReach(ReachScope &scope);
  void logReach(const ReachScope &scope) const;
  Instant nextReachTime() const;
  void deliver(const balance::Deliver &action);
  void refuse(const balance::Refuse &action);
  void reportIfLeaving(const UpstreamCall &call,
                       const http::CallResult &result);
  std::optional<Duration> retryAfterOf(const http::Response &response,
                                       const std::string &upstream);
  void endAttempt(http::CallId id, UpstreamCall &call);
  void endProbe(const UpstreamCall &call, const http::CallResult &result);
  void reportStatusChange(const ServiceEntry &entry,
                          const balance::UpstreamStatusChanged &change);
  bool beginRelay(const balance::Refuse &action);
  std::vector<RelayTarget> relayTargets(const ServiceEntry &entry,
                                        const Relay &relay) const;
  http::Headers relayFields(const OpenRequest &request) const;
  bool relayToNext(http::ExchangeId id, OpenRequest &request);
  void onRelayEnded(http::CallId id, http::CallResult result);
  bool relayAgain(http::ExchangeId id, OpenRequest &request,
                  const balance::AttemptEnded &end,
                  const http::Response &response);
  void deliverRelayed(http::ExchangeId id, OpenRequest &request,
                      http::Response response);
  void refuseRelayed(http::ExchangeId id, const Relay &relay);
  void expireRelays();
  void finishRequest(http::ExchangeId id, http::Response response,
                     const RequestEnd &end);
  void eraseRequest(http::ExchangeId id);
  balance::AttemptEnded classifyResult(const http::CallResult &result) const;

  ProxyContext Context;
  ProxyCallbacks Callbacks;
  Metrics RequestMetrics;
  RequestLog Log;
  Random Rng;
  Instant StopsAt = Instant::max(); ///< As balance::ServicePlan::StopsAt.
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  CustomerDirectory Customers; ///< As in Snapshot->Config.
  std::string RelaySecret;     ///< Of that configuration; see RelayProof.h.
  /// Shared by the engines; it outlives them, and knows what was told before
  /// the first request of a service.
  std::shared_ptr<Quarantine> CrashQuarantine = std::make_shared<Quarantine>();
  std::map<std::string, std::unique_ptr<ServiceEntry>> Services;
  std::unordered_map<http::ExchangeId, OpenRequest> OpenRequests;
  std::unordered_map<http::ExchangeId, HeldRequest> HeldRequests;
  std::unordered_map<http::CallId, UpstreamCall> Calls;
  http::CallId LastProbeNumber = 0;
  ReachScope AllServices;
  std::unordered_map<http::CallId, ReachScope *> ReachCheckCalls;
  http::CallId LastReachCheckNumber = 0;
  std::unordered_map<http::CallId, http::ExchangeId> RelayCalls;
  std::set<std::pair<Instant, http::ExchangeId>> RelayDeadlines;
  http::CallId LastRelayNumber = 0;
  std::deque<std::pair<ServiceEntry *, balance::Event>> PendingEvents;
  bool IsProcessingEvents = false;
  std::set<std::pair<Instant, ServiceEntry *>> Timers;
  /// When an unreadable Retry-After was last logged.
  Instant RetryAfterLoggedAt = Instant::min();
};

} // namespace zinniarail::proxy
