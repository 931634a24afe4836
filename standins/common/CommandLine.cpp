#include "common/CommandLine.h"

#include <filesystem>
#include <iostream>

namespace zinniarail::standins {

namespace options = boost::program_options;

int runProgram(int argc, char **argv, options::options_description flags,
               const std::function<int(const options::variables_map &)> &run,
               const std::string &more) {
  flags.add_options()("help", "show this");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, flags), given);
    if (given.count("help") != 0) {
      std::cout << flags << more;
      return 0;
    }
    options::notify(given);
    return run(given);
  } catch (const std::exception &error) {
    std::cerr << std::filesystem::path(argv[0]).filename().string() << ": "
              << error.what() << '\n';
    return ExitUsage;
  }
}

} // namespace zinniarail::standins
