/// \file
/// What a service's engine knows: its plan, its upstreams, the requests without
/// a final answer and the attempts that are running.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "zinniarail/balance/Engine.h"
#include "zinniarail/balance/Forecast.h"
#include "zinniarail/quarantine/Quarantine.h"

namespace zinniarail::balance {

/// What an upstream's ends say of it.
struct Health {
  unsigned FailuresInRow = 0;
  double FailureShare = 0; ///< Running mean.
  Instant EjectedUntil{};
  Duration Backoff{0};     ///< Of the last ejection; 0 when in good standing.
  bool NeedsProbe = false; ///< Out until a health check succeeds.
};

/// One upstream, planned, or gone from the plan with attempts still running.
struct UpstreamState {
  Target Plan;
  bool Planned = true;
  std::vector<AttemptId> Running; ///< Oldest first.
  KnownLoad Load;
  Health Standing;
  /// How much longer work takes than its reports explain; fades towards 1.
  double Drag = 1;
  Instant DragAt{};
  Instant ColdUntil{};
  Instant ColdNext{}; ///< The next request that it may get while cold.
  /// Requests that broke off there, until it is known whether it lives.
  std::vector<std::uint64_t> BrokenPrints;
  bool ProbeOut = false;
  Instant ProbedAt{};
  double ProbeTokens = 0; ///< Health checks that it may get from here.
  Instant ProbeTokensAt = Instant::min(); ///< min: all that may be saved.
  Instant JoinedAt{};
};

/// One request without a final answer.
struct RequestState {
  RequestId Id{};
  Rules Treatment;
  std::uint64_t Fingerprint = 0;
  Instant Arrived{};
  Instant Deadline{};
  bool Queued = false;
  Instant QueuedAt{};
  unsigned Sent = 0; ///< Upstreams that got it.
  std::vector<std::string> Tried;
  std::vector<AttemptId> Live;
  Truth Past = Truth::DidNotRun; ///< What its ended attempts leave known.
  unsigned Broke = 0;            ///< Attempts that broke off.
  /// Where the last one did, while it is asked whether that was a crash.
  std::string VerdictFrom;
  Instant VerdictUntil{};
  Instant HedgeAt = Instant::max();
};

/// One running attempt. Its request may have its answer already.
struct AttemptState {
  RequestId Request{};
  std::string Upstream;
  std::string Route;
  std::uint64_t Fingerprint = 0;
  Instant Started{};
  Duration Expected{0};
  double Slowness = 1;     ///< Known as it started; 0 when it was not.
  bool OnLastSlot = false; ///< As far as was known as it started.
  bool Cancelled = false;
};

struct Engine {
  ServicePlan Plan;
  Random Draws;
  std::uint64_t NextAttempt = 1;
  std::map<std::string, UpstreamState> Upstreams;
  std::size_t Domains = 1; ///< Failure domains that the planned ones are in.
  std::unordered_map<std::uint64_t, RequestState> Requests;
  std::unordered_map<std::uint64_t, AttemptState> Attempts;
  std::vector<RequestId> Queue;
  std::set<std::pair<Instant, std::uint64_t>> Timers; ///< Deadlines, hedges.
  std::map<std::string, WorkEstimate> Work;           ///< By route.
  double MeanSlowness = 1;
  double UsualSlowness = 1; ///< What the better part of the reports say.
  /// How much longer a request takes on an upstream's last free slot.
  double LastSlotFactor = 1.4;
  Instant LastSlotTriedAt{};
  double BadShare = 0;   ///< Of the reports: no room, or slow.
  Instant SentAt{};      ///< The last attempt.
  bool TellsLoad = true; ///< Until a response came without a report.
  RetryBudget Budget;
  bool BudgetTold = false; ///< That it is spent.
  double ProbeTokens = 1;
  Instant ProbeTokensAt{};
  Quarantine Dangerous;
  Instant LookAgainAt = Instant::max(); ///< At what is queued.
  EngineCounters Counters;
};

/// One step of the engine: what is changed, when, and what is to be done.
struct Step {
  Engine &Self;
  Instant Now;
  Actions &Out;
};

/// What to do with a request that waits.
struct Placement {
  enum class Kind : std::uint8_t {
    Send,  ///< To Upstream.
    Look,  ///< First ask those of Probes how they are.
    Wait,  ///< Nobody has room, or answers are due.
    Never, ///< No upstream is in service.
  };
  Kind What = Kind::Wait;
  UpstreamState *Upstream = nullptr;
  std::vector<UpstreamState *> Probes;
  Choice Why;
};

// Requests.cpp
void onArrival(Step step, const RequestArrived &event);
void onGone(Step step, const CallerGone &event);
void runTimers(Step step);
void refuse(Step step, RequestState &request, RefusalReason reason);
void deliver(Step step, RequestState &request, AttemptId attempt);
void enqueue(Step step, RequestState &request);
void setHedge(Engine &engine, RequestState &request, Instant at);
/// Places what is queued, best first.
void drain(Step step);

// Attempts.cpp
void startAttempt(Step step, RequestState &request, const Placement &found,
                  bool isHedge);
void onEnded(Step step, const AttemptEnded &event);
void hedge(Step step, RequestState &request);
void cancelLive(Step step, RequestState &request);

// Upstreams.cpp
void putTargets(Engine &engine, Instant now);
void dropUnplanned(Engine &engine);
void onProbe(Step step, const ProbeEnded &event);
void takeReport(Engine &engine, UpstreamState &upstream,
                const LoadReport &report, Instant now);
/// Whether a reported slowness stands out.
bool isSlow(const Engine &engine, double slowness);
void noteGood(UpstreamState &upstream);
/// \param certain whether the upstream is surely out of order.
/// \param why for the log.
void noteFailure(Step step, UpstreamState &upstream, bool certain,
                 const char *why);
void noteDrag(UpstreamState &upstream, double ratio, Instant now);
double dragNow(const UpstreamState &upstream, Instant now);
void probe(Step step, UpstreamState &upstream);
/// Whether the service's health checks are within their budget,
bool mayProbe(const Engine &engine, Instant now);
/// and those of one of its upstreams.
bool mayProbe(const Engine &engine, const UpstreamState &upstream, Instant now);
void tendUpstreams(Step step);
Instant nextTending(const Engine &engine);
bool isEjected(const UpstreamState &upstream, Instant now);
bool isCold(const UpstreamState &upstream, Instant now);
void paceCold(const Engine &engine, UpstreamState &upstream, Instant now);

// Placing.cpp
/// \param lastResort whether those that would be late may be taken.
Placement place(Engine &engine, const RequestState &request, bool lastResort,
                Instant now);
/// What is known of the upstreams, as a request of this kind meets them.
Situation describeSituation(Engine &engine, const RequestState &request,
                            Instant now);
/// Requests that an upstream is given at a time.
unsigned capacityOf(const Engine &engine, const UpstreamState &upstream,
                    Instant now);
/// How long a request of this route would take on an upstream at best.
Duration leastTime(const Engine &engine, const RequestState &request);

// Crashes.cpp
bool isCondemned(const Engine &engine, std::uint64_t fingerprint, Instant now);
/// Whether requests like it may have crashed an upstream.
bool isSuspect(const Engine &engine, std::uint64_t fingerprint, Instant now);
/// Whether a request waits to hear if it crashed an upstream.
bool awaitsVerdict(const Engine &engine, const RequestState &request,
                   Instant now);
/// For how long requests like it are refused.
Duration condemnedFor(const Engine &engine, std::uint64_t fingerprint,
                      Instant now);
/// A request broke off at an upstream, which is asked whether it lives.
void suspectCrash(Step step, UpstreamState &upstream,
                  std::uint64_t fingerprint);
/// The answer to that.
void settleCrash(Step step, UpstreamState &upstream, bool lives);
void noteHarmless(Engine &engine, std::uint64_t fingerprint);
void onSuspected(Step step, const Suspected &event);
void onCondemned(Step step, const Condemned &event);

} // namespace zinniarail::balance
