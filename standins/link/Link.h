/// \file
/// A way between two processes that can be made worse: connections to one
/// address are carried on to another, and delayed, held up, silenced or reset
/// on the way.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// What a link suffers. Change them at any time.
struct LinkFaults {
  Duration Delay{0};      ///< Of all bytes, each way.
  bool HoldThere = false; ///< Nothing gets from who connected to the target.
  bool HoldBack = false;  ///< Nor the other way. It goes on when this ends.
  bool Refuse = false;    ///< New connections are reset.
};

/// Used on one thread, that of its loop.
class Link {
public:
  /// \param loop outlives the link.
  /// \param from "ip:port" to listen on.
  /// \param to "ip:port" to carry connections on to.
  Link(struct ev_loop *loop, std::string from, std::string to);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// \returns whether the address could be bound.
  bool listen();

  /// Resets all connections.
  void reset();

  /// Nothing passes any more on the connections that are open now, and neither
  /// end hears of it. New ones work.
  void silence();

  const std::string &address() const { return From; }
  std::size_t connections() const { return Pairs.size(); }

  LinkFaults Faults;

private:
  struct Side;
  struct Pair;

  void accept();
  void pump(Pair &pair);
  bool take(Side &from, Side &to);
  bool give(Side &to, bool held);
  void drop(Pair &pair, bool abruptly);
  void tick();

  struct ev_loop *Loop;
  std::string From;
  std::string To;
  int Listener = -1;
  ev_io Arrival{};
  ev_timer Timer{};
  std::unordered_map<Pair *, std::unique_ptr<Pair>> Pairs;
};

} // namespace zinniarail::standins
