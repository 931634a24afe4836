/// \file
/// The command line of a stand-in or benchmark.
#pragma once

#include <functional>
#include <string>

#include <boost/program_options.hpp>

namespace zinniarail::standins {

/// Of a command line that cannot be read.
constexpr int ExitUsage = 2;

/// Reads a command line and runs the program, or shows its help.
/// \param flags caption and flags; "help" is added.
/// \param run gets what was given; a boost::program_options::error that it
///   throws is shown like one of the command line's.
/// \param more what the help says besides.
/// \returns the program's exit code: what \p run returns, 0 after the help,
///   ExitUsage after an error.
int runProgram(
    int argc, char **argv, boost::program_options::options_description flags,
    const std::function<int(const boost::program_options::variables_map &)>
        &run,
    const std::string &more = "");

} // namespace zinniarail::standins
