/// \file
/// Takes callers' connections and hands each on once its first bytes can
/// begin a request. libmicrohttpd would wait for a line's end of other bytes
/// until its quiet limit.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::gateway {

/// Whether bytes can begin an HTTP/1.1 request: empty lines, then a method of
/// at most 24 bytes and a space, or the first part of these.
bool mayBeginRequest(std::string_view bytes);

/// Owns the listening socket and the connections that sent nothing yet.
class CallerDoor {
public:
  /// \param admit takes over a descriptor.
  /// \param quietLimit after which a caller that sent nothing is cut off.
  CallerDoor(struct ev_loop *loop, std::function<void(int fd)> admit,
             Duration quietLimit);
  ~CallerDoor();
  CallerDoor(const CallerDoor &) = delete;
  CallerDoor &operator=(const CallerDoor &) = delete;

  /// Listens on "ip:port". \returns whether the port could be bound.
  bool open(const std::string &address);

  /// Connections that sent nothing yet.
  std::size_t waiting() const { return Silent.size(); }

private:
  struct Newcomer {
    ev_io Ready{};
    Instant Since{};
  };

  void accept();
  void judge(int fd);
  void sweep();
  void forget(int fd);

  struct ev_loop *Loop;
  std::function<void(int fd)> Admit;
  Duration QuietLimit;
  int Listener = -1;
  ev_io Arrival{};
  ev_timer Sweep{};
  std::unordered_map<int, Newcomer> Silent;
};

} // namespace zinniarail::gateway
