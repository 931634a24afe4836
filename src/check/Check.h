/// \file
/// The program zinniarail-check without its process: checks a configuration
/// before it is sent, and compares it with the one in force.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace zinniarail {

/// What the process exits with.
enum class CheckCode : std::uint8_t {
  Clean = 0,    ///< Neither errors nor warnings; there may be differences.
  Warnings = 1, ///< Warnings, but no errors.
  Errors = 2    ///< Errors, or something could not be read.
};

/// What the process prints and exits with.
struct CheckResult {
  CheckCode Code = CheckCode::Clean;
  std::string Output;      ///< For standard output.
  std::string ErrorOutput; ///< For standard error.
};

/// Runs the check.
/// \param arguments of the process, without its name.
/// \param readFile returns the contents of a file, none if it can't be read;
/// the name - stands for standard input.
CheckResult
runCheck(const std::vector<std::string> &arguments,
         const std::function<std::optional<std::string>(const std::string &)>
             &readFile);

} // namespace zinniarail
