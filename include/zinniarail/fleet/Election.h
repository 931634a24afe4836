/// \file
/// Which instance of a failure domain reads the platform's store for the
/// others. Two at a time cost calls and no promise; none for a while means that
/// what is in force gets old, so the next one steps in soon.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "zinniarail/fleet/Members.h"

namespace zinniarail {

/// How long each instance that is known to lead another is waited for. Where
/// the store is away for all, few of many instances ask for it.
constexpr Duration StepTime = std::chrono::milliseconds{250};

/// What this instance does for its knowledge of the store.
enum class Duty : std::uint8_t {
  Wait,   ///< Somebody who leads it is about to read.
  Follow, ///< Another reads for it.
  Read,
};

/// This instance's part in it.
struct Election {
  Duty Now = Duty::Wait;
  std::string Reader; ///< Who is followed.
  /// Since when nobody is known who reads and whom the store answers.
  std::optional<Instant> NobodySince;
};

/// Decides anew.
/// \param maySettle false while this instance has just started and may not know
/// the others yet.
/// \returns whether anything changed.
bool decide(Election &election, const Members &members, bool maySettle,
            Instant now);

/// How many live members lead this one.
std::size_t positionOf(const Members &members, Instant now);

} // namespace zinniarail
