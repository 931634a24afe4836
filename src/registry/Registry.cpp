#include "zinniarail/registry/Registry.h"

#include <algorithm>

namespace zinniarail {

void noteReturn(Registry &registry, Instant now) {
  registry.OutageUntil = now + LapseGrace;
  for (auto &[id, it] : registry.Entries) {
    if (it.RemoveAt != Instant::max()) {
      it.RemoveAt = std::max(it.RemoveAt, registry.OutageUntil);
    }
  }
}

void put(Registry &registry, Upstream record, std::uint64_t revision,
         Instant now) {
  Registration &it = registry.Entries[record.Id];
  if (revision < it.Revision) {
    return; // An answer that was overtaken.
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
  it->second.RemoveAt = std::max(now, registry.OutageUntil);
}

bool dropDue(Registry &registry, Instant now) {
  return std::erase_if(registry.Entries, [&](const auto &it) {
           return it.second.RemoveAt <= now;
         }) != 0;
}

Instant nextDrop(const Registry &registry) {
  Instant next = Instant::max();
  for (const auto &[id, it] : registry.Entries) {
    next = std::min(next, it.RemoveAt);
  }
  return next;
}

Upstream currentOf(const Registration &registration, Instant now) {
  Upstream it = registration.Record;
  const Duration age = now - registration.HeardAt;
  it.ColdFor = std::max(it.ColdFor - age, Duration{0});
  return it;
}

std::vector<Upstream> upstreamsOf(const Registry &registry, Instant now) {
  std::vector<Upstream> all;
  all.reserve(registry.Entries.size());
  for (const auto &[id, it] : registry.Entries) {
    all.push_back(currentOf(it, now));
  }
  return all;
}

} // namespace zinniarail
