/// \file
/// What the control task tells the log: each change once. Pure.
#pragma once

#include <string>
#include <vector>

#include "control/State.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::control {

/// Failed reads in a row after which the platform counts as lost.
constexpr unsigned FailuresOfLoss = 2;

/// What the log was told last.
struct Told {
  std::shared_ptr<const Document> Intent; ///< Null: of none.
  std::uint64_t Version = 0;
  std::uint64_t RefusedVersion = 0;
  bool Reader = false;
  bool PlatformLost = false;
};

/// One line of the log.
struct Notice {
  EventId Id;
  std::string Text;

  bool operator==(const Notice &) const = default;
};

/// Lists what changed since the log was told, and notes it as told.
/// \param reader whether this instance reads from the platform.
std::vector<Notice> takeNotices(Told &told, const State &state, bool reader);

} // namespace zinniarail::control
