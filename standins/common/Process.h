/// \file
/// Child processes, for tests that run the programs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// In place of a log file: where this process's own errors go.
constexpr const char *OwnLog = "-";

/// A child process; destroying it kills it.
class Process {
public:
  Process() = default;
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;

  /// Starts a program.
  /// \param words the program's path and its arguments.
  /// \param log file that its output is added to, or OwnLog; empty: discarded.
  /// \param output file for its standard output alone; empty: to the log too.
  /// \returns false when it cannot be started.
  bool start(const std::vector<std::string> &words, const std::string &log,
             const std::string &output = "");

  bool isRunning() const { return Id > 0; }
  pid_t id() const { return Id; }
  /// Sends a signal, when it runs.
  void signal(int number) const;
  /// Waits for its end.
  /// \returns its exit code (128 + the signal that ended it), or nothing when
  /// it still runs after \p timeout.
  std::optional<int> wait(Duration timeout);
  /// Processor time used so far, in user and kernel mode.
  Duration processorTime() const;
  /// Resident memory, in bytes.
  std::size_t memory() const;

private:
  pid_t Id = 0;
};

} // namespace zinniarail::standins
