/// \file
/// Claims kept in the platform, for when no second home can hold them. A lost
/// answer is settled by a read: the value names the owner.
#pragma once

#include <functional>
#include <string>

#include "zinniarail/control/Messages.h"
#include "zinniarail/peers/Messages.h"
#include "zinniarail/platform/Client.h"

namespace zinniarail::control {

/// Where an environment's claims of a service are kept; ends with a slash.
std::string claimPrefix(const std::string &environment,
                        const std::string &service);

/// What a read of the claim's object says after a create that conflicted or
/// whose answer was lost.
/// \param owner the value that this instance tried to write.
ClaimVerdict settleClaim(const platform::Reply &read, const std::string &owner);

/// Keeps a claim.
/// \param owner unique to this request among all instances and starts.
void keepClaim(platform::Client &client, const std::string &environment,
               const KeepClaim &claim, const std::string &owner,
               const std::function<void(ClaimVerdict)> &done);

/// Lists the claims kept for a service.
void listClaims(platform::Client &client, const std::string &environment,
                const std::string &service,
                std::function<void(peers::ClaimsListed)> done);

} // namespace zinniarail::control
