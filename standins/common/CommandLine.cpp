#include "common/CommandLine.h"

#include <filesystem>
#include <iostream>

namespace zinniarail::standins {

namespace options = boost::program_options;

int runProgram(int argc, char **argv, options::options_description flags,
               const std::function<int(const options::variables_map &)> &run,
               const std::string &extraHelp) {
  flags.add_options()("help", "show this help");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, flags), values);
    if (values.count("help") != 0) {
      std::cout << flags << extraHelp;
      return 0;
    }
    options::notify(values);
    return run(values);
  } catch (const std::exception &error) {
    std::cerr << std::filesystem::path(argv[0]).filename().string() << ": "
              << error.what() << '\n';
    return ExitUsage;
  }
}

} // namespace zinniarail::standins
