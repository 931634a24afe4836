/// \file
/// Stand-in for an upstream: a concurrency limit and a queue, load reports,
/// health checks, warm-up, registration in the store, and injected faults. All
/// upstreams write the requests they receive and run to one shared execution
/// log.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ev.h>

#include "http/Server.h"
#include "store/Store.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// Requests that the upstreams received and ran, by the caller's request ID.
struct ExecutionLog {
  struct RequestExecutions {
    unsigned TimesStarted = 0;
    unsigned TimesFinished = 0;
    std::string LastUpstreamId; ///< Upstream that started it last.
    std::string Service;
    Instant LastStartedAt{};
  };
  /// A request that reached the upstream it was addressed to, whether or not it
  /// ran.
  struct Arrival {
    std::string RequestId;
    std::string UpstreamId;
    std::string Service;
    std::string Domain;
    Instant ReceivedAt{};
    bool WasCold = false; ///< Whether the upstream was warming up.
    std::string Customer; ///< Empty: the request named none.
    bool HadApiKey = false;
  };
  std::map<std::string, RequestExecutions> Requests;
  std::vector<Arrival> Arrivals; ///< In order of ReceivedAt.
  unsigned Crashes = 0;          ///< By requests; see UpstreamFaults::CrashOn.
};

/// The end of the body of each answer. A body without it was cut off, whatever
/// the connection seemed to say.
constexpr const char *AnswerEnd = ", whole";

/// Properties of an upstream.
struct UpstreamConfig {
  std::string Service;
  std::string Domain;
  std::string Address;           ///< "ip:port" to listen on.
  std::string RegisteredAddress; ///< "ip:port" to register; empty: Address.
  unsigned Slots = 4;            ///< Requests that run concurrently.
  unsigned QueueLimit = 8;       ///< Requests beyond the limit get 503.
  Duration MeanServiceTime = std::chrono::milliseconds{20};
  double ServiceTimeSigma = 0.3; ///< Sigma of the log-normal service time.
  Duration Warmup{0}; ///< Time after a start with doubled service times.
  std::string Version = "v1"; ///< Of its software.
};

/// Injected faults of an upstream. They may change at any time. The fractions
/// are probabilities per request, from 0 to 1.
struct UpstreamFaults {
  double Slowdown = 1;      ///< Factor on the service time.
  double ErrorFraction = 0; ///< Runs the request, then responds 500.
  double ShedFraction = 0;  ///< Refuses with 503 despite free capacity.
  /// Runs the request, then closes the connection without a response.
  double LostResponseFraction = 0;
  /// Runs the request, sends its response without the last 8 bytes, then closes
  /// the connection.
  double TruncatedFraction = 0;
  double DuplicatedFraction = 0; ///< Sends the response twice.
  /// Runs the request, then sends EndlessStart and a long run of EndlessPiece,
  /// and keeps the connection open; also if EndlessStart is not empty.
  bool IsEndless = false;
  std::string EndlessStart;
  std::string EndlessPiece = "x";
  bool FloodHealthChecks = false; ///< Answers them with the same bytes.
  /// Runs the request, then sends these bytes as its response and closes the
  /// connection; "{id}" stands for the request's ID. Empty: responds itself.
  std::string RawResponse;
  bool RawHealthChecks = false; ///< Answers them with RawResponse too.
  /// Crashes at the end of the run of a request whose target contains this;
  /// empty: never.
  std::string CrashOn;
  bool Unresponsive = false;     ///< Reads requests but never responds.
  bool FailHealthChecks = false; ///< Responds 503 to health checks.
  bool Leaving = false;          ///< Announces in all responses that it leaves.
  /// Refuses requests and health checks with 503 and this Retry-After; empty:
  /// serves them.
  std::string RetryAfter;
  /// Names this limit on its requests in all responses; empty: none.
  std::string RateLimit;
  /// Added to the start time that the upstream registers.
  std::chrono::milliseconds ClockOffset{0};
};

/// Used only on the thread of its loop.
class Upstream {
public:
  Upstream(struct ev_loop *loop, Store &registry, ExecutionLog &executionLog,
           UpstreamConfig config, std::string id, std::uint64_t seed);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  /// Listens and registers itself.
  /// \returns false if the address could not be bound.
  bool start();

  /// Stops at once, as on SIGKILL; running and queued requests are lost.
  /// \param keepRegistration keeps the registration in the store, as if it had
  ///   not expired yet; otherwise it is removed.
  void crash(bool keepRegistration);

  /// Starts again, with a warm-up, at the same address under the given ID; the
  /// old registration is removed.
  /// \returns false if the address could not be bound.
  bool restart(const std::string &id);

  /// Sets its registered state to draining; continues to serve requests.
  void drain();

  /// Removes its registration from the store.
  void deregister();

  const std::string &id() const { return Id; }
  const std::string &registeredAddress() const {
    return Config.RegisteredAddress.empty() ? Config.Address
                                            : Config.RegisteredAddress;
  }
  std::uint64_t healthChecks() const { return HealthChecks; }
  bool isAlive() const { return Server != nullptr; }
  unsigned busySlots() const { return BusySlots; }
  Instant lastRequestStart() const { return LastRequestStart; }

  UpstreamFaults Faults;
  UpstreamConfig Config;

private:
  struct ActiveRequest {
    http::ExchangeId Exchange = 0;
    http::Request Request;
    std::string RequestId;
    Instant FinishAt{};
    bool Started = false;
  };

  void handleRequest(http::ExchangeId id, http::Request request);
  void handleHealthCheck(http::ExchangeId id);
  void refuse(http::ExchangeId id, const std::string &requestId,
              unsigned status);
  /// Sends a response, with what the upstream says of itself.
  void respond(http::ExchangeId id, http::Response response);
  /// Adds what it says of itself in each response.
  void announce(http::Headers &fields) const;
  void startOrQueue(ActiveRequest request);
  void startRequest(ActiveRequest request);
  void finishRequest(const ActiveRequest &request);
  void cancelRequest(http::ExchangeId id);
  void startQueued();
  void tick();
  void updateRegistration(const char *state);
  std::string loadReport() const;
  std::string endlessBytes() const;
  std::string rawBytes(const std::string &requestId) const;
  bool shouldInjectFault(double fraction);
  bool isCold() const;

  struct ev_loop *Loop;
  Store &Registry;
  ExecutionLog &Log;
  std::string Id;
  Random Rng;
  ev_timer Timer{};
  std::unique_ptr<http::Server> Server;
  std::list<ActiveRequest> RunningRequests;
  std::deque<ActiveRequest> Queue;
  unsigned BusySlots = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t HealthChecks = 0; ///< Received, over all restarts.
  std::int64_t StartTimeMs = 0;
  Instant ColdUntil{};
  Instant LastRequestStart{};
};

} // namespace zinniarail::standins
