/// \file
/// Serves this instance's state to other instances: changes to its followers
/// while it reads the store for them, and snapshots to instances that have
/// none.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <ev.h>

#include "fleet/Codec.h"
#include "fleet/LinkBudget.h"
#include "fleet/VersionedState.h"
#include "http/Server.h"

namespace zinniarail::fleet {

/// Path that followers poll for updates, once for each channel.
constexpr const char *UpdatesPath = "/news";

/// The name of a channel in the query of a poll.
const char *nameOf(StateChannel channel);

/// Path under which each instance serves its snapshot, also if it is no reader.
constexpr const char *SnapshotPath = "/knowledge";

/// Limit for a state update or a snapshot, several times that of the state of a
/// large deployment.
constexpr std::size_t MaxUpdateBytes = std::size_t{8} << 20;

/// Fills in one part of the state completely and leaves the others empty.
using FillUpdate = std::function<void(StateUpdate &, StatePart)>;

/// Used only on the thread of its loop.
class UpdateServer {
public:
  /// \param loop event loop; must outlive the server.
  /// \param bootId identifier that differs after each process start.
  /// \param linkMbps bandwidth of this instance's link in Mbit/s; 0: unknown.
  UpdateServer(struct ev_loop *loop, std::uint64_t bootId, double linkMbps,
               FillUpdate fill, http::ServerShare share = {});
  ~UpdateServer();
  UpdateServer(const UpdateServer &) = delete;
  UpdateServer &operator=(const UpdateServer &) = delete;

  bool listen(const std::string &address) { return Server.listen(address); }

  /// Sets whether this instance reads the store. When it stops, the pending
  /// polls of its followers are answered with 404.
  void setReading(bool reading);

  /// Sets whether this instance has a configuration and the upstream list.
  void setHasSnapshot(bool hasSnapshot) { HasSnapshot = hasSnapshot; }

  /// Sends a changed part of the state to the followers. Does nothing unless
  /// this instance reads the store.
  void publish(StatePart part);

  /// What to tell a follower of a channel.
  ChannelStatus statusFor(StateChannel channel,
                          std::uint64_t followerBootId) const;

  /// Logs the updates that were sent late since the last call, if any.
  void logDeferred();

  /// The number of polls that wait for bandwidth.
  std::size_t deferredPolls() const;

private:
  struct PendingPoll {
    http::ExchangeId Id = 0;
    StateChannel Channel = StateChannel::Control;
    std::uint64_t FollowerBootId = 0; ///< 0: unknown.
    /// Sequence number of the follower's last update of the channel; 0: it has
    /// none.
    std::uint64_t LastSequence = 0;
    /// Encoded digests of the follower's lists, with its first poll of a
    /// reader; else empty.
    std::string Digests;
    Instant ReceivedAt{};
    Instant DeferredSince{}; ///< Since when an update waits to be sent.
  };

  /// What was sent late since it was last logged.
  struct DeferredUpdates {
    std::size_t Count = 0;
    std::size_t Bytes = 0;
    Duration LongestWait{0};
  };

  void handleRequest(http::ExchangeId id, const http::Request &request);
  void endEarlierPolls(const PendingPoll &poll);
  const std::string *updateFor(const PendingPoll &poll);
  void answerOrDefer(PendingPoll poll);
  void startTimer(Instant at, Instant now);
  void recordDeferred(const PendingPoll &poll, std::size_t bytes, Instant now);
  void answerPending();
  const std::string &encodedSnapshot();

  struct ev_loop *Loop;
  FillUpdate Fill;
  http::Server Server;
  VersionedState State;
  bool Reading = false;
  bool HasSnapshot = false;
  std::unordered_map<http::ExchangeId, PendingPoll> PendingPolls;
  std::array<LinkBudget, StateChannelCount> Budgets;
  ev_timer SendTimer{}; ///< When the next deferred update may be sent.
  Instant TimerAt{};
  DeferredUpdates Deferred;
  std::string Snapshot; ///< Encoded state; empty until first requested.
  Instant SnapshotEncodedAt{};
};

} // namespace zinniarail::fleet
