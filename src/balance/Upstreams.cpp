// What is known of upstreams: load, health, coldness, and the checks that ask
// for them.
#include "balance/State.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::balance {

namespace {

// Weight of one end in the running means.
constexpr double EndWeight = 1.0 / 8;
constexpr double SlownessWeight = 1.0 / 64;
constexpr double DragWeight = 1.0 / 4;
constexpr double BadWeight = 1.0 / 32;

// Steps of the estimate of what most reports say: it settles where this part of
// them is below.
constexpr double UsualPart = 0.4;
constexpr double UsualStep = 0.02;

constexpr unsigned FailuresToEject = 2;
constexpr double FailureShareToEject = 0.3;
constexpr Duration FirstBackoff = std::chrono::milliseconds{200};
constexpr Duration LongestBackoff = std::chrono::seconds{2};

// A drag that nothing confirms halves in about two seconds.
constexpr double DragMemoryMicros = 3e6;
constexpr double MostDrag = 20;

// Parts of a second that remain between two requests to a cold upstream beyond
// the bound itself.
constexpr double ColdMargin = 1.05;

constexpr double MicrosPerSecond = 1e6;

// Health checks that may be saved up: what is earned in this time, or so many.
constexpr double SavedSeconds = 0.5;
constexpr double LeastSaved = 8;

// Likewise of one upstream, which may be the only one of use for a while.
constexpr double SavedSecondsOfOne = 1;
constexpr double LeastSavedOfOne = 3;

// Parts of an upstream's health checks that are left to the instances of its
// own failure domain, as many as there are domains at once, and to the others.
// Together they stay within the whole, also where instances are spread
// unevenly.
constexpr double OwnDomainShare = 0.5;
constexpr double OtherDomainShare = 0.5;

// Where no budget is set, ejected upstreams are asked this often in a second.
constexpr double LeastProbeRate = 0.1;

// Beyond this many times the usual slowness an upstream counts as slow.
constexpr double SlowFactor = 1.5;

void eject(Step step, UpstreamState &upstream, const std::string &why) {
  Health &health = upstream.Standing;
  const bool wasOut = isEjected(upstream, step.Now);
  health.Backoff = std::clamp(health.Backoff * 2, FirstBackoff, LongestBackoff);
  health.EjectedUntil = step.Now + health.Backoff;
  health.NeedsProbe = true;
  health.FailuresInRow = 0;
  if (wasOut) {
    return;
  }
  ++step.Self.Counters.Ejections;
  step.Out.emplace_back(
      Noticed{upstream.Plan.Id, Noticed::What::Ejected, why, health.Backoff});
}

// Health checks that one upstream may get from here in a second. Instances keep
// to their own failure domain, so that few of them ask an upstream often.
double probeRate(const Engine &engine, const UpstreamState &upstream) {
  const double each = engine.Plan.ProbesPerSecond;
  if (upstream.Plan.Domain != engine.Plan.Domain) {
    return each * OtherDomainShare;
  }
  const auto sharers = static_cast<double>(engine.Plan.Budget.Sharers);
  const auto domains = static_cast<double>(engine.Domains);
  return each *
         std::clamp(domains * OwnDomainShare, 1.0, std::max(sharers, 1.0));
}

double probeTokens(const Engine &engine, const UpstreamState &upstream,
                   Instant now) {
  const double rate = probeRate(engine, upstream);
  const double most = std::max(rate * SavedSecondsOfOne, LeastSavedOfOne);
  if (upstream.ProbeTokensAt == Instant::min()) {
    return most;
  }
  const auto micros =
      static_cast<double>((now - upstream.ProbeTokensAt).count());
  return std::min(upstream.ProbeTokens + rate * micros / MicrosPerSecond, most);
}

double probeTokens(const Engine &engine, Instant now) {
  const double rate = engine.Plan.ProbesPerSecond *
                      static_cast<double>(engine.Upstreams.size());
  const auto micros = static_cast<double>((now - engine.ProbeTokensAt).count());
  const double most = std::max(rate * SavedSeconds, LeastSaved);
  return std::min(engine.ProbeTokens + rate * micros / MicrosPerSecond, most);
}

// When an ejected upstream may be asked whether it is back.
Instant tendingOf(const Engine &engine, const UpstreamState &it) {
  const double missing = 1 - probeTokens(engine, it, it.ProbeTokensAt);
  const double rate = std::max(probeRate(engine, it), LeastProbeRate);
  const auto wait = static_cast<Duration::rep>(
      std::ceil(std::max(missing, 0.0) / rate * MicrosPerSecond));
  return std::max(it.Standing.EjectedUntil,
                  wait == 0 ? Instant{} : it.ProbeTokensAt + Duration(wait));
}

} // namespace

void putTargets(Engine &engine, Instant now) {
  for (auto &[id, it] : engine.Upstreams) {
    it.Planned = false;
  }
  std::set<std::string> domains;
  for (const Target &target : engine.Plan.Targets) {
    domains.insert(target.Domain);
    const auto [at, isNew] = engine.Upstreams.try_emplace(target.Id);
    UpstreamState &it = at->second;
    const bool restarted = !isNew && it.Plan.StartedMs != target.StartedMs;
    if (restarted) { // Nothing is known of it but what runs.
      const std::vector<AttemptId> running = std::move(it.Running);
      it = UpstreamState{};
      it.Running = running;
    }
    const bool toldAnew =
        isNew || restarted || it.Plan.ColdFor != target.ColdFor;
    if (toldAnew) {
      it.ColdUntil = std::max(it.ColdUntil, now + target.ColdFor);
    }
    if (isNew || restarted) {
      it.JoinedAt = now;
    }
    it.Plan = target;
    it.Planned = true;
  }
  engine.Domains = std::max<std::size_t>(domains.size(), 1);
}

void dropUnplanned(Engine &engine) {
  std::erase_if(engine.Upstreams, [](const auto &it) {
    return !it.second.Planned && it.second.Running.empty() &&
           !it.second.ProbeOut;
  });
}

bool isEjected(const UpstreamState &upstream, Instant now) {
  return upstream.Standing.NeedsProbe || now < upstream.Standing.EjectedUntil;
}

bool isCold(const UpstreamState &upstream, Instant now) {
  return now < upstream.ColdUntil;
}

void paceCold(const Engine &engine, UpstreamState &upstream, Instant now) {
  const ColdLimits &limits = engine.Plan.Cold;
  if (!isCold(upstream, now) || limits.PerSecond <= 0) {
    return;
  }
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(limits.Sharers, 1));
  const double each = limits.PerSecond / sharers;
  // In any second at most one more than the gaps that fit in.
  const double seconds = each >= 1 ? ColdMargin / std::floor(each) : 2 / each;
  upstream.ColdNext =
      now + Duration(static_cast<Duration::rep>(seconds * MicrosPerSecond));
}

void takeReport(Engine &engine, UpstreamState &upstream,
                const LoadReport &report, Instant now) {
  engine.TellsLoad = true;
  upstream.Load.Report = report;
  upstream.Load.OwnThen = static_cast<unsigned>(upstream.Running.size());
  upstream.Load.At = now;
  upstream.Load.Known = true;
  engine.MeanSlowness +=
      (report.Slowness - engine.MeanSlowness) * SlownessWeight;
  engine.UsualSlowness *= report.Slowness < engine.UsualSlowness
                              ? 1 - UsualStep * (1 - UsualPart)
                              : 1 + UsualStep * UsualPart;
  const bool full =
      report.Running + report.Waiting >= capacityOf(engine, upstream, now);
  const bool bad = full || isSlow(engine, report.Slowness);
  engine.BadShare += ((bad ? 1 : 0) - engine.BadShare) * BadWeight;
}

bool isSlow(const Engine &engine, double slowness) {
  return slowness > engine.UsualSlowness * SlowFactor;
}

void noteGood(UpstreamState &upstream) {
  Health &health = upstream.Standing;
  health.FailuresInRow = 0;
  health.FailureShare -= health.FailureShare * EndWeight;
  if (!health.NeedsProbe && health.FailureShare < FailureShareToEject / 2) {
    health.Backoff = Duration{0};
  }
}

void noteFailure(Step step, UpstreamState &upstream, bool certain,
                 const char *why) {
  Health &health = upstream.Standing;
  ++health.FailuresInRow;
  health.FailureShare += (1 - health.FailureShare) * EndWeight;
  const bool onTrial = health.Backoff != Duration{0};
  const bool due = certain || onTrial ||
                   health.FailuresInRow >= FailuresToEject ||
                   health.FailureShare > FailureShareToEject;
  if (due && !isEjected(upstream, step.Now)) {
    eject(step, upstream,
          std::string(why) + ", failed in a row: " +
              std::to_string(health.FailuresInRow) + ", failed of 100: " +
              std::to_string(std::lround(health.FailureShare * 100)));
  }
}

double dragNow(const UpstreamState &upstream, Instant now) {
  const auto age = static_cast<double>((now - upstream.DragAt).count());
  return 1 + (upstream.Drag - 1) * std::exp(-age / DragMemoryMicros);
}

void noteDrag(UpstreamState &upstream, double ratio, Instant now) {
  const double drag = dragNow(upstream, now);
  const double sample = std::clamp(drag * ratio, 1 / MostDrag, MostDrag);
  upstream.Drag = drag + (sample - drag) * DragWeight;
  upstream.DragAt = now;
}

bool mayProbe(const Engine &engine, Instant now) {
  return probeTokens(engine, now) >= 1;
}

bool mayProbe(const Engine &engine, const UpstreamState &upstream,
              Instant now) {
  return probeTokens(engine, upstream, now) >= 1;
}

void probe(Step step, UpstreamState &upstream) {
  Engine &engine = step.Self;
  if (upstream.ProbeOut) {
    return;
  }
  upstream.ProbeTokens = probeTokens(engine, upstream, step.Now) - 1;
  upstream.ProbeTokensAt = step.Now;
  engine.ProbeTokens = probeTokens(engine, step.Now) - 1;
  engine.ProbeTokensAt = step.Now;
  upstream.ProbeOut = true;
  upstream.ProbedAt = step.Now;
  ++engine.Counters.Probes;
  step.Out.emplace_back(SendProbe{upstream.Plan.Id});
}

void onProbe(Step step, const ProbeEnded &event) {
  const auto at = step.Self.Upstreams.find(event.Upstream);
  if (at == step.Self.Upstreams.end()) {
    return;
  }
  UpstreamState &it = at->second;
  it.ProbeOut = false;
  settleCrash(step, it, event.Reached);
  if (event.Reached && event.Report) {
    takeReport(step.Self, it, *event.Report, step.Now);
  }
  if (event.Reached) {
    if (event.ColdFor > Duration{0} && !isCold(it, step.Now)) {
      step.Out.emplace_back(Noticed{it.Plan.Id, Noticed::What::Cold,
                                    "a health check said so", event.ColdFor});
    }
    it.ColdUntil = event.ColdFor > Duration{0}
                       ? step.Now + event.ColdFor
                       : std::min(it.ColdUntil, step.Now);
  }
  Health &health = it.Standing;
  const bool awaited = health.NeedsProbe && step.Now >= health.EjectedUntil;
  if (!event.Reached) {
    eject(step, it, "did not answer a health check");
  } else if (awaited && event.Healthy) {
    health.NeedsProbe = false;
    step.Out.emplace_back(Noticed{it.Plan.Id, Noticed::What::Back,
                                  "a health check succeeded", Duration{0}});
  } else if (awaited) {
    eject(step, it, "says that it is out of order"); // Asked again later.
  }
  dropUnplanned(step.Self);
}

void tendUpstreams(Step step) {
  for (auto &[id, it] : step.Self.Upstreams) {
    if (it.Planned && it.Standing.NeedsProbe && !it.ProbeOut &&
        step.Now >= tendingOf(step.Self, it)) {
      probe(step, it);
    }
  }
}

Instant nextTending(const Engine &engine) {
  Instant next = Instant::max();
  for (const auto &[id, it] : engine.Upstreams) {
    if (it.Planned && it.Standing.NeedsProbe && !it.ProbeOut) {
      next = std::min(next, tendingOf(engine, it));
    }
  }
  return next;
}

} // namespace zinniarail::balance
