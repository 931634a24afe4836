#include "Options.h"

#include <sstream>

#include <boost/program_options.hpp>

namespace zinniarail::ctl {

namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

constexpr std::int64_t MaxTimeoutMs = 60000;

po::options_description describeOptions(Options &it) {
  po::options_description flags("Flags (variables for three of them: "
                                "ZINNIARAIL_PLATFORM_ADDRESS,\n"
                                "ZINNIARAIL_ENVIRONMENT, "
                                "ZINNIARAIL_TIMEOUT_MS; the flag wins)");
  flags.add_options()("help", po::bool_switch(&it.Help), "this text")(
      "version", po::bool_switch(&it.Version), "the version")(
      "json", po::bool_switch(&it.Json), "one JSON object on standard output")(
      "platform-address", po::value(&it.PlatformAddress),
      "IP:PORT of the platform's object API")(
      "environment", po::value(&it.Environment), "whose document")(
      "from", po::value(&it.From), "environment that promote reads")(
      "to", po::value(&it.To), "environment that promote writes")(
      "operator-address", po::value(&it.OperatorAddress),
      "IP:PORT of an instance, for drain, dump and trace without the platform")(
      "expect", po::value<std::uint64_t>(),
      "version that you saw; a change onto another one is refused")(
      "base", po::value(&it.Base),
      "FILE that you edited, as show printed it; apply refuses another one and "
      "tells whose change is whose")(
      "timeout-ms", po::value<std::int64_t>()->default_value(2000),
      "bound on each call, 1 to 60000")(
      "wait-ms", po::value<std::int64_t>()->default_value(0),
      "how long status waits for in force everywhere, 0 to 60000");
  return flags;
}

std::string toFlag(const std::string &variable) {
  constexpr std::string_view prefix = "ZINNIARAIL_";
  constexpr std::string_view known[] = {"PLATFORM_ADDRESS", "ENVIRONMENT",
                                        "TIMEOUT_MS"};
  if (!variable.starts_with(prefix)) {
    return "";
  }
  const std::string_view name =
      std::string_view(variable).substr(prefix.size());
  for (const std::string_view it : known) {
    if (it == name) {
      std::string flag(name);
      for (char &letter : flag) {
        letter = letter == '_' ? '-' : static_cast<char>(letter - 'A' + 'a');
      }
      return flag;
    }
  }
  return "";
}

// A bounded number of milliseconds.
bool takeDuration(const po::variables_map &values, const char *flag,
                  std::int64_t least, Duration &target) {
  const auto n = values[flag].as<std::int64_t>();
  target = milliseconds{n};
  return n >= least && n <= MaxTimeoutMs;
}

} // namespace

std::string helpText() {
  Options unused;
  std::ostringstream out;
  out << "zinniactl COMMAND [ARGUMENTS] [FLAGS]\n\n"
         "  validate FILE               report every fault of a document\n"
         "  apply FILE                  put a document into the environment\n"
         "  show                        print the environment's document\n"
         "  promote                     carry --from's bytes to --to\n"
         "  domain out|in NAME          take a failure domain out, or back\n"
         "  upstream leave|return SERVICE ID\n"
         "  drain INSTANCE              begin a graceful stop\n"
         "  status                      accepted, and in force on whom\n"
         "  dump INSTANCE               an instance's state\n"
         "  trace INSTANCE SERVICE      a service's recorded trace\n\n"
      << describeOptions(unused)
      << "\nExit codes: 0 done, 1 failed, 2 usage, 3 faults in the document,\n"
         "4 lost a race (nothing written), 5 unreachable (nothing written),\n"
         "6 unknown whether written, 7 not yet in force everywhere\n";
  return out.str();
}

Result<Options, std::string> readOptions(int count, const char *const *words) {
  Options options;
  po::options_description all = describeOptions(options);
  all.add_options()("words", po::value(&options.Words));
  po::positional_options_description places;
  places.add("words", -1);
  po::variables_map values;
  try { // Boost.Program_options reports by exceptions
    po::store(po::command_line_parser(count, words)
                  .options(all)
                  .positional(places)
                  .run(),
              values);
    po::store(po::parse_environment(all, toFlag), values);
    po::notify(values);
  } catch (const po::error &error) {
    return std::string(error.what());
  }
  if (!takeDuration(values, "timeout-ms", 1, options.Timeout)) {
    return std::string("--timeout-ms must be from 1 to 60000");
  }
  if (!takeDuration(values, "wait-ms", 0, options.Wait)) {
    return std::string("--wait-ms must be from 0 to 60000");
  }
  if (values.count("expect") > 0) {
    options.Expected = values["expect"].as<std::uint64_t>();
  }
  return options;
}

} // namespace zinniarail::ctl
