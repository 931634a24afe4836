/// \file
/// The time types used in all interfaces. Functions that make decisions take
/// the current time as an argument and never read a clock.
#pragma once

#include <chrono>
#include <ctime>

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

/// Reads the clock that also runs while the machine is suspended. Its times are
/// not compared with those of readClock.
inline Instant readBootClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant{std::chrono::duration_cast<Duration>(
      std::chrono::seconds{now.tv_sec} +
      std::chrono::nanoseconds{now.tv_nsec})};
}

} // namespace zinniarail
