/// \file
/// The state by which an instance routes requests: the configuration in force,
/// the registered upstreams, the failure domains out of service and the number
/// of instances that share the fleet-wide limits.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/intent/Configuration.h"

#include "zinniarail/registry/Upstream.h"
#include "zinniarail/rollout/Order.h"

namespace zinniarail {

/// An immutable snapshot; each newer one replaces it as a whole.
struct RoutingSnapshot {
  std::shared_ptr<const Configuration> Config; ///< Null until one is known.
  std::vector<Upstream> Upstreams;             ///< Sorted by id.
  /// Failure domains out of service: their upstreams get no new requests.
  std::set<std::string> EvacuatedDomains;

  std::size_t FleetSize = 1; ///< Instances in the fleet that may be running.
  /// Ids of the instances that are known and don't leave, this one included;
  /// sorted.
  std::vector<std::string> InstanceIds;
  /// How requests are divided between versions while roll-outs are under way.
  rollout::Divisions Divisions = {};
};

} // namespace zinniarail
