#include "fleet/LinkBudget.h"

#include <algorithm>

namespace zinniarail::fleet {

namespace {

// How long the bytes of a burst may take up the share.
constexpr Duration MaxBurst = std::chrono::milliseconds{5};

} // namespace

LinkBudget makeLinkBudget(double linkMbps, double share) {
  constexpr double bytesPerMegabit = 1e6 / 8;
  return {linkMbps * bytesPerMegabit * share, {}};
}

Instant nextSendAt(const LinkBudget &budget) {
  return budget.FreeAt - MaxBurst;
}

void recordSent(LinkBudget &budget, std::size_t bytes, Instant now) {
  if (budget.BytesPerSecond <= 0) {
    return;
  }
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           budget.BytesPerSecond);
  budget.FreeAt =
      std::max(budget.FreeAt, now) + std::chrono::duration_cast<Duration>(time);
}

} // namespace zinniarail::fleet
