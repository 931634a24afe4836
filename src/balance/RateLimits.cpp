#include "balance/RateLimits.h"

#include <algorithm>
#include <cmath>

#include "balance/State.h"
#include "zinniarail/core/Hash.h"

namespace zinniarail::balance {

namespace {

constexpr double MicrosPerSecond = 1e6;

// Number of holders beyond one for each request per second. Each may send a
// request at the same moment, and their views of the fleet may differ.
constexpr std::size_t SpareHolders = 2;

// Factor on the interval between two requests, so that the rate stays safely
// below the limit.
constexpr double IntervalMargin = 1.1;

// A limit below this counts as this, in requests per second: without a request
// now and then the end of the limit would not be seen.
constexpr double MinRateLimit = 0.1;

// Interval between two requests of an instance that is no holder, multiplied by
// the number of instances: all of them together send few.
constexpr Duration OtherIntervalPerInstance = std::chrono::seconds{10};

constexpr Duration MinInterval = std::chrono::microseconds{100};

// Retry-After of an instance that holds no share of any limit: others do.
constexpr Duration NoShareRetryAfter = std::chrono::seconds{1};

std::uint64_t priorityOf(const std::string &instance,
                         const std::string &upstream) {
  return hashCombine(hashBytes(instance), hashBytes(upstream));
}

Duration scaled(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

RateShare computeShare(const Engine &engine, const UpstreamState &upstream) {
  return shareOf(*upstream.RateLimit, upstream.Plan.Id, engine.Plan.Instance,
                 engine.Plan.Instances);
}

// Instances that learn of a limit at the same time must not take their first
// turns at the same time.
void scheduleFirstTurn(Engine &engine, UpstreamState &upstream, Instant now) {
  const RateShare &share = upstream.LimitShare;
  const double part = drawFraction(engine.Rng) + (share.IsHolder ? 0 : 1);
  upstream.NextLimitedRequestAt = now + scaled(share.Interval, part);
}

} // namespace

RateShare shareOf(double limit, const std::string &upstream,
                  const std::string &self,
                  const std::vector<std::string> &instances) {
  const double perSecond = std::max(limit, MinRateLimit);
  const std::uint64_t own = priorityOf(self, upstream);
  std::size_t count = 1;
  std::size_t before = 0;
  for (const std::string &it : instances) {
    if (it != self) {
      ++count;
      before += priorityOf(it, upstream) > own ? 1 : 0;
    }
  }
  const double wanted = std::floor(perSecond) + SpareHolders;
  const auto holders =
      static_cast<std::size_t>(std::min(wanted, static_cast<double>(count)));
  if (before >= holders) {
    return {false, OtherIntervalPerInstance * count};
  }
  const double micros = static_cast<double>(holders) / perSecond *
                        IntervalMargin * MicrosPerSecond;
  return {true,
          std::max(MinInterval, Duration(static_cast<Duration::rep>(micros)))};
}

void recordRateLimit(Step step, UpstreamState &upstream,
                     std::optional<double> limit) {
  if (upstream.RateLimit == limit) {
    return;
  }
  const bool wasLimited = upstream.RateLimit.has_value();
  upstream.RateLimit = limit;
  if (!limit) {
    step.Output.emplace_back(BroadcastLimitEnded{upstream.Plan.Id});
    step.Output.emplace_back(UpstreamStatusChanged{
        upstream.Plan.Id, UpstreamStatusChanged::Status::Unlimited,
        "a response named no limit any more", Duration{0}});
    return;
  }
  upstream.LimitShare = computeShare(step.State, upstream);
  if (wasLimited) {
    upstream.NextLimitedRequestAt = std::min(
        upstream.NextLimitedRequestAt, step.Now + upstream.LimitShare.Interval);
    return;
  }
  scheduleFirstTurn(step.State, upstream, step.Now);
  step.Output.emplace_back(UpstreamStatusChanged{
      upstream.Plan.Id, UpstreamStatusChanged::Status::Limited,
      "takes " + std::to_string(*limit) + " requests a second from all " +
          (upstream.LimitShare.IsHolder ? "instances, this one included"
                                        : "instances, none from this one"),
      Duration{0}});
}

void onPeerLimitEnded(Step step, const PeerLimitEnded &event) {
  const auto at = step.State.Upstreams.find(event.Upstream);
  if (at == step.State.Upstreams.end() || !at->second.RateLimit) {
    return;
  }
  at->second.RateLimit.reset();
  step.Output.emplace_back(UpstreamStatusChanged{
      event.Upstream, UpstreamStatusChanged::Status::Unlimited,
      "another instance got a response that named no limit", Duration{0}});
}

void updateLimitShares(Engine &engine, Instant now) {
  for (auto &[id, it] : engine.Upstreams) {
    if (!it.RateLimit) {
      continue;
    }
    const bool wasHolder = it.LimitShare.IsHolder;
    it.LimitShare = computeShare(engine, it);
    if (wasHolder != it.LimitShare.IsHolder) {
      scheduleFirstTurn(engine, it, now);
    }
  }
}

void paceLimitedRequests(Engine &engine, UpstreamState &upstream, Instant now) {
  if (!upstream.RateLimit) {
    return;
  }
  const RateShare &share = upstream.LimitShare;
  const double factor = share.IsHolder ? 1 : 1 + drawFraction(engine.Rng);
  upstream.NextLimitedRequestAt = now + scaled(share.Interval, factor);
}

bool awaitsTurn(const UpstreamState &upstream, Instant now) {
  return upstream.RateLimit && now < upstream.NextLimitedRequestAt;
}

std::optional<std::size_t> turnsBefore(const Engine &engine, Instant when,
                                       Instant now) {
  std::size_t turns = 0;
  bool anyPlanned = false;
  for (const auto &[id, it] : engine.Upstreams) {
    if (!it.Planned) {
      continue;
    }
    if (!it.RateLimit) {
      return std::nullopt;
    }
    anyPlanned = true;
    const Instant next = std::max(it.NextLimitedRequestAt, now);
    if (next <= when) {
      turns +=
          1 + static_cast<std::size_t>((when - next) / it.LimitShare.Interval);
    }
  }
  return anyPlanned ? std::optional(turns) : std::nullopt;
}

Duration limitedRetryAfter(Engine &engine, Instant now) {
  double turnsPerSecond = 0;
  Instant first = Instant::max();
  for (const auto &[id, it] : engine.Upstreams) {
    if (it.Planned && it.RateLimit && it.LimitShare.IsHolder) {
      first = std::min(first, std::max(it.NextLimitedRequestAt, now));
      turnsPerSecond +=
          MicrosPerSecond / static_cast<double>(it.LimitShare.Interval.count());
    }
  }
  if (turnsPerSecond <= 0) {
    return NoShareRetryAfter;
  }
  const double waiting = static_cast<double>(engine.Queue.size()) + 1;
  const Duration spread = scaled(
      Duration(static_cast<Duration::rep>(MicrosPerSecond / turnsPerSecond)),
      waiting * drawFraction(engine.Rng));
  return first - now + spread;
}

} // namespace zinniarail::balance
