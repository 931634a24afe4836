#include "gateway/CallerDoor.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <vector>

#include "gateway/Answers.h"
#include "zinniarail/settings/Settings.h"

namespace zinniarail::gateway {

namespace {

constexpr int Backlog = 1024;
constexpr std::size_t MethodLimit = 24;                      // bytes
constexpr std::size_t EmptyLinesLimit = 8;                   // bytes
constexpr std::size_t DiscardLimit = std::size_t{256} << 10; // bytes
constexpr double SweepInterval = 1;                          // seconds

bool isTokenByte(char it) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~"; // RFC 9110, 5.6.2
  return (it >= 'A' && it <= 'Z') || (it >= 'a' && it <= 'z') ||
         (it >= '0' && it <= '9') || marks.find(it) != std::string_view::npos;
}

// What was sent already is read first: the system resets a connection that is
// closed with bytes unread, and the answer may be lost.
void refuse(int fd) {
  const std::string bytes =
      printAnswer(makeMalformed("the first bytes begin no HTTP/1.1 request"));
  std::array<char, 16384> buf{};
  std::size_t read = 0;
  for (ssize_t n = 1; n > 0 && read < DiscardLimit;) {
    n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    read += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
  }
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  close(fd);
}

} // namespace

bool mayBeginRequest(std::string_view bytes) {
  const auto start = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  bytes.remove_prefix(start);
  const auto end = std::find_if_not(bytes.begin(), bytes.end(), &isTokenByte);
  const auto length = static_cast<std::size_t>(end - bytes.begin());
  if (start > EmptyLinesLimit || length > MethodLimit) {
    return false;
  }
  return end == bytes.end() || (*end == ' ' && length > 0);
}

CallerDoor::CallerDoor(struct ev_loop *loop, std::function<void(int fd)> admit,
                       Duration quietLimit)
    : Loop(loop), Admit(std::move(admit)), QuietLimit(quietLimit) {
  ev_timer_init(
      &Sweep,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<CallerDoor *>(it->data)->sweep();
      },
      SweepInterval, SweepInterval);
  Sweep.data = this;
}

CallerDoor::~CallerDoor() {
  for (auto &[fd, it] : Silent) {
    ev_io_stop(Loop, &it.Ready);
    close(fd);
  }
  if (Listener >= 0) {
    ev_io_stop(Loop, &Arrival);
    ev_timer_stop(Loop, &Sweep);
    close(Listener);
  }
}

bool CallerDoor::open(const std::string &address) {
  const SocketAddress parsed = parseAddress(address);
  sockaddr_in bound{.sin_family = AF_INET, .sin_port = htons(parsed.Port)};
  inet_pton(AF_INET, parsed.Host.c_str(), &bound.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0 ||
      listen(fd, Backlog) != 0) {
    close(fd);
    return false;
  }
  Listener = fd;
  ev_io_init(
      &Arrival,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<CallerDoor *>(it->data)->accept();
      },
      Listener, EV_READ);
  Arrival.data = this;
  ev_io_start(Loop, &Arrival);
  ev_timer_start(Loop, &Sweep);
  return true;
}

void CallerDoor::accept() {
  const int fd =
      accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0) {
    if (errno == EMFILE || errno == ENFILE) {
      ev_io_stop(Loop, &Arrival); // until the next sweep
    }
    return;
  }
  Newcomer &it = Silent[fd];
  it.Since = readClock();
  ev_io_init(
      &it.Ready,
      [](struct ev_loop *, ev_io *ready, int) {
        static_cast<CallerDoor *>(ready->data)->judge(ready->fd);
      },
      fd, EV_READ);
  it.Ready.data = this;
  ev_io_start(Loop, &it.Ready);
}

void CallerDoor::judge(int fd) {
  std::array<char, EmptyLinesLimit + MethodLimit + 1> buf{};
  const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  forget(fd);
  if (n <= 0) {
    close(fd);
  } else if (mayBeginRequest({buf.data(), static_cast<std::size_t>(n)})) {
    Admit(fd);
  } else {
    refuse(fd);
  }
}

void CallerDoor::sweep() {
  const Instant now = readClock();
  std::vector<int> late;
  for (const auto &[fd, it] : Silent) {
    if (now - it.Since >= QuietLimit) {
      late.push_back(fd);
    }
  }
  for (const int fd : late) {
    forget(fd);
    close(fd);
  }
  ev_io_start(Loop, &Arrival);
}

void CallerDoor::forget(int fd) {
  const auto it = Silent.find(fd);
  ev_io_stop(Loop, &it->second.Ready);
  Silent.erase(it);
}

} // namespace zinniarail::gateway
