/// \file
/// Lengths of time as text: a number and its unit, as in "1500ms" or "2.5s".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// Reads a length of time.
/// \returns none unless it is a number from 0 on, followed by "ms" or "s".
std::optional<Duration> parseDuration(std::string_view text);

/// Writes a length of time in whole milliseconds, rounded down.
std::string printDuration(Duration duration);

} // namespace zinniarail
