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

/// Divides the slots and connections of a service's upstreams among its homes.
/// Over all homes of one digest the shares add up to each upstream's own
/// numbers exactly, and one home ramps it. In each failure domain the homes'
/// parts of the slots differ by little, for requests spread over the homes
/// evenly, whichever domains are out.
/// \param self the id of the instance that asks; zero shares when no home.
/// \returns one share for each of the service's upstreams, in their order.
std::vector<UpstreamShare> shareUpstreams(const Homes &homes,
                                          const ServiceSpec &service,
                                          const std::string &self);

/// The order in which homes vouch for an idempotency key, first the primary,
/// then the shadows, those of other failure domains before those of the same.
std::vector<Instance> claimHolders(const Homes &homes, const std::string &key);

} // namespace zinniarail
