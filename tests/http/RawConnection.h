/// \file
/// An event loop and raw TCP sockets, for tests that check each byte that a
/// server or client sends.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "common/Net.h"
#include "http/Sockets.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// An event loop that the test runs step by step.
struct TestLoop {
  TestLoop() : OwnedLoop(ev_loop_new(EVFLAG_AUTO)), Loop(OwnedLoop.get()) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  void runOnce() {
    ev_timer pause;
    ev_timer_init(
        &pause, [](struct ev_loop *, ev_timer *, int) {}, 0.002, 0);
    ev_timer_start(Loop, &pause);
    ev_run(Loop, EVRUN_ONCE);
    ev_timer_stop(Loop, &pause);
  }

  /// Runs the loop until the condition holds, for 20 seconds at most, which is
  /// far more than any test needs.
  /// \returns whether the condition holds.
  template <typename Condition> bool runUntil(Condition condition) {
    const Instant deadline = readClock() + std::chrono::seconds{20};
    while (!condition() && readClock() < deadline) {
      runOnce();
    }
    return condition();
  }

  void runFor(Duration time) {
    const Instant end = readClock() + time;
    while (readClock() < end) {
      runOnce();
    }
  }

  struct LoopDeleter {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };
  std::unique_ptr<struct ev_loop, LoopDeleter> OwnedLoop;
  struct ev_loop *Loop;
};

/// A TCP connection that the test reads and writes itself.
class RawConnection {
public:
  explicit RawConnection(int fd) : Fd(fd) {}
  ~RawConnection() { close(); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  static std::unique_ptr<RawConnection> connect(const std::string &address) {
    const auto endpoint = parseIpv4Address(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&*endpoint),
                  sizeof *endpoint) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<RawConnection>(fd);
  }

  void send(const std::string &bytes) const {
    ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Sends what the buffers of both ends take.
  /// \returns the number of bytes sent.
  std::size_t trySend(std::string_view bytes) const {
    const ssize_t n =
        ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return static_cast<std::size_t>(std::max<ssize_t>(n, 0));
  }

  /// Sends the bytes again and again until the buffers of both ends are full.
  /// \returns the number of bytes sent.
  std::size_t sendWhilePossible(std::string_view bytes) const {
    std::size_t sent = 0;
    while (const std::size_t n = trySend(bytes.substr(sent % bytes.size()))) {
      sent += n;
    }
    return sent;
  }

  /// Reads what has arrived and returns all bytes so far. Sets PeerClosed once
  /// the peer closed or reset the connection, and PeerReset for a reset.
  const std::string &read() {
    char buf[4096];
    while (Fd >= 0 && !PeerClosed) {
      const ssize_t n = recv(Fd, buf, sizeof buf, MSG_DONTWAIT);
      if (n > 0) {
        Bytes.append(buf, static_cast<std::size_t>(n));
        continue;
      }
      if (n == 0 || errno == ECONNRESET) {
        PeerClosed = true;
        PeerReset = n != 0;
      }
      break;
    }
    return Bytes;
  }

  /// Whether bytes have arrived that were not read.
  bool hasInput() const {
    char byte = 0;
    return recv(Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  bool has(const std::string &text) {
    return read().find(text) != std::string::npos;
  }

  /// Ends the bytes to the peer; those from it can still be read.
  void shutdown() const { ::shutdown(Fd, SHUT_WR); }

  void close() {
    if (Fd >= 0) {
      ::close(Fd);
      Fd = -1;
    }
  }

  /// Closes the connection so that the peer sees a reset.
  void reset() {
    const linger abortive{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    close();
  }

  std::string Bytes;
  bool PeerClosed = false;
  bool PeerReset = false;

private:
  int Fd;
};

/// A listening socket whose connections the test serves itself.
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

  /// Accepts the next connection; null while there is none.
  std::unique_ptr<RawConnection> accept() const {
    const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    return fd < 0 ? nullptr : std::make_unique<RawConnection>(fd);
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

/// Finds a free port on a loopback address of the test run and listens there.
/// \returns the address; empty when no port was free.
template <typename Listen> std::string listenOnFreePort(Listen listen) {
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
