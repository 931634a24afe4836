#include "zinniarail/quarantine/Quarantine.h"

#include <algorithm>

namespace zinniarail {

namespace {

void dropExpired(Quarantine &quarantine, Instant now) {
  std::erase_if(quarantine.Suspects,
                [&](const auto &it) { return it.second.Expires <= now; });
  std::erase_if(quarantine.Refused,
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

void refuse(Quarantine &quarantine, const QuarantineLimits &limits,
            std::uint64_t fingerprint, Instant now) {
  quarantine.Suspects.erase(fingerprint);
  Instant &until = quarantine.Refused[fingerprint];
  until = std::max(until, now + limits.Lifetime);
  bound(quarantine.Refused, limits.Refused, [](Instant it) { return it; });
}

Suspicion &suspect(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, const std::string &upstream,
                   Instant now) {
  Suspicion &it = quarantine.Suspects[fingerprint];
  it.Upstreams.insert(upstream);
  it.Expires = now + limits.Lifetime;
  return it;
}

void boundSuspects(Quarantine &quarantine, const QuarantineLimits &limits) {
  bound(quarantine.Suspects, limits.Suspects,
        [](const Suspicion &it) { return it.Expires; });
}

} // namespace

Handling judge(const Quarantine &quarantine, std::uint64_t fingerprint,
               Instant now) {
  if (refusedFor(quarantine, fingerprint, now) > Duration::zero()) {
    return Handling::Refuse;
  }
  const auto it = quarantine.Suspects.find(fingerprint);
  return it != quarantine.Suspects.end() && it->second.Expires > now
             ? Handling::Isolate
             : Handling::Normal;
}

Duration refusedFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                    Instant now) {
  const auto it = quarantine.Refused.find(fingerprint);
  return it == quarantine.Refused.end()
             ? Duration::zero()
             : std::max(Duration::zero(), it->second - now);
}

std::vector<std::uint64_t> noteCrash(Quarantine &quarantine,
                                     const QuarantineLimits &limits,
                                     const std::string &upstream,
                                     std::span<const std::uint64_t> inFlight,
                                     Instant now) {
  dropExpired(quarantine, now);
  // Callers may send alike requests twice at a time.
  const std::set<std::uint64_t> present(inFlight.begin(), inFlight.end());
  const auto known =
      std::count_if(present.begin(), present.end(), [&](std::uint64_t it) {
        return quarantine.Suspects.contains(it);
      });
  std::vector<std::uint64_t> condemned;
  for (const std::uint64_t it : present) {
    const bool knownBefore = quarantine.Suspects.contains(it);
    Suspicion &entry = suspect(quarantine, limits, it, upstream, now);
    const bool alone = present.size() == 1 || (known == 1 && knownBefore);
    entry.WasAlone = entry.WasAlone || alone;
    if (entry.WasAlone && entry.Upstreams.size() >= limits.Crashes) {
      condemned.push_back(it);
    }
  }
  for (const std::uint64_t it : condemned) {
    refuse(quarantine, limits, it, now);
  }
  boundSuspects(quarantine, limits);
  return condemned;
}

void noteFinished(Quarantine &quarantine, std::uint64_t fingerprint) {
  quarantine.Suspects.erase(fingerprint);
}

void noteCondemned(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, Instant now) {
  dropExpired(quarantine, now);
  refuse(quarantine, limits, fingerprint, now);
}

void noteSuspected(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, const std::string &upstream,
                   Instant now) {
  dropExpired(quarantine, now);
  if (!quarantine.Refused.contains(fingerprint)) {
    suspect(quarantine, limits, fingerprint, upstream, now);
    boundSuspects(quarantine, limits);
  }
}

} // namespace zinniarail
