// Upstream state: load, health, warm-up, and the health checks that update it.
#include "balance/State.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::balance {

namespace {

// EWMA weights of one sample in the respective estimate.
constexpr double OutcomeSmoothing = 1.0 / 8;
constexpr double SlownessSmoothing = 1.0 / 64;
constexpr double ResidualSmoothing = 1.0 / 4;
constexpr double BusyReportSmoothing = 1.0 / 32;

// UsualSlowness moves by a part of UsualStep with each report, so that it
// settles at this quantile of the reports.
constexpr double UsualQuantile = 0.4;
constexpr double UsualStep = 0.02;

constexpr unsigned FailuresToEject = 2;
constexpr double FailureRateToEject = 0.3;
constexpr Duration MinBackoff = std::chrono::milliseconds{200};
constexpr Duration MaxBackoff = std::chrono::seconds{2};

// A residual slowdown halves in about two seconds without new samples.
constexpr double ResidualTimeConstantMicros = 3e6;
constexpr double MaxResidualSlowdown = 20;

// Factor on the interval between two requests to a cold upstream, so that its
// request rate stays safely below its ColdLimits.
constexpr double ColdMargin = 1.05;

constexpr double MicrosPerSecond = 1e6;

// Limit for the time during which an upstream says that it wants no requests.
constexpr Duration MaxRefusalTime = std::chrono::minutes{5};

// Capacity of the service's token bucket for health checks: what is earned in
// BurstSeconds, but at least MinBurst.
constexpr double BurstSeconds = 0.5;
constexpr double MinBurst = 8;

// Capacity of the token bucket of one upstream, given in the same way. It is
// larger relative to its rate, since the upstream may be the only usable one
// for a while.
constexpr double UpstreamBurstSeconds = 1;
constexpr double MinUpstreamBurst = 3;

// Factors on an instance's part of an upstream's health-check budget: for an
// upstream of its own failure domain OwnDomainShare times the number of
// domains, for others OtherDomainShare. All instances together stay within the
// budget, even if they are spread unevenly over the domains.
constexpr double OwnDomainShare = 0.5;
constexpr double OtherDomainShare = 0.5;

// Health checks per second that an ejected upstream may get even if the budget
// is lower or 0.
constexpr double MinProbeRate = 0.1;

// An upstream above this multiple of the usual slowness counts as slow.
constexpr double SlowFactor = 1.5;

void eject(Step step, UpstreamState &upstream, const std::string &why) {
  HealthState &health = upstream.Health;
  const bool wasEjected = isEjected(upstream, step.Now);
  health.Backoff = std::clamp(health.Backoff * 2, MinBackoff, MaxBackoff);
  health.EjectedUntil = step.Now + health.Backoff;
  health.NeedsProbe = true;
  health.ConsecutiveFailures = 0;
  if (wasEjected) {
    return;
  }
  ++step.State.Counters.Ejections;
  step.Output.emplace_back(UpstreamStatusChanged{
      upstream.Plan.Id, UpstreamStatusChanged::Status::Ejected, why,
      health.Backoff});
}

// Health checks per second that this instance may send to an upstream. The
// rate is higher within a failure domain, so that an upstream is checked often
// by few instances only.
double probeRate(const Engine &engine, const UpstreamState &upstream) {
  const double each = engine.Plan.ProbesPerSecond;
  if (upstream.Plan.Domain != engine.Plan.Domain) {
    return each * OtherDomainShare;
  }
  const auto sharers = static_cast<double>(engine.Plan.Budget.SharingInstances);
  const auto domains = static_cast<double>(engine.DomainCount);
  return each *
         std::clamp(domains * OwnDomainShare, 1.0, std::max(sharers, 1.0));
}

double probeTokens(const Engine &engine, const UpstreamState &upstream,
                   Instant now) {
  const double rate = probeRate(engine, upstream);
  const double capacity =
      std::max(rate * UpstreamBurstSeconds, MinUpstreamBurst);
  if (upstream.ProbeTokensUpdatedAt == Instant::min()) {
    return capacity;
  }
  const auto micros =
      static_cast<double>((now - upstream.ProbeTokensUpdatedAt).count());
  return std::min(upstream.ProbeTokens + rate * micros / MicrosPerSecond,
                  capacity);
}

double probeTokens(const Engine &engine, Instant now) {
  const double rate = engine.Plan.ProbesPerSecond *
                      static_cast<double>(engine.Upstreams.size());
  const auto micros =
      static_cast<double>((now - engine.ProbeTokensUpdatedAt).count());
  const double capacity = std::max(rate * BurstSeconds, MinBurst);
  return std::min(engine.ProbeTokens + rate * micros / MicrosPerSecond,
                  capacity);
}

// When an ejected upstream may get its next health check: after its backoff has
// ended and when its bucket has a token.
Instant nextProbeTime(const Engine &engine, const UpstreamState &it) {
  const double missing = 1 - probeTokens(engine, it, it.ProbeTokensUpdatedAt);
  const double rate = std::max(probeRate(engine, it), MinProbeRate);
  const auto wait = static_cast<Duration::rep>(
      std::ceil(std::max(missing, 0.0) / rate * MicrosPerSecond));
  return std::max(
      {it.Health.EjectedUntil, it.RefusesUntil,
       wait == 0 ? Instant{} : it.ProbeTokensUpdatedAt + Duration(wait)});
}

} // namespace

void applyPlan(Engine &engine, Instant now) {
  for (auto &[id, it] : engine.Upstreams) {
    it.Planned = false;
  }
  std::set<std::string> domains;
  for (const PlannedUpstream &planned : engine.Plan.Upstreams) {
    domains.insert(planned.Domain);
    const auto [at, isNew] = engine.Upstreams.try_emplace(planned.Id);
    UpstreamState &it = at->second;
    const bool restarted = !isNew && it.Plan.StartedMs != planned.StartedMs;
    if (restarted) { // Only its running attempts are kept.
      const std::vector<AttemptId> running = std::move(it.RunningAttempts);
      it = UpstreamState{};
      it.RunningAttempts = running;
    }
    const bool warmupChanged =
        isNew || restarted ||
        it.Plan.WarmupRemaining != planned.WarmupRemaining;
    if (warmupChanged) {
      it.ColdUntil = std::max(it.ColdUntil, now + planned.WarmupRemaining);
    }
    if (isNew || restarted) {
      it.JoinedAt = now;
    }
    it.Plan = planned;
    it.Planned = true;
  }
  engine.DomainCount = std::max<std::size_t>(domains.size(), 1);
}

void dropUnplanned(Engine &engine, Instant now) {
  std::erase_if(engine.Upstreams, [&](const auto &it) {
    return !it.second.Planned && it.second.RunningAttempts.empty() &&
           !it.second.ProbePending && !isRefusing(it.second, now);
  });
}

void recordRefusal(Step step, UpstreamState &upstream, Duration retryAfter) {
  const Duration limited =
      std::clamp(retryAfter, Duration{0}, Duration{MaxRefusalTime});
  const bool wasRefusing = isRefusing(upstream, step.Now);
  upstream.RefusesUntil = std::max(upstream.RefusesUntil, step.Now + limited);
  if (!wasRefusing) {
    step.Output.emplace_back(UpstreamStatusChanged{
        upstream.Plan.Id, UpstreamStatusChanged::Status::Refusing,
        limited == retryAfter ? "asked for a pause with Retry-After"
                              : "asked for a pause with Retry-After, which is "
                                "negative or too long and was limited",
        limited});
  }
}

bool isRefusing(const UpstreamState &upstream, Instant now) {
  return now < upstream.RefusesUntil;
}

Instant endOfRefusals(const Engine &engine, Instant now) {
  Instant first = Instant::max();
  for (const auto &[id, it] : engine.Upstreams) {
    if (!it.Planned) {
      continue;
    }
    Instant available = isRefusing(it, now) ? it.RefusesUntil : now;
    if (awaitsTurn(it, now)) {
      available = std::max(available, it.NextLimitedRequestAt);
    }
    if (available <= now) {
      return now;
    }
    first = std::min(first, available);
  }
  return first == Instant::max() ? now : first;
}

bool isEjected(const UpstreamState &upstream, Instant now) {
  return upstream.Health.NeedsProbe || now < upstream.Health.EjectedUntil;
}

bool isCold(const UpstreamState &upstream, Instant now) {
  return now < upstream.ColdUntil;
}

void paceColdRequests(const Engine &engine, UpstreamState &upstream,
                      Instant now) {
  const ColdLimits &limits = engine.Plan.ColdUpstreams;
  if (!isCold(upstream, now) || limits.RequestsPerSecond <= 0) {
    return;
  }
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(limits.SharingInstances, 1));
  const double each = limits.RequestsPerSecond / sharers;
  // A time window of one second contains at most one request more than it
  // contains whole intervals between requests.
  const double seconds = each >= 1 ? ColdMargin / std::floor(each) : 2 / each;
  upstream.NextColdRequestAt =
      now + Duration(static_cast<Duration::rep>(seconds * MicrosPerSecond));
}

void recordLoadReport(Engine &engine, UpstreamState &upstream,
                      const LoadReport &report, Instant now) {
  engine.ReportsLoad = true;
  upstream.Load.Report = report;
  upstream.Load.OwnInFlight =
      static_cast<unsigned>(upstream.RunningAttempts.size());
  upstream.Load.ReceivedAt = now;
  upstream.Load.HasReport = true;
  engine.MeanSlowness +=
      (report.Slowness - engine.MeanSlowness) * SlownessSmoothing;
  engine.UsualSlowness *= report.Slowness < engine.UsualSlowness
                              ? 1 - UsualStep * (1 - UsualQuantile)
                              : 1 + UsualStep * UsualQuantile;
  const bool full =
      report.Running + report.Waiting >= capacityOf(engine, upstream, now);
  const bool busy = full || isSlow(engine, report.Slowness);
  engine.BusyReportShare +=
      ((busy ? 1 : 0) - engine.BusyReportShare) * BusyReportSmoothing;
}

bool isSlow(const Engine &engine, double slowness) {
  return slowness > engine.UsualSlowness * SlowFactor;
}

void recordSuccess(UpstreamState &upstream) {
  HealthState &health = upstream.Health;
  health.ConsecutiveFailures = 0;
  health.FailureRate -= health.FailureRate * OutcomeSmoothing;
  if (!health.NeedsProbe && health.FailureRate < FailureRateToEject / 2) {
    health.Backoff = Duration{0};
  }
}

void recordFailure(Step step, UpstreamState &upstream, bool certain,
                   const char *why) {
  HealthState &health = upstream.Health;
  ++health.ConsecutiveFailures;
  health.FailureRate += (1 - health.FailureRate) * OutcomeSmoothing;
  const bool recentlyEjected = health.Backoff != Duration{0};
  const bool shouldEject = certain || recentlyEjected ||
                           health.ConsecutiveFailures >= FailuresToEject ||
                           health.FailureRate > FailureRateToEject;
  if (shouldEject && !isEjected(upstream, step.Now)) {
    eject(step, upstream,
          std::string(why) + ", consecutive failures: " +
              std::to_string(health.ConsecutiveFailures) +
              ", failure rate in percent: " +
              std::to_string(std::lround(health.FailureRate * 100)));
  }
}

double currentResidualSlowdown(const UpstreamState &upstream, Instant now) {
  const auto age =
      static_cast<double>((now - upstream.ResidualUpdatedAt).count());
  return 1 + (upstream.ResidualSlowdown - 1) *
                 std::exp(-age / ResidualTimeConstantMicros);
}

void updateResidualSlowdown(UpstreamState &upstream, double ratio,
                            Instant now) {
  const double residual = currentResidualSlowdown(upstream, now);
  const double sample = std::clamp(residual * ratio, 1 / MaxResidualSlowdown,
                                   MaxResidualSlowdown);
  upstream.ResidualSlowdown =
      residual + (sample - residual) * ResidualSmoothing;
  upstream.ResidualUpdatedAt = now;
}

bool mayProbe(const Engine &engine, Instant now) {
  return probeTokens(engine, now) >= 1;
}

bool mayProbe(const Engine &engine, const UpstreamState &upstream,
              Instant now) {
  return !isRefusing(upstream, now) && probeTokens(engine, upstream, now) >= 1;
}

void sendProbe(Step step, UpstreamState &upstream) {
  Engine &engine = step.State;
  if (upstream.ProbePending || isRefusing(upstream, step.Now)) {
    return;
  }
  upstream.ProbeTokens = probeTokens(engine, upstream, step.Now) - 1;
  upstream.ProbeTokensUpdatedAt = step.Now;
  engine.ProbeTokens = probeTokens(engine, step.Now) - 1;
  engine.ProbeTokensUpdatedAt = step.Now;
  upstream.ProbePending = true;
  upstream.ProbeIsCrashCheck = !upstream.BrokenAttempts.empty();
  upstream.ProbedAt = step.Now;
  ++engine.Counters.Probes;
  step.Output.emplace_back(
      SendProbe{upstream.Plan.Id, upstream.ProbeIsCrashCheck});
}

void onProbeEnded(Step step, const ProbeEnded &event) {
  const auto at = step.State.Upstreams.find(event.Upstream);
  if (at == step.State.Upstreams.end()) {
    return;
  }
  UpstreamState &it = at->second;
  it.ProbePending = false;
  if (it.ProbeIsCrashCheck) {
    finishCrashCheck(step, it, event.Gone);
  }
  if (event.Reached && event.Report) {
    recordLoadReport(step.State, it, *event.Report, step.Now);
  }
  if (event.Reached && event.RateLimit) {
    recordRateLimit(step, it, event.RateLimit);
  }
  if (event.Reached) {
    if (event.WarmupRemaining > Duration{0} && !isCold(it, step.Now)) {
      step.Output.emplace_back(UpstreamStatusChanged{
          it.Plan.Id, UpstreamStatusChanged::Status::Cold,
          "reported by a health check", event.WarmupRemaining});
    }
    it.ColdUntil = event.WarmupRemaining > Duration{0}
                       ? step.Now + event.WarmupRemaining
                       : std::min(it.ColdUntil, step.Now);
  }
  HealthState &health = it.Health;
  const bool readmissionDue =
      health.NeedsProbe && step.Now >= health.EjectedUntil;
  if (!event.Reached) {
    eject(step, it, "did not answer a health check");
  } else if (readmissionDue && event.Healthy) {
    health.NeedsProbe = false;
    step.Output.emplace_back(UpstreamStatusChanged{
        it.Plan.Id, UpstreamStatusChanged::Status::Readmitted,
        "a health check succeeded", Duration{0}});
  } else if (readmissionDue) {
    eject(step, it, "reports itself unhealthy"); // A later check may end it.
  }
  if (event.RetryAfter) {
    recordRefusal(step, it, *event.RetryAfter);
  }
  sendCrashCheck(step, it);
  dropUnplanned(step.State, step.Now);
}

void endBackoffs(Engine &engine, Instant now) {
  for (auto &[id, it] : engine.Upstreams) {
    it.Health.EjectedUntil = std::min(it.Health.EjectedUntil, now);
  }
}

void probeEjectedUpstreams(Step step) {
  if (!step.State.AnyReachable) {
    return; // ReachChanged follows when one can be reached again.
  }
  for (auto &[id, it] : step.State.Upstreams) {
    if (it.Planned && it.Health.NeedsProbe && !it.ProbePending &&
        step.Now >= nextProbeTime(step.State, it)) {
      sendProbe(step, it);
    }
  }
}

Instant nextEjectedProbe(const Engine &engine) {
  Instant next = Instant::max();
  if (!engine.AnyReachable) {
    return next;
  }
  for (const auto &[id, it] : engine.Upstreams) {
    if (it.Planned && it.Health.NeedsProbe && !it.ProbePending) {
      next = std::min(next, nextProbeTime(engine, it));
    }
  }
  return next;
}

} // namespace zinniarail::balance
