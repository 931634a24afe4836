// zinniactl: what operators do with an environment's document and with
// instances. See docs/OPERATING.md.

#include <iostream>
#include <map>

#include <boost/json.hpp>

#include "Change.h"

using namespace zinniarail;
using namespace zinniarail::ctl;

namespace {

struct Command {
  Report (*Run)(const Options &);
  bool NeedsPlatform;
  bool NeedsEnvironment;
};

const std::map<std::string, Command> Commands{
    {"validate", {validate, false, false}},
    {"apply", {apply, true, true}},
    {"show", {show, true, true}},
    {"promote", {promote, true, false}},
    {"domain", {changeDomain, true, true}},
    {"upstream", {changeUpstream, true, true}},
    {"drain", {drain, false, false}},
    {"dump", {dump, false, false}},
    {"trace", {trace, false, false}},
    {"status", {status, true, true}},
};

Report run(const Options &options) {
  const auto it = Commands.find(options.Words.front());
  if (it == Commands.end()) {
    return fail(ExitCode::Usage, "no such command: " + options.Words.front());
  }
  const bool direct = !options.OperatorAddress.empty();
  const bool locates =
      it->first == "drain" || it->first == "dump" || it->first == "trace";
  if (options.PlatformAddress.empty() &&
      (it->second.NeedsPlatform || (locates && !direct))) {
    return fail(ExitCode::Usage, "--platform-address is missing");
  }
  if (it->second.NeedsEnvironment && !isName(options.Environment)) {
    return fail(ExitCode::Usage, "--environment is missing or no name");
  }
  return it->second.Run(options);
}

void print(const Report &report, bool asJson) {
  if (asJson) {
    std::cout << boost::json::serialize(report.Data) << "\n";
    return;
  }
  std::ostream &out =
      report.Code == ExitCode::Done || report.Code == ExitCode::NotInForce
          ? std::cout
          : std::cerr;
  for (const std::string &it : report.Lines) {
    out << it << "\n";
  }
}

} // namespace

int main(int count, char **words) {
  const auto options = readOptions(count, words);
  if (!options.has_value()) {
    std::cerr << options.error() << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  if (options.value().Help) {
    std::cout << helpText();
    return 0;
  }
  if (options.value().Version) {
    std::cout << ZINNIARAIL_VERSION << "\n";
    return 0;
  }
  if (options.value().Words.empty()) {
    std::cerr << helpText();
    return static_cast<int>(ExitCode::Usage);
  }
  const Report report = run(options.value());
  print(report, options.value().Json);
  return static_cast<int>(report.Code);
}
