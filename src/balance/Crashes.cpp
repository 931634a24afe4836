// Requests that crash the upstreams that run them. A connection that breaks off
// is no proof of a crash: the upstream is asked at once, and only when it is
// gone do the requests that broke there become suspect.
#include "balance/State.h"

#include <utility>

namespace zinniarail::balance {

namespace {

constexpr QuarantineLimits Limits;

} // namespace

bool isCondemned(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  const Handling handling = judge(engine.Dangerous, fingerprint, now);
  return handling == Handling::Refuse || handling == Handling::Hold;
}

bool isSuspect(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  return judge(engine.Dangerous, fingerprint, now) != Handling::Normal;
}

bool awaitsVerdict(const Engine &engine, const RequestState &request,
                   Instant now) {
  const auto it = engine.Upstreams.find(request.VerdictFrom);
  return now < request.VerdictUntil && it != engine.Upstreams.end() &&
         !it->second.BrokenPrints.empty();
}

Duration condemnedFor(const Engine &engine, std::uint64_t fingerprint,
                      Instant now) {
  return refusedFor(engine.Dangerous, fingerprint, now);
}

void suspectCrash(Step step, UpstreamState &upstream,
                  std::uint64_t fingerprint) {
  upstream.BrokenPrints.push_back(fingerprint);
  probe(step, upstream);
}

void settleCrash(Step step, UpstreamState &upstream, bool lives) {
  const auto prints = std::exchange(upstream.BrokenPrints, {});
  if (lives || prints.empty()) {
    return;
  }
  for (const std::uint64_t it : prints) {
    step.Out.emplace_back(TellSuspected{{it, upstream.Plan.Id}});
  }
  const Verdicts verdicts = noteCrash(step.Self.Dangerous, Limits,
                                      {upstream.Plan.Id, 0}, prints, step.Now);
  for (const std::uint64_t it : verdicts.Condemned) {
    ++step.Self.Counters.Condemned;
    step.Out.emplace_back(TellCondemned{it});
  }
}

void noteHarmless(Engine &engine, std::uint64_t fingerprint) {
  noteFinished(engine.Dangerous, fingerprint);
}

void onSuspected(Step step, const Suspected &event) {
  noteSuspected(step.Self.Dangerous, Limits, event.Which.Fingerprint,
                {event.Which.Upstream, 0}, step.Now);
}

void onCondemned(Step step, const Condemned &event) {
  noteCondemned(step.Self.Dangerous, Limits, event.Fingerprint, step.Now);
}

} // namespace zinniarail::balance
