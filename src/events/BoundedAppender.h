/// \file
/// A log appender that never blocks on its descriptor: lines that can't be
/// written immediately are buffered up to a limit, beyond which lines are
/// dropped and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

namespace zinniarail {

/// Line counts since the appender was created.
struct LogCounts {
  std::uint64_t Written = 0; ///< Lines written or buffered.
  std::uint64_t Dropped = 0;
};

/// Writes log lines to a descriptor. Used from one thread.
class BoundedAppender : public log4cplus::Appender {
public:
  /// \param fd descriptor to write to; the appender does not close it.
  /// \param maxBufferedBytes size limit of the buffer.
  BoundedAppender(int fd, std::size_t maxBufferedBytes);
  ~BoundedAppender() override;

  void close() override;

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();

  LogCounts counts() const { return Counts; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
  void enqueue(const std::string &line);
  /// Drops the buffered lines, which can never be written.
  void discardBuffer();

  int Fd;
  std::size_t MaxBufferedBytes;
  std::string Buffer;
  std::size_t Offset = 0; ///< Bytes of Buffer already written.
  /// Dropped lines not yet reported by a lines-dropped event.
  std::uint64_t UnreportedDrops = 0;
  LogCounts Counts;
};

} // namespace zinniarail
