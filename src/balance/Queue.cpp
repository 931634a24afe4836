// The queue: order, refusals while there is too little room, and dispatch.
#include "balance/State.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace zinniarail::balance {

namespace {

ServiceTimeEstimate estimateOf(const Engine &engine,
                               const RequestState &request) {
  const auto found = engine.ServiceTimes.find(request.Policy.Route);
  return found == engine.ServiceTimes.end() ? ServiceTimeEstimate{}
                                            : found->second;
}

// Time before the deadline that is reserved for returning the response to the
// caller.
constexpr Duration AnswerMargin = std::chrono::milliseconds{3};

// Interval at which upstreams that seemed full are checked again for a queued
// request.
constexpr Duration QueueRecheckInterval = std::chrono::milliseconds{10};

// What a queued request adds to that interval, so that checking a long queue
// again and again leaves time for other work.
constexpr Duration RecheckTimePerRequest = std::chrono::microseconds{10};

// Queued requests that each event may try to place. More are tried once the
// events since the last pass over the queue are enough for all of it.
constexpr std::size_t TriesPerEvent = 16;

// Maximum queue depth per slot in service.
constexpr std::size_t MaxQueuedPerSlot = 4;

std::size_t slotsInService(const Engine &engine, Instant now) {
  std::size_t slots = 0;
  for (const auto &[id, it] : engine.Upstreams) {
    slots += it.Planned && !isRefusing(it, now) ? it.Plan.Slots : 0;
  }
  return slots;
}

// Not bounded while no slot is in service: other causes decide then.
std::size_t maxQueued(const Engine &engine, Instant now) {
  const std::size_t slots = slotsInService(engine, now);
  return slots > 0 ? MaxQueuedPerSlot * slots
                   : std::numeric_limits<std::size_t>::max();
}

// A request is assumed to take at most this multiple of its usual service time.
constexpr double ServiceTimeMargin = 1.3;

// The longest time that a request is assumed to take.
Duration maxServiceTime(const Engine &engine, const RequestState &request) {
  const Duration usual = usualServiceTime(engine, request);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(usual.count()) * ServiceTimeMargin));
}

// The latest start at which a request still meets its latency target.
Instant latestStart(const Engine &engine, const RequestState &request) {
  return request.Arrived + request.Policy.LatencyTarget -
         maxServiceTime(engine, request);
}

// The queue in order of precedence.
std::vector<QueuedRequest> sortedQueue(Engine &engine, Instant now) {
  std::vector<QueuedRequest> queue;
  queue.reserve(engine.Queue.size());
  Duration shortest = Duration::max();
  for (const RequestId id : engine.Queue) {
    queue.push_back(queuedRequest(engine, engine.Requests.at(numberOf(id))));
    shortest = std::min(shortest, queue.back().Target);
  }
  OrderRules rules;
  rules.Crowded = engine.Plan.OrdersByCost &&
                  isCrowded(engine.Room, queue.size(), shortest);
  if (rules.Crowded) {
    recordCrowd(engine.Room);
  }
  if (queue.size() < 2) {
    return queue;
  }
  // A request that waits for a turn of an upstream's limit keeps its place:
  // else later ones would take it, and it would be refused late.
  rules.LateLast = !turnsBefore(engine, now, now);
  sortByPrecedence(queue, engine.Shares, rules, now);
  return queue;
}

// Refuses the requests that the queue has no place for: the last ones, not the
// newcomers.
void trimQueue(Step step, std::vector<QueuedRequest> &queue) {
  if (!step.State.Plan.OrdersByCost) {
    return;
  }
  const std::size_t most = maxQueued(step.State, step.Now);
  for (std::size_t n = queue.size(); n > 0 && queue.size() > most; --n) {
    if (queue[n - 1].MayHaveRun) {
      continue;
    }
    ++step.State.Counters.Yielded;
    refuse(step, step.State.Requests.at(queue[n - 1].Number),
           RefusalReason::Overloaded);
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(n - 1));
  }
}

// What requests have in common that have the same upstreams to choose from, and
// wait for the same: route, latency target, whether they are for a roll-out's
// target, and whether they are late.
using PlacementKind = std::tuple<std::string, Duration, bool, bool>;

/// One pass over the queue, or over its first requests.
struct QueuePass {
  std::size_t Tried = 0; ///< Searches for an upstream.
  /// The LeastFreshTime of kinds that found no room in this pass. It stays
  /// true: during a pass upstreams only get fuller.
  std::map<PlacementKind, double> NoRoom;
};

// Requests that were tried before, or may crash upstreams, choose for
// themselves.
bool isOfAKind(const Engine &engine, const RequestState &request, Instant now) {
  return request.TriedUpstreams.empty() &&
         !isSuspect(engine, request.Fingerprint, now);
}

// Chooses an upstream for a request of a pass. Once a pass has tried many, it
// searches no more for requests of a kind that found no room.
Placement placeInPass(Engine &engine, QueuePass &pass,
                      const RequestState &request, bool isLate, Instant now) {
  const auto &share = engine.Plan.TargetShare;
  const bool isForTarget = share && request.TargetDraw < *share;
  const bool sharesResult =
      pass.Tried >= TriesPerEvent && isOfAKind(engine, request, now);
  const PlacementKind kind{request.Policy.Route, request.Policy.LatencyTarget,
                           isForTarget, isLate};
  if (sharesResult) {
    const auto known = pass.NoRoom.find(kind);
    if (known != pass.NoRoom.end() &&
        acceptableTime(engine, request, now) < known->second) {
      return {};
    }
  }
  ++pass.Tried;
  Placement found = placeRequest(engine, request, isLate, now);
  const bool hasNoRoom =
      found.Decision == Placement::Kind::Wait ||
      (found.Decision == Placement::Kind::Probe && found.Probes.empty());
  if (hasNoRoom && isOfAKind(engine, request, now)) {
    pass.NoRoom[kind] = found.LeastFreshTime;
  }
  return found;
}

// Refuses a request that found no room, if it will find none in time.
// \param waitingBefore as for refuseIfTooLate.
bool refuseIfHopeless(Step step, RequestState &request,
                      const QueuedRequest &queued, std::size_t waitingBefore) {
  const Engine &engine = step.State;
  // While upstreams say when they take requests again, that decides.
  if (!engine.Plan.OrdersByCost || endOfRefusals(engine, step.Now) > step.Now ||
      turnsBefore(engine, step.Now, step.Now) ||
      !isHopeless(engine.Room, queued, waitingBefore, step.Now)) {
    return false;
  }
  ++step.State.Counters.Yielded;
  refuse(step, request, RefusalReason::Overloaded);
  return true;
}

// Refuses a request at once if it can't be served before its deadline.
// \param waitingBefore the number of queued requests that have precedence.
bool refuseIfTooLate(Step step, RequestState &request,
                     std::size_t waitingBefore) {
  const Instant latest =
      request.Deadline - AnswerMargin - usualServiceTime(step.State, request);
  const auto turns = turnsBefore(step.State, latest, step.Now);
  if (endOfRefusals(step.State, step.Now) <= latest &&
      (!turns || waitingBefore < *turns)) {
    return false;
  }
  refuse(step, request, RefusalReason::Overloaded);
  return true;
}

// Refuses a request at once if it can't be served before this instance stops.
// \param waitingBefore as for refuseIfTooLate.
bool refuseIfStopping(Step step, RequestState &request,
                      std::size_t waitingBefore) {
  const Engine &engine = step.State;
  if (engine.Plan.StopsAt == Instant::max()) {
    return false;
  }
  const Duration time =
      std::max(maxServiceTime(engine, request), Duration{1000});
  const Duration left = engine.Plan.StopsAt - step.Now;
  if (left >= time) {
    const auto startsPerSlot = static_cast<std::size_t>(left / time);
    if (waitingBefore < startsPerSlot * slotsInService(engine, step.Now)) {
      return false;
    }
  }
  refuse(step, request, RefusalReason::Stopping);
  return true;
}

// Refuses a queued request that has no chance whatever the load.
// \param waitingBefore as for refuseIfTooLate.
bool refuseIfBarred(Step step, RequestState &request,
                    std::size_t waitingBefore) {
  if (refuseIfTooLate(step, request, waitingBefore) ||
      refuseIfStopping(step, request, waitingBefore)) {
    return true;
  }
  if (isRefused(step.State, request.Fingerprint, step.Now)) {
    refuse(step, request, RefusalReason::Quarantined);
    return true;
  }
  if (!step.State.AnyReachable) {
    refuse(step, request, RefusalReason::Unreachable);
    return true;
  }
  return false;
}

// Tries to place a queued request.
// \returns whether it still waits.
bool dispatchRequest(Step step, QueuePass &pass, RequestState &request,
                     const QueuedRequest &queued, std::size_t waitingBefore) {
  Engine &engine = step.State;
  if (refuseIfBarred(step, request, waitingBefore)) {
    return false;
  }
  if (awaitsCrashCheck(engine, request, step.Now)) {
    engine.QueueRecheckAt =
        std::min(engine.QueueRecheckAt, request.CrashCheckDeadline);
    return true;
  }
  const Instant latest = latestStart(engine, request);
  const Placement found =
      placeInPass(engine, pass, request, step.Now >= latest, step.Now);
  if (found.Decision == Placement::Kind::NoUpstream) {
    refuse(step, request, RefusalReason::NoUpstream);
    return false;
  }
  if (found.Decision == Placement::Kind::Send) {
    dequeue(engine, request);
    startAttempt(step, request, found, false);
    return false;
  }
  if (refuseIfHopeless(step, request, queued, waitingBefore)) {
    return false;
  }
  for (UpstreamState *it : found.Probes) {
    sendProbe(step, *it);
  }
  engine.Room.AnyWaiting = endOfRefusals(engine, step.Now) <= step.Now;
  engine.QueueRecheckAt =
      std::min(engine.QueueRecheckAt, step.Now + QueueRecheckInterval);
  if (const Instant noticed = endOfUnnoticedWait(queued);
      engine.Plan.OrdersByCost && noticed > step.Now) {
    engine.QueueRecheckAt = std::min(engine.QueueRecheckAt, noticed);
  }
  if (found.Decision == Placement::Kind::Wait) {
    engine.QueueRecheckAt =
        std::min(engine.QueueRecheckAt, request.Deadline - AnswerMargin -
                                            usualServiceTime(engine, request) +
                                            Duration{1});
  }
  return true;
}

// Tries all queued requests.
void dispatchAll(Step step) {
  Engine &engine = step.State;
  engine.QueueRecheckAt = Instant::max();
  engine.Room.AnyWaiting = false;
  engine.Front.clear();
  engine.Untried.clear();
  engine.PassCredit = 0;
  std::vector<QueuedRequest> queue = sortedQueue(engine, step.Now);
  trimQueue(step, queue);
  QueuePass pass;
  std::size_t waiting = 0;
  for (const QueuedRequest &it : queue) {
    RequestState &request = engine.Requests.at(it.Number);
    if (dispatchRequest(step, pass, request, it, waiting)) {
      ++waiting;
      if (engine.Front.size() < TriesPerEvent) {
        engine.Front.push_back(request.Id);
      }
    }
  }
  if (waiting > TriesPerEvent) {
    engine.QueueRecheckAt = std::max(
        engine.QueueRecheckAt,
        step.Now + std::max<Duration>(QueueRecheckInterval,
                                      RecheckTimePerRequest * waiting));
  }
}

// Tries the first of the queue and those that were queued since.
void dispatchFront(Step step) {
  Engine &engine = step.State;
  std::vector<RequestId> next = std::exchange(engine.Front, {});
  next.insert(next.end(), engine.Untried.begin(), engine.Untried.end());
  engine.Untried.clear();
  // The last pass over the queue has set when the next one is due.
  const Instant recheckAt = engine.QueueRecheckAt;
  QueuePass pass;
  pass.Tried = TriesPerEvent;
  for (const RequestId id : next) {
    const auto found = engine.Requests.find(numberOf(id));
    if (found == engine.Requests.end() || !found->second.Queued) {
      continue;
    }
    RequestState &request = found->second;
    if (dispatchRequest(step, pass, request, queuedRequest(engine, request),
                        engine.Front.size()) &&
        engine.Front.size() < TriesPerEvent) {
      engine.Front.push_back(id);
    }
  }
  engine.QueueRecheckAt = recheckAt;
}

bool isPassDue(const Engine &engine, Instant now) {
  return engine.Queue.size() <= TriesPerEvent ||
         engine.PassCredit >= engine.Queue.size() ||
         now >= engine.QueueRecheckAt ||
         (engine.Front.empty() && engine.Untried.empty());
}

} // namespace

Duration usualServiceTime(const Engine &engine, const RequestState &request) {
  return serviceTimeOrDefault(estimateOf(engine, request),
                              request.Policy.LatencyTarget);
}

Duration cautiousServiceTime(const Engine &engine,
                             const RequestState &request) {
  return cautiousServiceTime(estimateOf(engine, request),
                             request.Policy.LatencyTarget);
}

bool isQueueFull(const Engine &engine, Instant now) {
  return engine.Queue.size() >= maxQueued(engine, now);
}

QueuedRequest queuedRequest(const Engine &engine, const RequestState &it) {
  QueuedRequest out;
  out.Number = numberOf(it.Id);
  out.Arrived = it.Arrived;
  out.Target = it.Policy.LatencyTarget;
  out.Goal = it.Goal;
  out.LatestAnswer = it.Deadline - AnswerMargin;
  out.Priority = it.Policy.Priority;
  out.Customer = it.Policy.Customer;
  out.Weight = it.Policy.CustomerWeight;
  out.Work = usualServiceTime(engine, it);
  out.CautiousWork = cautiousServiceTime(engine, it);
  out.MayHaveRun = it.PriorExecution != Execution::DidNotRun;
  return out;
}

bool yieldToOtherConnection(Step step, const RequestState &newcomer) {
  Engine &engine = step.State;
  const QueueShares &shares = engine.SharesOfQueue;
  const auto own = shares.ByConnection.find(newcomer.Connection);
  const std::size_t ownSize =
      own == shares.ByConnection.end() ? 0 : own->second.size();
  if (shares.Sizes.empty() || shares.Sizes.rbegin()->first < ownSize + 2) {
    return false;
  }
  const std::set<RequestId> &most =
      shares.ByConnection.at(shares.Sizes.rbegin()->second);
  for (auto it = most.rbegin(); it != most.rend(); ++it) {
    RequestState &request = engine.Requests.at(numberOf(*it));
    if (request.PriorExecution == Execution::DidNotRun &&
        request.Policy.Priority >= newcomer.Policy.Priority) {
      refuse(step, request, RefusalReason::Overloaded);
      return true;
    }
  }
  return false;
}

void dispatchQueue(Step step) {
  Engine &engine = step.State;
  advance(engine.Room, step.Now);
  engine.PassCredit += TriesPerEvent;
  if (isPassDue(engine, step.Now)) {
    dispatchAll(step);
  } else {
    dispatchFront(step);
  }
}

} // namespace zinniarail::balance
