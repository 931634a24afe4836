/// \file
/// Overview of the registry module: the upstreams that are registered in the
/// store, built from its lists and its change events. No I/O and no clock.
///
/// Registrations expire during a store outage although their upstreams are
/// still running. These upstreams register again soon after the store is
/// reachable, so a removal that is received around an outage is delayed by a
/// grace period. A store that was restored from a copy lists upstreams as they
/// were seconds before: those that have left since then stay out of use.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/StoreRevision.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/registry/Upstream.h"

namespace zinniarail {

/// How long removals are delayed after a store outage, so that upstreams whose
/// registration expired can register again. The platform promises that they do
/// so within about two seconds.
constexpr Duration ReregistrationGrace = std::chrono::milliseconds{2300};

/// How long after a restore of the store a registration is not trusted if its
/// upstream was removed before. An upstream that has left does not renew the
/// restored registration, which expires within this time.
constexpr Duration RestoredRegistrationLifetime = std::chrono::seconds{6};

/// How long the registry remembers upstreams that it removed.
constexpr Duration RemovedUpstreamLifetime = std::chrono::seconds{60};

/// A registration as last received from the store.
struct Registration {
  Upstream Record;
  StoreRevision Revision;
  Instant ReceivedAt{};
  /// When to drop the registration; Instant::max() while the store contains it.
  Instant RemoveAt = Instant::max();
  StoreRevision RemovalRevision; ///< Of the pending removal.
  /// Until then the upstream counts as draining: it was removed before the
  /// store was restored, and may have left.
  Instant UnconfirmedUntil{};
  /// The upstream itself announced that it leaves, or it was draining before
  /// the store was restored. Only another incarnation is used again.
  bool IsLeaving = false;
};

/// An upstream that was removed.
struct RemovedUpstream {
  std::uint64_t StartedMs = 0; ///< As Upstream::StartedMs.
  StoreRevision Revision;      ///< Of its removal.
  Instant RemovedAt{};
  bool IsLeaving = false; ///< As Registration::IsLeaving.
};

/// All registrations by upstream id.
struct Registry {
  std::map<std::string, Registration> Entries;
  std::map<std::string, RemovedUpstream> RemovedUpstreams;
  /// End of the grace period after an outage: removals received earlier are
  /// delayed until then.
  Instant RemovalGraceUntil{};
  /// Likewise after a restore.
  Instant RestoreGraceUntil{};
  /// Until then, restored registrations of removed upstreams are not trusted.
  Instant RestoredUntil{};
};

/// Records that the store is reachable again after an outage.
void recordStoreRecovery(Registry &registry, Instant now);

/// Ends the grace period after an outage: no registration can have expired in
/// it. Removals that waited for its end are due now.
void endRemovalGrace(Registry &registry, Instant now);

/// Records that the store was restored from a copy.
void recordStoreRestore(Registry &registry, Instant now);

/// Adds or updates a registration. Ignored if a newer revision is known.
void put(Registry &registry, Upstream record, StoreRevision revision,
         Instant now);

/// Removes a registration, after the grace period if there was an outage or a
/// restore. Ignored if a newer revision is known.
void remove(Registry &registry, const std::string &id, StoreRevision revision,
            Instant now);

/// Records that an upstream announced that it leaves.
/// \param startedMs the incarnation that announced it; see Upstream.
/// \returns whether this was not known.
bool markLeaving(Registry &registry, const std::string &id,
                 std::uint64_t startedMs);

/// Drops the registrations whose removal is due and ends each UnconfirmedUntil
/// whose time has come.
/// \returns whether any upstream changed.
bool applyDueChanges(Registry &registry, Instant now);

/// When the next change by applyDueChanges is due; Instant::max() when none is
/// pending.
Instant nextDueChange(const Registry &registry);

/// The registered upstreams, ordered by id; see currentUpstream.
std::vector<Upstream> listUpstreams(const Registry &registry, Instant now);

/// The upstream of a registration, with WarmupRemaining and Draining as of
/// \p now.
Upstream currentUpstream(const Registration &registration, Instant now);

} // namespace zinniarail
