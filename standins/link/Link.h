/// \file
/// TCP proxy between two processes that injects network faults: it forwards
/// connections from one address to another, and can delay, hold, blackhole,
/// reset or refuse them.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// Injected faults of a link. They may change at any time. The client is the
/// end that connected to the link. Held bytes are sent when the hold ends.
struct LinkFaults {
  Duration Delay{0};         ///< Delay of all bytes, in each direction.
  bool HoldToTarget = false; ///< Holds back bytes from client to target.
  bool HoldToClient = false; ///< Holds back bytes from target to client.
  bool Refuse = false;       ///< New connections are reset.
  /// Answers a request with a body of MinUploadBytes or more from the client,
  /// at its head: with a success of no length, a part of its body and a reset.
  bool CutUploads = false;
};

/// Length of a body from which on the fault CutUploads applies.
constexpr std::size_t MinUploadBytes = std::size_t{1} << 20;

/// Used only on the thread of its loop.
class Link {
public:
  /// \param loop event loop; it must outlive the link.
  /// \param listenAddress "ip:port" to listen on.
  /// \param targetAddress "ip:port" that connections are forwarded to.
  Link(struct ev_loop *loop, std::string listenAddress,
       std::string targetAddress);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// \returns whether the address could be bound.
  bool listen();

  /// Resets all open connections.
  void reset();

  /// Stops forwarding on the connections that are open now, without closing
  /// them or notifying either end. New connections work.
  void blackhole();

  const std::string &address() const { return ListenAddress; }
  unsigned uploadsCut() const { return UploadsCut; }
  std::size_t connections() const { return Connections.size(); }

  LinkFaults Faults;

private:
  struct Endpoint;
  struct Connection;

  void accept();
  void pump(Connection &connection);
  bool receiveFrom(Endpoint &from, Endpoint &to);
  bool cutsUpload(Connection &connection);
  bool sendTo(Endpoint &to, bool held);
  void closeConnection(Connection &connection, bool withReset);
  void tick();

  struct ev_loop *Loop;
  std::string ListenAddress;
  std::string TargetAddress;
  int ListenFd = -1;
  ev_io ListenWatcher{};
  ev_timer Timer{};
  unsigned UploadsCut = 0;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
};

} // namespace zinniarail::standins
