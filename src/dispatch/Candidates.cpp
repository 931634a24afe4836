#include "dispatch/Life.h"

#include <algorithm>

namespace zinniarail {

namespace {

// What a service takes for a request until it was seen.
constexpr Duration AssumedLatency = std::chrono::milliseconds{10};

bool takesWork(const UpstreamState &it) {
  return it.Planned && it.Plan.InService;
}

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

} // namespace

bool anyInService(const ServiceState &state) {
  return std::any_of(
      state.Upstreams.begin(), state.Upstreams.end(), [](const auto &it) {
        return takesWork(it.second) && it.second.Plan.Share.Slots > 0;
      });
}

unsigned limitOf(const ServiceState &, const UpstreamState &upstream, Instant) {
  return takesWork(upstream) ? upstream.Plan.Share.Slots : 0;
}

ServiceRate rateOf(const ServiceState &state, Instant now) {
  ServiceRate rate;
  for (const auto &[id, it] : state.Upstreams) {
    rate.Slots += limitOf(state, it, now);
  }
  rate.PerRequest = meanLatency(state.Latencies);
  if (rate.PerRequest == Duration{0}) {
    rate.PerRequest = AssumedLatency;
  }
  return rate;
}

UpstreamState *chooseUpstream(ServiceState &state, const RequestState &request,
                              Instant now) {
  std::vector<Candidate> candidates;
  std::vector<UpstreamState *> upstreams;
  candidates.reserve(state.Upstreams.size());
  upstreams.reserve(state.Upstreams.size());
  const bool avoidTried = anyUntried(state, request);
  for (auto &[id, it] : state.Upstreams) {
    if (avoidTried && wasTried(request, it)) {
      continue;
    }
    candidates.push_back(
        {static_cast<unsigned>(it.Running.size()), limitOf(state, it, now), 0});
    upstreams.push_back(&it);
  }
  const auto best =
      pickUpstream(candidates, state.Plan.Policy, state.Draws, state.Cursor);
  return best ? upstreams[*best] : nullptr;
}

} // namespace zinniarail
