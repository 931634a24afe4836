#include "zinniarail/quarantine/Quarantine.h"

#include <algorithm>

namespace zinniarail {

namespace {

void dropExpired(Quarantine &quarantine, Instant now) {
  std::erase_if(quarantine.Suspects,
                [&](const auto &it) { return it.second.Expires <= now; });
  std::erase_if(quarantine.Refused,
                [&](const auto &it) { return it.second <= now; });
  std::erase_if(quarantine.HeldElsewhere,
                [&](const auto &it) { return it.second <= now; });
}

// Makes room for one more, at the cost of what would expire first.
template <typename Map, typename Expiry>
void bound(Map &map, std::size_t limit, Expiry expiryOf) {
  while (!map.empty() && map.size() > limit) {
    map.erase(std::min_element(map.begin(), map.end(),
                               [&](const auto &a, const auto &b) {
                                 return expiryOf(a.second) < expiryOf(b.second);
                               }));
  }
}

using Ends = std::map<std::uint64_t, Instant>;

void extend(Ends &ends, std::size_t limit, std::uint64_t fingerprint,
            Instant until) {
  Instant &current = ends[fingerprint];
  current = std::max(current, until);
  bound(ends, limit, [](Instant it) { return it; });
}

Duration leftOf(const Ends &ends, std::uint64_t fingerprint, Instant now) {
  const auto it = ends.find(fingerprint);
  return it == ends.end() ? Duration::zero()
                          : std::max(Duration::zero(), it->second - now);
}

void condemn(Quarantine &quarantine, const QuarantineLimits &limits,
             std::uint64_t fingerprint, Instant now) {
  quarantine.Suspects.erase(fingerprint);
  extend(quarantine.Refused, limits.Refused, fingerprint,
         now + limits.Lifetime);
}

Evidence &suspect(Quarantine &quarantine, const QuarantineLimits &limits,
                  std::uint64_t fingerprint, const Crash &crash, Instant now) {
  Suspicion &suspicion = quarantine.Suspects[fingerprint];
  suspicion.Expires = now + limits.Lifetime;
  const auto [at, isNew] = suspicion.Upstreams.try_emplace(crash.Upstream);
  Evidence &it = at->second;
  // Between two lives lies a crash, and one that is certain remains so.
  it.Life = isNew || it.Life == crash.Life ? crash.Life : 0;
  it.Broke = now;
  return it;
}

bool isHeld(const Suspicion &it) { return it.HeldUntil != Instant::max(); }

bool isCertain(const Suspicion &it) {
  return std::all_of(it.Upstreams.begin(), it.Upstreams.end(),
                     [](const auto &any) { return any.second.Life == 0; });
}

bool isEnough(const Suspicion &it, const QuarantineLimits &limits) {
  return it.Upstreams.size() >= limits.Crashes &&
         std::any_of(it.Upstreams.begin(), it.Upstreams.end(),
                     [](const auto &any) {
                       return any.second.Alone || any.second.OnlySuspect;
                     });
}

// Condemns some, and finds out when the next is due.
void condemnAll(Quarantine &quarantine, const QuarantineLimits &limits,
                const std::vector<std::uint64_t> &fingerprints, Instant now) {
  for (const std::uint64_t it : fingerprints) {
    condemn(quarantine, limits, it, now);
  }
  quarantine.NextVerdict = Instant::max();
  for (const auto &[fingerprint, it] : quarantine.Suspects) {
    quarantine.NextVerdict = std::min(quarantine.NextVerdict, it.HeldUntil);
  }
}

void refute(Suspicion &suspicion, const std::string &upstream) {
  suspicion.Upstreams.erase(upstream);
  for (auto &[id, it] : suspicion.Upstreams) {
    it.OnlySuspect = false;
  }
}

// Takes a report for one fingerprint.
void weigh(Suspicion &suspicion, const std::string &upstream,
           std::uint64_t life, Instant asked) {
  const auto at = suspicion.Upstreams.find(upstream);
  if (at == suspicion.Upstreams.end() || at->second.Life == 0 ||
      asked <= at->second.Broke) {
    return;
  }
  if (at->second.Life == life) {
    refute(suspicion, upstream);
  } else {
    at->second.Life = 0;
  }
}

void boundSuspects(Quarantine &quarantine, const QuarantineLimits &limits) {
  bound(quarantine.Suspects, limits.Suspects,
        [](const Suspicion &it) { return it.Expires; });
}

} // namespace

Handling judge(const Quarantine &quarantine, std::uint64_t fingerprint,
               Instant now) {
  if (leftOf(quarantine.Refused, fingerprint, now) > Duration::zero()) {
    return Handling::Refuse;
  }
  if (refusedFor(quarantine, fingerprint, now) > Duration::zero()) {
    return Handling::Hold;
  }
  const auto it = quarantine.Suspects.find(fingerprint);
  return it != quarantine.Suspects.end() && it->second.Expires > now
             ? Handling::Isolate
             : Handling::Normal;
}

Duration refusedFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                    Instant now) {
  Duration left = std::max(leftOf(quarantine.Refused, fingerprint, now),
                           leftOf(quarantine.HeldElsewhere, fingerprint, now));
  const auto suspect = quarantine.Suspects.find(fingerprint);
  if (suspect != quarantine.Suspects.end() && isHeld(suspect->second)) {
    // Until it is freed or condemned, also when the verdict is late.
    left = std::max({left, suspect->second.HeldUntil - now, Duration{1}});
  }
  return left;
}

Verdicts noteCrash(Quarantine &quarantine, const QuarantineLimits &limits,
                   const Crash &crash, std::span<const std::uint64_t> inFlight,
                   Instant now) {
  dropExpired(quarantine, now);
  // Callers may send alike requests twice at a time.
  const std::set<std::uint64_t> present(inFlight.begin(), inFlight.end());
  const auto known =
      std::count_if(present.begin(), present.end(), [&](std::uint64_t it) {
        return quarantine.Suspects.contains(it);
      });
  Verdicts verdicts;
  for (const std::uint64_t it : present) {
    const bool knownBefore = quarantine.Suspects.contains(it);
    Evidence &evidence = suspect(quarantine, limits, it, crash, now);
    evidence.Alone = evidence.Alone || present.size() == 1;
    evidence.OnlySuspect = evidence.OnlySuspect || (known == 1 && knownBefore);
    Suspicion &suspicion = quarantine.Suspects[it];
    if (!isEnough(suspicion, limits)) {
      continue;
    }
    if (isCertain(suspicion)) {
      verdicts.Condemned.push_back(it);
    } else if (!isHeld(suspicion)) {
      suspicion.HeldUntil = now + limits.Hold;
      verdicts.Held.push_back(it);
    }
  }
  condemnAll(quarantine, limits, verdicts.Condemned, now);
  boundSuspects(quarantine, limits);
  return verdicts;
}

void noteVictim(Quarantine &quarantine, const std::string &upstream,
                Instant now) {
  for (auto &[fingerprint, suspicion] : quarantine.Suspects) {
    const auto at = suspicion.Upstreams.find(upstream);
    if (at != suspicion.Upstreams.end()) {
      at->second.Broke = now;
    }
  }
}

std::vector<std::uint64_t> noteLife(Quarantine &quarantine,
                                    const QuarantineLimits &limits,
                                    const std::string &upstream,
                                    std::uint64_t life, Instant asked,
                                    Instant now) {
  std::vector<std::uint64_t> condemned;
  if (life == 0) {
    return condemned;
  }
  for (auto &[fingerprint, it] : quarantine.Suspects) {
    weigh(it, upstream, life, asked);
    if (!isEnough(it, limits)) {
      it.HeldUntil = Instant::max();
    } else if (isHeld(it) && isCertain(it)) {
      condemned.push_back(fingerprint);
    }
  }
  std::erase_if(quarantine.Suspects,
                [](const auto &it) { return it.second.Upstreams.empty(); });
  condemnAll(quarantine, limits, condemned, now);
  return condemned;
}

std::vector<std::uint64_t> condemnHeld(Quarantine &quarantine,
                                       const QuarantineLimits &limits,
                                       Instant now) {
  std::vector<std::uint64_t> condemned;
  if (now < quarantine.NextVerdict) {
    return condemned;
  }
  for (const auto &[fingerprint, it] : quarantine.Suspects) {
    if (it.HeldUntil <= now) {
      condemned.push_back(fingerprint);
    }
  }
  condemnAll(quarantine, limits, condemned, now);
  return condemned;
}

std::map<std::string, Instant> upstreamsToAsk(const Quarantine &quarantine) {
  std::map<std::string, Instant> found;
  if (quarantine.NextVerdict == Instant::max()) {
    return found;
  }
  for (const auto &[fingerprint, suspicion] : quarantine.Suspects) {
    if (!isHeld(suspicion)) {
      continue;
    }
    for (const auto &[id, it] : suspicion.Upstreams) {
      if (it.Life != 0) {
        found[id] = std::max(found[id], it.Broke);
      }
    }
  }
  return found;
}

void noteFinished(Quarantine &quarantine, std::uint64_t fingerprint) {
  const auto it = quarantine.Suspects.find(fingerprint);
  if (it != quarantine.Suspects.end() && !isHeld(it->second)) {
    quarantine.Suspects.erase(it);
  }
}

void noteCondemned(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, Instant now) {
  dropExpired(quarantine, now);
  condemn(quarantine, limits, fingerprint, now);
}

void noteHeld(Quarantine &quarantine, const QuarantineLimits &limits,
              std::uint64_t fingerprint, Instant now) {
  dropExpired(quarantine, now);
  extend(quarantine.HeldElsewhere, limits.Refused, fingerprint,
         now + limits.HeardHold);
}

void noteSuspected(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, const Crash &crash, Instant now) {
  dropExpired(quarantine, now);
  suspect(quarantine, limits, fingerprint, crash, now);
  boundSuspects(quarantine, limits);
}

} // namespace zinniarail
