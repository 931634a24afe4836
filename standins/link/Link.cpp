#include "link/Link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>
#include <vector>

#include "http/Sockets.h"

namespace zinniarail::standins {

namespace {

constexpr double TickSeconds = 0.005; // between two looks at what is held

// Bytes that wait at one end before its sender is read no further.
constexpr std::size_t MostWaiting = std::size_t{256} << 10;

constexpr std::size_t ChunkBytes = std::size_t{16} << 10;

void closeAbruptly(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

} // namespace

/// One end of a connection, and what is on its way to it.
struct Link::Side {
  struct Chunk {
    std::string Bytes;
    Instant Due{};
  };
  int Fd = -1;
  ev_io Watcher{};
  std::deque<Chunk> Coming;
  std::size_t Waiting = 0; ///< Bytes of it.
  bool Ended = false;      ///< It sends nothing more.
  bool Told = false;       ///< The other end knows.
};

struct Link::Pair {
  Link *Owner = nullptr;
  Side Caller;
  Side Target;
  bool Silent = false;
};

Link::Link(struct ev_loop *loop, std::string from, std::string to)
    : Loop(loop), From(std::move(from)), To(std::move(to)) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Link *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
}

Link::~Link() {
  ev_timer_stop(Loop, &Timer);
  if (Listener >= 0) {
    ev_io_stop(Loop, &Arrival);
    close(Listener);
  }
  reset();
}

bool Link::listen() {
  Listener = http::listenOn(From);
  if (Listener < 0) {
    return false;
  }
  ev_io_init(
      &Arrival,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<Link *>(it->data)->accept();
      },
      Listener, EV_READ);
  Arrival.data = this;
  ev_io_start(Loop, &Arrival);
  ev_timer_start(Loop, &Timer);
  return true;
}

void Link::accept() {
  while (true) {
    const int fd =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const auto where = http::parseIpv4Address(To);
    const int on = Faults.Refuse || !where ? -1 : http::connectTo(*where);
    if (on < 0) {
      closeAbruptly(fd);
      continue;
    }
    http::setTcpNoDelay(fd);
    auto owned = std::make_unique<Pair>();
    Pair &it = *owned;
    Pairs.emplace(&it, std::move(owned));
    it.Owner = this;
    it.Caller.Fd = fd;
    it.Target.Fd = on;
    for (Side *side : {&it.Caller, &it.Target}) {
      ev_io_init(
          &side->Watcher,
          [](struct ev_loop *, ev_io *watcher, int) {
            auto *pair = static_cast<Pair *>(watcher->data);
            pair->Owner->pump(*pair);
          },
          side->Fd, EV_READ);
      side->Watcher.data = &it;
      ev_io_start(Loop, &side->Watcher);
    }
  }
}

/// \returns false when the connection broke.
bool Link::take(Side &from, Side &to) {
  std::array<char, ChunkBytes> chunk;
  while (!from.Ended && to.Waiting < MostWaiting) {
    const ssize_t n = recv(from.Fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    if (n == 0) {
      from.Ended = true;
      ev_io_stop(Loop, &from.Watcher); // It would be ready all the time.
      return true;
    }
    const auto length = static_cast<std::size_t>(n);
    to.Coming.push_back({{chunk.data(), length}, readClock() + Faults.Delay});
    to.Waiting += length;
  }
  return true;
}

/// \returns false when the connection broke.
bool Link::give(Side &to, bool held) {
  const Instant now = readClock();
  while (!held && !to.Coming.empty() && to.Coming.front().Due <= now) {
    std::string &bytes = to.Coming.front().Bytes;
    const ssize_t n =
        send(to.Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      // A connection that is being made counts as one that is full.
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
             errno == ENOTCONN;
    }
    to.Waiting -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty()) {
      to.Coming.pop_front();
    }
  }
  return true;
}

void Link::pump(Pair &pair) {
  if (pair.Silent) {
    return;
  }
  const bool sound =
      take(pair.Caller, pair.Target) && take(pair.Target, pair.Caller) &&
      give(pair.Target, Faults.HoldThere) && give(pair.Caller, Faults.HoldBack);
  if (!sound) {
    return drop(pair, true);
  }
  const auto tell = [](Side &ended, Side &other, bool held) {
    if (ended.Ended && !ended.Told && !held && other.Coming.empty()) {
      ended.Told = true;
      shutdown(other.Fd, SHUT_WR);
    }
  };
  tell(pair.Caller, pair.Target, Faults.HoldThere);
  tell(pair.Target, pair.Caller, Faults.HoldBack);
  if (pair.Caller.Told && pair.Target.Told) {
    drop(pair, false);
  }
}

void Link::drop(Pair &pair, bool abruptly) {
  for (Side *side : {&pair.Caller, &pair.Target}) {
    ev_io_stop(Loop, &side->Watcher);
    abruptly ? closeAbruptly(side->Fd) : static_cast<void>(close(side->Fd));
  }
  Pairs.erase(&pair);
}

void Link::reset() {
  while (!Pairs.empty()) {
    drop(*Pairs.begin()->first, true);
  }
}

void Link::silence() {
  for (auto &[it, owned] : Pairs) {
    it->Silent = true;
    ev_io_stop(Loop, &it->Caller.Watcher);
    ev_io_stop(Loop, &it->Target.Watcher);
  }
}

void Link::tick() {
  std::vector<Pair *> all;
  for (const auto &[it, owned] : Pairs) {
    all.push_back(it);
  }
  for (Pair *it : all) {
    pump(*it);
  }
}

} // namespace zinniarail::standins
