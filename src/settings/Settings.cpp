#include "zinniarail/settings/Settings.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <sstream>

#include <boost/program_options.hpp>

#include "zinniarail/core/Address.h"
#include "zinniarail/core/DurationText.h"

namespace zinniarail {

namespace {

namespace po = boost::program_options;

constexpr unsigned HelpWidth = 100; // columns
constexpr std::size_t MaxNameLength = 64;
const std::string VariablePrefix = "ZINNIARAIL_";
const std::string FileFlag = "settings-file";
const std::string FileVariable = "ZINNIARAIL_SETTINGS";

/// The description and the parser of one setting.
struct SettingSpec {
  std::string Flag;
  /// The default value. Without one, it is empty and the setting is required,
  /// except --seeds.
  std::string Default;
  std::string ValueName;
  std::string Meaning;
  /// Parses and stores a value. \returns the error, empty when it is valid.
  std::function<std::string(Settings &, const std::string &)> Parse;
  bool MayBeEmpty = false;
};

bool isValidName(const std::string &text) {
  return !text.empty() && text.size() <= MaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

SettingSpec nameSetting(const char *flag, std::string Settings::*target,
                        const char *meaning) {
  return {flag, "", "NAME", meaning,
          [target](Settings &out, const std::string &text) -> std::string {
            out.*target = text;
            return isValidName(text)
                       ? ""
                       : "is not a name of 1 to 64 letters, digits, "
                         "'-', '_' and '.'";
          }};
}

SettingSpec addressSetting(const char *flag, std::string Settings::*target,
                           const char *meaning) {
  return {flag, "", "IP:PORT", meaning,
          [target](Settings &out, const std::string &text) -> std::string {
            out.*target = text;
            return parseAddress(text).Host.empty()
                       ? "is not an IPv4 address and port, as in 10.0.0.1:80"
                       : "";
          }};
}

SettingSpec durationSetting(const char *flag, Duration Settings::*target,
                            const char *defaultText, Duration min, Duration max,
                            const char *meaning) {
  return {flag, defaultText, "TIME", meaning,
          [=](Settings &out, const std::string &text) -> std::string {
            const auto value = parseDuration(text);
            if (!value || *value < min || *value > max) {
              return "is not a duration from " + formatDuration(min) + " to " +
                     formatDuration(max) + ", as in 1500ms or 2s";
            }
            out.*target = *value;
            return "";
          }};
}

SettingSpec numberSetting(const char *flag, double Settings::*target,
                          const char *defaultText, double min, double max,
                          const char *meaning) {
  return {flag, defaultText, "N", meaning,
          [=](Settings &out, const std::string &text) -> std::string {
            double value = 0;
            const char *last = text.data() + text.size();
            const auto [end, ec] = std::from_chars(text.data(), last, value);
            if (ec != std::errc{} || end != last || value < min ||
                value > max) {
              std::ostringstream message;
              message << "is not a number from " << min << " to " << max;
              return message.str();
            }
            out.*target = value;
            return "";
          }};
}

SettingSpec logLevelSetting() {
  return {
      "log-level", "info", "LEVEL", "error, warn, info or debug",
      [](Settings &out, const std::string &text) -> std::string {
        const std::set<std::string> levels{"error", "warn", "info", "debug"};
        out.LogLevel = text;
        return levels.contains(text) ? ""
                                     : "is none of error, warn, info, debug";
      }};
}

SettingSpec seedsSetting() {
  return {"seeds",
          "",
          "IP:PORT,...",
          "peer addresses to discover other instances from",
          [](Settings &out, const std::string &text) -> std::string {
            std::istringstream in(text);
            for (std::string it; std::getline(in, it, ',');) {
              if (parseAddress(it).Host.empty()) {
                return "is not a list of addresses, as in "
                       "10.0.0.1:80,10.0.0.2:80";
              }
              out.Seeds.push_back(it);
            }
            return "";
          },
          true};
}

SettingSpec boolSetting(const char *flag, bool Settings::*target,
                        const char *meaning) {
  return {flag, "false", "true|false", meaning,
          [target](Settings &out, const std::string &text) -> std::string {
            out.*target = text == "true";
            return text == "true" || text == "false" ? ""
                                                     : "is not true or false";
          }};
}

SettingSpec seedSetting() {
  return {
      "seed", "0", "N", "seed of the random generators; 0: chosen at startup",
      [](Settings &out, const std::string &text) -> std::string {
        const char *last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, out.Seed);
        return ec == std::errc{} && end == last ? "" : "is not a whole number";
      }};
}

std::vector<SettingSpec> allSettings() {
  using namespace std::chrono_literals;
  using S = Settings;
  constexpr double maxValue = 1e6;
  return {
      nameSetting("instance-id", &S::InstanceId,
                  "this instance's name, unique in its environment"),
      nameSetting("failure-domain", &S::FailureDomain,
                  "the failure domain that the instance runs in"),
      addressSetting("caller-address", &S::CallerAddress,
                     "address that callers connect to"),
      addressSetting("ready-address", &S::ReadyAddress,
                     "address for the platform's readiness checks"),
      addressSetting(
          "directory-address", &S::DirectoryAddress,
          "address where callers look up the instances to connect to"),
      addressSetting("peer-address", &S::PeerAddress,
                     "address that other instances send datagrams to"),
      addressSetting("operator-address", &S::OperatorAddress,
                     "address that operators connect to"),
      addressSetting("store-address", &S::StoreAddress,
                     "address of the platform's store"),
      seedsSetting(),
      numberSetting(
          "cores", &S::Cores, "1", 0, 1024,
          "CPU cores available to this instance; instances with more are "
          "preferred for reading the store for others"),
      numberSetting("link", &S::LinkMbps, "0", 0, maxValue,
                    "outgoing bandwidth in Mbit/s; instances with more are "
                    "preferred likewise"),
      numberSetting("memory", &S::MemoryMb, "250", 32, maxValue,
                    "memory in MB that this instance may take"),
      logLevelSetting(),
      durationSetting("propagation-limit", &S::PropagationLimit, "2s", 1s, 60s,
                      "time within which a change in the store must be in "
                      "force everywhere"),
      durationSetting(
          "heartbeat-interval", &S::HeartbeatInterval, "1500ms", 100ms, 600s,
          "how often upstreams renew their registrations; one that "
          "is removed may have expired if all renewals that were "
          "due in three of it came while the store answered nobody"),
      durationSetting("stop-timeout", &S::StopTimeout, "30s", 100ms, 600s,
                      "maximum duration of a graceful stop"),
      durationSetting(
          "resolve-lifetime", &S::ResolveLifetime, "2s", 100ms, 60s,
          "how long callers may cache the addresses that they looked up"),
      numberSetting("retry-ratio", &S::RetryRatio, "0.1", 0, 1,
                    "retries and hedges per request, over all instances"),
      numberSetting(
          "extra-retries", &S::ExtraRetries, "10", 0, maxValue,
          "retries and hedges per window beyond the ratio, over all instances"),
      numberSetting("cold-overshoot", &S::ColdOvershoot, "1", 0, 100,
                    "factor on the configured request rate of a cold upstream"),
      numberSetting("cold-slack", &S::ColdSlack, "0", 0, maxValue,
                    "requests per second to a cold upstream beyond that rate"),
      numberSetting(
          "probes-per-second", &S::ProbesPerSecond, "10", 0, maxValue,
          "health checks of one upstream per second, over all instances"),
      durationSetting("quota-window", &S::QuotaWindow, "5s", 1s, 600s,
                      "window in which a customer's limit is kept"),
      numberSetting("quota-overshoot", &S::QuotaOvershoot, "0", 0, 10,
                    "what may be admitted in a window beyond a customer's "
                    "rate and burst, as a part of these"),
      numberSetting("quota-slack", &S::QuotaSlack, "0", 0, maxValue,
                    "requests beyond that"),
      numberSetting("exposure-share", &S::ExposureShare, "0", 0, 1,
                    "part of a service's requests that a bad new version may "
                    "get in a roll-out; 0: no roll-outs are carried out"),
      numberSetting("exposure-slack", &S::ExposureSlack, "0", 0, maxValue,
                    "requests that a bad new version may get beyond that"),
      boolSetting("order-by-cost", &S::OrderByCost,
                  "whether requests that cost callers least yield to others "
                  "while there is too little room; always so with customers"),
      boolSetting("first-start", &S::FirstStart,
                  "whether the whole system starts for the first time"),
      seedSetting(),
  };
}

po::options_description describeOptions() {
  po::options_description options("Settings", HelpWidth);
  for (const SettingSpec &it : allSettings()) {
    auto *value = po::value<std::string>()->value_name(it.ValueName);
    if (!it.Default.empty()) {
      value->default_value(it.Default);
    }
    options.add_options()(it.Flag.c_str(), value, it.Meaning.c_str());
  }
  return options;
}

po::options_description describeCommands() {
  po::options_description commands("Commands", HelpWidth);
  commands.add_options()("help", "print this help and exit")(
      "version", "print the version and exit")(
      "check", "check the settings and exit with 0 when valid, 2 when invalid")(
      FileFlag.c_str(), po::value<std::string>()->value_name("PATH"),
      "settings file with one 'name = value' per line");
  return commands;
}

std::string variableName(const std::string &flag) {
  std::string name = VariablePrefix;
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

// Reports settings given twice in one source. Otherwise the first value would
// be used silently.
void checkRepeated(const std::vector<po::option> &given,
                   const std::string &source, SettingErrors &errors) {
  std::map<std::string, unsigned> counts;
  for (const po::option &it : given) {
    if (++counts[it.string_key] == 2) {
      errors.push_back(source + it.string_key + ": is given twice");
    }
  }
}

using Values = std::map<std::string, std::string>;

void addValues(const std::vector<po::option> &given, Values &values) {
  for (const po::option &it : given) {
    const std::string value = it.value.empty() ? "" : it.value.front();
    // Keeps a value that a source of higher precedence has set.
    values.emplace(it.string_key, value);
  }
}

void readFlags(const std::vector<std::string> &arguments,
               const po::options_description &all, Values &values,
               SettingErrors &errors) {
  try {
    const po::parsed_options parsed =
        po::command_line_parser(arguments)
            .options(all)
            .style(po::command_line_style::unix_style &
                   ~po::command_line_style::allow_guessing)
            .allow_unregistered()
            .run();
    std::vector<po::option> known;
    for (const po::option &it : parsed.options) {
      if (it.unregistered || it.position_key != -1) {
        errors.push_back("unknown argument '" + it.original_tokens.front() +
                         "'");
      } else {
        known.push_back(it);
      }
    }
    checkRepeated(known, "--", errors);
    addValues(known, values);
  } catch (const po::error &e) {
    errors.push_back(e.what());
  }
}

void readVariables(const VariableReader &variable, Values &values) {
  for (const SettingSpec &it : allSettings()) {
    const char *value = variable(variableName(it.Flag).c_str());
    // A platform that sets the variables of optional settings leaves those
    // empty that it has no value for.
    const bool isLeftOut =
        value == nullptr || (*value == '\0' && !it.Default.empty());
    if (!isLeftOut) {
      values.emplace(it.Flag, value);
    }
  }
}

void readFile(const std::string &path, const FileReader &file,
              const po::options_description &options, Values &values,
              SettingErrors &errors) {
  const auto text = file(path);
  if (!text) {
    errors.push_back("settings file '" + path + "' can't be read");
    return;
  }
  std::istringstream in(*text);
  try {
    const po::parsed_options parsed = po::parse_config_file(in, options);
    checkRepeated(parsed.options, path + ": ", errors);
    addValues(parsed.options, values);
  } catch (const po::error &e) {
    errors.push_back(path + ": " + e.what());
  }
}

Settings parseValues(const Values &values, SettingErrors &errors) {
  Settings out;
  for (const SettingSpec &it : allSettings()) {
    const auto given = values.find(it.Flag);
    const std::string text = given == values.end() ? it.Default : given->second;
    const std::string error = it.Parse(out, text);
    if (!error.empty()) {
      errors.push_back("--");
      errors.back()
          .append(it.Flag)
          .append(": '")
          .append(text)
          .append("' ")
          .append(error);
    }
  }
  return out;
}

void checkSharedAddresses(const Settings &it, SettingErrors &errors) {
  const std::pair<const char *, const std::string *> addresses[]{
      {"caller-address", &it.CallerAddress},
      {"ready-address", &it.ReadyAddress},
      {"directory-address", &it.DirectoryAddress},
      {"peer-address", &it.PeerAddress},
      {"operator-address", &it.OperatorAddress},
      {"store-address", &it.StoreAddress}};
  for (const auto *a = std::begin(addresses); a != std::end(addresses); ++a) {
    for (const auto *b = a + 1; b != std::end(addresses); ++b) {
      if (!a->second->empty() && *a->second == *b->second) {
        errors.push_back("--" + std::string(a->first) + " and --" + b->first +
                         " are both " + *a->second);
      }
    }
  }
}

} // namespace

Result<Invocation, SettingErrors>
readSettings(const std::vector<std::string> &arguments,
             const VariableReader &variable, const FileReader &file) {
  SettingErrors errors;
  Values values;
  const po::options_description options = describeOptions();
  po::options_description all;
  all.add(options).add(describeCommands());
  readFlags(arguments, all, values, errors);
  if (values.contains("help")) {
    return Invocation{Command::Help, {}};
  }
  if (values.contains("version")) {
    return Invocation{Command::Version, {}};
  }
  readVariables(variable, values);
  const char *path = variable(FileVariable.c_str());
  if (values.contains(FileFlag)) {
    readFile(values.at(FileFlag), file, options, values, errors);
  } else if (path != nullptr) {
    readFile(path, file, options, values, errors);
  }
  Settings settings = parseValues(values, errors);
  checkSharedAddresses(settings, errors);
  if (!errors.empty()) {
    return errors;
  }
  return Invocation{values.contains("check") ? Command::Check : Command::Run,
                    std::move(settings)};
}

std::vector<SettingKind> settingKinds() {
  std::vector<SettingKind> kinds;
  for (const SettingSpec &it : allSettings()) {
    kinds.push_back(
        {"--" + it.Flag, variableName(it.Flag), it.Default, it.Meaning});
  }
  return kinds;
}

std::string formatHelp() {
  std::ostringstream out;
  out << "Usage: zinniaraild [--check] SETTINGS\n\n"
      << describeCommands() << '\n'
      << describeOptions()
      << "\nEach setting can also be given as an environment variable, as in\n"
         "ZINNIARAIL_FAILURE_DOMAIN for --failure-domain, or as a line of the "
         "file named by\n--settings-file or "
      << FileVariable
      << ". Flags override variables, and variables override the\n"
         "file.\n"
         "Exit codes: 0 done, 1 a port could not be bound or a graceful stop "
         "timed out,\n2 invalid settings, all listed on standard error.\n";
  return out.str();
}

} // namespace zinniarail
