#include "daemon/StateChangeLog.h"

#include "zinniarail/events/Events.h"
#include "zinniarail/intent/Review.h"

namespace zinniarail {

namespace {

// Maximum number of names in a log field; the rest are only counted.
constexpr std::size_t MaxNames = 12;

std::string join(const std::vector<std::string> &names) {
  std::string out;
  for (std::size_t n = 0; n < names.size() && n < MaxNames; ++n) {
    out += (n == 0 ? "" : ",") + names[n];
  }
  if (names.size() > MaxNames) {
    out += ",and " + std::to_string(names.size() - MaxNames) + " more";
  }
  return out;
}

// Maximum number of findings in a log line; the rest are only counted.
constexpr std::size_t MaxFindings = 4;

void logFindings(const Configuration &configuration) {
  if (!isLogged(EventId::DocumentDoubtful)) {
    return;
  }
  const std::vector<Finding> all = reviewConfiguration(configuration);
  if (all.empty()) {
    return;
  }
  std::string text;
  for (std::size_t n = 0; n < all.size() && n < MaxFindings; ++n) {
    text += (n == 0 ? "" : "; ") + all[n].Message;
  }
  logEvent(EventId::DocumentDoubtful, {{"version", configuration.Version},
                                       {"findings", all.size()},
                                       {"first", text}});
}

} // namespace

void StateChangeLog::logRoutingChanges(const RoutingSnapshot &snapshot) {
  const std::uint64_t version = snapshot.Config ? snapshot.Config->Version : 0;
  if (version != ConfigVersion) {
    logEvent(EventId::DocumentInForce,
             {{"version", version}, {"before", ConfigVersion}});
    if (snapshot.Config) {
      logFindings(*snapshot.Config);
    }
    ConfigVersion = version;
  }
  std::vector<std::string> added;
  std::vector<std::string> draining;
  std::map<std::string, Upstream> current;
  for (const Upstream &it : snapshot.Upstreams) {
    const auto before = Upstreams.find(it.Id);
    if (before == Upstreams.end() || before->second.StartedMs != it.StartedMs) {
      added.push_back(it.Id + "@" + it.Address);
    }
    if (it.Draining &&
        (before == Upstreams.end() || !before->second.Draining)) {
      draining.push_back(it.Id);
    }
    current.emplace(it.Id, it);
  }
  std::vector<std::string> removed;
  for (const auto &[id, it] : Upstreams) {
    if (!current.contains(id)) {
      removed.push_back(id);
    }
  }
  Upstreams = std::move(current);
  if (!added.empty() || !draining.empty() || !removed.empty()) {
    logEvent(EventId::UpstreamsChanged, {{"known", Upstreams.size()},
                                         {"added", join(added)},
                                         {"draining", join(draining)},
                                         {"removed", join(removed)}});
  }
  for (const std::string &it : snapshot.EvacuatedDomains) {
    if (!EvacuatedDomains.contains(it)) {
      logEvent(EventId::DomainOut, {{"domain", it}});
    }
  }
  for (const std::string &it : EvacuatedDomains) {
    if (!snapshot.EvacuatedDomains.contains(it)) {
      logEvent(EventId::DomainIn, {{"domain", it}});
    }
  }
  EvacuatedDomains = snapshot.EvacuatedDomains;
}

void StateChangeLog::logMembershipChanges(const std::vector<Member> &live) {
  std::map<std::string, bool> current;
  for (const Member &it : live) {
    current.emplace(it.Record.Id, it.Record.Leaving);
    const auto before = LeavingById.find(it.Record.Id);
    if (before == LeavingById.end()) {
      logEvent(EventId::InstanceFound, {{"instance", it.Record.Id},
                                        {"callers", it.Record.CallerAddress}});
    } else if (it.Record.Leaving && !before->second) {
      logEvent(EventId::InstanceLost,
               {{"instance", it.Record.Id}, {"why", "leaves"}});
    }
  }
  for (const auto &[id, leaving] : LeavingById) {
    if (!current.contains(id)) {
      logEvent(EventId::InstanceLost,
               {{"instance", id}, {"why", "no longer live"}});
    }
  }
  LeavingById = std::move(current);
}

} // namespace zinniarail
