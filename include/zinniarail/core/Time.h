/// \file
/// The time types used in all interfaces. Functions that make decisions take
/// the current time as an argument and never read a clock.
#pragma once

#include <chrono>

namespace zinniarail {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock, which keeps running while the process is
/// stopped.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Only for code that runs on an event loop, such as
/// StoreTask; functions that make decisions are passed the time.
inline Instant readClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace zinniarail
