#include "http/Sockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "zinniarail/core/Address.h"

#include <arpa/inet.h>

namespace zinniarail::http {

namespace {

constexpr int Backlog = 1024; // connections that wait to be accepted

// How long sent bytes may stay unacknowledged before the kernel closes the
// connection: a peer behind a network partition never acknowledges them.
constexpr unsigned TcpUserTimeoutMs = 3000;

int openSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

std::optional<sockaddr_in> parseIpv4Address(const std::string &text) {
  const SocketAddress parts = parseAddress(text);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(parts.Port);
  if (parts.Host.empty() ||
      inet_pton(AF_INET, parts.Host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

int listenOn(const std::string &address) {
  const auto endpoint = parseIpv4Address(address);
  const int fd = endpoint ? openSocket() : -1;
  if (fd < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&*endpoint),
           sizeof *endpoint) != 0 ||
      listen(fd, Backlog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int connectTo(const sockaddr_in &address) {
  const int fd = openSocket();
  if (fd < 0) {
    return -1;
  }
  setTcpNoDelay(fd);
  const unsigned timeout = TcpUserTimeoutMs;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

void setTcpNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int takeSocketError(int fd) {
  int error = 0;
  socklen_t length = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error
                                                                    : errno;
}

} // namespace zinniarail::http
