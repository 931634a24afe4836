#include "zinniarail/quota/Limits.h"

#include <algorithm>

namespace zinniarail::quota {

namespace {

double secondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

double mostInWindow(const CustomerLimit &limit, const QuotaSettings &settings) {
  return (limit.RatePerSecond * secondsOf(settings.Window) + limit.Burst) *
             (1 + settings.Overshoot) +
         settings.Slack;
}

PoolLimit derivePoolLimit(const CustomerLimit &limit,
                          const QuotaSettings &settings) {
  // Credit that left the bucket before a window may be used in it.
  const double span =
      secondsOf(settings.Window + GrantLifetime + TransferLifetime);
  const double most = mostInWindow(limit, settings);
  PoolLimit out;
  out.RatePerSecond = limit.RatePerSecond;
  out.Capacity = most - out.RatePerSecond * span;
  if (out.Capacity < 1) {
    // Nothing could be admitted without one request's credit at once.
    out.Capacity = std::min(most, 1.0);
    out.RatePerSecond = std::max(0.0, (most - out.Capacity) / span);
  }
  // What the bound leaves beyond rate and burst: a third each for credit that
  // is lost on its way, for starts, and for bursts.
  const double part = std::max(0.0, (out.Capacity - limit.Burst) / 3);
  out.RatePerSecond += part / span;
  out.StartCredit = part;
  out.Capacity -= 2 * part;
  return out;
}

} // namespace zinniarail::quota
