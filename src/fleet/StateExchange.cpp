#include "fleet/StateExchange.h"

#include <algorithm>

#include "fleet/ListDigest.h"

namespace zinniarail::fleet {

void fillFromMirror(StateUpdate &update, StatePart part,
                    const store::Mirror &mirror, Instant now) {
  switch (part) {
  case StatePart::Configuration:
    update.Config = std::make_shared<const std::string>(
        encodeConfiguration(*mirror.Config));
    update.SentConfig = mirror.Config;
    return;
  case StatePart::Upstreams:
    update.Upstreams.emplace().AsOf = mirror.UpstreamsRevision;
    for (const auto &[id, it] : mirror.Upstreams.Entries) {
      update.Upstreams->List.Items.push_back(
          {currentUpstream(it, now), it.Revision, it.IsLeaving});
    }
    return;
  case StatePart::EvacuatedDomains:
    update.EvacuatedDomains.emplace().AsOf = mirror.EvacuationsRevision;
    for (const auto &[domain, it] : mirror.EvacuatedDomains) {
      update.EvacuatedDomains->RevisionByName.emplace(domain, it.Revision);
    }
    return;
  case StatePart::Rollouts:
    update.Rollouts = {mirror.Rollouts, mirror.RolloutsRevision};
    return;
  case StatePart::Members:
    return;
  }
}

bool applyToMirror(store::Mirror &mirror, const StateUpdate &update,
                   Instant now) {
  bool isApplied = true;
  const std::uint64_t era =
      std::max(update.Upstreams ? update.Upstreams->AsOf.Era : 0,
               update.EvacuatedDomains ? update.EvacuatedDomains->AsOf.Era : 0);
  enterEra(mirror, era, now);
  if (update.Config) {
    auto config = decodeConfiguration(*update.Config, mirror.Config.get());
    isApplied = config != nullptr;
    if (config) {
      updateConfiguration(mirror, std::move(config));
    }
  }
  if (update.Upstreams) {
    auto [list, asOf] = *update.Upstreams;
    resolveBuckets(list, mirror.Upstreams.Entries);
    if (list.IsComplete) {
      replaceUpstreams(mirror, list.Items, asOf, now);
    } else {
      updateUpstreams(mirror, list.Items, list.RemovedIds, asOf, now);
    }
  }
  if (update.EvacuatedDomains) {
    replaceEvacuatedDomains(mirror, update.EvacuatedDomains->RevisionByName,
                            update.EvacuatedDomains->AsOf, now);
  }
  if (update.Rollouts) {
    replaceRollouts(mirror, update.Rollouts->Orders, update.Rollouts->AsOf);
  }
  return isApplied;
}

std::vector<LeavingUpstream> listLeavingUnknownTo(const UpstreamsUpdate &update,
                                                  const store::Mirror &mirror) {
  std::vector<LeavingUpstream> leaving;
  for (const store::ListedUpstream &it : update.List.Items) {
    const auto known = mirror.Upstreams.Entries.find(it.Record.Id);
    const bool isUnknown =
        known != mirror.Upstreams.Entries.end() && known->second.IsLeaving &&
        !it.IsLeaving && known->second.Record.StartedMs == it.Record.StartedMs;
    if (isUnknown) {
      leaving.push_back({it.Record.Id, it.Record.StartedMs});
    }
  }
  return leaving;
}

} // namespace zinniarail::fleet
