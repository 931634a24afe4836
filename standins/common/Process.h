/// \file
/// Child processes, for tests that run programs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// Passed as the log file: the child inherits this process's standard error.
constexpr const char *InheritStderr = "-";

/// A child process. The destructor kills it.
class Process {
public:
  Process() = default;
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;

  /// Starts a program.
  /// \param command the program's path and its arguments.
  /// \param log file that the program's standard error is appended to, or
  ///   InheritStderr; empty discards the standard error.
  /// \param output file that gets the program's standard output; empty sends
  ///   it where standard error goes.
  /// \returns whether it could be started.
  bool start(const std::vector<std::string> &command, const std::string &log,
             const std::string &output = "");

  bool isRunning() const { return Id > 0; }
  pid_t id() const { return Id; }
  /// Sends a signal to the process if it is running.
  void signal(int number) const;
  /// Waits for the process to exit.
  /// \returns its exit code, 128 + the signal if a signal ended it, or none if
  /// it is still running after \p timeout.
  std::optional<int> wait(Duration timeout);
  /// CPU time used so far, in user and kernel mode.
  Duration cpuTime() const;
  /// Resident memory, in bytes.
  std::size_t residentBytes() const;

private:
  pid_t Id = 0;
};

} // namespace zinniarail::standins
