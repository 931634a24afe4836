/// \file
/// A local copy of the store's objects, filled from the store or from the
/// instance that reads the store on behalf of others. Changes that are older
/// than the copy are ignored. When the store is restored from an older copy,
/// what is in force stays so until the restored store had time to be written
/// again. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Configuration.h"
#include "zinniarail/registry/Registry.h"
#include "zinniarail/rollout/Order.h"

namespace zinniarail::store {

/// How long after a restore of the store objects stay in force that the
/// restored store does not contain: operators and other readers write them
/// again meanwhile.
constexpr Duration RestoreGrace = std::chrono::seconds{10};

/// A failure domain that is out of service.
struct Evacuation {
  StoreRevision Revision;
  /// When it ends; Instant::max() while the store contains it.
  Instant EndsAt = Instant::max();
};

/// The store's objects in the state that was received last.
struct Mirror {
  std::uint64_t Era = 0; ///< Highest era of the store that was seen.
  std::shared_ptr<const Configuration> Config; ///< Null until one is received.
  Registry Upstreams;
  /// Store revision that Upstreams reflects.
  StoreRevision UpstreamsRevision;
  std::map<std::string, Evacuation> EvacuatedDomains;
  /// Store revision that EvacuatedDomains reflects.
  StoreRevision EvacuationsRevision;
  rollout::Orders Rollouts; ///< By the name of their object.
  /// Store revision that Rollouts reflects.
  StoreRevision RolloutsRevision;
  /// Until then, objects of earlier eras of the store stay in force.
  Instant RestoreGraceUntil{};
};

/// Records the era of the store.
/// \returns whether it is later than the one known before.
bool enterEra(Mirror &mirror, std::uint64_t era, Instant now);

/// Applies the removals and the ends of evacuations that are due.
/// \returns whether anything changed.
bool applyDueChanges(Mirror &mirror, Instant now);

/// When the next change by applyDueChanges is due; Instant::max() when none is
/// pending.
Instant nextDueChange(const Mirror &mirror);

/// Replaces the configuration if the new one has a higher version.
/// \returns whether it was replaced.
bool updateConfiguration(Mirror &mirror,
                         std::shared_ptr<const Configuration> config);

/// Marks a failure domain as out of service, or as back in service.
void setEvacuated(Mirror &mirror, const std::string &domain,
                  StoreRevision revision, bool evacuated);

/// The registration of an upstream and the revision of its last change.
struct ListedUpstream {
  Upstream Record;
  StoreRevision Revision;
  bool IsLeaving = false; ///< As Registration::IsLeaving.
};

/// Applies a complete list of upstreams; upstreams missing from it are removed.
void replaceUpstreams(Mirror &mirror, std::vector<ListedUpstream> listed,
                      StoreRevision asOf, Instant now);

/// Applies changed upstreams and the ids of removed ones.
void updateUpstreams(Mirror &mirror, std::vector<ListedUpstream> changed,
                     const std::vector<std::string> &removed,
                     StoreRevision asOf, Instant now);

/// Applies a complete list of the failure domains that are out of service.
void replaceEvacuatedDomains(
    Mirror &mirror, const std::map<std::string, StoreRevision> &evacuated,
    StoreRevision asOf, Instant now);

/// Applies an order to move a service's traffic to another version, unless a
/// later change of it is known.
void setRollout(Mirror &mirror, const std::string &name, rollout::Order order);

/// Removes an order that was withdrawn, or can't be read any more.
void removeRollout(Mirror &mirror, const std::string &name,
                   StoreRevision revision);

/// Applies a complete list of the orders; those that are missing are removed,
/// unless they have changed since.
void replaceRollouts(Mirror &mirror, rollout::Orders listed,
                     StoreRevision asOf);

} // namespace zinniarail::store
