#include "zinniarail/dispatch/Engine.h"

#include <algorithm>
#include <utility>

#include "dispatch/Life.h"

namespace zinniarail {

namespace {

void on(Step step, const RequestArrived &event) { onArrival(step, event); }
void on(Step step, const ClaimDecided &event) { onClaim(step, event); }
void on(Step step, const AttemptSent &event) { onSent(step, event); }
void on(Step step, const AttemptEnded &event) { onEnded(step, event); }
void on(Step step, const CallerGone &event) { onCallerGone(step, event); }
void on(Step step, const ProbeEnded &event) { onProbe(step, event); }
void on(Step step, const PeerWord &event) { onWord(step, event); }
void on(Step, const Woken &) {}
void on(Step step, const StopBegun &) { step.State.Stopping = true; }

void dropIdle(ServiceState &state) {
  for (auto &[id, request] : state.Requests) {
    std::erase_if(request.Tried, [](const UpstreamState *it) {
      return !it->Planned && it->Running.empty();
    });
  }
  std::erase_if(state.Upstreams, [](const auto &it) {
    return !it.second.Planned && it.second.Running.empty();
  });
}

} // namespace

void ServiceStateDelete::operator()(ServiceState *state) const { delete state; }

ServiceStatePtr makeService(ServicePlan plan, Instant validUntil, Random random,
                            std::uint64_t firstAttempt) {
  ServiceStatePtr state(new ServiceState);
  state->Plan = std::move(plan);
  state->ValidUntil = validUntil;
  state->Draws = random;
  state->NextAttempt = firstAttempt;
  // A service's first requests may meet a failure as well as later ones.
  if (state->Plan.Spec.RetryShare > 0) {
    state->RetryBudget.Tokens = ReserveTries;
  }
  putTargets(*state, Instant{});
  return state;
}

void replan(ServiceState &state, ServicePlan plan, Instant now, Actions &out) {
  const Step step{state, now, out};
  const bool homesChanged = plan.HomesDigest != state.Plan.HomesDigest;
  state.LastEvent = now;
  state.Plan = std::move(plan);
  putTargets(state, now);
  dropIdle(state);
  openAhead(step);
  if (homesChanged) { // A new home knows of nothing that is warm.
    tellAllWarm(step);
  }
  drain(step);
  tendUpstreams(step);
}

void confirmView(ServiceState &state, Instant validUntil) {
  state.ValidUntil = std::max(state.ValidUntil, validUntil);
}

void handle(ServiceState &state, const Event &event, Instant now,
            Actions &out) {
  const Step step{state, now, out};
  if (std::exchange(state.LastEvent, now) == Instant{}) {
    openAhead(step);
  }
  // The event first: an answer that came in time must not lose to a timer.
  std::visit([&](const auto &it) { on(step, it); }, event);
  runTimers(step);
  drain(step);
  tendUpstreams(step);
}

Instant nextWake(const ServiceState &state) {
  Instant next = nextTending(state);
  if (!state.Timers.empty()) {
    next = std::min(next, state.Timers.begin()->first);
  }
  if (!state.Queue.empty()) {
    next = std::min({next, state.ValidUntil, state.RecheckAt});
  }
  return next;
}

std::size_t openRequests(const ServiceState &state) {
  return state.Requests.size();
}

std::size_t waitingRequests(const ServiceState &state) {
  return state.Queue.size();
}

std::size_t coldUpstreams(const ServiceState &state) {
  return std::count_if(
      state.Upstreams.begin(), state.Upstreams.end(), [](const auto &it) {
        return it.second.Planned && it.second.Warm.Phase != WarmthPhase::Warm;
      });
}

} // namespace zinniarail
