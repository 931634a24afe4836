#include "zinniarail/settings/Settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

#include <boost/program_options.hpp>

namespace zinniarail {

namespace {

namespace po = boost::program_options;

constexpr unsigned HelpWidth = 100; // columns
constexpr std::size_t NameLimit = 64;
const std::string VariablePrefix = "ZINNIARAIL_";

const std::map<std::string, RoutingPolicy> Policies{
    {"homes", RoutingPolicy::Homes},
    {"two-choices", RoutingPolicy::TwoChoices},
    {"random", RoutingPolicy::Random},
    {"round-robin", RoutingPolicy::RoundRobin}};

struct RawSettings {
  Settings Values;
  std::string Policy;
  std::int64_t ViewLifetimeMs = 0;
  std::int64_t PeerTimeoutMs = 0;
  std::int64_t PeerIntervalMs = 0;
  std::int64_t StopTimeoutMs = 0;
  std::int64_t TraceBytes = 0;
};

constexpr std::int64_t MostTraceBytes = std::int64_t{16} << 20;

std::int64_t toMs(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

po::typed_value<std::int64_t> *milliseconds(std::int64_t &target,
                                            Duration fallback) {
  return po::value(&target)->default_value(toMs(fallback))->value_name("MS");
}

po::options_description describeOptions(RawSettings &raw) {
  const Settings defaults;
  Settings &it = raw.Values;
  const auto text = [](std::string &target, const char *name) {
    return po::value(&target)->default_value("", "")->value_name(name);
  };
  po::options_description options("Settings", HelpWidth);
  options.add_options()("instance-id", text(it.InstanceId, "NAME"),
                        "this instance's name, unique in its environment")(
      "failure-domain", text(it.FailureDomain, "NAME"),
      "the failure domain it runs in")(
      "environment", text(it.Environment, "NAME"), "the environment it serves")(
      "caller-address", text(it.CallerAddress, "IP:PORT"),
      "where callers connect")("peer-address", text(it.PeerAddress, "IP:PORT"),
                               "where other instances connect")(
      "operator-address", text(it.OperatorAddress, "IP:PORT"),
      "where operators connect")(
      "platform-address", text(it.PlatformAddress, "IP:PORT"),
      "the platform's object API")("log-level",
                                   po::value(&it.LogLevel)
                                       ->default_value(defaults.LogLevel)
                                       ->value_name("LEVEL"),
                                   "error, warn, info or debug")(
      "policy",
      po::value(&raw.Policy)->default_value("homes")->value_name("NAME"),
      "homes; two-choices, random and round-robin are for measurements")(
      "view-lifetime-ms",
      milliseconds(raw.ViewLifetimeMs, defaults.ViewLifetime),
      "how long a proof that the document is current lasts")(
      "peer-timeout-ms", milliseconds(raw.PeerTimeoutMs, defaults.PeerTimeout),
      "silence after which an instance counts as lost")(
      "peer-interval-ms",
      milliseconds(raw.PeerIntervalMs, defaults.PeerInterval),
      "how often instances speak to each other")(
      "stop-timeout-ms", milliseconds(raw.StopTimeoutMs, defaults.StopTimeout),
      "how long a graceful stop may take at most")(
      "seed", po::value(&it.Seed)->default_value(0)->value_name("N"),
      "of random draws; 0: drawn at the start")(
      "trace-bytes",
      po::value(&raw.TraceBytes)->default_value(0)->value_name("N"),
      "memory for the trace of each service; 0: none");
  return options;
}

po::options_description describeCommands() {
  po::options_description commands("Commands", HelpWidth);
  commands.add_options()("help", "print this and exit")(
      "version", "print the version and exit")(
      "check", "check the settings and exit: 0 when right, 2 when wrong");
  return commands;
}

std::string variableOf(const std::string &flag) {
  std::string name = VariablePrefix;
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

// The default as Boost.Program_options shows it: "NAME (=DEFAULT)".
std::string defaultOf(const po::option_description &option) {
  const std::string text = option.format_parameter();
  const std::size_t at = text.find("(=");
  return at == std::string::npos ? ""
                                 : text.substr(at + 2, text.size() - at - 3);
}

// Stores one source of values; each wrong value is reported by itself, so that
// one does not hide the next.
void storeEach(const po::basic_parsed_options<char> &parsed,
               po::variables_map &values, SettingErrors &errors) {
  for (const po::option &it : parsed.options) {
    po::parsed_options one(parsed.description);
    one.options.push_back(it);
    try {
      po::store(one, values);
    } catch (const po::error &e) {
      errors.push_back(e.what());
      values.erase(it.string_key); // else no default takes its place
    }
  }
  po::store(po::parsed_options(parsed.description), values); // the defaults
}

// Of a flag given twice the first would be taken silently.
void refuseRepeated(const std::vector<po::option> &given,
                    SettingErrors &errors) {
  std::map<std::string, unsigned> counts;
  for (const po::option &it : given) {
    ++counts[it.string_key];
  }
  for (const auto &[flag, count] : counts) {
    if (count > 1) {
      errors.push_back("--" + flag + ": is given " + std::to_string(count) +
                       " times");
    }
  }
}

void readFlags(const std::vector<std::string> &arguments,
               const po::options_description &all, po::variables_map &values,
               SettingErrors &errors) {
  try {
    po::parsed_options parsed =
        po::command_line_parser(arguments)
            .options(all)
            .style(po::command_line_style::unix_style &
                   ~po::command_line_style::allow_guessing)
            .allow_unregistered()
            .run();
    for (const po::option &it : parsed.options) {
      if (it.unregistered || it.position_key != -1) {
        errors.push_back("unknown argument '" + it.original_tokens.front() +
                         "'");
      }
    }
    std::erase_if(parsed.options, [](const po::option &it) {
      return it.unregistered || it.position_key != -1;
    });
    refuseRepeated(parsed.options, errors);
    storeEach(parsed, values, errors);
  } catch (const po::error &e) {
    errors.push_back(e.what());
  }
}

void readVariables(const ReadVariable &variable,
                   const po::options_description &options,
                   po::variables_map &values, SettingErrors &errors) {
  po::parsed_options parsed(&options);
  for (const auto &it : options.options()) {
    const std::string &flag = it->long_name();
    const char *value = variable(variableOf(flag).c_str());
    const bool given = values.count(flag) != 0 && !values[flag].defaulted();
    if (value != nullptr && !given) {
      parsed.options.emplace_back(flag, std::vector<std::string>{value});
    }
  }
  storeEach(parsed, values, errors);
}

bool isName(const std::string &text) {
  return !text.empty() && text.size() <= NameLimit &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void checkTexts(const RawSettings &raw, SettingErrors &errors) {
  const Settings &it = raw.Values;
  const std::vector<std::pair<const char *, const std::string *>> names{
      {"instance-id", &it.InstanceId},
      {"failure-domain", &it.FailureDomain},
      {"environment", &it.Environment}};
  for (const auto &[flag, value] : names) {
    if (!isName(*value)) {
      errors.push_back("--" + std::string(flag) + ": '" + *value +
                       "' is not a name of 1 to 64 letters, digits, '-', '_' "
                       "and '.'");
    }
  }
  const std::vector<std::pair<const char *, const std::string *>> addresses{
      {"caller-address", &it.CallerAddress},
      {"peer-address", &it.PeerAddress},
      {"operator-address", &it.OperatorAddress},
      {"platform-address", &it.PlatformAddress}};
  for (const auto &[flag, value] : addresses) {
    if (parseAddress(*value).Host.empty()) {
      errors.push_back("--" + std::string(flag) + ": '" + *value +
                       "' is not an IP number and a port, as in 10.0.0.1:80");
    }
  }
  for (auto a = addresses.begin(); a != addresses.end(); ++a) {
    for (auto b = a + 1; b != addresses.end(); ++b) {
      if (!a->second->empty() && *a->second == *b->second) {
        errors.push_back("--" + std::string(a->first) + " and --" + b->first +
                         " are both " + *a->second);
      }
    }
  }
}

void checkNumbers(const RawSettings &raw, SettingErrors &errors) {
  struct Range {
    const char *Flag;
    std::int64_t Value, Least, Most; // in the unit that the flag names
  };
  const std::vector<Range> ranges{
      {"view-lifetime-ms", raw.ViewLifetimeMs, 100, 60'000},
      {"peer-timeout-ms", raw.PeerTimeoutMs, 50, 60'000},
      {"peer-interval-ms", raw.PeerIntervalMs, 10, 10'000},
      {"stop-timeout-ms", raw.StopTimeoutMs, 100, 600'000},
      {"trace-bytes", raw.TraceBytes, 0, MostTraceBytes}};
  for (const Range &it : ranges) {
    if (it.Value < it.Least || it.Value > it.Most) {
      errors.push_back("--" + std::string(it.Flag) + ": " +
                       std::to_string(it.Value) + " is not from " +
                       std::to_string(it.Least) + " to " +
                       std::to_string(it.Most));
    }
  }
  if (raw.PeerIntervalMs >= raw.PeerTimeoutMs) {
    errors.push_back("--peer-interval-ms: must be less than "
                     "--peer-timeout-ms");
  }
  if (Policies.count(raw.Policy) == 0) {
    errors.push_back("--policy: '" + raw.Policy + "' is none of homes, " +
                     "two-choices, random, round-robin");
  }
  const std::vector<std::string> levels{"error", "warn", "info", "debug"};
  if (std::find(levels.begin(), levels.end(), raw.Values.LogLevel) ==
      levels.end()) {
    errors.push_back("--log-level: '" + raw.Values.LogLevel +
                     "' is none of error, warn, info, debug");
  }
}

Settings finish(RawSettings raw) {
  using std::chrono::milliseconds;
  raw.Values.Policy = Policies.at(raw.Policy);
  raw.Values.ViewLifetime = milliseconds{raw.ViewLifetimeMs};
  raw.Values.PeerTimeout = milliseconds{raw.PeerTimeoutMs};
  raw.Values.PeerInterval = milliseconds{raw.PeerIntervalMs};
  raw.Values.StopTimeout = milliseconds{raw.StopTimeoutMs};
  raw.Values.TraceBytes = static_cast<std::size_t>(raw.TraceBytes);
  return std::move(raw.Values);
}

} // namespace

Result<Invocation, SettingErrors>
readSettings(const std::vector<std::string> &arguments,
             const ReadVariable &variable) {
  RawSettings raw;
  SettingErrors errors;
  po::variables_map values;
  const po::options_description options = describeOptions(raw);
  po::options_description all;
  all.add(options).add(describeCommands());
  readFlags(arguments, all, values, errors);
  if (values.count("help") != 0) {
    return Invocation{Command::Help, {}};
  }
  if (values.count("version") != 0) {
    return Invocation{Command::Version, {}};
  }
  readVariables(variable, options, values, errors);
  po::notify(values);
  checkTexts(raw, errors);
  checkNumbers(raw, errors);
  if (!errors.empty()) {
    return errors;
  }
  const bool check = values.count("check") != 0;
  return Invocation{check ? Command::Check : Command::Run,
                    finish(std::move(raw))};
}

std::vector<SettingKind> settingKinds() {
  RawSettings raw;
  std::vector<SettingKind> kinds;
  const po::options_description options = describeOptions(raw);
  for (const auto &it : options.options()) {
    kinds.push_back({"--" + it->long_name(), variableOf(it->long_name()),
                     defaultOf(*it), it->description()});
  }
  return kinds;
}

std::string describeSettings() {
  RawSettings raw;
  std::ostringstream out;
  out << "Usage: zinniaraild [--check] SETTINGS\n\n"
      << describeCommands() << '\n'
      << describeOptions(raw)
      << "\nEach setting is also an environment variable, as in "
         "ZINNIARAIL_FAILURE_DOMAIN\nfor --failure-domain; the flag wins.\n"
         "Exit codes: 0 done, 1 a port could not be bound or a stop was cut "
         "short, 2 wrong\nsettings, all named on standard error.\n";
  return out.str();
}

SocketAddress parseAddress(const std::string &text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return {};
  }
  SocketAddress address{text.substr(0, colon), 0};
  in_addr number{};
  if (inet_pton(AF_INET, address.Host.c_str(), &number) != 1) {
    return {};
  }
  const char *first = text.data() + colon + 1;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(first, last, address.Port);
  if (ec != std::errc{} || end != last || address.Port == 0) {
    return {};
  }
  return address;
}

} // namespace zinniarail
