/// \file
/// Chooses an upstream for one attempt: the least loaded by what this instance
/// has in flight, which is never stale, and the baselines to measure against.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "zinniarail/core/Random.h"

namespace zinniarail {

/// How an upstream is chosen. All but Homes are baselines to measure against:
/// they take the whole of each upstream on every instance.
enum class RoutingPolicy : std::uint8_t {
  Homes,
  TwoChoices, ///< The less loaded, by own requests in flight, of two random.
  Random,
  RoundRobin,
};

/// One upstream as the choice sees it.
struct Candidate {
  unsigned InFlight = 0; ///< Own attempts that are running there.
  unsigned Limit = 0;    ///< Own attempts it may have; 0 when not to be used.
  unsigned Rank = 0;     ///< The lower is taken while it has room.
  double Others = 0;     ///< Guess at others' requests there; breaks ties.
};

/// Chooses among candidates that have room.
/// \param cursor the round robin's place; moved on by a choice.
/// \returns an index into \p candidates, none when nobody has room.
std::optional<std::size_t> pickUpstream(std::span<const Candidate> candidates,
                                        RoutingPolicy policy, Random &random,
                                        std::size_t &cursor);

} // namespace zinniarail
