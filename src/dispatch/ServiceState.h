/// \file
/// What a service's engine knows: its plan, its upstreams, the requests
/// without a final answer and the attempts that are running.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniarail/admission/Admission.h"
#include "zinniarail/dispatch/Engine.h"
#include "zinniarail/load/Load.h"
#include "zinniarail/quarantine/Quarantine.h"
#include "zinniarail/retry/Retry.h"
#include "zinniarail/routing/Guard.h"
#include "zinniarail/warmup/Warmup.h"

namespace zinniarail {

/// One upstream, planned, or gone from the plan with attempts still running.
struct UpstreamState {
  Target Plan;
  bool Planned = true;
  std::vector<AttemptId> Running; ///< Oldest first.
  UpstreamHealth Health;
  Warmth Warm;
  ReportedLoad Load;
  Instant CrashedAt{}; ///< Attempts from before it broke with that crash.
  std::uint64_t CrashedLife = 0; ///< Its incarnation before that crash.
  /// The last time that something broke there, by any home's word, while no
  /// later report has told whether it was a crash; otherwise Instant::max().
  Instant UnprovenSince = Instant::max();
  Instant ProbedAt{};
  bool ProbeOut = false;
  unsigned WordsLeft = 0; ///< Times to repeat that it is warm.
  Instant NextWord = Instant::max();
};

/// Where a request is in its life.
enum class RequestStage : std::uint8_t { Claiming, Queued, Running };

/// One request without a final answer.
struct RequestState {
  RequestId Id{};
  std::string Key;
  std::uint64_t Fingerprint = 0;
  Place Waiting; ///< Its place in the queue, while Queued.
  bool Idempotent = true;
  bool Claimed = false; ///< Its key was granted.
  RequestStage Stage = RequestStage::Queued;
  Instant Arrived{};
  Instant Deadline{};
  Instant HedgeAt = Instant::max();
  Instant Timer = Instant::max(); ///< As in ServiceState::Timers.
  Truth Past = Truth::DidNotRun;  ///< What its ended attempts leave known.
  std::vector<AttemptId> Live;
  std::vector<const UpstreamState *> Tried;
  unsigned Broken = 0; ///< Attempts that broke off.
};

/// One running attempt. Its request may have its answer already.
struct AttemptState {
  RequestId Request{};
  UpstreamState *Upstream = nullptr;
  Instant Started{};
  Instant Deadline{};
  std::uint64_t Fingerprint = 0;
  std::string Key;         ///< The granted key that it carries, if any.
  unsigned ColdStarts = 0; ///< The upstream's, as it started.
  std::uint64_t Life = 0;  ///< Likewise its incarnation; 0 when unknown.
  bool Sent = false;
  bool Hedge = false;
  bool Cancelled = false;
};

/// Counts since the start, for dumps and metrics.
struct EngineCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Delivered = 0;
  std::map<RefusalReason, std::uint64_t> Refused;
  std::uint64_t Attempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t KeysReleased = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Held = 0;
  std::uint64_t Condemned = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t ColdStarts = 0;
};

struct ServiceState {
  ServicePlan Plan;
  Instant ValidUntil{};
  Instant LastEvent{}; ///< The time of the last event.
  Random Draws;
  std::uint64_t NextAttempt = 0;
  std::uint64_t NextArrival = 0;
  std::size_t Cursor = 0; ///< The round robin's.
  bool Stopping = false;

  std::map<std::string, UpstreamState> Upstreams;
  std::unordered_map<std::uint64_t, RequestState> Requests;
  std::unordered_map<std::uint64_t, AttemptState> Attempts;
  WaitingQueue Queue;
  std::set<std::pair<Instant, std::uint64_t>> Timers; ///< One a request.
  /// Claims still being sought for requests that have their answer.
  std::unordered_map<std::uint64_t, std::string> AbandonedClaims;
  std::size_t ClaimsSought = 0;

  /// The latency of most upstreams; zero until one answered.
  Duration Typical{0};
  unsigned AnswersToTypical = 0; ///< Until it is worked out anew.
  /// When to look again at what waits for a quick upstream.
  Instant RecheckAt = Instant::max();
  ProbeBudget Probes;
  Quarantine Dangerous;

  ShareBudget HedgeBudget;
  ShareBudget RetryBudget;
  LatencyDistribution Latencies;
  EngineCounters Counters;
};

constexpr unsigned FirstServerError = 500;

/// Tells whether an upstream answered that it failed.
inline bool isServerError(const AttemptEnded &event) {
  return event.End == AttemptEnd::Answered && event.Status >= FirstServerError;
}

inline std::uint64_t numberOf(RequestId id) {
  return static_cast<std::uint64_t>(id);
}

inline std::uint64_t numberOf(AttemptId id) {
  return static_cast<std::uint64_t>(id);
}

} // namespace zinniarail
