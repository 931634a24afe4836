/// \file
/// Decides which call reads the objects of one kind next: first a list, then
/// watches from the list's revision on, and another list when the store has
/// lost its history. That a watch stays silent does not show that nothing has
/// changed: when the store's revision has advanced beyond what the watch
/// reported, a list takes its place. Also computes the retry backoff. Does no
/// I/O and reads no clock.
#pragma once

#include <cstdint>
#include <string>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::store {

/// Retry backoff, doubled from the initial to the maximum value. The end of an
/// outage is noticed within the maximum, except where
/// StoreTask::setElectionRank lengthens the backoff.
constexpr Duration InitialBackoff = std::chrono::milliseconds{100};
constexpr Duration MaxBackoff = std::chrono::milliseconds{500};

/// How long only the latest state is read after the store dropped the
/// connection of a watch or lost its history: until the store has recovered,
/// other reads may be out of date.
constexpr Duration LatestReadPeriod = std::chrono::seconds{20};

/// Delay between a change and the next watch, so that changes in quick
/// succession cost one call.
constexpr Duration WatchBatchDelay = std::chrono::milliseconds{100};

/// How long a watch may take to report a change after the store has shown a
/// higher revision. It exceeds WatchBatchDelay, during which no watch waits.
constexpr Duration MaxNotificationDelay = std::chrono::milliseconds{150};

/// Time between two lists. If the store loses the history of a change between
/// two watches, only a list shows that change.
constexpr Duration RelistInterval = std::chrono::seconds{15};

enum class ListWatchCall : std::uint8_t { None, List, Watch };

/// State of the list and watch calls for one kind of objects.
struct ListWatch {
  bool ListComplete = false; ///< A list was read to its last page.
  ListWatchCall InFlight = ListWatchCall::None;
  Instant CallStartedAt{}; ///< Of the last call.
  /// Incremented when the call in flight is abandoned; replies to calls of an
  /// older generation are ignored.
  unsigned Generation = 0;
  Instant LatestReadsUntil{}; ///< Possibly stale reads are avoided until then.
  std::uint64_t AsOf = 0;     ///< Store revision up to which changes are known.
  /// Name of the last object of the previous page; empty for the first page.
  std::string PageCursor;
  Instant NextAt{};                ///< Earliest time of the next call.
  Instant RelistAt{};              ///< When the next regular list is due.
  std::uint64_t StoreRevision = 0; ///< Highest revision that the store showed.
  Instant StoreRevisionAt{};       ///< When the store had it, at the earliest.
  /// When a list replaces the watch, which has not reported up to
  /// StoreRevision; Instant::max() while AsOf is up to date.
  Instant CheckAt = Instant::max();
  bool LastListWasStale = false; ///< It was older than StoreRevision.
  /// Time up to which all changes are known; Instant::min(): none.
  Instant CurrentAt = Instant::min();
};

/// Returns the call that is due now, in place of the one in flight if there is
/// one. Report its start with noteCallStarted.
ListWatchCall nextCall(const ListWatch &state, Instant now);

/// When nextCall will return a call if nothing happens before; Instant::max()
/// if never.
Instant nextCallAt(const ListWatch &state);

/// Whether the next call must return the latest state instead of a possibly
/// stale one. The first list must, because the changes received before it may
/// have gaps. A later one may be stale if it reflects all that is known.
bool needsLatestRead(const ListWatch &state, Instant now);

/// Records that a call was sent; a call in flight is abandoned.
void noteCallStarted(ListWatch &state, ListWatchCall call, Instant now);

/// Records the revision that the store showed in a call about another kind,
/// which returned the latest state.
/// \param at when that call was sent.
void noteStoreRevision(ListWatch &state, std::uint64_t revision, Instant at,
                       Instant now);

/// Records that a page of the list was received.
/// \param lastName name of the page's last object; empty for the last page.
/// \returns false if the page is older than what is known. It must be ignored;
/// the next call lists the latest state.
bool noteListPage(ListWatch &state, std::uint64_t asOf,
                  const std::string &lastName, Instant now);

/// Records the reply to a watch. One without changes does not raise AsOf: the
/// store does not tell a watch of changes whose history is gone.
/// \param hasChanges whether the reply contains changes.
void noteWatchReply(ListWatch &state, std::uint64_t asOf, bool hasChanges,
                    Instant now);

/// Records that the store's history does not reach back to the revision of the
/// watch.
void noteHistoryGone(ListWatch &state, Instant now);

/// Records that the call failed. No call is due until restart is called.
/// \param connectionLost whether it ended without a complete response, and not
/// because of a timeout.
void noteFailure(ListWatch &state, bool connectionLost, Instant now);

/// Starts over with a list after an outage: the store does not report that a
/// watch from a revision before the outage missed changes.
void restart(ListWatch &state);

/// State of a call that is retried until it succeeds.
struct RetryState {
  bool InFlight = false;
  unsigned Failures = 0; ///< Number of consecutive failures.
  Instant NextAt{};
};

/// Records a failure and sets the time of the next attempt: exponential backoff
/// with jitter.
void noteFailure(RetryState &retry, Random &rng, Instant now);

} // namespace zinniarail::store
