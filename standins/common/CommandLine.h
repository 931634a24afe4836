/// \file
/// Command line of a test program.
#pragma once

#include <functional>
#include <string>

#include <boost/program_options.hpp>

namespace zinniarail::standins {

/// Exit code for an invalid command line or another error.
constexpr int ExitUsage = 2;

/// Parses a command line, and runs the program or prints its help.
/// \param flags accepted flags and their caption; --help is added.
/// \param run function that runs the program with the parsed flags. An
///   exception that it throws is reported like a command line error.
/// \param extraHelp text printed after the flags in the help.
/// \returns the program's exit code: the result of \p run, 0 after the help, or
///   ExitUsage after an error.
int runProgram(
    int argc, char **argv, boost::program_options::options_description flags,
    const std::function<int(const boost::program_options::variables_map &)>
        &run,
    const std::string &extraHelp = "");

} // namespace zinniarail::standins
