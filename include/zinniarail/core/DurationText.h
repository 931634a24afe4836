/// \file
/// Durations as text: a number and its unit, as in "1500ms" or "2.5s".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// Parses a duration.
/// \returns none unless \p text is a non-negative number followed by "ms" or
/// "s".
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration in whole milliseconds, rounded down.
std::string formatDuration(Duration duration);

} // namespace zinniarail
