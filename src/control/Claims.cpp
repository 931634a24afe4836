#include "control/Claims.h"

namespace zinniarail::control {

using platform::Outcome;
using platform::Reply;

std::string claimPrefix(const std::string &environment,
                        const std::string &service) {
  return "environments/" + environment + "/claims/" + service + "/";
}

ClaimVerdict settleClaim(const Reply &read, const std::string &owner) {
  if (read.How != Outcome::Done) {
    // Also when there is no object: the lost write may still take effect.
    return ClaimVerdict::Unavailable;
  }
  return read.Bytes == owner ? ClaimVerdict::Granted : ClaimVerdict::Taken;
}

void keepClaim(platform::Client &client, const std::string &environment,
               const KeepClaim &claim, const std::string &owner,
               const std::function<void(ClaimVerdict)> &done) {
  const std::string key =
      claimPrefix(environment, claim.Service) + claim.KeyHash;
  client.put(key, owner, 0, [&client, key, owner, done](const Reply &put) {
    if (put.How == Outcome::Done) {
      done(ClaimVerdict::Granted);
      return;
    }
    if (put.How != Outcome::Conflict && put.How != Outcome::Unknown) {
      done(ClaimVerdict::Unavailable);
      return;
    }
    client.get(key, [owner, done](const Reply &read) {
      done(settleClaim(read, owner));
    });
  });
}

void listClaims(platform::Client &client, const std::string &environment,
                const std::string &service,
                std::function<void(peers::ClaimsListed)> done) {
  const std::string prefix = claimPrefix(environment, service);
  client.list(prefix, [service, prefix, done = std::move(done)](
                          const platform::Listing &listing) {
    peers::ClaimsListed listed{.Service = service,
                               .Reached = listing.How == Outcome::Done};
    for (const platform::Entry &it : listing.Entries) {
      if (it.Key.starts_with(prefix)) {
        listed.KeyHashes.push_back(it.Key.substr(prefix.size()));
      }
    }
    done(std::move(listed));
  });
}

} // namespace zinniarail::control
