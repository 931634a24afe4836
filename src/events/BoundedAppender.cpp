#include "events/BoundedAppender.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include "zinniarail/events/Events.h"

namespace zinniarail {

namespace {

// A pipe that has room at all takes this much without blocking (PIPE_BUF).
constexpr std::size_t ChunkBytes = 4096;

} // namespace

BoundedAppender::BoundedAppender(int fd, std::size_t bound)
    : Fd(fd), Bound(bound) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() {
  flush();
  closed = true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &event) {
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  keep(line.str());
  flush();
}

void BoundedAppender::keep(const std::string &line) {
  if (Kept.size() - Offset + line.size() > Bound) {
    ++Counts.Dropped;
    ++Untold;
    return;
  }
  if (Untold > 0) {
    const EventKind &kind = kindOf(EventId::LinesDropped);
    Kept +=
        "level=WARN event=" + std::to_string(static_cast<unsigned>(kind.Id)) +
        " name=" + kind.Name + " count=" + std::to_string(Untold) + "\n";
    Untold = 0;
  }
  Kept += line;
  ++Counts.Written;
}

void BoundedAppender::flush() {
  while (Offset < Kept.size()) {
    pollfd ready{Fd, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      // A reader that is gone for good will take nothing more.
      if ((ready.revents & (POLLERR | POLLNVAL)) != 0) {
        Kept.clear();
        Offset = 0;
      }
      return;
    }
    const std::size_t some = std::min(Kept.size() - Offset, ChunkBytes);
    const ssize_t n = write(Fd, Kept.data() + Offset, some);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        Kept.clear();
        Offset = 0;
      }
      return;
    }
    Offset += static_cast<std::size_t>(n);
  }
  Kept.clear();
  Offset = 0;
}

} // namespace zinniarail
