/// \file
/// Overview of the registry module: which upstreams are there, from what the
/// store lists and from its changes. Pure.
///
/// Registrations lapse while the store is away, though their upstreams live.
/// Those are back within a short time of the store's return, so a removal that
/// is heard around an outage takes effect only after that time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/registry/Upstream.h"

namespace zinniarail {

/// How long after the store's return a registration that lapsed in its absence
/// may still come back; the platform promises about two seconds.
constexpr Duration LapseGrace = std::chrono::milliseconds{2300};

/// A registration and what became of it.
struct Registration {
  Upstream Record;
  std::uint64_t Revision = 0;
  Instant HeardAt{};
  Instant RemoveAt = Instant::max(); ///< Set once it is missing.
};

/// All registrations by the upstream's id.
struct Registry {
  std::map<std::string, Registration> Entries;
  Instant OutageUntil{}; ///< Removals heard before then may be lapses.
};

/// The store was out of reach and answers again.
void noteReturn(Registry &registry, Instant now);

/// Takes a change of one registration.
void put(Registry &registry, Upstream record, std::uint64_t revision,
         Instant now);

/// Takes a removal.
void remove(Registry &registry, const std::string &id, std::uint64_t revision,
            Instant now);

/// Drops what is due.
/// \returns whether anything was dropped.
bool dropDue(Registry &registry, Instant now);

/// When dropDue has something to do; Instant::max() when never.
Instant nextDrop(const Registry &registry);

/// The upstreams, by id, each with what is left of its cold time.
std::vector<Upstream> upstreamsOf(const Registry &registry, Instant now);

/// What an upstream's registration says now.
Upstream currentOf(const Registration &registration, Instant now);

} // namespace zinniarail
