#include "daemon/BeliefLog.h"

#include "zinniarail/events/Events.h"

namespace zinniarail {

namespace {

// Names in one line; the others are counted.
constexpr std::size_t MostNames = 12;

std::string join(const std::vector<std::string> &names) {
  std::string out;
  for (std::size_t n = 0; n < names.size() && n < MostNames; ++n) {
    out += (n == 0 ? "" : ",") + names[n];
  }
  if (names.size() > MostNames) {
    out += ",and " + std::to_string(names.size() - MostNames) + " more";
  }
  return out;
}

} // namespace

void BeliefLog::noteFleet(const RoutingSnapshot &fleet) {
  const std::uint64_t version = fleet.Config ? fleet.Config->Version : 0;
  if (version != Version) {
    logEvent(EventId::DocumentInForce,
             {{"version", version}, {"before", Version}});
    Version = version;
  }
  std::vector<std::string> added;
  std::vector<std::string> draining;
  std::map<std::string, Upstream> now;
  for (const Upstream &it : fleet.Upstreams) {
    const auto before = Upstreams.find(it.Id);
    if (before == Upstreams.end() || before->second.StartedMs != it.StartedMs) {
      added.push_back(it.Id + "@" + it.Address);
    }
    if (it.Draining &&
        (before == Upstreams.end() || !before->second.Draining)) {
      draining.push_back(it.Id);
    }
    now.emplace(it.Id, it);
  }
  std::vector<std::string> removed;
  for (const auto &[id, it] : Upstreams) {
    if (!now.contains(id)) {
      removed.push_back(id);
    }
  }
  Upstreams = std::move(now);
  if (!added.empty() || !draining.empty() || !removed.empty()) {
    logEvent(EventId::UpstreamsChanged, {{"known", Upstreams.size()},
                                         {"added", join(added)},
                                         {"draining", join(draining)},
                                         {"removed", join(removed)}});
  }
  for (const std::string &it : fleet.EvacuatedDomains) {
    if (!DomainsOut.contains(it)) {
      logEvent(EventId::DomainOut, {{"domain", it}});
    }
  }
  for (const std::string &it : DomainsOut) {
    if (!fleet.EvacuatedDomains.contains(it)) {
      logEvent(EventId::DomainIn, {{"domain", it}});
    }
  }
  DomainsOut = fleet.EvacuatedDomains;
}

void BeliefLog::noteLive(const std::vector<Member> &live) {
  std::map<std::string, bool> now;
  for (const Member &it : live) {
    now.emplace(it.Record.Id, it.Record.Leaving);
    const auto before = Live.find(it.Record.Id);
    if (before == Live.end()) {
      logEvent(EventId::InstanceFound, {{"instance", it.Record.Id},
                                        {"callers", it.Record.CallerAddress}});
    } else if (it.Record.Leaving && !before->second) {
      logEvent(EventId::InstanceLost,
               {{"instance", it.Record.Id}, {"why", "leaves"}});
    }
  }
  for (const auto &[id, leaving] : Live) {
    if (!now.contains(id)) {
      logEvent(EventId::InstanceLost,
               {{"instance", id}, {"why", "not heard of"}});
    }
  }
  Live = std::move(now);
}

} // namespace zinniarail
