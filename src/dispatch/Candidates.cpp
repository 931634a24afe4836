#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

// What a service takes for a request until it was seen.
constexpr Duration AssumedLatency = std::chrono::milliseconds{10};

// What an ejected upstream costs beside the typical one, when it is used.
constexpr int EjectedFactor = 8;

// A running attempt's age counts by half: many an answer takes twice the mean.
constexpr int AgeDivisor = 2;

// To use a straggler frees a quick slot for all who wait, so it is worth it
// from a part of the wait that the one request itself would accept.
constexpr Duration::rep HoldDivisor = 4;

// An upstream is taken by rank before load.
enum Rank : unsigned { Quick, Straggler, Ejected };

bool wasTried(const RequestState &request, const UpstreamState &upstream) {
  return std::find(request.Tried.begin(), request.Tried.end(), &upstream) !=
         request.Tried.end();
}

// Once all were tried, all are open to it again.
bool anyUntried(const ServiceState &state, const RequestState &request) {
  return request.Tried.empty() ||
         std::any_of(state.Upstreams.begin(), state.Upstreams.end(),
                     [&](const auto &it) {
                       return takesWork(it.second) &&
                              !wasTried(request, it.second);
                     });
}

// An attempt that is still running is evidence before its answer comes.
Duration latencyOf(const ServiceState &state, const UpstreamState &upstream,
                   Instant now) {
  const Duration mean(
      static_cast<Duration::rep>(upstream.Health.LatencyMicros));
  if (upstream.Running.empty()) {
    return mean;
  }
  const auto oldest = state.Attempts.find(numberOf(upstream.Running.front()));
  return std::max(mean, (now - oldest->second.Started) / AgeDivisor);
}

// What latency, and whether, an upstream is expected to give.
struct Outlook {
  Rank Order = Quick;
  Duration Latency{0};
};

Outlook outlookOf(const ServiceState &state, const UpstreamState &upstream,
                  bool mayTry, bool hedged, Instant now) {
  if (standingOf(upstream.Health, now) == Standing::Ejected) {
    return {Ejected, state.Typical * EjectedFactor};
  }
  const Duration latency = latencyOf(state, upstream, now);
  const bool onTrial = mayTry && upstream.Running.empty() &&
                       isTrialDue(upstream.Health, hedged, now);
  if (!isStraggler(latency, state.Typical) || onTrial) {
    return {Quick, latency};
  }
  return {Straggler, latency};
}

// How many must be ahead for a slow answer to come as soon as a quick one.
std::size_t worthFrom(const ServiceState &state, Duration latency,
                      unsigned quickSlots) {
  if (quickSlots == 0 || latency <= state.Typical) {
    return 0;
  }
  const Duration extra = latency - state.Typical;
  return static_cast<std::size_t>(
      extra * quickSlots / std::max(state.Typical, Duration{1}) / HoldDivisor);
}

} // namespace

bool takesWork(const UpstreamState &upstream) {
  return upstream.Planned && upstream.Plan.InService &&
         upstream.Plan.Share.Slots > 0;
}

bool anyInService(const ServiceState &state) {
  return std::any_of(state.Upstreams.begin(), state.Upstreams.end(),
                     [](const auto &it) { return takesWork(it.second); });
}

bool keepsEjected(const ServiceState &state, Instant now) {
  std::size_t ejected = 0;
  std::size_t all = 0;
  for (const auto &[id, it] : state.Upstreams) {
    if (takesWork(it)) {
      ++all;
      ejected += standingOf(it.Health, now) == Standing::Ejected ? 1 : 0;
    }
  }
  return ejected * 2 > all;
}

unsigned limitOf(const ServiceState &state, const UpstreamState &upstream,
                 bool keepEjected, Instant now) {
  if (!takesWork(upstream)) {
    return 0;
  }
  const unsigned share = upstream.Plan.Share.Slots;
  if (state.Plan.Policy != RoutingPolicy::Homes) {
    return share;
  }
  const unsigned limit = allowance(upstream.Warm, share);
  switch (standingOf(upstream.Health, now)) {
  case Standing::Good:
    break;
  case Standing::OnTrial:
    return std::min(limit, 1U);
  case Standing::Ejected:
    return keepEjected ? limit : 0;
  }
  return limit;
}

ServiceRate rateOf(const ServiceState &state, Instant now) {
  ServiceRate rate;
  const bool keepEjected = keepsEjected(state, now);
  for (const auto &[id, it] : state.Upstreams) {
    rate.Slots += limitOf(state, it, keepEjected, now);
  }
  rate.PerRequest = meanLatency(state.Latencies);
  if (rate.PerRequest == Duration{0}) {
    rate.PerRequest = AssumedLatency;
  }
  return rate;
}

namespace {

// The upstreams that a request may use.
struct Field {
  std::vector<Candidate> Candidates;
  std::vector<UpstreamState *> Upstreams;
  unsigned QuickSlots = 0; ///< Of those that are no stragglers.
};

Field survey(ServiceState &state, const RequestState &request, Instant now) {
  Field field;
  field.Candidates.reserve(state.Upstreams.size());
  field.Upstreams.reserve(state.Upstreams.size());
  const bool avoidTried = anyUntried(state, request);
  const bool keepEjected = keepsEjected(state, now);
  const bool apart = judge(state, request, now) != Handling::Normal;
  for (auto &[id, it] : state.Upstreams) {
    if ((avoidTried && wasTried(request, it)) ||
        (apart && mustKeepApart(state, it, now))) {
      continue;
    }
    const Outlook outlook = outlookOf(state, it, true, request.Idempotent, now);
    Candidate candidate;
    candidate.InFlight = static_cast<unsigned>(it.Running.size());
    candidate.Limit = limitOf(state, it, keepEjected, now);
    candidate.Rank = outlook.Order;
    candidate.Others =
        othersInFlight(it.Load, it.Plan.Spec.Slots, state.Typical, now);
    field.QuickSlots += outlook.Order == Quick ? candidate.Limit : 0;
    field.Candidates.push_back(candidate);
    field.Upstreams.push_back(&it);
  }
  return field;
}

} // namespace

Choice chooseUpstream(ServiceState &state, const RequestState &request,
                      Instant now) {
  const Field field = survey(state, request, now);
  const auto best = pickUpstream(field.Candidates, state.Plan.Policy,
                                 state.Draws, state.Cursor);
  if (!best) {
    return {};
  }
  UpstreamState *chosen = field.Upstreams[*best];
  if (field.Candidates[*best].Rank == Quick ||
      state.Plan.Policy != RoutingPolicy::Homes) {
    return {chosen, 0};
  }
  const Outlook outlook = outlookOf(state, *chosen, false, false, now);
  return {chosen, worthFrom(state, outlook.Latency, field.QuickSlots)};
}

} // namespace zinniarail
