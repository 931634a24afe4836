/// \file
/// The engine's internal state: the plan in force, the upstreams, the requests
/// without a final answer and the running attempts.
#pragma once

#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balance/Precedence.h"
#include "balance/RateLimits.h"
#include "zinniarail/balance/Engine.h"
#include "zinniarail/balance/Forecast.h"
#include "zinniarail/quarantine/Quarantine.h"

namespace zinniarail::balance {

/// An upstream's health, derived from the outcomes of its attempts and checks.
struct HealthState {
  unsigned ConsecutiveFailures = 0;
  double FailureRate = 0; ///< EWMA of the share of failures.
  Instant EjectedUntil{};
  Duration Backoff{0};     ///< Length of the last ejection; 0 when healthy.
  bool NeedsProbe = false; ///< Stays ejected until a health check succeeds.
};

/// An attempt whose connection broke. A health check finds out whether its
/// upstream crashed.
struct BrokenAttempt {
  std::uint64_t Fingerprint = 0;
  Instant Started{};
  Instant BrokenAt{};
  bool StaleKeepAlive = false; ///< As AttemptEnded::StaleKeepAlive.
};

/// An upstream of the plan, or one that was removed from the plan while
/// attempts were still running on it.
struct UpstreamState {
  PlannedUpstream Plan;
  bool Planned = true;
  std::vector<AttemptId> RunningAttempts; ///< Oldest first.
  ReportedLoad Load;
  HealthState Health;
  /// EWMA of the measured time over the time predicted from load reports;
  /// decays towards 1.
  double ResidualSlowdown = 1;
  Instant ResidualUpdatedAt{};
  Instant ColdUntil{};         ///< Warms up (slow start) until this time.
  Instant NextColdRequestAt{}; ///< No request before this time while cold.
  /// It wants neither requests nor health checks before this time.
  Instant RefusesUntil{};
  /// As AttemptEnded::RateLimit.
  std::optional<double> RateLimit;
  RateShare LimitShare; ///< Set while there is a RateLimit.
  Instant NextLimitedRequestAt{};
  /// Attempts that broke here. A health check on a new connection is running,
  /// or follows the one that is, to find out whether the upstream crashed.
  std::vector<BrokenAttempt> BrokenAttempts;
  bool ProbePending = false;
  bool ProbeIsCrashCheck = false; ///< The pending health check is for them.
  Instant ProbedAt{};
  /// Token bucket of this instance's health checks of this upstream.
  double ProbeTokens = 0;
  /// When ProbeTokens was last refilled; Instant::min() if the bucket is full.
  Instant ProbeTokensUpdatedAt = Instant::min();
  Instant JoinedAt{};
};

/// The queued requests of each connection.
struct QueueShares {
  std::map<std::uint64_t, std::set<RequestId>> ByConnection;
  /// Number of queued requests and connection, of all in ByConnection.
  std::set<std::pair<std::size_t, std::uint64_t>> Sizes;
};

/// One request without a final answer.
struct RequestState {
  RequestId Id{};
  std::uint64_t Connection = 0; ///< As RequestArrived::Connection.
  RoutePolicy Policy;
  std::uint64_t Fingerprint = 0;
  Instant Arrived{};
  Instant Deadline{};
  Instant Goal{}; ///< As QueuedRequest::Goal.
  bool Queued = false;
  Instant QueuedAt{};
  unsigned AttemptsSent = 0; ///< Excludes attempts that ended as NotSent.
  std::vector<std::string> TriedUpstreams;
  std::vector<AttemptId> RunningAttempts;
  /// Whether any of the ended attempts ran the request.
  Execution PriorExecution = Execution::DidNotRun;
  unsigned BrokenAttempts = 0; ///< Attempts that ended as Broken.
  /// Upstream of the last broken attempt. The request is not retried before
  /// CrashCheckDeadline while a health check finds out whether it crashed.
  std::string CrashCheckUpstream;
  Instant CrashCheckDeadline{};
  Instant HedgeAt = Instant::max();
  /// It is one of those for ServicePlan::TargetShare if this is below it. A
  /// request that came before the share was set is not.
  double TargetDraw = 1;
};

/// One running attempt. Its request may already have its answer.
struct AttemptState {
  RequestId Request{};
  std::string Upstream;
  std::string Route;
  std::uint64_t Fingerprint = 0;
  Instant Started{};
  Duration ExpectedTime{0};
  /// The upstream's slowness at the start; 0 without a load report not older
  /// than MaxFreshAge, 1 if the service reports no load.
  double ReportedSlowness = 1;
  /// Whether the attempt took the upstream's last free slot, by a load report
  /// not older than MaxFreshAge.
  bool OnLastSlot = false;
  bool Cancelled = false;
};

struct Engine {
  ServicePlan Plan;
  Random Rng;
  std::uint64_t NextAttempt = 1;
  std::map<std::string, UpstreamState> Upstreams;
  /// Failure domains of the planned upstreams; at least 1.
  std::size_t DomainCount = 1;
  std::unordered_map<std::uint64_t, RequestState> Requests;
  std::unordered_map<std::uint64_t, AttemptState> Attempts;
  std::set<RequestId> Queue;
  QueueShares SharesOfQueue; ///< Of the requests in Queue.
  /// The first of the queue, in order, as of the last pass over all of it.
  std::vector<RequestId> Front;
  /// Queued since that pass, and not tried yet.
  std::vector<RequestId> Untried;
  /// Requests that the events since that pass have paid for: a pass over a long
  /// queue is due once they are as many as the queue.
  std::size_t PassCredit = 0;
  std::map<std::string, AllowedTime> AllowedTimes; ///< By route.
  RoomEstimate Room;
  FairShares Shares;
  /// Deadlines and hedge times, with the request's number.
  std::set<std::pair<Instant, std::uint64_t>> Timers;
  /// Deadlines of attempts whose caller has gone, with the attempt's number.
  std::set<std::pair<Instant, std::uint64_t>> AbandonedAttempts;
  std::map<std::string, ServiceTimeEstimate> ServiceTimes; ///< By route.
  double MeanSlowness = 1;  ///< EWMA over all reports.
  double UsualSlowness = 1; ///< Running 40th percentile of the reports.
  /// Factor on the time of a request that takes an upstream's last free slot.
  double LastSlotFactor = 1.4;
  Instant LastSlotUsedAt{};
  /// EWMA of the share of load reports that show a full or slow upstream.
  double BusyReportShare = 0;
  Instant LastAttemptAt{};
  bool ReportsLoad = true; ///< False after a good response without a report.
  RetryBudget Budget;
  bool BudgetExhaustionReported = false; ///< RetryBudgetExhausted was emitted.
  /// Token bucket of this instance's health checks of all upstreams.
  double ProbeTokens = 1;
  Instant ProbeTokensUpdatedAt{};
  std::shared_ptr<Quarantine> CrashQuarantine; ///< Never null.
  bool AnyReachable = true; ///< False: requests are refused, not queued.
  Instant QueueRecheckAt = Instant::max(); ///< When to dispatch the queue next.
  EngineCounters Counters;
};

/// The context of one event: the engine, the time and the actions to append to.
struct Step {
  Engine &State;
  Instant Now;
  Actions &Output;
};

/// What to do with a queued request.
struct Placement {
  enum class Kind : std::uint8_t {
    Send,       ///< Send it to Upstream.
    Probe,      ///< Wait for health checks; send new ones to Probes.
    Wait,       ///< No upstream can take it now.
    NoUpstream, ///< No upstream is in service.
  };
  Kind Decision = Kind::Wait;
  UpstreamState *Upstream = nullptr;
  std::vector<UpstreamState *> Probes;
  PlacementReason Reason;
  /// Least expected time, in microseconds, at an upstream with a fresh report
  /// and a free slot.
  double LeastFreshTime = std::numeric_limits<double>::max();
};

// Requests.cpp
void onArrival(Step step, const RequestArrived &event);
void onCallerGone(Step step, const CallerGone &event);
void onReachChanged(Step step, const ReachChanged &event);
void runTimers(Step step);
/// Refuses all requests once the instance's stop is over.
void refuseAllIfStopped(Step step);
void cancelExpiredAttempts(Step step);
void refuse(Step step, RequestState &request, RefusalReason reason);
void deliver(Step step, RequestState &request, AttemptId attempt);
void enqueue(Step step, RequestState &request);
void dequeue(Engine &engine, RequestState &request);
void scheduleHedge(Engine &engine, RequestState &request, Instant at);

// Queue.cpp
/// How long a request of this route takes on an upstream of usual speed.
Duration usualServiceTime(const Engine &engine, const RequestState &request);
/// A service time that few requests of this route exceed, as above.
Duration cautiousServiceTime(const Engine &engine, const RequestState &request);
/// Whether the queue holds as many requests as it may.
bool isQueueFull(const Engine &engine, Instant now);
/// What a request's precedence depends on.
QueuedRequest queuedRequest(const Engine &engine, const RequestState &request);
/// Refuses a queued request of the connection that has most of them, if it has
/// at least two more than that of a newcomer, which then takes the place. One
/// that is more urgent, or that may have run, keeps its place.
/// \returns whether a place is free now.
bool yieldToOtherConnection(Step step, const RequestState &newcomer);
/// Tries to place queued requests, in order of precedence: all of them if they
/// are few or none was tried for a while, else the first ones and those that
/// were queued since. The work of an event doesn't grow with the queue.
void dispatchQueue(Step step);

// Attempts.cpp
void startAttempt(Step step, RequestState &request, const Placement &found,
                  bool isHedge);
void onAttemptEnded(Step step, const AttemptEnded &event);
void startHedge(Step step, RequestState &request);
void cancelRunningAttempts(Step step, RequestState &request);

// Upstreams.cpp
void applyPlan(Engine &engine, Instant now);
void dropUnplanned(Engine &engine, Instant now);
void onProbeEnded(Step step, const ProbeEnded &event);
void recordLoadReport(Engine &engine, UpstreamState &upstream,
                      const LoadReport &report, Instant now);
/// Whether a reported slowness is well above the usual one.
bool isSlow(const Engine &engine, double slowness);
void recordSuccess(UpstreamState &upstream);
/// Records a failure and ejects the upstream after too many.
/// \param certain true if the failure proves that the upstream is out of order,
/// in which case it is ejected at once.
/// \param why the reason to log.
void recordFailure(Step step, UpstreamState &upstream, bool certain,
                   const char *why);
/// Records that an upstream wants no requests for a time.
void recordRefusal(Step step, UpstreamState &upstream, Duration retryAfter);
bool isRefusing(const UpstreamState &upstream, Instant now);
/// When the first planned upstream takes requests of this instance again, if
/// all of them refuse requests or have reached their limits now; else \p now.
Instant endOfRefusals(const Engine &engine, Instant now);
/// Updates the residual slowdown with the outcome of one attempt.
/// \param ratio the attempt's measured time divided by its expected time, which
/// includes the residual slowdown so far.
void updateResidualSlowdown(UpstreamState &upstream, double ratio, Instant now);
double currentResidualSlowdown(const UpstreamState &upstream, Instant now);
void sendProbe(Step step, UpstreamState &upstream);
/// Whether the service's budget allows another health check.
bool mayProbe(const Engine &engine, Instant now);
/// Whether the upstream's own budget allows another health check.
bool mayProbe(const Engine &engine, const UpstreamState &upstream, Instant now);
/// Makes ejected upstreams due for a health check.
void endBackoffs(Engine &engine, Instant now);
void probeEjectedUpstreams(Step step);
Instant nextEjectedProbe(const Engine &engine);
bool isEjected(const UpstreamState &upstream, Instant now);
bool isCold(const UpstreamState &upstream, Instant now);
void paceColdRequests(const Engine &engine, UpstreamState &upstream,
                      Instant now);

// RateLimits.cpp
/// Records the limit that a response named, or that it named none.
void recordRateLimit(Step step, UpstreamState &upstream,
                     std::optional<double> limit);
void onPeerLimitEnded(Step step, const PeerLimitEnded &event);
/// Applies a change of the plan's instances.
void updateLimitShares(Engine &engine, Instant now);
void paceLimitedRequests(Engine &engine, UpstreamState &upstream, Instant now);
/// Whether the upstream's limit allows this instance no request yet.
bool awaitsTurn(const UpstreamState &upstream, Instant now);
/// The number of requests that the upstreams' limits allow until \p when; none
/// if one of the planned upstreams has no limit, or there is none.
std::optional<std::size_t> turnsBefore(const Engine &engine, Instant when,
                                       Instant now);
/// Retry-After while the upstreams' limits allow no request: spreads callers
/// over the turns that follow.
Duration limitedRetryAfter(Engine &engine, Instant now);

// Placing.cpp
/// Chooses an upstream for a request.
/// \param lastResort true to place the request by a stale report even if most
/// reports show a full or slow upstream, once no attempt was sent for a time.
Placement placeRequest(Engine &engine, const RequestState &request,
                       bool lastResort, Instant now);
/// The longest expected time, in microseconds, for which a request is sent to
/// an upstream that is known to have room.
double acceptableTime(const Engine &engine, const RequestState &request,
                      Instant now);
/// Whether an attempt of the request was started at the upstream.
bool wasTried(const RequestState &request, const UpstreamState &upstream);
/// Counts the upstreams by state, as seen by this request.
UpstreamSummary summarizeUpstreams(Engine &engine, const RequestState &request,
                                   Instant now);
/// Number of an upstream's slots that are worth using: all of them, or all but
/// one if using the last one reduces its throughput.
unsigned capacityOf(const Engine &engine, const UpstreamState &upstream,
                    Instant now);

// Crashes.cpp
/// Whether requests with this fingerprint are refused, because it is
/// quarantined or held until the decision on a quarantine.
bool isRefused(const Engine &engine, std::uint64_t fingerprint, Instant now);
/// Whether requests with this fingerprint may have crashed an upstream.
bool isSuspect(const Engine &engine, std::uint64_t fingerprint, Instant now);
/// Whether a request waits for a health check of an upstream that it may have
/// crashed.
bool awaitsCrashCheck(const Engine &engine, const RequestState &request,
                      Instant now);
/// How long requests with this fingerprint are still refused.
Duration refusalRemaining(const Engine &engine, std::uint64_t fingerprint,
                          Instant now);
/// Starts a health check after a broken attempt, to find out whether the
/// request crashed the upstream.
void startCrashCheck(Step step, UpstreamState &upstream,
                     const BrokenAttempt &attempt);
/// Handles the end of a crash check. If the upstream is gone, the requests
/// whose connections broke become suspects; else those that broke after the
/// check was sent need another one.
void finishCrashCheck(Step step, UpstreamState &upstream, bool gone);
/// Sends the health check of a crash check unless another is pending.
void sendCrashCheck(Step step, UpstreamState &upstream);
/// Clears a fingerprint of suspicion after a complete response.
void recordHarmless(Step step, std::uint64_t fingerprint);

} // namespace zinniarail::balance
