#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon/Daemon.h"
#include "zinniarail/events/Events.h"

using namespace zinniarail;

namespace {

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

int main(int argc, char **argv) {
  const auto read = readSettings(
      {argv + 1, argv + argc}, [](const char *name) { return getenv(name); },
      readFile);
  if (!read) {
    for (const std::string &it : read.error()) {
      std::cerr << "zinniaraild: " << it << '\n';
    }
    return static_cast<int>(ExitCode::BadSettings);
  }
  const Invocation &invocation = read.value();
  switch (invocation.Requested) {
  case Command::Help:
    std::cout << formatHelp();
    return 0;
  case Command::Version:
    std::cout << "zinniaraild " ZINNIARAIL_VERSION "\n";
    return 0;
  case Command::Check:
    std::cout << "the settings are valid\n";
    return 0;
  case Command::Run:
    break;
  }
  openLog(invocation.Values.LogLevel);
  const ExitCode code = runDaemon(invocation.Values);
  // Skips static destructors: they would wait for log4cplus' worker threads,
  // which are unused, and the time for a stop is short.
  std::quick_exit(static_cast<int>(code));
}
