#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "check/Check.h"

using namespace zinniarail;

namespace {

std::optional<std::string> readAll(std::istream &in) {
  std::ostringstream text;
  if (in && in.peek() != std::istream::traits_type::eof()) {
    text << in.rdbuf();
  }
  return in.bad() ? std::nullopt : std::optional(text.str());
}

std::optional<std::string> readFile(const std::string &path) {
  if (path == "-") {
    return readAll(std::cin);
  }
  std::ifstream in(path);
  return in ? readAll(in) : std::nullopt;
}

} // namespace

int main(int argc, char **argv) {
  const CheckResult result = runCheck({argv + 1, argv + argc}, readFile);
  std::cout << result.Output << std::flush;
  std::cerr << result.ErrorOutput;
  // A report that was cut off must not pass for a clean one.
  return std::cout ? static_cast<int>(result.Code)
                   : static_cast<int>(CheckCode::Errors);
}
