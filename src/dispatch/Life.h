/// \file
/// The steps of a request's life. Each takes the state, the time and the list
/// of actions to append to.
#pragma once

#include <optional>
#include <utility>

#include "dispatch/ServiceState.h"

namespace zinniarail {

/// One step's surroundings.
struct Step {
  ServiceState &State;
  Instant Now;
  Actions &Out;
};

/// Appends an action.
template <typename Wanted> void emit(Step step, Wanted action) {
  step.Out.emplace_back(std::in_place_type<Wanted>, std::move(action));
}

/// Tells the service's other homes.
inline void tellHomes(Step step, PeerWord word) {
  word.HomesDigest = step.State.Plan.HomesDigest;
  emit(step, TellHomes{std::move(word)});
}

// Requests.cpp

void onArrival(Step step, const RequestArrived &event);
void onClaim(Step step, const ClaimDecided &event);
void onCallerGone(Step step, const CallerGone &event);

/// Gives a request its final answer and forgets it. Cancels what runs.
void refuse(Step step, RequestState &request, RefusalReason reason);

/// Puts a request into the queue and starts what can start.
void enqueue(Step step, RequestState &request);

/// Refuses the requests whose deadline has come and sends due hedges.
void runTimers(Step step);

/// Sets the one timer of a request to the next time that concerns it.
void setTimer(ServiceState &state, RequestState &request);

/// Forgets a request that has its answer, or that nobody waits for.
void forget(ServiceState &state, RequestState &request);

// Attempts.cpp

void onSent(Step step, const AttemptSent &event);
void onEnded(Step step, const AttemptEnded &event);

/// Starts attempts for those that wait while there is room, best first.
void drain(Step step);

/// Sends a second attempt where the budget, the upstreams and the queue
/// permit.
void hedge(Step step, RequestState &request);

/// Cancels what runs for a request, but for what an upstream that ramps runs.
void cancelLive(Step step, RequestState &request);

/// Gives a granted key back.
void releaseKey(Step step, RequestId request, const std::string &key);

// Candidates.cpp

/// An upstream for a request.
struct Choice {
  UpstreamState *Upstream = nullptr; ///< Null when none has room.
  /// How many must wait before a request for this upstream to be worth it: a
  /// straggler's answer comes later than a quick upstream's free slot.
  std::size_t MinAhead = 0;
};

/// Chooses an upstream for a request.
Choice chooseUpstream(ServiceState &state, const RequestState &request,
                      Instant now);

/// Tells whether so many are ejected that ejection must not count.
bool keepsEjected(const ServiceState &state, Instant now);

/// How many own attempts an upstream may have now.
/// \param keepEjected ejected upstreams are used like others.
unsigned limitOf(const ServiceState &state, const UpstreamState &upstream,
                 bool keepEjected, Instant now);

/// How fast waiting requests are worked off now.
ServiceRate rateOf(const ServiceState &state, Instant now);

/// Tells whether an upstream takes new work by the plan.
bool takesWork(const UpstreamState &upstream);

/// Tells whether any upstream takes new work.
bool anyInService(const ServiceState &state);

// Crashes.cpp

/// Notes what was in flight at an upstream's crash, once for each crash, and
/// tells the other homes. To be called while the attempt still counts as
/// running.
void noteBroken(Step step, UpstreamState &upstream,
                const AttemptState &attempt);

/// How a request may be handled, by its likes' past.
Handling judge(const ServiceState &state, const RequestState &request,
               Instant now);

/// Why a request is refused for what its likes did, if it is.
std::optional<RefusalReason> dangerOf(Handling handling);

/// Tells whether a request must not join what runs on an upstream.
bool mustKeepApart(const ServiceState &state, const UpstreamState &upstream,
                   Instant now);

/// Takes another home's word on a fingerprint.
void onDangerWord(Step step, const PeerWord &word);

/// Judges by an upstream's report whether it crashed.
/// \param asked when the request or the probe that brought it was started.
void learnLife(Step step, UpstreamState &upstream, const LoadReport &report,
               Instant asked);

/// Condemns the held requests whose time is over.
void condemnDue(Step step);

// Upstreams.cpp

/// Learns from an attempt's end what it says of its upstream.
void observe(Step step, UpstreamState &upstream, const AttemptState &attempt,
             const AttemptEnded &event);
void onProbe(Step step, const ProbeEnded &event);
void onWord(Step step, const PeerWord &event);

/// Takes the plan's targets over; those that are new or return are cold.
void putTargets(ServiceState &state, Instant now);

/// Asks for connections to every upstream that may be used.
void openAhead(Step step);

/// Tells the homes of every upstream that this one has warmed.
void tellAllWarm(Step step);

/// Repeats words and sends the probes that are wanted and paid for.
void tendUpstreams(Step step);

/// When tendUpstreams has something to do.
Instant nextTending(const ServiceState &state);

} // namespace zinniarail
