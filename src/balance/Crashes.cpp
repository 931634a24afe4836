// Requests that crash the upstreams that run them.
#include "balance/State.h"

namespace zinniarail::balance {

namespace {

// Different upstreams that must break under a request before it is refused.
constexpr std::size_t CrashesToCondemn = 2;

// How long suspicion and refusal last after the last evidence.
constexpr Duration Lifetime = std::chrono::minutes{5};

// Fingerprints kept.
constexpr std::size_t MostSuspects = 4096;

void condemn(Engine &engine, std::uint64_t fingerprint, Instant now) {
  if (engine.CondemnedUntil.size() >= MostSuspects) {
    std::erase_if(engine.CondemnedUntil,
                  [&](const auto &it) { return it.second <= now; });
  }
  engine.CondemnedUntil[fingerprint] = now + Lifetime;
}

} // namespace

bool isCondemned(const Engine &engine, std::uint64_t fingerprint, Instant now) {
  const auto it = engine.CondemnedUntil.find(fingerprint);
  return it != engine.CondemnedUntil.end() && now < it->second;
}

void noteCrash(Step step, const std::string &upstream,
               std::uint64_t fingerprint) {
  Engine &engine = step.Self;
  if (fingerprint == 0) {
    return;
  }
  if (engine.Suspects.size() >= MostSuspects) {
    std::erase_if(engine.Suspects,
                  [&](const auto &it) { return it.second.Until <= step.Now; });
  }
  Suspicion &it = engine.Suspects[fingerprint];
  it.Upstreams.insert(upstream);
  it.Until = step.Now + Lifetime;
  if (it.Upstreams.size() < CrashesToCondemn ||
      isCondemned(engine, fingerprint, step.Now)) {
    return;
  }
  condemn(engine, fingerprint, step.Now);
  ++engine.Counters.Condemned;
  step.Out.emplace_back(TellCondemned{fingerprint});
}

void noteHarmless(Engine &engine, std::uint64_t fingerprint) {
  engine.Suspects.erase(fingerprint);
}

void onCondemned(Step step, const Condemned &event) {
  condemn(step.Self, event.Fingerprint, step.Now);
}

} // namespace zinniarail::balance
