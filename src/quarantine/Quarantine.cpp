#include "zinniarail/quarantine/Quarantine.h"

#include <algorithm>

namespace zinniarail {

namespace {

void dropExpired(Quarantine &quarantine, Instant now) {
  std::erase_if(quarantine.Suspects,
                [&](const auto &it) { return it.second.ExpiresAt <= now; });
  std::erase_if(quarantine.Quarantined,
                [&](const auto &it) { return it.second <= now; });
  std::erase_if(quarantine.HeldByPeers,
                [&](const auto &it) { return it.second <= now; });
}

// Evicts the entries that expire first until at most `limit` are left.
template <typename Map, typename Expiry>
void evictBeyond(Map &map, std::size_t limit, Expiry expiryOf) {
  while (!map.empty() && map.size() > limit) {
    map.erase(std::min_element(map.begin(), map.end(),
                               [&](const auto &a, const auto &b) {
                                 return expiryOf(a.second) < expiryOf(b.second);
                               }));
  }
}

using ExpiryTimes = std::map<std::uint64_t, Instant>;

void extendExpiry(ExpiryTimes &expiryTimes, std::size_t limit,
                  std::uint64_t fingerprint, Instant until) {
  Instant &current = expiryTimes[fingerprint];
  current = std::max(current, until);
  evictBeyond(expiryTimes, limit, [](Instant it) { return it; });
}

Duration remainingTime(const ExpiryTimes &expiryTimes,
                       std::uint64_t fingerprint, Instant now) {
  const auto it = expiryTimes.find(fingerprint);
  return it == expiryTimes.end() ? Duration::zero()
                                 : std::max(Duration::zero(), it->second - now);
}

void quarantineFingerprint(Quarantine &quarantine,
                           const QuarantineLimits &limits,
                           std::uint64_t fingerprint, Instant until) {
  quarantine.Suspects.erase(fingerprint);
  extendExpiry(quarantine.Quarantined, limits.MaxQuarantined, fingerprint,
               until);
}

Evidence &recordEvidence(Quarantine &quarantine, const QuarantineLimits &limits,
                         const InFlightRequest &request, const Crash &crash,
                         Instant now) {
  Suspicion &suspicion = quarantine.Suspects[request.Fingerprint];
  suspicion.ExpiresAt = now + limits.Lifetime;
  std::erase_if(quarantine.CrashedAt, [&](const auto &it) {
    return now - it.second > limits.CrashMemory;
  });
  quarantine.CrashedAt[crash.Upstream] = now;
  const auto [at, isNew] = suspicion.Upstreams.try_emplace(crash.Upstream);
  Evidence &it = at->second;
  // Two different incarnations prove a crash in between. An incarnation of 0
  // marks the crash as certain, and the crash stays certain.
  it.Incarnation =
      isNew || it.Incarnation == crash.Incarnation ? crash.Incarnation : 0;
  it.LastFailure = request.LastSeen;
  it.Started = request.Started;
  return it;
}

bool isHeld(const Suspicion &it) { return it.HeldUntil != Instant::max(); }

bool isCertain(const Suspicion &it) {
  return std::all_of(
      it.Upstreams.begin(), it.Upstreams.end(),
      [](const auto &any) { return any.second.Incarnation == 0; });
}

// The largest number of crashes of which each request was sent after the one
// before had happened.
unsigned countSuccessiveCrashes(const Suspicion &it) {
  std::vector<Evidence> crashes;
  for (const auto &[upstream, evidence] : it.Upstreams) {
    crashes.push_back(evidence);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Evidence &a, const Evidence &b) {
              return a.LastFailure < b.LastFailure;
            });
  unsigned count = 0;
  Instant last = Instant::min();
  for (const Evidence &crash : crashes) {
    if (crash.Started >= last) {
      ++count;
      last = crash.LastFailure;
    }
  }
  return count;
}

// While upstreams crash for another reason, harmless requests may be in flight
// at two of them in succession.
unsigned neededCrashes(const Quarantine &quarantine, const Suspicion &suspicion,
                       const QuarantineLimits &limits, Instant now) {
  const auto others =
      std::count_if(quarantine.CrashedAt.begin(), quarantine.CrashedAt.end(),
                    [&](const auto &it) {
                      return now - it.second <= limits.CrashMemory &&
                             !suspicion.Upstreams.contains(it.first);
                    });
  return limits.MinCrashedUpstreams +
         (others >= limits.MinCrashedUpstreams ? 1 : 0);
}

bool hasEnoughEvidence(const Quarantine &quarantine, const Suspicion &it,
                       const QuarantineLimits &limits, Instant now) {
  return countSuccessiveCrashes(it) >=
             neededCrashes(quarantine, it, limits, now) &&
         std::any_of(it.Upstreams.begin(), it.Upstreams.end(),
                     [](const auto &any) {
                       return any.second.OnlyRequest || any.second.OnlySuspect;
                     });
}

// Quarantines the given fingerprints and updates the next hold expiry.
void quarantineAll(Quarantine &quarantine, const QuarantineLimits &limits,
                   const std::vector<std::uint64_t> &fingerprints,
                   Instant now) {
  for (const std::uint64_t it : fingerprints) {
    quarantineFingerprint(quarantine, limits, it, now + limits.Lifetime);
  }
  quarantine.NextHoldExpiry = Instant::max();
  for (const auto &[fingerprint, it] : quarantine.Suspects) {
    quarantine.NextHoldExpiry =
        std::min(quarantine.NextHoldExpiry, it.HeldUntil);
  }
}

void refuteCrash(Suspicion &suspicion, const std::string &upstream) {
  suspicion.Upstreams.erase(upstream);
  for (auto &[id, it] : suspicion.Upstreams) {
    it.OnlySuspect = false;
  }
}

// Applies an upstream's reported incarnation to one fingerprint.
void applyReport(Suspicion &suspicion, const std::string &upstream,
                 std::uint64_t incarnation, Instant requestedAt) {
  const auto at = suspicion.Upstreams.find(upstream);
  if (at == suspicion.Upstreams.end() || at->second.Incarnation == 0 ||
      requestedAt <= at->second.LastFailure) {
    return;
  }
  if (at->second.Incarnation == incarnation) {
    refuteCrash(suspicion, upstream);
  } else {
    at->second.Incarnation = 0;
  }
}

void evictSuspects(Quarantine &quarantine, const QuarantineLimits &limits) {
  evictBeyond(quarantine.Suspects, limits.MaxSuspects,
              [](const Suspicion &it) { return it.ExpiresAt; });
}

} // namespace

Handling chooseHandling(const Quarantine &quarantine, std::uint64_t fingerprint,
                        Instant now) {
  if (remainingTime(quarantine.Quarantined, fingerprint, now) >
      Duration::zero()) {
    return Handling::Refuse;
  }
  if (remainingRefusal(quarantine, fingerprint, now) > Duration::zero()) {
    return Handling::Hold;
  }
  const auto it = quarantine.Suspects.find(fingerprint);
  return it != quarantine.Suspects.end() && it->second.ExpiresAt > now
             ? Handling::Isolate
             : Handling::Normal;
}

Duration remainingRefusal(const Quarantine &quarantine,
                          std::uint64_t fingerprint, Instant now) {
  Duration left =
      std::max(remainingTime(quarantine.Quarantined, fingerprint, now),
               remainingTime(quarantine.HeldByPeers, fingerprint, now));
  const auto suspect = quarantine.Suspects.find(fingerprint);
  if (suspect != quarantine.Suspects.end() && isHeld(suspect->second)) {
    // The fingerprint is held until it is cleared or quarantined, even if its
    // hold has expired.
    left = std::max({left, suspect->second.HeldUntil - now, Duration{1}});
  }
  return left;
}

CrashOutcome recordCrash(Quarantine &quarantine, const QuarantineLimits &limits,
                         const Crash &crash,
                         std::span<const InFlightRequest> inFlight,
                         Instant now) {
  dropExpired(quarantine, now);
  // Of two identical requests the one that was sent first counts.
  std::map<std::uint64_t, InFlightRequest> requests;
  for (const InFlightRequest &it : inFlight) {
    InFlightRequest &first =
        requests.try_emplace(it.Fingerprint, it).first->second;
    first.Started = std::min(first.Started, it.Started);
    first.LastSeen = std::max(first.LastSeen, it.LastSeen);
    first.Arrived = first.Arrived || it.Arrived;
  }
  const auto suspectCount =
      std::count_if(requests.begin(), requests.end(), [&](const auto &it) {
        return quarantine.Suspects.contains(it.first);
      });
  CrashOutcome outcome;
  for (const auto &[it, request] : requests) {
    const bool wasSuspect = quarantine.Suspects.contains(it);
    Evidence &evidence =
        recordEvidence(quarantine, limits, request, crash, now);
    evidence.OnlyRequest =
        evidence.OnlyRequest || (request.Arrived && requests.size() == 1);
    evidence.OnlySuspect = evidence.OnlySuspect ||
                           (request.Arrived && suspectCount == 1 && wasSuspect);
    Suspicion &suspicion = quarantine.Suspects[it];
    if (!hasEnoughEvidence(quarantine, suspicion, limits, now)) {
      continue;
    }
    if (isCertain(suspicion)) {
      outcome.Quarantined.push_back(it);
    } else if (!isHeld(suspicion)) {
      suspicion.HeldUntil = now + limits.HoldTime;
      outcome.Held.push_back(it);
    }
  }
  quarantineAll(quarantine, limits, outcome.Quarantined, now);
  evictSuspects(quarantine, limits);
  return outcome;
}

void recordSuspicion(Quarantine &quarantine, const QuarantineLimits &limits,
                     std::uint64_t fingerprint, Instant now) {
  dropExpired(quarantine, now);
  quarantine.Suspects[fingerprint].ExpiresAt = now + limits.Lifetime;
  evictSuspects(quarantine, limits);
}

void recordFurtherFailure(Quarantine &quarantine, const std::string &upstream,
                          Instant now) {
  for (auto &[fingerprint, suspicion] : quarantine.Suspects) {
    const auto at = suspicion.Upstreams.find(upstream);
    if (at != suspicion.Upstreams.end()) {
      at->second.LastFailure = now;
    }
  }
}

std::vector<std::uint64_t> recordIncarnation(Quarantine &quarantine,
                                             const QuarantineLimits &limits,
                                             const std::string &upstream,
                                             std::uint64_t incarnation,
                                             Instant requestedAt, Instant now) {
  std::vector<std::uint64_t> quarantined;
  if (incarnation == 0) {
    return quarantined;
  }
  for (auto &[fingerprint, it] : quarantine.Suspects) {
    applyReport(it, upstream, incarnation, requestedAt);
    if (!hasEnoughEvidence(quarantine, it, limits, now)) {
      it.HeldUntil = Instant::max();
    } else if (isHeld(it) && isCertain(it)) {
      quarantined.push_back(fingerprint);
    }
  }
  std::erase_if(quarantine.Suspects,
                [](const auto &it) { return it.second.Upstreams.empty(); });
  quarantineAll(quarantine, limits, quarantined, now);
  return quarantined;
}

std::vector<std::uint64_t>
quarantineExpiredHolds(Quarantine &quarantine, const QuarantineLimits &limits,
                       Instant now) {
  std::vector<std::uint64_t> quarantined;
  if (now < quarantine.NextHoldExpiry) {
    return quarantined;
  }
  for (const auto &[fingerprint, it] : quarantine.Suspects) {
    if (it.HeldUntil <= now) {
      quarantined.push_back(fingerprint);
    }
  }
  quarantineAll(quarantine, limits, quarantined, now);
  return quarantined;
}

std::map<std::string, Instant> upstreamsToProbe(const Quarantine &quarantine) {
  std::map<std::string, Instant> found;
  if (quarantine.NextHoldExpiry == Instant::max()) {
    return found;
  }
  for (const auto &[fingerprint, suspicion] : quarantine.Suspects) {
    if (!isHeld(suspicion)) {
      continue;
    }
    for (const auto &[id, it] : suspicion.Upstreams) {
      if (it.Incarnation != 0) {
        found[id] = std::max(found[id], it.LastFailure);
      }
    }
  }
  return found;
}

bool recordCompletion(Quarantine &quarantine, std::uint64_t fingerprint) {
  const auto it = quarantine.Suspects.find(fingerprint);
  const bool isCleared = it != quarantine.Suspects.end() && !isHeld(it->second);
  if (isCleared) {
    quarantine.Suspects.erase(it);
  }
  return isCleared;
}

bool recordPeerQuarantine(Quarantine &quarantine,
                          const QuarantineLimits &limits,
                          std::uint64_t fingerprint, Duration remaining,
                          Instant now) {
  dropExpired(quarantine, now);
  if (remaining <= Duration::zero() ||
      quarantine.Quarantined.contains(fingerprint)) {
    return false;
  }
  quarantineFingerprint(quarantine, limits, fingerprint,
                        now + std::min(remaining, limits.Lifetime));
  return true;
}

void recordPeerHold(Quarantine &quarantine, const QuarantineLimits &limits,
                    std::uint64_t fingerprint, Instant now) {
  dropExpired(quarantine, now);
  extendExpiry(quarantine.HeldByPeers, limits.MaxQuarantined, fingerprint,
               now + limits.PeerHoldTime);
}

void recordPeerSuspicion(Quarantine &quarantine, const QuarantineLimits &limits,
                         const InFlightRequest &request, const Crash &crash,
                         Instant now) {
  dropExpired(quarantine, now);
  recordEvidence(quarantine, limits, request, crash, now);
  evictSuspects(quarantine, limits);
}

} // namespace zinniarail
