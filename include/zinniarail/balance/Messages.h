/// \file
/// Input (events) and output (actions) of a service's engine. The engine only
/// decides; the proxy does the I/O, which yields events and carries out
/// actions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// Identifies a caller's request within the process.
enum class RequestId : std::uint64_t {};

/// Identifies one attempt of a request on one upstream within the process.
enum class AttemptId : std::uint64_t {};

inline std::uint64_t numberOf(RequestId id) {
  return static_cast<std::uint64_t>(id);
}
inline std::uint64_t numberOf(AttemptId id) {
  return static_cast<std::uint64_t>(id);
}

/// The load that an upstream reports with a response.
struct LoadReport {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// Ratio of the present service time on the upstream to the usual one.
  double Slowness = 1;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Answered,     ///< A complete response to this request arrived.
  NotSent,      ///< No byte of the request can have been sent.
  RefusedUnrun, ///< The upstream answered that it did not run the request.
  Misdirected,  ///< Another upstream has the address; it ran nothing.
  Broken,       ///< Bytes may have been sent; no complete response came back.
};

/// Whether an upstream ran a request, as far as is known.
enum class Execution : std::uint8_t { Ran, DidNotRun, Unknown };

/// Why a request was refused instead of answered by an upstream.
enum class RefusalReason : std::uint8_t {
  NoUpstream,     ///< No upstream is in service.
  Unreachable,    ///< This instance can't reach any upstream.
  Overloaded,     ///< All are busy for longer than the request can wait.
  DeadlinePassed, ///< The deadline passed before a response came.
  Quarantined,    ///< Requests with the same fingerprint crashed upstreams.
  UpstreamFailed, ///< Every permitted attempt failed.
  Stopping,       ///< This instance stops before it could be served.
};

/// Stable names, used in responses to callers, logs and metrics.
const char *nameOf(RefusalReason reason);
const char *nameOf(Execution execution);
const char *nameOf(AttemptEnd end);

/// The route's rules for one request.
struct RoutePolicy {
  std::string Route;       ///< Requests of one route take similar times.
  bool Idempotent = false; ///< May run more than once.
  unsigned Priority = 1;   ///< 0 is the most urgent.
  unsigned MaxAttempts = 1;
  Duration LatencyTarget = std::chrono::seconds{1};
  std::string Customer; ///< Empty: the caller's customer is not known.
  /// The customer's part of the capacity relative to the others', while there
  /// is too little for all.
  double CustomerWeight = 1;
};

// Events.

/// A caller's request was received completely.
struct RequestArrived {
  RequestId Request{};
  RoutePolicy Policy;
  std::uint64_t Fingerprint = 0; ///< Equal for requests with equal content.
  Instant Deadline{};            ///< The earlier of the caller's and route's.
  /// Equal for requests of one connection; 0 if that is unknown.
  std::uint64_t Connection = 0;
};
/// An attempt ended.
struct AttemptEnded {
  AttemptId Attempt{};
  AttemptEnd End = AttemptEnd::NotSent;
  unsigned Status = 0; ///< HTTP status; 0 without a response.
  std::optional<LoadReport> Report;
  /// How long the upstream, which refused the request, wants no further ones;
  /// none if it did not say.
  std::optional<Duration> RetryAfter;
  /// Requests per second that the upstream says it takes from all instances
  /// together; none if its response named no limit.
  std::optional<double> RateLimit;
  /// A reused keep-alive connection closed so soon that the upstream may have
  /// closed it before the request arrived.
  bool StaleKeepAlive = false;
};
/// A health check ended.
struct ProbeEnded {
  std::string Upstream;
  bool Reached = false; ///< The upstream with this id responded.
  bool Healthy = false; ///< It responded that it is healthy.
  std::optional<LoadReport> Report;
  Duration WarmupRemaining{0};        ///< As reported; zero after warm-up.
  std::optional<Duration> RetryAfter; ///< As AttemptEnded::RetryAfter.
  /// Nothing accepts connections at its address, or another upstream has it.
  bool Gone = false;
  /// As AttemptEnded::RateLimit; but a health check that names none tells
  /// nothing, since it may never name one.
  std::optional<double> RateLimit;
};
/// The caller disconnected before its answer.
struct CallerGone {
  RequestId Request{};
};
/// A request that was in flight at an upstream when it crashed.
struct CrashSuspect {
  std::uint64_t Fingerprint = 0;
  std::string Upstream;
  /// From when it was sent to the upstream until this is told.
  Duration SentBefore{0};
};
/// Another instance saw an upstream crash with a request of this fingerprint in
/// flight.
struct PeerSuspected {
  CrashSuspect Suspect;
};
/// Another instance quarantined a fingerprint, since its requests crash
/// upstreams.
struct PeerQuarantined {
  std::uint64_t Fingerprint = 0;
  /// For how much longer; none if it was quarantined just now.
  std::optional<Duration> Remaining;
};
/// Another instance got a complete response to a request of this fingerprint,
/// which was suspect: it is harmless.
struct PeerCleared {
  std::uint64_t Fingerprint = 0;
};
/// Another instance got a response by which an upstream's limit has ended.
struct PeerLimitEnded {
  std::string Upstream;
};
/// This instance can't reach any upstream, or can reach some again.
struct ReachChanged {
  bool AnyReachable = true;
};
/// The time returned by nextTimer has come.
struct TimerExpired {};

using Event = std::variant<RequestArrived, AttemptEnded, ProbeEnded, CallerGone,
                           PeerSuspected, PeerQuarantined, PeerCleared,
                           PeerLimitEnded, ReachChanged, TimerExpired>;

// Actions.

/// Why an attempt goes to its upstream, and what is expected of it.
struct PlacementReason {
  enum class LoadKnowledge : std::uint8_t {
    Known,      ///< A fresh report showed a free slot and an acceptable time.
    Guessed,    ///< The reports may be out of date.
    Unreported, ///< The service reports no load.
  };
  LoadKnowledge Knowledge = LoadKnowledge::Known;
  bool IsHedge = false;                 ///< Sent beside a slow attempt.
  bool IsRetry = false;                 ///< Sent after a failed attempt.
  bool IsCold = false;                  ///< The upstream is warming up.
  Duration ReportAge = Duration::max(); ///< max: there was no report.
  /// Number of requests running or waiting at the upstream.
  double ExpectedInFlight = 0;
  double ExpectedSlowness = 1; ///< As LoadReport::Slowness.
  Duration ExpectedTime{0};    ///< Time until the response.
};

/// Send the request to an upstream.
struct StartAttempt {
  AttemptId Attempt{};
  RequestId Request{};
  std::string Upstream;
  Instant Deadline{};
  PlacementReason Reason;
  /// Do not reuse a connection: if this one ends, the upstream had the request;
  /// and a late copy of the response to an earlier attempt of the request,
  /// which has the same id, can only arrive on that attempt's connection.
  bool NewConnection = false;
};
/// Cancel an attempt; its AttemptEnded still follows.
struct CancelAttempt {
  AttemptId Attempt{};
};
/// Give the caller this attempt's response.
struct Deliver {
  RequestId Request{};
  AttemptId Attempt{};
};
/// Counts of the planned upstreams by state when a request was refused. Each
/// upstream counts in at most one of the fields Ejected to Stale.
struct UpstreamSummary {
  unsigned InService = 0;
  unsigned Ejected = 0;
  unsigned Cold = 0;     ///< Warming up; may not get another request yet.
  unsigned Refusing = 0; ///< Stated a time during which they want no requests.
  unsigned Full = 0;
  unsigned Slow = 0;
  unsigned Stale = 0;     ///< Load report missing or older than MaxFreshAge.
  std::size_t Queued = 0; ///< Requests in the queue, maybe this one too.
  double RetryTokens = 0;
  unsigned Limited = 0; ///< Named a limit that allows no request yet.
  /// How long the last one in the queue was expected to wait.
  Duration ExpectedWait{0};
};

/// Answer the caller with a refusal instead of an upstream's response.
struct Refuse {
  RequestId Request{};
  RefusalReason Reason{};
  Execution Outcome{};
  Duration RetryAfter{0}; ///< Zero: retrying does not help.
  UpstreamSummary Upstreams;
};
/// Send a health check to an upstream; ProbeEnded follows.
struct SendProbe {
  std::string Upstream;
  /// Do not reuse a connection: one that was kept may have ended unnoticed.
  bool NewConnection = false;
};
/// Tell the other instances that a request may have crashed an upstream.
struct BroadcastSuspected {
  CrashSuspect Suspect;
};
/// Tell the other instances that a fingerprint is quarantined.
struct BroadcastQuarantined {
  std::uint64_t Fingerprint = 0;
};

/// Tell the other instances that a suspect fingerprint is harmless.
struct BroadcastCleared {
  std::uint64_t Fingerprint = 0;
};

/// Tell the other instances that an upstream's limit has ended.
struct BroadcastLimitEnded {
  std::string Upstream;
};

/// Log what became of the check that follows a broken attempt.
struct CrashChecked {
  enum class Verdict : std::uint8_t {
    Skipped, ///< No health check was sent, since the upstream wants none.
    Reached, ///< The upstream still runs.
    Gone,    ///< The upstream crashed.
  };
  CrashSuspect Suspect;
  Duration RanFor{0};          ///< From the start of the attempt to its end.
  bool StaleKeepAlive = false; ///< As AttemptEnded::StaleKeepAlive.
  Verdict Result{};
};

/// Log that an upstream's status changed.
struct UpstreamStatusChanged {
  enum class Status : std::uint8_t {
    Ejected,
    Readmitted,
    Cold,
    Refusing,
    Limited,
    Unlimited
  };
  std::string Upstream;
  Status NewStatus{};
  std::string Reason;
  /// Minimum length of an ejection or refusal, or the remaining warm-up time.
  Duration ExpectedDuration{0};
};
/// Log that a retry was not sent, since the retry budget is exhausted.
struct RetryBudgetExhausted {};

using Action = std::variant<StartAttempt, CancelAttempt, Deliver, Refuse,
                            SendProbe, BroadcastSuspected, BroadcastQuarantined,
                            BroadcastCleared, BroadcastLimitEnded, CrashChecked,
                            UpstreamStatusChanged, RetryBudgetExhausted>;
using Actions = std::vector<Action>;

const char *nameOf(PlacementReason::LoadKnowledge knowledge);
const char *nameOf(UpstreamStatusChanged::Status status);
const char *nameOf(CrashChecked::Verdict verdict);

} // namespace zinniarail::balance
