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

void setEvacuated(Mirror &mirror, const std::string &domain,
                  std::uint64_t revision, bool evacuated) {
  const auto it = mirror.EvacuatedDomains.find(domain);
  if (it != mirror.EvacuatedDomains.end() && revision < it->second) {
    return;
  }
  if (evacuated) {
    mirror.EvacuatedDomains[domain] = revision;
  } else {
    mirror.EvacuatedDomains.erase(domain);
  }
}

void replaceUpstreams(Mirror &mirror, std::vector<ListedUpstream> listed,
                      std::uint64_t asOf, Instant now) {
  std::set<std::string> ids;
  for (ListedUpstream &it : listed) {
    ids.insert(it.Record.Id);
    put(mirror.Upstreams, std::move(it.Record), it.Revision, now);
  }
  std::vector<std::string> removed;
  for (const auto &[id, it] : mirror.Upstreams.Entries) {
    if (!ids.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string &id : removed) {
    remove(mirror.Upstreams, id, asOf, now);
  }
  mirror.UpstreamsRevision = std::max(mirror.UpstreamsRevision, asOf);
  applyDueRemovals(mirror.Upstreams, now);
}

void updateUpstreams(Mirror &mirror, std::vector<ListedUpstream> changed,
                     const std::vector<std::string> &removed,
                     std::uint64_t asOf, Instant now) {
  for (ListedUpstream &it : changed) {
    put(mirror.Upstreams, std::move(it.Record), it.Revision, now);
  }
  for (const std::string &id : removed) {
    remove(mirror.Upstreams, id, asOf, now);
  }
  mirror.UpstreamsRevision = std::max(mirror.UpstreamsRevision, asOf);
  applyDueRemovals(mirror.Upstreams, now);
}

void replaceEvacuatedDomains(
    Mirror &mirror, const std::map<std::string, std::uint64_t> &evacuated,
    std::uint64_t asOf) {
  std::erase_if(mirror.EvacuatedDomains, [&](const auto &it) {
    return !evacuated.contains(it.first) && it.second <= asOf;
  });
  for (const auto &[domain, revision] : evacuated) {
    setEvacuated(mirror, domain, revision, true);
  }
  mirror.EvacuationsRevision = std::max(mirror.EvacuationsRevision, asOf);
}

} // namespace zinniarail::store
