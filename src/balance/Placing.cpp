// Placement: chooses the upstream that is expected to answer first, and
// prefers this instance's own failure domain where that costs little.
#include "balance/State.h"

#include <algorithm>
#include <limits>

namespace zinniarail::balance {

namespace {

// Maximum number of upstreams that are probed for their load at a time before a
// request is sent.
constexpr std::size_t MaxProbesPerRequest = 2;

// Each further request at the same upstream lengthens the service time of a
// request by this fraction.
constexpr double SlowdownPerConcurrentRequest = 0.1;

// Interval at which an upstream's last free slot is used again although that
// seems to reduce its throughput.
constexpr Duration LastSlotRetryInterval = std::chrono::seconds{1};

// A request that would take longer than this multiple of the usual time waits
// for a better upstream, unless it can still meet its latency target.
constexpr double AcceptableTimeFactor = 1.5;

// An upstream with a stale report is probed if its time could be below this
// part of the best known one.
constexpr double ProbeGainFactor = 0.8;

// If at least this share of the load reports show a full or slow upstream, a
// placement by a stale report is likely to be wrong.
constexpr double MaxBusyReportShareForGuess = 0.5;

// After this time without any attempt a late request is sent on a stale report
// anyway, so that wrong reports can't stop all requests.
constexpr Duration ForcedGuessInterval = std::chrono::milliseconds{250};

// Delay before a slow upstream is probed again; slowness changes many times a
// second.
constexpr Duration SlowUpstreamProbeDelay = std::chrono::milliseconds{40};

// Added to the expected time of an upstream of another failure domain, as a
// fraction of the latency target.
constexpr double OtherDomainPenalty = 0.1;

// A cold upstream, one that is warming up, takes about twice as long.
constexpr double ColdFactor = 2;

// A probe without an answer after LateProbeAge multiplies the expected time.
constexpr Duration LateProbeAge = std::chrono::milliseconds{20};
constexpr double LateProbeFactor = 5;

// An attempt that has run for more than this multiple of its expected time
// raises the upstream's expected time in proportion.
constexpr double OverdueThreshold = 2;

// Two requests that may have crashed an upstream must not run side by side on
// one: after a crash it would not be known which of them caused it.
bool hasSuspectInFlight(const Engine &engine, const UpstreamState &upstream,
                        Instant now) {
  return std::any_of(upstream.RunningAttempts.begin(),
                     upstream.RunningAttempts.end(), [&](AttemptId id) {
                       return isSuspect(
                           engine, engine.Attempts.at(numberOf(id)).Fingerprint,
                           now);
                     });
}

// The largest ratio of an attempt's running time to its expected time, or 1 if
// none is overdue.
double overdueFactor(const Engine &engine, const UpstreamState &upstream,
                     Instant now) {
  double worst = 1;
  for (const AttemptId id : upstream.RunningAttempts) {
    const AttemptState &it = engine.Attempts.at(numberOf(id));
    const auto expected =
        static_cast<double>(std::max(it.ExpectedTime, Duration{1000}).count());
    worst = std::max(worst, static_cast<double>((now - it.Started).count()) /
                                expected);
  }
  return worst > OverdueThreshold ? worst : 1;
}

/// An upstream that may take a request, with the estimates for that request.
struct Candidate {
  UpstreamState *Upstream = nullptr;
  /// Expected time at best, in microseconds: the slowness of a stale report is
  /// assumed to decay towards 1 instead of the service's mean.
  double OptimisticTime = 0;
  double ExpectedTime = 0; ///< Microseconds.
  double InFlight = 0;
  double Slowness = 1;
  bool Fresh = false;
  bool Full = false;
};

double estimateTime(const Engine &engine, const RequestState &request,
                    const UpstreamState &upstream, double slowness,
                    double inFlight, Instant now) {
  const Duration usual = usualServiceTime(engine, request);
  double time = static_cast<double>(usual.count()) * slowness;
  time *= currentResidualSlowdown(upstream, now) *
          overdueFactor(engine, upstream, now);
  time *= 1 + SlowdownPerConcurrentRequest * inFlight;
  const double slots = upstream.Plan.Slots;
  if (inFlight + 1.5 > slots && slots > 1) {
    time *= std::max(1.0, engine.LastSlotFactor);
  }
  if (inFlight >= slots) {
    time *= 1 + (inFlight + 1 - slots) / slots;
  }
  if (isCold(upstream, now)) {
    time *= ColdFactor;
  }
  if (upstream.ProbePending && now - upstream.ProbedAt > LateProbeAge) {
    time *= LateProbeFactor;
  }
  if (upstream.Plan.Domain != engine.Plan.Domain) {
    time += OtherDomainPenalty *
            static_cast<double>(request.Policy.LatencyTarget.count());
  }
  return time;
}

Candidate evaluateUpstream(Engine &engine, const RequestState &request,
                           UpstreamState &upstream, Instant now) {
  Candidate out;
  out.Upstream = &upstream;
  const auto own = static_cast<unsigned>(upstream.RunningAttempts.size());
  const Duration usual = usualServiceTime(engine, request);
  out.InFlight = expectedInFlight(upstream.Load, own, usual, now);
  out.Fresh = isFresh(upstream.Load, now);
  const double slowness =
      expectedSlowness(upstream.Load, engine.MeanSlowness, now);
  const double optimisticSlowness =
      out.Fresh ? slowness
                : std::min(expectedSlowness(upstream.Load, 1, now), slowness);
  out.Slowness = slowness;
  out.ExpectedTime =
      estimateTime(engine, request, upstream, slowness, out.InFlight, now);
  out.OptimisticTime = estimateTime(engine, request, upstream,
                                    optimisticSlowness, out.InFlight, now);
  out.Full =
      out.InFlight + 0.5 >= upstream.Plan.Slots || own >= upstream.Plan.Slots;
  return out;
}

// The upstreams that a request is confined to.
enum class UpstreamGroup : std::uint8_t { All, Target, Others };

bool belongsTo(const UpstreamState &upstream, UpstreamGroup group) {
  return group == UpstreamGroup::All ||
         upstream.Plan.IsTarget == (group == UpstreamGroup::Target);
}

std::vector<Candidate> findCandidates(Engine &engine,
                                      const RequestState &request,
                                      UpstreamGroup group, Instant now) {
  std::vector<Candidate> open;
  std::vector<Candidate> ejected;
  std::vector<Candidate> tried;
  const bool isolated = isSuspect(engine, request.Fingerprint, now);
  for (auto &[id, it] : engine.Upstreams) {
    if (isolated && hasSuspectInFlight(engine, it, now)) {
      continue;
    }
    if (!it.Planned || !belongsTo(it, group) || isRefusing(it, now) ||
        awaitsTurn(it, now) ||
        (isCold(it, now) && now < it.NextColdRequestAt)) {
      continue;
    }
    if (wasTried(request, it)) {
      tried.push_back(evaluateUpstream(engine, request, it, now));
    } else if (isEjected(it, now)) {
      ejected.push_back(evaluateUpstream(engine, request, it, now));
    } else {
      open.push_back(evaluateUpstream(engine, request, it, now));
    }
  }
  if (group == UpstreamGroup::Target) {
    return open; // The others are there for all else.
  }
  // If more than two thirds seem unhealthy, the fault is likely elsewhere:
  // ejections are ignored (panic mode).
  if (open.empty() || ejected.size() > open.size() * 2) {
    open.insert(open.end(), ejected.begin(), ejected.end());
  }
  return open.empty() ? tried : open;
}

// A request that goes to the target does so at its first attempt, and only if
// an upstream there can take it now.
std::vector<Candidate>
findCandidates(Engine &engine, const RequestState &request, Instant now) {
  const auto &share = engine.Plan.TargetShare;
  if (!share) {
    return findCandidates(engine, request, UpstreamGroup::All, now);
  }
  if (request.TargetDraw < *share && request.TriedUpstreams.empty()) {
    auto found = findCandidates(engine, request, UpstreamGroup::Target, now);
    if (std::any_of(found.begin(), found.end(),
                    [](const Candidate &it) { return !it.Full; })) {
      return found;
    }
  }
  return findCandidates(engine, request, UpstreamGroup::Others, now);
}

// The candidate with the lowest cost and a free slot; ties are broken at
// random.
template <typename Key>
const Candidate *pickCheapest(Engine &engine,
                              const std::vector<Candidate> &candidates,
                              Key key) {
  const Candidate *best = nullptr;
  double least = std::numeric_limits<double>::max();
  std::uint32_t tied = 0;
  for (const Candidate &it : candidates) {
    if (it.Full) {
      continue;
    }
    const double cost = key(it);
    if (cost < least) {
      best = &it;
      least = cost;
      tied = 1;
    } else if (cost == least && drawBelow(engine.Rng, ++tied) == 0) {
      best = &it;
    }
  }
  return best;
}

Placement send(const Candidate &chosen,
               PlacementReason::LoadKnowledge knowledge, Instant now) {
  Placement out;
  out.Decision = Placement::Kind::Send;
  out.Upstream = chosen.Upstream;
  out.Reason.Knowledge = knowledge;
  const ReportedLoad &load = chosen.Upstream->Load;
  out.Reason.ReportAge =
      load.HasReport ? now - load.ReceivedAt : Duration::max();
  out.Reason.ExpectedInFlight = chosen.InFlight;
  out.Reason.ExpectedSlowness = chosen.Slowness;
  out.Reason.ExpectedTime =
      Duration(static_cast<Duration::rep>(chosen.ExpectedTime));
  out.Reason.IsCold = isCold(*chosen.Upstream, now);
  return out;
}

// The earliest time at which the upstream may have a free slot and usual speed,
// by its last report. Instant{} means that it may have them already.
Instant nextUsefulProbe(const Engine &engine, const UpstreamState &upstream,
                        Duration usual, Instant now) {
  const LoadReport &report = upstream.Load.Report;
  if (!upstream.Load.HasReport) {
    return Instant{};
  }
  if (isSlow(engine, report.Slowness)) {
    return upstream.Load.ReceivedAt + SlowUpstreamProbeDelay;
  }
  const unsigned inFlight = report.Running + report.Waiting;
  const unsigned capacity = capacityOf(engine, upstream, now);
  if (inFlight < capacity) {
    return Instant{};
  }
  return upstream.Load.ReceivedAt + usual * (inFlight - capacity + 1) /
                                        std::max(upstream.Plan.Slots, 1U) / 2;
}

// At most MaxProbesPerRequest upstreams without a fresh report that may be
// probed now and could take less than `limit` microseconds, fastest first.
std::vector<UpstreamState *>
selectProbes(Engine &engine, const std::vector<Candidate> &candidates,
             double limit, Duration usual, Instant now) {
  std::vector<const Candidate *> stale;
  for (const Candidate &it : candidates) {
    if (!it.Fresh && it.OptimisticTime < limit &&
        mayProbe(engine, *it.Upstream, now) &&
        now >= nextUsefulProbe(engine, *it.Upstream, usual, now)) {
      stale.push_back(&it);
    }
  }
  std::shuffle(stale.begin(), stale.end(), engine.Rng);
  std::stable_sort(stale.begin(), stale.end(),
                   [](const Candidate *a, const Candidate *b) {
                     return a->OptimisticTime < b->OptimisticTime;
                   });
  std::vector<UpstreamState *> out;
  for (const Candidate *it : stale) {
    if (out.size() < MaxProbesPerRequest) {
      out.push_back(it->Upstream);
    }
  }
  return out;
}

} // namespace

bool wasTried(const RequestState &request, const UpstreamState &upstream) {
  return std::find(request.TriedUpstreams.begin(), request.TriedUpstreams.end(),
                   upstream.Plan.Id) != request.TriedUpstreams.end();
}

unsigned capacityOf(const Engine &engine, const UpstreamState &upstream,
                    Instant now) {
  const unsigned slots = upstream.Plan.Slots;
  if (slots < 2) {
    return slots;
  }
  // An upstream may finish fewer requests with its last slot in use than
  // without it.
  const bool worthUsing = engine.LastSlotFactor * (slots - 1) < slots;
  const bool retryDue = now - engine.LastSlotUsedAt > LastSlotRetryInterval;
  return worthUsing || retryDue ? slots : slots - 1;
}

double acceptableTime(const Engine &engine, const RequestState &request,
                      Instant now) {
  const auto usual =
      static_cast<double>(usualServiceTime(engine, request).count());
  const auto left = static_cast<double>(
      (request.Arrived + request.Policy.LatencyTarget - now).count());
  return std::max(usual * AcceptableTimeFactor, left);
}

Placement placeRequest(Engine &engine, const RequestState &request,
                       bool lastResort, Instant now) {
  ++engine.Counters.Placements;
  const std::vector<Candidate> candidates =
      findCandidates(engine, request, now);
  if (candidates.empty()) {
    const bool anyPlanned =
        std::any_of(engine.Upstreams.begin(), engine.Upstreams.end(),
                    [](const auto &it) { return it.second.Planned; });
    Placement empty;
    empty.Decision =
        anyPlanned ? Placement::Kind::Wait : Placement::Kind::NoUpstream;
    return empty;
  }
  const double acceptable = acceptableTime(engine, request, now);
  Placement none;
  const Candidate *bestFresh = nullptr;
  for (const Candidate &it : candidates) {
    if (it.Fresh && !it.Full && it.ExpectedTime < none.LeastFreshTime) {
      none.LeastFreshTime = it.ExpectedTime;
      bestFresh = it.ExpectedTime <= acceptable ? &it : nullptr;
    }
  }
  if (engine.ReportsLoad) {
    const double limit = bestFresh == nullptr
                             ? std::numeric_limits<double>::max()
                             : bestFresh->ExpectedTime * ProbeGainFactor;
    Placement probeFirst = none;
    probeFirst.Decision = Placement::Kind::Probe;
    probeFirst.Probes = selectProbes(engine, candidates, limit,
                                     usualServiceTime(engine, request), now);
    const bool probePending =
        std::any_of(probeFirst.Probes.begin(), probeFirst.Probes.end(),
                    [](const UpstreamState *it) { return it->ProbePending; });
    std::erase_if(probeFirst.Probes,
                  [](const UpstreamState *it) { return it->ProbePending; });
    if (!mayProbe(engine, now)) {
      probeFirst.Probes.clear();
    }
    if (probePending || !probeFirst.Probes.empty()) {
      return probeFirst;
    }
  }
  if (bestFresh != nullptr) {
    return send(*bestFresh, PlacementReason::LoadKnowledge::Known, now);
  }
  const bool mayGuess =
      !engine.ReportsLoad ||
      engine.BusyReportShare < MaxBusyReportShareForGuess ||
      (lastResort && now - engine.LastAttemptAt > ForcedGuessInterval);
  const Candidate *best = pickCheapest(
      engine, candidates, [](const Candidate &it) { return it.ExpectedTime; });
  if (best == nullptr || !mayGuess) {
    return none;
  }
  return send(*best,
              engine.ReportsLoad ? PlacementReason::LoadKnowledge::Guessed
                                 : PlacementReason::LoadKnowledge::Unreported,
              now);
}

UpstreamSummary summarizeUpstreams(Engine &engine, const RequestState &request,
                                   Instant now) {
  UpstreamSummary out;
  for (auto &[id, it] : engine.Upstreams) {
    if (!it.Planned) {
      continue;
    }
    ++out.InService;
    const Candidate seen = evaluateUpstream(engine, request, it, now);
    if (isRefusing(it, now)) {
      ++out.Refusing;
    } else if (awaitsTurn(it, now)) {
      ++out.Limited;
    } else if (isEjected(it, now)) {
      ++out.Ejected;
    } else if (isCold(it, now) && now < it.NextColdRequestAt) {
      ++out.Cold;
    } else if (seen.Full) {
      ++out.Full;
    } else if (!seen.Fresh) {
      ++out.Stale;
    } else if (isSlow(engine, it.Load.Report.Slowness)) {
      ++out.Slow;
    }
  }
  out.Queued = engine.Queue.size();
  out.ExpectedWait = expectedWait(engine.Room, out.Queued);
  out.RetryTokens = engine.Budget.Tokens;
  return out;
}

} // namespace zinniarail::balance
