#include "zinniarail/core/DurationText.h"

#include <charconv>
#include <cmath>

namespace zinniarail {

namespace {

constexpr double MicrosPerMillisecond = 1e3;
constexpr double MicrosPerSecond = 1e6;
constexpr double MaxMicros =
    1e15; // about 30 years, more than any setting needs

} // namespace

std::optional<Duration> parseDuration(std::string_view text) {
  double number = 0;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, number);
  const std::string_view unit(end, static_cast<std::size_t>(last - end));
  if (ec != std::errc{} || (unit != "ms" && unit != "s")) {
    return std::nullopt;
  }
  const double micros =
      number * (unit == "ms" ? MicrosPerMillisecond : MicrosPerSecond);
  if (!(micros >= 0 && micros <= MaxMicros)) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(std::llround(micros)));
}

std::string formatDuration(Duration duration) {
  using std::chrono::milliseconds;
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(duration).count()) +
         "ms";
}

} // namespace zinniarail
