/// \file
/// Overview of the registry module: the upstreams that are registered in the
/// store, built from its lists and its change events. No I/O and no clock.
///
/// Registrations expire during a store outage although their upstreams are
/// still running. These upstreams register again soon after the store is
/// reachable, so a removal that is received around an outage is delayed by a
/// grace period.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/registry/Upstream.h"

namespace zinniarail {

/// How long removals are delayed after a store outage, so that upstreams whose
/// registration expired can register again. The platform promises that they do
/// so within about two seconds.
constexpr Duration ReregistrationGrace = std::chrono::milliseconds{2300};

/// A registration as last received from the store.
struct Registration {
  Upstream Record;
  std::uint64_t Revision = 0;
  Instant ReceivedAt{};
  /// When to drop the registration; Instant::max() while the store contains it.
  Instant RemoveAt = Instant::max();
};

/// All registrations by upstream id.
struct Registry {
  std::map<std::string, Registration> Entries;
  /// End of the grace period: removals received earlier are delayed until then.
  Instant RemovalGraceUntil{};
};

/// Records that the store is reachable again after an outage.
void recordStoreRecovery(Registry &registry, Instant now);

/// Adds or updates a registration. Ignored if a newer revision is known.
void put(Registry &registry, Upstream record, std::uint64_t revision,
         Instant now);

/// Removes a registration, after the grace period if there was an outage.
/// Ignored if a newer revision is known.
void remove(Registry &registry, const std::string &id, std::uint64_t revision,
            Instant now);

/// Drops the registrations whose removal is due.
/// \returns whether any was dropped.
bool applyDueRemovals(Registry &registry, Instant now);

/// When the next removal is due; Instant::max() when none is pending.
Instant nextRemoval(const Registry &registry);

/// The registered upstreams, ordered by id, with WarmupRemaining as of \p now.
std::vector<Upstream> listUpstreams(const Registry &registry, Instant now);

/// The upstream of a registration, with WarmupRemaining as of \p now.
Upstream currentUpstream(const Registration &registration, Instant now);

} // namespace zinniarail
