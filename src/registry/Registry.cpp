#include "zinniarail/registry/Registry.h"

#include <algorithm>

namespace zinniarail {

void recordStoreRecovery(Registry &registry, Instant now) {
  registry.RemovalGraceUntil = now + ReregistrationGrace;
  for (auto &[id, it] : registry.Entries) {
    if (it.RemoveAt != Instant::max()) {
      it.RemoveAt = std::max(it.RemoveAt, registry.RemovalGraceUntil);
    }
  }
}

void put(Registry &registry, Upstream record, std::uint64_t revision,
         Instant now) {
  Registration &it = registry.Entries[record.Id];
  if (revision < it.Revision) {
    return; // The change is outdated: a newer revision is known.
  }
  it = {std::move(record), revision, now, Instant::max()};
}

void remove(Registry &registry, const std::string &id, std::uint64_t revision,
            Instant now) {
  const auto it = registry.Entries.find(id);
  if (it == registry.Entries.end() || revision < it->second.Revision ||
      it->second.RemoveAt != Instant::max()) {
    return;
  }
  it->second.RemoveAt = std::max(now, registry.RemovalGraceUntil);
}

bool applyDueRemovals(Registry &registry, Instant now) {
  return std::erase_if(registry.Entries, [&](const auto &it) {
           return it.second.RemoveAt <= now;
         }) != 0;
}

Instant nextRemoval(const Registry &registry) {
  Instant next = Instant::max();
  for (const auto &[id, it] : registry.Entries) {
    next = std::min(next, it.RemoveAt);
  }
  return next;
}

Upstream currentUpstream(const Registration &registration, Instant now) {
  Upstream it = registration.Record;
  const Duration age = now - registration.ReceivedAt;
  it.WarmupRemaining = std::max(it.WarmupRemaining - age, Duration{0});
  return it;
}

std::vector<Upstream> listUpstreams(const Registry &registry, Instant now) {
  std::vector<Upstream> all;
  all.reserve(registry.Entries.size());
  for (const auto &[id, it] : registry.Entries) {
    all.push_back(currentUpstream(it, now));
  }
  return all;
}

} // namespace zinniarail
