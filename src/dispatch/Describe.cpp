#include <boost/json/array.hpp>

#include "dispatch/Life.h"

namespace zinniarail {

namespace {

boost::json::object describeCounters(const EngineCounters &counters) {
  boost::json::object refused;
  for (const auto &[reason, count] : counters.Refused) {
    refused[nameOf(reason)] = count;
  }
  return {{"requests", counters.Requests},
          {"delivered", counters.Delivered},
          {"refused", std::move(refused)},
          {"attempts", counters.Attempts},
          {"hedges", counters.Hedges},
          {"retries", counters.Retries},
          {"keysReleased", counters.KeysReleased},
          {"crashes", counters.Crashes},
          {"held", counters.Held},
          {"condemned", counters.Condemned},
          {"ejections", counters.Ejections},
          {"coldStarts", counters.ColdStarts}};
}

const char *nameOf(WarmthPhase phase) {
  switch (phase) {
  case WarmthPhase::Warm:
    return "warm";
  case WarmthPhase::Ramping:
    return "ramping";
  case WarmthPhase::Waiting:
    return "waiting";
  }
  return "unnamed";
}

const char *nameOf(Standing standing) {
  switch (standing) {
  case Standing::Good:
    return "good";
  case Standing::Ejected:
    return "ejected";
  case Standing::OnTrial:
    return "on-trial";
  }
  return "unnamed";
}

boost::json::object describeUpstream(const ServiceState &state,
                                     const UpstreamState &it, Instant now) {
  return {{"id", it.Plan.Spec.Id},
          {"planned", it.Planned},
          {"inService", it.Plan.InService},
          {"inFlight", it.Running.size()},
          {"share", it.Plan.Share.Slots},
          {"limit", limitOf(state, it, keepsEjected(state, now), now)},
          {"ramps", it.Plan.Share.Ramps},
          {"warmth", nameOf(it.Warm.Phase)},
          {"incarnation", it.Warm.Incarnation},
          {"standing", nameOf(standingOf(it.Health, now))},
          {"latencyUs", it.Health.LatencyMicros}};
}

} // namespace

boost::json::object describe(const ServiceState &state, Instant now) {
  boost::json::array upstreams;
  for (const auto &[id, it] : state.Upstreams) {
    upstreams.push_back(describeUpstream(state, it, now));
  }
  return {{"service", state.Plan.Spec.Name},
          {"homesDigest", state.Plan.HomesDigest},
          {"viewValid", now < state.ValidUntil},
          {"stopping", state.Stopping},
          {"open", state.Requests.size()},
          {"waiting", state.Queue.size()},
          {"meanLatencyUs", meanLatency(state.Latencies).count()},
          {"typicalLatencyUs", state.Typical.count()},
          {"probes", state.Probes.Spent},
          {"suspects", state.Dangerous.Suspects.size()},
          {"quarantined", state.Dangerous.Refused.size()},
          {"hedgeBudget", state.HedgeBudget.Tokens},
          {"retryBudget", state.RetryBudget.Tokens},
          {"counters", describeCounters(state.Counters)},
          {"upstreams", std::move(upstreams)}};
}

} // namespace zinniarail
