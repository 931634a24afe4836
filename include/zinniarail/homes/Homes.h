/// \file
/// Places services on instances: each service has a few home instances that
/// feed its upstreams, spread over failure domains, and each home has a share
/// of every upstream's slots, so that the shares add up to the slots.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/intent/Document.h"
#include "zinniarail/membership/Instance.h"
#include "zinniarail/membership/View.h"

namespace zinniarail {

/// The homes of one service.
struct Homes {
  std::vector<Instance> Ranked; ///< Best first; no two alike.
  /// Alike on two instances only if they agree about the homes.
  std::uint64_t Digest = 0;
};

/// Ranks instances for a service by rendezvous hashing and takes the best,
/// first one from each failure domain, then the rest. Instances that leave, or
/// whose domain is out of service, are no homes while others can be.
/// \param count how many homes are wanted; fewer when fewer live.
Homes placeService(const View &view, const ServiceSpec &service,
                   unsigned count);

/// How much of an upstream one home may use.
struct UpstreamShare {
  unsigned Slots = 0;       ///< Requests in flight at a time.
  unsigned Connections = 0; ///< Open connections.
  bool Ramps = false;       ///< This home warms the upstream when it is cold.
};

/// Divides an upstream's slots and connections among the homes. Over all homes
/// of one digest the shares add up to the upstream's own numbers exactly, and
/// one home ramps.
/// \param self the id of the instance that asks; a zero share when no home.
UpstreamShare shareUpstream(const Homes &homes, const UpstreamSpec &upstream,
                            const std::string &self);

/// The order in which homes vouch for an idempotency key, first the primary,
/// then the shadows, those of other failure domains before those of the same.
std::vector<Instance> claimHolders(const Homes &homes, const std::string &key);

} // namespace zinniarail
