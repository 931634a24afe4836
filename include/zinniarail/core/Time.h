/// \file
/// The time types of every signature. Decisions take the time as an argument
/// and never read a clock.
#pragma once

#include <chrono>

namespace zinniarail {

/// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock, which goes on while a process is stopped.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. For tasks only; decisions are given the time.
inline Instant readClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace zinniarail
