#include "zinniarail/registry/Registry.h"

#include <algorithm>
#include <utility>

namespace zinniarail {

namespace {

bool isUnconfirmed(const Registration &it) {
  return it.UnconfirmedUntil != Instant{};
}

bool isRemoved(const Registration &it) { return it.RemoveAt != Instant::max(); }

bool isSameIncarnation(std::uint64_t startedMs, const Upstream &upstream) {
  return startedMs == upstream.StartedMs;
}

// Whether a registration is older than the known one or than its removal.
bool isOutdated(const Registration &known, const Registration &next) {
  const bool isThisRemoved =
      isRemoved(known) &&
      isSameIncarnation(known.Record.StartedMs, next.Record);
  return next.Revision < known.Revision ||
         (isThisRemoved && next.Revision <= known.RemovalRevision);
}

// Carries over what the store's registration does not say.
void keepState(const Registry &registry, const Registration &known,
               Registration &next) {
  if (!isSameIncarnation(known.Record.StartedMs, next.Record)) {
    return;
  }
  const bool isRestored = next.Revision.Era > known.Revision.Era;
  next.IsLeaving = known.IsLeaving || (isRestored && known.Record.Draining);
  const bool isRemovalUndone =
      isRemoved(known) && next.Revision.Era > known.RemovalRevision.Era;
  next.UnconfirmedUntil =
      isRemovalUndone ? registry.RestoredUntil : known.UnconfirmedUntil;
}

void delayRemovals(Registry &registry, Instant until) {
  for (auto &[id, it] : registry.Entries) {
    it.RemoveAt = isRemoved(it) ? std::max(it.RemoveAt, until) : it.RemoveAt;
  }
}

} // namespace

void recordStoreRecovery(Registry &registry, Instant now) {
  registry.RemovalGraceUntil = now + ReregistrationGrace;
  delayRemovals(registry, registry.RemovalGraceUntil);
}

void endRemovalGrace(Registry &registry, Instant now) {
  registry.RemovalGraceUntil = Instant{};
  const Instant until = std::max(now, registry.RestoreGraceUntil);
  for (auto &[id, it] : registry.Entries) {
    it.RemoveAt = isRemoved(it) ? std::min(it.RemoveAt, until) : it.RemoveAt;
  }
}

void recordStoreRestore(Registry &registry, Instant now) {
  registry.RestoreGraceUntil = now + ReregistrationGrace;
  delayRemovals(registry, registry.RestoreGraceUntil);
  registry.RestoredUntil = now + RestoredRegistrationLifetime;
}

void put(Registry &registry, Upstream record, StoreRevision revision,
         Instant now) {
  Registration next{std::move(record), revision, now};
  const auto known = registry.Entries.find(next.Record.Id);
  if (known != registry.Entries.end()) {
    if (!isOutdated(known->second, next)) {
      keepState(registry, known->second, next);
      known->second = std::move(next);
    }
    return;
  }
  const auto removed = registry.RemovedUpstreams.find(next.Record.Id);
  if (removed != registry.RemovedUpstreams.end()) {
    const RemovedUpstream &it = removed->second;
    if (isSameIncarnation(it.StartedMs, next.Record)) {
      if (revision <= it.Revision) {
        return; // The registration is older than its removal.
      }
      next.IsLeaving = it.IsLeaving;
      if (revision.Era > it.Revision.Era) {
        next.UnconfirmedUntil = registry.RestoredUntil;
      }
    }
    registry.RemovedUpstreams.erase(removed);
  }
  std::string id = next.Record.Id;
  registry.Entries.emplace(std::move(id), std::move(next));
}

void remove(Registry &registry, const std::string &id, StoreRevision revision,
            Instant now) {
  const auto it = registry.Entries.find(id);
  if (it == registry.Entries.end() || revision < it->second.Revision) {
    return;
  }
  // A reader knows more of an outage than one that has become its follower.
  const Instant at =
      std::max({now, registry.RemovalGraceUntil, registry.RestoreGraceUntil});
  if (isRemoved(it->second)) {
    it->second.RemoveAt = std::min(it->second.RemoveAt, at);
    return;
  }
  it->second.RemoveAt = at;
  it->second.RemovalRevision = revision;
}

bool markLeaving(Registry &registry, const std::string &id,
                 std::uint64_t startedMs) {
  const auto it = registry.Entries.find(id);
  if (it != registry.Entries.end()) {
    return isSameIncarnation(startedMs, it->second.Record) &&
           !std::exchange(it->second.IsLeaving, true);
  }
  const auto removed = registry.RemovedUpstreams.find(id);
  if (removed != registry.RemovedUpstreams.end() &&
      removed->second.StartedMs == startedMs) {
    removed->second.IsLeaving = true;
  }
  return false;
}

bool applyDueChanges(Registry &registry, Instant now) {
  std::erase_if(registry.RemovedUpstreams, [&](const auto &it) {
    return it.second.RemovedAt + RemovedUpstreamLifetime <= now;
  });
  bool changed = false;
  for (auto it = registry.Entries.begin(); it != registry.Entries.end();) {
    Registration &entry = it->second;
    if (entry.RemoveAt <= now) {
      registry.RemovedUpstreams[it->first] = {
          entry.Record.StartedMs, entry.RemovalRevision, now,
          entry.IsLeaving || entry.Record.Draining};
      it = registry.Entries.erase(it);
      changed = true;
      continue;
    }
    if (isUnconfirmed(entry) && entry.UnconfirmedUntil <= now) {
      entry.UnconfirmedUntil = Instant{};
      changed = true;
    }
    ++it;
  }
  return changed;
}

Instant nextDueChange(const Registry &registry) {
  Instant next = Instant::max();
  for (const auto &[id, it] : registry.Entries) {
    next = std::min(next, it.RemoveAt);
    next = isUnconfirmed(it) ? std::min(next, it.UnconfirmedUntil) : next;
  }
  return next;
}

Upstream currentUpstream(const Registration &registration, Instant now) {
  Upstream it = registration.Record;
  const Duration age = now - registration.ReceivedAt;
  it.WarmupRemaining = std::max(it.WarmupRemaining - age, Duration{0});
  it.Draining = it.Draining || registration.IsLeaving ||
                now < registration.UnconfirmedUntil;
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
