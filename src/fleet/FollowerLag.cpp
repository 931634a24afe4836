#include "fleet/FollowerLag.h"

#include <algorithm>

namespace zinniarail::fleet {

namespace {

// OverdueTime doubles this many times at most.
constexpr unsigned MaxDoublings = 3;

} // namespace

void restart(FollowerLag &lag) {
  lag.ReaderSequence = 0;
  lag.BehindSince.reset();
  lag.DeferredAt = Instant::min();
  lag.AbandonedPolls = 0;
}

void recordReaderSequence(FollowerLag &lag, std::uint64_t bootId,
                          std::uint64_t sequence, bool isDeferred,
                          Instant now) {
  lag.ReaderSequence = sequence;
  lag.DeferredAt = isDeferred ? now : lag.DeferredAt;
  const std::uint64_t applied =
      bootId == lag.ReaderBootId ? lag.LastSequence : 0;
  if (sequence <= applied) {
    lag.BehindSince.reset();
  } else if (!lag.BehindSince) {
    lag.BehindSince = now;
  }
}

void recordUpdate(FollowerLag &lag, std::uint64_t bootId,
                  std::uint64_t sequence) {
  lag.ReaderBootId = bootId;
  lag.LastSequence = sequence;
  lag.BehindSince.reset(); // The reader's next datagram tells what is missing.
  lag.AbandonedPolls = 0;
}

bool isBehind(const FollowerLag &lag, Instant now) {
  return lag.BehindSince && now - *lag.BehindSince > OverdueTime;
}

bool isPollOverdue(const FollowerLag &lag, Instant pollStartedAt, Instant now) {
  const Duration limit =
      OverdueTime * (1U << std::min(lag.AbandonedPolls, MaxDoublings));
  return lag.BehindSince &&
         now - std::max({*lag.BehindSince, pollStartedAt, lag.DeferredAt}) >
             limit;
}

} // namespace zinniarail::fleet
