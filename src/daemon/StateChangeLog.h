/// \file
/// Logs changes of the state by which this instance routes requests, and
/// changes of the set of live instances.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/fleet/Members.h"
#include "zinniarail/fleet/RoutingSnapshot.h"

namespace zinniarail {

/// Compares each new state with the one before and logs the differences.
class StateChangeLog {
public:
  /// Logs a new configuration version and what is doubtful in it, changed
  /// upstreams, and failure domains that were taken out of service or put back.
  void logRoutingChanges(const RoutingSnapshot &snapshot);
  /// Logs instances that became live, started to leave or are no longer live.
  void logMembershipChanges(const std::vector<Member> &live);

private:
  std::uint64_t ConfigVersion = 0; ///< Configuration version; 0: none yet.
  std::map<std::string, Upstream> Upstreams; ///< By id.
  std::set<std::string> EvacuatedDomains;
  std::map<std::string, bool> LeavingById; ///< The live instances, by id.
};

} // namespace zinniarail
