/// \file
/// Decides what to read next of one kind of objects: a list first, then watches
/// from its revision on; a list again when the store lost its history. And when
/// to ask a store that failed whether it is back. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::store {

/// Pauses between calls that fail. An outage ends for us within the longest.
constexpr Duration FirstPause = std::chrono::milliseconds{100};
constexpr Duration LongestPause = std::chrono::milliseconds{500};

/// After it cut a watch the store's cheap answers may lag for as long as it
/// recovers; they are not used meanwhile.
constexpr Duration LagTime = std::chrono::seconds{20};

/// Between a change and the next watch, so that changes in quick succession
/// cost one call.
constexpr Duration GatherPause = std::chrono::milliseconds{100};

/// Between two lists: a change whose history is lost between two watches shows
/// in a list only.
constexpr Duration RelistPause = std::chrono::seconds{15};

/// What one feed knows.
struct Feed {
  bool Watches = false; ///< Its list is complete.
  bool Running = false;
  /// Answers to calls that began before count no more.
  unsigned Generation = 0;
  Instant LatestUntil{}; ///< All calls must be current until then.
  std::uint64_t AsOf = 0;
  std::string After; ///< The last name of a page; empty: from the first.
  Instant NextAt{};
  Instant RelistAt{};
};

enum class FeedCall : std::uint8_t { None, List, Watch };

/// What to call now. Mark it with noteStart.
FeedCall nextCall(const Feed &feed, Instant now);

/// Whether the next call must be current. A list always is: what was heard
/// before may have gaps.
bool needsLatest(const Feed &feed, Instant now);

void noteStart(Feed &feed);

/// A page of the list came.
/// \param last the name of its last object, if there are more.
void noteListed(Feed &feed, std::uint64_t asOf, const std::string &last,
                Instant now);

/// A watch ended.
/// \param any whether it brought changes.
void noteWatched(Feed &feed, std::uint64_t asOf, bool any, Instant now);

/// The store's history does not reach back to where the watch began.
void noteHistoryGone(Feed &feed, Instant now);

/// The call failed. The feed rests until restart.
/// \param cut whether the store ended it, and did not merely stay silent.
void noteFailure(Feed &feed, bool cut, Instant now);

/// Begins anew after an outage, with a list: the store does not say that a
/// watch from before it missed changes.
void restart(Feed &feed);

/// Calls that are tried again until one succeeds.
struct Retry {
  bool Running = false;
  unsigned Failures = 0; ///< In a row.
  Instant NextAt{};
};

/// Notes a failure and draws when to try again.
void noteFailure(Retry &retry, Random &draws, Instant now);

} // namespace zinniarail::store
