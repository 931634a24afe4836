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
  state.InFlight = ListWatchCall::None;
  state.NextAt = Instant{};
}

bool isBehind(const ListWatch &state) {
  return state.AsOf < state.StoreRevision;
}

void noteProgress(ListWatch &state) {
  if (!isBehind(state)) {
    state.CheckAt = Instant::max();
    state.CurrentAt = std::max(state.CurrentAt, state.StoreRevisionAt);
  }
}

bool needsList(const ListWatch &state, Instant now) {
  return !state.ListComplete || !state.PageCursor.empty() ||
         now >= std::min(state.RelistAt, state.CheckAt);
}

} // namespace

ListWatchCall nextCall(const ListWatch &state, Instant now) {
  if (now < nextCallAt(state)) {
    return ListWatchCall::None;
  }
  return needsList(state, now) ? ListWatchCall::List : ListWatchCall::Watch;
}

Instant nextCallAt(const ListWatch &state) {
  switch (state.InFlight) {
  case ListWatchCall::None:
    return state.NextAt;
  case ListWatchCall::List:
    return Instant::max();
  case ListWatchCall::Watch:
    return state.CheckAt;
  }
  return Instant::max();
}

bool needsLatestRead(const ListWatch &state, Instant now) {
  const bool mayListStale = state.ListComplete && !state.LastListWasStale;
  return now < state.LatestReadsUntil ||
         (needsList(state, now) && !mayListStale);
}

void noteCallStarted(ListWatch &state, ListWatchCall call, Instant now) {
  if (state.InFlight != ListWatchCall::None) {
    ++state.Generation;
  }
  state.InFlight = call;
  state.CallStartedAt = now;
}

void noteStoreRevision(ListWatch &state, std::uint64_t revision, Instant at,
                       Instant now) {
  if (!state.ListComplete || revision < state.StoreRevision) {
    return;
  }
  state.StoreRevision = revision;
  state.StoreRevisionAt = at;
  state.CheckAt = std::min(state.CheckAt, now + MaxNotificationDelay);
  noteProgress(state);
}

bool noteListPage(ListWatch &state, std::uint64_t asOf,
                  const std::string &lastName, Instant now) {
  noteSuccess(state);
  const bool isOlder =
      state.ListComplete && asOf < std::max(state.StoreRevision, state.AsOf);
  if (isOlder && !state.LastListWasStale) {
    state.LastListWasStale = true;
    state.PageCursor.clear();
    state.CheckAt = now;
    return false;
  }
  if (state.PageCursor.empty() && asOf > state.StoreRevision) {
    state.StoreRevision = asOf;
  }
  if (state.PageCursor.empty() && !state.ListComplete) {
    state.StoreRevisionAt = state.CallStartedAt;
  }
  // The watch starts at the revision of the first page, so that changes between
  // two pages are not missed.
  state.AsOf = state.PageCursor.empty() ? asOf : std::min(state.AsOf, asOf);
  state.PageCursor = lastName;
  if (lastName.empty()) {
    state.ListComplete = true;
    state.LastListWasStale = false;
    state.RelistAt = now + RelistInterval;
    state.CheckAt = now + MaxNotificationDelay;
    noteProgress(state);
  }
  return true;
}

void noteWatchReply(ListWatch &state, std::uint64_t asOf, bool hasChanges,
                    Instant now) {
  noteSuccess(state);
  if (hasChanges) {
    state.AsOf = std::max(state.AsOf, asOf);
    noteProgress(state);
    state.NextAt = now + WatchBatchDelay;
  }
}

void noteHistoryGone(ListWatch &state, Instant now) {
  state.InFlight = ListWatchCall::None;
  state.ListComplete = false;
  state.LatestReadsUntil = now + LatestReadPeriod;
  state.PageCursor.clear();
}

void noteFailure(ListWatch &state, bool connectionLost, Instant now) {
  state.InFlight = ListWatchCall::None;
  state.NextAt = Instant::max();
  if (connectionLost && state.ListComplete) {
    state.LatestReadsUntil = now + LatestReadPeriod;
  }
}

void restart(ListWatch &state) {
  ++state.Generation;
  state.InFlight = ListWatchCall::None;
  state.ListComplete = false;
  state.PageCursor.clear();
  state.NextAt = Instant{};
  // The revisions of a restored store start over from a lower one.
  state.StoreRevision = 0;
  state.CheckAt = Instant::max();
  state.LastListWasStale = false;
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
