/// \file
/// A local copy of the store's objects, filled from the store or from the
/// instance that reads the store on behalf of others. Changes that are older
/// than the copy are ignored. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Configuration.h"
#include "zinniarail/registry/Registry.h"

namespace zinniarail::store {

/// The store's objects in the state that was received last.
struct Mirror {
  std::shared_ptr<const Configuration> Config; ///< Null until one is received.
  Registry Upstreams;
  /// Store revision that Upstreams reflects.
  std::uint64_t UpstreamsRevision = 0;
  /// Failure domains out of service, with the revision of each evacuation.
  std::map<std::string, std::uint64_t> EvacuatedDomains;
  /// Store revision that EvacuatedDomains reflects.
  std::uint64_t EvacuationsRevision = 0;
};

/// Replaces the configuration if the new one has a higher version.
/// \returns whether it was replaced.
bool updateConfiguration(Mirror &mirror,
                         std::shared_ptr<const Configuration> config);

/// Marks a failure domain as out of service, or as back in service.
void setEvacuated(Mirror &mirror, const std::string &domain,
                  std::uint64_t revision, bool evacuated);

/// The registration of an upstream and the revision of its last change.
struct ListedUpstream {
  Upstream Record;
  std::uint64_t Revision = 0;
};

/// Applies a complete list of upstreams; upstreams missing from it are removed.
void replaceUpstreams(Mirror &mirror, std::vector<ListedUpstream> listed,
                      std::uint64_t asOf, Instant now);

/// Applies changed upstreams and the ids of removed ones.
void updateUpstreams(Mirror &mirror, std::vector<ListedUpstream> changed,
                     const std::vector<std::string> &removed,
                     std::uint64_t asOf, Instant now);

/// Applies a complete list of the failure domains that are out of service.
void replaceEvacuatedDomains(
    Mirror &mirror, const std::map<std::string, std::uint64_t> &evacuated,
    std::uint64_t asOf);

} // namespace zinniarail::store
