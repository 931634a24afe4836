/// \file
/// An upstream for tests: a thread that reads whole requests and lets a
/// function say which bytes to send back and whether to go on.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/Net.h"

namespace zinniarail::gateway {

/// An address of this worktree's own test network.
inline std::string testAddress(unsigned low) {
  return standins::loopbackAddress("7." + std::to_string(low));
}

/// Binds a listening socket to a free port of an address.
inline int listenAt(const std::string &host, std::uint16_t &port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  socklen_t length = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), length) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}

/// \param receiveBuffer bytes; 0: the system's own choice.
inline int connectTo(const std::string &host, std::uint16_t port,
                     int receiveBuffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer != 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  }
  sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address)) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

/// Reads one message that tells its length or has no body.
/// \returns what came, cut short where the peer closed.
inline std::string receiveMessage(int fd) {
  std::string message;
  std::size_t wanted = std::string::npos;
  char buf[65536];
  while (message.size() < wanted) {
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      return message;
    }
    message.append(buf, static_cast<std::size_t>(n));
    const auto end = message.find("\r\n\r\n");
    if (wanted != std::string::npos || end == std::string::npos) {
      continue;
    }
    const auto field = message.find("Content-Length: ");
    wanted = end + 4;
    if (field < end) {
      wanted += std::strtoul(message.c_str() + field + 16, nullptr, 10);
    }
  }
  return message;
}

/// The value of a header of a message; empty when there is none.
inline std::string fieldOf(const std::string &message,
                           const std::string &name) {
  const auto start = message.find("\r\n" + name + ": ");
  if (start == std::string::npos) {
    return {};
  }
  const auto first = start + name.size() + 4;
  return message.substr(first, message.find("\r\n", first) - first);
}

/// A whole 200 that echoes the attempt's id.
inline std::string wholeAnswer(const std::string &request,
                               const std::string &body = "hello") {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
         fieldOf(request, "X-Attempt-Id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// What to do with a request.
struct Reply {
  std::string Bytes;
  bool Close = false;
};

/// Serves each connection on a thread of its own until it is destroyed.
class FakeUpstream {
public:
  using Script = std::function<Reply(const std::string &request, int nth)>;

  FakeUpstream(std::string host, Script script)
      : Host(std::move(host)), Answer(std::move(script)),
        Listener(listenAt(Host, Port)), Acceptor([this] { accept(); }) {}

  ~FakeUpstream() {
    Stopping = true;
    shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    close(Listener);
    {
      const std::lock_guard lock(Mutex);
      for (const int fd : Open) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (std::thread &it : Servers) {
      it.join();
    }
    for (const int fd : Open) {
      close(fd);
    }
  }

  std::string address() const { return Host + ":" + std::to_string(Port); }
  /// Health checks and probes do not count.
  int requests() const { return Requests; }
  int connections() const { return Connections; }

private:
  void accept() {
    while (!Stopping) {
      const int fd = ::accept(Listener, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      ++Connections;
      const std::lock_guard lock(Mutex);
      Open.push_back(fd);
      Servers.emplace_back([this, fd] { serve(fd); });
    }
  }

  void serve(int fd) {
    while (true) {
      const std::string request = receiveMessage(fd);
      if (request.empty()) {
        return;
      }
      if (request.find(" /.") < request.find('\r')) {
        sendAll(fd, wholeAnswer(request, "")); // a health check or a probe
        continue;
      }
      const Reply reply = Answer(request, ++Requests);
      sendAll(fd, reply.Bytes);
      if (reply.Close) {
        shutdown(fd, SHUT_RDWR);
        return;
      }
    }
  }

  std::string Host;
  std::uint16_t Port = 0;
  Script Answer;
  int Listener;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Requests{0};
  std::atomic<int> Connections{0};
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Servers;
  std::thread Acceptor;
};

} // namespace zinniarail::gateway
