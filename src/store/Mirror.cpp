#include "store/Mirror.h"

#include <algorithm>
#include <set>

namespace zinniarail::store {

bool updateConfiguration(Mirror &mirror,
                         std::shared_ptr<const Configuration> config) {
  if (mirror.Config && config->Version <= mirror.Config->Version) {
    return false;
  }
  mirror.Config = std::move(config);
  return true;
}

bool enterEra(Mirror &mirror, std::uint64_t era, Instant now) {
  if (era <= mirror.Era) {
    return false;
  }
  mirror.Era = era;
  const bool isBlank = !mirror.Config && mirror.Upstreams.Entries.empty() &&
                       mirror.EvacuatedDomains.empty();
  if (!isBlank) {
    recordStoreRestore(mirror.Upstreams, now);
    mirror.RestoreGraceUntil = now + RestoreGrace;
  }
  return true;
}

bool applyDueChanges(Mirror &mirror, Instant now) {
  const bool upstreamsChanged = applyDueChanges(mirror.Upstreams, now);
  const bool evacuationsChanged =
      std::erase_if(mirror.EvacuatedDomains, [&](const auto &it) {
        return it.second.EndsAt <= now;
      }) != 0;
  return upstreamsChanged || evacuationsChanged;
}

Instant nextDueChange(const Mirror &mirror) {
  Instant next = nextDueChange(mirror.Upstreams);
  for (const auto &[domain, it] : mirror.EvacuatedDomains) {
    next = std::min(next, it.EndsAt);
  }
  return next;
}

void setEvacuated(Mirror &mirror, const std::string &domain,
                  StoreRevision revision, bool evacuated) {
  const auto it = mirror.EvacuatedDomains.find(domain);
  if (it != mirror.EvacuatedDomains.end() && revision < it->second.Revision) {
    return;
  }
  if (evacuated) {
    mirror.EvacuatedDomains[domain] = {revision};
  } else {
    mirror.EvacuatedDomains.erase(domain);
  }
}

void replaceUpstreams(Mirror &mirror, std::vector<ListedUpstream> listed,
                      StoreRevision asOf, Instant now) {
  std::set<std::string> ids;
  for (const ListedUpstream &it : listed) {
    ids.insert(it.Record.Id);
  }
  std::vector<std::string> removed;
  for (const auto &[id, it] : mirror.Upstreams.Entries) {
    if (!ids.contains(id)) {
      removed.push_back(id);
    }
  }
  updateUpstreams(mirror, std::move(listed), removed, asOf, now);
}

void updateUpstreams(Mirror &mirror, std::vector<ListedUpstream> changed,
                     const std::vector<std::string> &removed,
                     StoreRevision asOf, Instant now) {
  for (ListedUpstream &it : changed) {
    const std::string id = it.Record.Id;
    const std::uint64_t startedMs = it.Record.StartedMs;
    put(mirror.Upstreams, std::move(it.Record), it.Revision, now);
    if (it.IsLeaving) {
      markLeaving(mirror.Upstreams, id, startedMs);
    }
  }
  for (const std::string &id : removed) {
    remove(mirror.Upstreams, id, asOf, now);
  }
  mirror.UpstreamsRevision = std::max(mirror.UpstreamsRevision, asOf);
  applyDueChanges(mirror.Upstreams, now);
}

void replaceEvacuatedDomains(
    Mirror &mirror, const std::map<std::string, StoreRevision> &evacuated,
    StoreRevision asOf, Instant now) {
  for (auto &[domain, it] : mirror.EvacuatedDomains) {
    const bool isMissing = !evacuated.contains(domain) && it.Revision <= asOf;
    if (isMissing && it.EndsAt == Instant::max()) {
      const bool isOfEarlierEra = it.Revision.Era < asOf.Era;
      it.EndsAt =
          isOfEarlierEra ? std::max(now, mirror.RestoreGraceUntil) : now;
    }
  }
  for (const auto &[domain, revision] : evacuated) {
    setEvacuated(mirror, domain, revision, true);
  }
  mirror.EvacuationsRevision = std::max(mirror.EvacuationsRevision, asOf);
  applyDueChanges(mirror, now);
}

void setRollout(Mirror &mirror, const std::string &name, rollout::Order order) {
  const auto [at, isNew] = mirror.Rollouts.try_emplace(name, order);
  if (!isNew && at->second.Revision < order.Revision) {
    at->second = std::move(order);
  }
}

void removeRollout(Mirror &mirror, const std::string &name,
                   StoreRevision revision) {
  const auto it = mirror.Rollouts.find(name);
  if (it != mirror.Rollouts.end() && it->second.Revision <= revision) {
    mirror.Rollouts.erase(it);
  }
}

void replaceRollouts(Mirror &mirror, rollout::Orders listed,
                     StoreRevision asOf) {
  std::erase_if(mirror.Rollouts, [&](const auto &it) {
    return !listed.contains(it.first) && it.second.Revision <= asOf;
  });
  for (auto &[name, it] : listed) {
    setRollout(mirror, name, std::move(it));
  }
  mirror.RolloutsRevision = std::max(mirror.RolloutsRevision, asOf);
}

} // namespace zinniarail::store
