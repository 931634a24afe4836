#include "zinniarail/store/ListWatch.h"

#include <algorithm>

namespace zinniarail::store {

namespace {

// Limits the exponent of the backoff so that computing the power of two does
// not overflow. MaxBackoff is reached after fewer doublings.
constexpr unsigned MaxDoublings = 8;

// The backoff is multiplied by a random factor from this value to 1, so that
// instances whose calls failed together do not retry together.
constexpr double MinJitterFactor = 0.5;

void noteSuccess(ListWatch &state) {
  state.InFlight = false;
  state.NextAt = Instant{};
}

bool needsList(const ListWatch &state, Instant now) {
  return !state.ListComplete || !state.PageCursor.empty() ||
         now >= state.RelistAt;
}

} // namespace

ListWatchCall nextCall(const ListWatch &state, Instant now) {
  if (state.InFlight || now < state.NextAt) {
    return ListWatchCall::None;
  }
  return needsList(state, now) ? ListWatchCall::List : ListWatchCall::Watch;
}

bool needsLatestRead(const ListWatch &state, Instant now) {
  return now < state.LatestReadsUntil || needsList(state, now);
}

void noteCallStarted(ListWatch &state) { state.InFlight = true; }

void noteListPage(ListWatch &state, std::uint64_t asOf,
                  const std::string &lastName, Instant now) {
  noteSuccess(state);
  // The watch starts at the revision of the first page, so that changes between
  // two pages are not missed.
  state.AsOf = state.PageCursor.empty() ? asOf : std::min(state.AsOf, asOf);
  state.PageCursor = lastName;
  if (lastName.empty()) {
    state.ListComplete = true;
    state.RelistAt = now + RelistInterval;
  }
}

void noteWatchReply(ListWatch &state, std::uint64_t asOf, bool hasChanges,
                    Instant now) {
  noteSuccess(state);
  state.AsOf = std::max(state.AsOf, asOf);
  if (hasChanges) {
    state.NextAt = now + WatchBatchDelay;
  }
}

void noteHistoryGone(ListWatch &state, Instant now) {
  state.InFlight = false;
  state.ListComplete = false;
  state.LatestReadsUntil = now + LatestReadPeriod;
  state.PageCursor.clear();
}

void noteFailure(ListWatch &state, bool connectionLost, Instant now) {
  state.InFlight = false;
  state.NextAt = Instant::max();
  if (connectionLost && state.ListComplete) {
    state.LatestReadsUntil = now + LatestReadPeriod;
  }
}

void restart(ListWatch &state) {
  ++state.Generation;
  state.InFlight = false;
  state.ListComplete = false;
  state.PageCursor.clear();
  state.NextAt = Instant{};
}

void noteFailure(RetryState &retry, Random &rng, Instant now) {
  retry.InFlight = false;
  const unsigned doublings = std::min(retry.Failures++, MaxDoublings);
  const Duration backoff =
      std::min<Duration>(InitialBackoff * (1U << doublings), MaxBackoff);
  const double jitter =
      MinJitterFactor + (1 - MinJitterFactor) * drawFraction(rng);
  retry.NextAt = now + Duration(static_cast<Duration::rep>(
                           static_cast<double>(backoff.count()) * jitter));
}

} // namespace zinniarail::store
