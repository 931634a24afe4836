/// \file
/// Log lines to a descriptor without ever waiting for whoever reads it: what it
/// does not take at once is kept up to a bound, beyond that lines are dropped
/// and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

namespace zinniarail {

/// What became of the lines so far.
struct LogCounts {
  std::uint64_t Written = 0; ///< Handed to the descriptor or kept for it.
  std::uint64_t Dropped = 0;
};

/// Used from one thread.
class BoundedAppender : public log4cplus::Appender {
public:
  /// \param fd is not closed.
  /// \param bound of the bytes that are kept.
  BoundedAppender(int fd, std::size_t bound);
  ~BoundedAppender() override;

  void close() override;

  /// Writes what the descriptor takes at once.
  void flush();

  LogCounts counts() const { return Counts; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
  void keep(const std::string &line);

  int Fd;
  std::size_t Bound;
  std::string Kept;
  std::size_t Offset = 0;   ///< Of what was written of Kept.
  std::uint64_t Untold = 0; ///< Dropped lines that no line tells of yet.
  LogCounts Counts;
};

} // namespace zinniarail
