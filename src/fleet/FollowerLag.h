/// \file
/// Whether a follower's state is behind its reader's. A pending poll is silent
/// both while nothing changes and when its connection no longer works, so the
/// reader tells the sequence number of its state in its datagrams too. No I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "zinniarail/core/Time.h"

namespace zinniarail::fleet {

/// A follower that is behind for this long has not just been slow to get a
/// response: its state is not current, and its poll is overdue. With a ping
/// interval before it, this is well within the time in which a change must be
/// in force.
constexpr Duration OverdueTime = std::chrono::milliseconds{400};

/// What a follower knows of its own state and of its reader's.
struct FollowerLag {
  std::uint64_t ReaderBootId = 0;     ///< Reader that sent the last update.
  std::uint64_t LastSequence = 0;     ///< Of the last update; 0: it has none.
  std::uint64_t ReaderSequence = 0;   ///< Last told by the reader; 0: unknown.
  std::optional<Instant> BehindSince; ///< None: it is not known to be behind.
  /// When the reader last told that the poll waits for bandwidth there;
  /// Instant::min(): never.
  Instant DeferredAt = Instant::min();
  unsigned AbandonedPolls = 0; ///< Since the last update.
};

/// Starts over with a reader, maybe the one followed before. What is known of
/// the last update stays, so that the same reader sends only what has changed
/// since.
void restart(FollowerLag &lag);

/// Records a datagram of the reader that is followed.
/// \param bootId boot id of the reader, which may have restarted.
/// \param sequence state sequence in the datagram; 0: unknown.
/// \param isDeferred whether the poll has arrived and waits for bandwidth.
void recordReaderSequence(FollowerLag &lag, std::uint64_t bootId,
                          std::uint64_t sequence, bool isDeferred, Instant now);

/// Records an update that was applied.
void recordUpdate(FollowerLag &lag, std::uint64_t bootId,
                  std::uint64_t sequence);

/// Whether the state has been behind the reader's for longer than OverdueTime.
bool isBehind(const FollowerLag &lag, Instant now);

/// Whether the poll in flight should be abandoned: the reader has had news, and
/// bandwidth to send it, for longer than OverdueTime, which doubles with each
/// poll abandoned since the last update, so that responses that only take long
/// do arrive.
/// \param pollStartedAt time when the poll in flight was sent.
bool isPollOverdue(const FollowerLag &lag, Instant pollStartedAt, Instant now);

} // namespace zinniarail::fleet
