/// \file
/// Decides what to read next of one kind of objects: a list first, then watches
/// from its revision on; a list again when the store lost its history; after
/// failures with growing pauses. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::store {

/// Pauses between calls. Their sum over the fleet stays far below the store's
/// rates, and an outage ends for us within the longest.
constexpr Duration FirstPause = std::chrono::milliseconds{100};
constexpr Duration LongestPause = std::chrono::milliseconds{1000};

/// Between a change and the next watch, so that changes in quick succession
/// cost one call.
constexpr Duration GatherPause = std::chrono::milliseconds{100};

/// What one feed knows.
struct Feed {
  bool Watches = false; ///< Its list is complete.
  bool Running = false;
  /// The next list must be current: the store's history did not reach back to
  /// the last one.
  bool NeedsLatest = false;
  std::uint64_t AsOf = 0;
  std::string After;     ///< The last name of a page; empty: from the first.
  unsigned Failures = 0; ///< In a row.
  Instant NextAt{};
};

enum class FeedCall : std::uint8_t { None, List, Watch };

/// What to call now. Mark it with noteStart.
FeedCall nextCall(const Feed &feed, Instant now);

void noteStart(Feed &feed);

/// A page of the list came.
/// \param last the name of its last object, if there are more.
void noteListed(Feed &feed, std::uint64_t asOf, const std::string &last);

/// A watch ended.
/// \param any whether it brought changes.
void noteWatched(Feed &feed, std::uint64_t asOf, bool any, Instant now);

/// The store's history does not reach back to where the watch began.
void noteHistoryGone(Feed &feed);

/// A call failed, in whichever way.
void noteFailure(Feed &feed, Random &draws, Instant now);

} // namespace zinniarail::store
