/// \file
/// Elects the instance of a failure domain that reads the platform's store for
/// the others. Two readers at a time cost extra store calls but break no
/// guarantee. Without a reader the state in force goes stale, so the next
/// candidate takes over soon.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "zinniarail/fleet/Members.h"

namespace zinniarail {

/// A candidate waits this long for each live member of higher priority before
/// it reads the store itself, so that only a few of many instances call a store
/// that is unreachable for all.
constexpr Duration TakeoverDelayPerRank = std::chrono::milliseconds{250};

/// How this instance gets the state of the store.
enum class Duty : std::uint8_t {
  Wait,   ///< A member of higher priority is expected to read soon.
  Follow, ///< Another instance reads the store and sends updates.
  Read,   ///< This instance reads the store itself.
};

/// This instance's state in the election.
struct Election {
  Duty CurrentDuty = Duty::Wait;
  std::string Reader; ///< Id of the reader that is followed; else empty.
  /// Time since which no known reader gets answers from the store.
  std::optional<Instant> NoReaderSince;
};

/// Updates the duty and the reader that is followed.
/// \param mayBecomeReader false just after the start, while this instance may
/// not know the others yet.
/// \returns whether the duty or the reader changed.
bool updateElection(Election &election, const Members &members,
                    bool mayBecomeReader, Instant now);

/// The number of live election candidates with higher priority than this
/// instance.
std::size_t computeElectionRank(const Members &members, Instant now);

} // namespace zinniarail
