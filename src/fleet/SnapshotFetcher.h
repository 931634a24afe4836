/// \file
/// Fetches a snapshot of the state from other instances while this one has
/// none, since the store may be unreachable when this instance starts.
#pragma once

#include <functional>
#include <set>
#include <string>

#include <ev.h>

#include "fleet/Codec.h"
#include "http/ClientPool.h"
#include "zinniarail/fleet/Members.h"

namespace zinniarail::fleet {

/// Used only on the thread of its loop.
class SnapshotFetcher {
public:
  /// \param loop event loop; must outlive the fetcher.
  /// \param onSnapshot called with the snapshot of another instance.
  SnapshotFetcher(struct ev_loop *loop,
                  std::function<void(const StateUpdate &)> onSnapshot);

  /// Sends a request to the next instance that has a snapshot, unless the
  /// previous request is in flight and has not timed out.
  void requestIfDue(const Members &members, Instant now);

  /// Cancels the request in flight; a snapshot is no longer needed.
  void stop();

private:
  void handleResult(http::CallId id, const http::CallResult &result);

  std::function<void(const StateUpdate &)> OnSnapshot;
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  bool RequestInFlight = false;
  Instant RequestedAt{};
  std::set<std::string> TriedIds; ///< Instances asked in this round.
};

} // namespace zinniarail::fleet
