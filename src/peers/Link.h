/// \file
/// The connection that this instance opens to one peer address, with backoff
/// between tries.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "RpcConnection.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::peers {

/// One peer address. All promises belong to the caller, who keeps the link.
struct Link {
  std::string Address;
  kj::Maybe<kj::Own<RpcConnection>> Connection;
  /// Set once the peer on this connection has greeted.
  std::optional<Greeting> Peer;
  std::uint64_t Epoch = 0; ///< Rises with each connection.
  bool Probing = false;    ///< A connect, hello or ping is under way.
  bool Failed = false;     ///< The last probe did.
  unsigned OpenCalls = 0;
  Duration Backoff{};
  Instant NextTry{};
};

/// Bytes that may wait for a peer that does not read.
constexpr std::size_t QueuedBytesLimit = 4 << 20;
/// Calls to a peer that may be open at a time.
constexpr unsigned OpenCallsLimit = 4096;

/// Drops the connection; the next try comes after the backoff.
void dropConnection(Link &link, Instant now);

/// The peer's capability, if it has greeted and takes more calls.
kj::Maybe<wire::Peer::Client> openPeer(Link &link);

} // namespace zinniarail::peers
