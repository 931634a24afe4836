/// \file
/// Who waits and who is shed: a bounded queue by priority, first come first
/// served within one, and the honest guess at how long a wait would be.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// A place in the queue. Orders by who is served first.
struct Place {
  unsigned Priority = 1;     ///< 0 is served first and shed last.
  std::uint64_t Arrival = 0; ///< Counts arrivals; the older the better.
  std::uint64_t Request = 0;

  bool operator<(const Place &it) const {
    return std::tie(Priority, Arrival, Request) <
           std::tie(it.Priority, it.Arrival, it.Request);
  }
};

/// Requests that wait for a free slot, best first.
using WaitingQueue = std::set<Place>;

/// What keeps a request from waiting, or who goes for it.
struct Admission {
  bool Admitted = false;
  std::optional<Place> Shed; ///< Goes for the newcomer, when admitted.
};

/// Decides whether a newcomer may wait.
/// \param limit how many may wait.
Admission admit(const WaitingQueue &queue, const Place &newcomer,
                std::size_t limit);

/// How fast a service is worked off.
struct ServiceRate {
  unsigned Slots = 0;     ///< Requests that may run at a time, from here.
  Duration PerRequest{0}; ///< Time that one holds its slot, on average.
};

/// Guesses how long until a slot is free for whoever has \p ahead before it.
/// \returns Duration::max() when there is no slot at all.
Duration expectWait(std::size_t ahead, const ServiceRate &rate);

/// Counts those that are served before \p place.
std::size_t countAhead(const WaitingQueue &queue, const Place &place);

} // namespace zinniarail
