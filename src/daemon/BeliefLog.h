/// \file
/// Tells in the log what this instance believes from now on, and did not
/// before.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/fleet/Members.h"
#include "zinniarail/fleet/RoutingSnapshot.h"

namespace zinniarail {

/// Compares what is believed with what was last told.
class BeliefLog {
public:
  void noteFleet(const RoutingSnapshot &fleet);
  void noteLive(const std::vector<Member> &live);

private:
  std::uint64_t Version = 0;
  std::map<std::string, Upstream> Upstreams;
  std::set<std::string> DomainsOut;
  std::map<std::string, bool> Live; ///< By id: whether it leaves.
};

} // namespace zinniarail
