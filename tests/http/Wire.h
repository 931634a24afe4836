/// \file
/// A loop with raw connections beside what is tested, for tests that look at
/// each byte.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "common/Net.h"
#include "http/Sockets.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// A loop that tests turn by hand.
struct TestLoop {
  TestLoop() : Owned(ev_loop_new(EVFLAG_AUTO)), Loop(Owned.get()) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  void turn() {
    ev_timer pause;
    ev_timer_init(
        &pause, [](struct ev_loop *, ev_timer *, int) {}, 0.002, 0);
    ev_timer_start(Loop, &pause);
    ev_run(Loop, EVRUN_ONCE);
    ev_timer_stop(Loop, &pause);
  }

  /// Turns until it holds, or until a time is over that is far beyond need.
  template <typename Condition> bool until(Condition holds) {
    const Instant giveUp = readClock() + std::chrono::seconds{20};
    while (!holds() && readClock() < giveUp) {
      turn();
    }
    return holds();
  }

  void runFor(Duration time) {
    const Instant end = readClock() + time;
    while (readClock() < end) {
      turn();
    }
  }

  struct LoopDelete {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };
  std::unique_ptr<struct ev_loop, LoopDelete> Owned;
  struct ev_loop *Loop;
};

/// One raw connection.
class Wire {
public:
  explicit Wire(int fd) : Fd(fd) {}
  ~Wire() { close(); }
  Wire(const Wire &) = delete;
  Wire &operator=(const Wire &) = delete;

  static std::unique_ptr<Wire> connect(const std::string &address) {
    const auto where = readAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&*where),
                  sizeof *where) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Wire>(fd);
  }

  void send(const std::string &bytes) const {
    ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Takes what has come; Ended once the peer closed, Reset if it broke off.
  const std::string &read() {
    char buf[4096];
    while (Fd >= 0 && !Ended) {
      const ssize_t n = recv(Fd, buf, sizeof buf, MSG_DONTWAIT);
      if (n > 0) {
        Bytes.append(buf, static_cast<std::size_t>(n));
        continue;
      }
      if (n == 0 || errno == ECONNRESET) {
        Ended = true;
        Reset = n != 0;
      }
      break;
    }
    return Bytes;
  }

  bool has(const std::string &text) {
    return read().find(text) != std::string::npos;
  }

  void close() {
    if (Fd >= 0) {
      ::close(Fd);
      Fd = -1;
    }
  }

  /// Closes so that the peer sees a reset.
  void reset() {
    const linger now{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

  std::string Bytes;
  bool Ended = false;
  bool Reset = false;

private:
  int Fd;
};

/// A raw listening socket.
class RawServer {
public:
  RawServer() {
    for (unsigned port = 21000; Fd < 0 && port < 22000; ++port) {
      Address = standins::loopbackAddress("10.1:" + std::to_string(port));
      Fd = listenOn(Address);
    }
  }
  ~RawServer() { stop(); }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// The next connection; null while there is none.
  std::unique_ptr<Wire> accept() const {
    const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    return fd < 0 ? nullptr : std::make_unique<Wire>(fd);
  }

  void stop() {
    if (Fd >= 0) {
      ::close(Fd);
      Fd = -1;
    }
  }

  std::string Address;

private:
  int Fd = -1;
};

/// A free address on loopback for a server of the test's own.
template <typename Listen> std::string listenSomewhere(Listen listen) {
  for (unsigned port = 22000; port < 23000; ++port) {
    std::string address =
        standins::loopbackAddress("10.2:" + std::to_string(port));
    if (listen(address)) {
      return address;
    }
  }
  return {};
}

} // namespace zinniarail::http
