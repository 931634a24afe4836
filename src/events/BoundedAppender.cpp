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

// POLLOUT on a pipe guarantees that this many bytes can be written without
// blocking (PIPE_BUF).
constexpr std::size_t ChunkBytes = 4096;

} // namespace

BoundedAppender::BoundedAppender(int fd, std::size_t maxBufferedBytes)
    : Fd(fd), MaxBufferedBytes(maxBufferedBytes) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() {
  flush();
  closed = true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &event) {
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  enqueue(line.str());
  flush();
}

void BoundedAppender::enqueue(const std::string &line) {
  if (Buffer.size() - Offset + line.size() > MaxBufferedBytes) {
    ++Counts.Dropped;
    ++UnreportedDrops;
    return;
  }
  if (UnreportedDrops > 0) {
    const EventKind &kind = findEventKind(EventId::LinesDropped);
    Buffer +=
        "level=WARN event=" + std::to_string(static_cast<unsigned>(kind.Id)) +
        " name=" + kind.Name + " count=" + std::to_string(UnreportedDrops) +
        "\n";
    UnreportedDrops = 0;
  }
  Buffer += line;
  ++Counts.Written;
}

void BoundedAppender::discardBuffer() {
  const auto lines = static_cast<std::uint64_t>(
      std::count(Buffer.begin() + static_cast<std::ptrdiff_t>(Offset),
                 Buffer.end(), '\n'));
  Counts.Dropped += lines;
  Counts.Written -= std::min(Counts.Written, lines);
  Buffer.clear();
  Offset = 0;
}

void BoundedAppender::flush() {
  while (Offset < Buffer.size()) {
    pollfd ready{Fd, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      // The reader closed its end, so the buffer can never be written.
      if ((ready.revents & (POLLERR | POLLNVAL)) != 0) {
        discardBuffer();
      }
      return;
    }
    const std::size_t chunk = std::min(Buffer.size() - Offset, ChunkBytes);
    const ssize_t n = write(Fd, Buffer.data() + Offset, chunk);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        discardBuffer();
      }
      return;
    }
    Offset += static_cast<std::size_t>(n);
  }
  Buffer.clear();
  Offset = 0;
}

} // namespace zinniarail
