/// \file
/// The command line of zinniactl: flags, environment variables, and the
/// command with its arguments.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::ctl {

/// How the process ends.
enum class ExitCode : std::uint8_t {
  Done = 0,
  Failed = 1,      ///< Not found, or refused by an instance.
  Usage = 2,       ///< Bad flags or arguments.
  Invalid = 3,     ///< The document has faults.
  LostRace = 4,    ///< Somebody else's change came first; nothing written.
  Unreachable = 5, ///< The platform or the instance didn't answer; nothing
                   ///< written.
  Unknown = 6,     ///< The change may have been written; look at status.
  NotInForce = 7,  ///< Accepted, but not yet in force everywhere.
};

/// What the command line says.
struct Options {
  std::vector<std::string> Words; ///< The command and its arguments.
  std::string PlatformAddress;    ///< "ip:port"
  std::string Environment;
  std::string From;            ///< Of promote.
  std::string To;              ///< Of promote.
  std::string OperatorAddress; ///< Of drain and dump, past the platform.
  /// The version that the operator saw; none: the one found at the start.
  std::optional<std::uint64_t> Expected;
  std::string Base; ///< Of apply: the file that the operator edited.
  Duration Timeout = std::chrono::seconds{2}; ///< Of each call.
  Duration Wait{};                            ///< Of status.
  bool Json = false;
  bool Help = false;
  bool Version = false;
};

/// Reads flags, then variables for what no flag gave.
/// \returns the options, or what is wrong with them.
Result<Options, std::string> readOptions(int count, const char *const *words);

/// The text of --help.
std::string helpText();

} // namespace zinniarail::ctl
