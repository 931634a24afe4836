/// \file
/// The steps of a request's life. Each takes the state, the time and the list
/// of actions to append to.
#pragma once

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

/// Cancels what runs for a request.
void cancelLive(Step step, RequestState &request);

/// Gives a granted key back.
void releaseKey(Step step, RequestId request, const std::string &key);

// Candidates.cpp

/// Chooses an upstream for a request.
/// \returns null when none has room that the request may use.
UpstreamState *chooseUpstream(ServiceState &state, const RequestState &request,
                              Instant now);

/// How many own attempts an upstream may have now.
unsigned limitOf(const ServiceState &state, const UpstreamState &upstream,
                 Instant now);

/// How fast waiting requests are worked off now.
ServiceRate rateOf(const ServiceState &state, Instant now);

/// Tells whether any upstream takes new work.
bool anyInService(const ServiceState &state);

} // namespace zinniarail
