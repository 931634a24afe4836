/// \file
/// The settings of an instance, read at startup from flags, environment
/// variables and a settings file.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"

namespace zinniarail {

/// An instance's settings. Each can be given as a flag (--failure-domain), as
/// an environment variable (ZINNIARAIL_FAILURE_DOMAIN) and as a line of the
/// settings file (failure-domain = a). Flags override variables, variables
/// override the file.
struct Settings {
  std::string InstanceId;
  std::string FailureDomain;
  std::string CallerAddress;      ///< "ip:port"
  std::string ReadyAddress;       ///< "ip:port"
  std::string DirectoryAddress;   ///< "ip:port"
  std::string PeerAddress;        ///< "ip:port", for UDP and TCP.
  std::string OperatorAddress;    ///< "ip:port"
  std::string StoreAddress;       ///< "ip:port"
  std::vector<std::string> Seeds; ///< Peers to discover other instances from.
  double Cores = 0;               ///< CPU cores available to this instance.
  double LinkMbps = 0;            ///< Outgoing bandwidth in Mbit/s.
  double MemoryMb = 0; ///< Memory that this instance may take, in MB.
  std::string LogLevel;
  /// Time within which a change in the store must be in force everywhere.
  Duration PropagationLimit{};
  Duration HeartbeatInterval{}; ///< Between an upstream's registrations.
  Duration StopTimeout{};       ///< Maximum duration of a graceful stop.
  Duration ResolveLifetime{};   ///< How long callers may cache addresses.
  /// Retries and hedges per request, over all instances.
  double RetryRatio = 0;
  /// Retries and hedges beyond the ratio in any period, over all instances: the
  /// capacity of the retry budget.
  double ExtraRetries = 0;
  /// Factor on the configured request rate of a cold upstream, one that is
  /// warming up after its start.
  double ColdOvershoot = 0;
  /// Requests per second that a cold upstream may get beyond its configured
  /// request rate.
  double ColdSlack = 0;
  /// Health checks of one upstream per second, over all instances.
  double ProbesPerSecond = 0;
  /// Window in which customers' limits are kept over all instances, and what
  /// may be admitted in it beyond rate and burst: a part of these, and
  /// requests.
  Duration QuotaWindow{};
  double QuotaOvershoot = 0;
  double QuotaSlack = 0;
  /// Part of all requests to a service that a bad new version of it may get
  /// during a roll-out; 0: orders for roll-outs are not read.
  double ExposureShare = 0;
  double ExposureSlack = 0; ///< Requests that it may get beyond that.
  /// While there is too little room, those that cost callers least yield to
  /// others. It is so wherever the configuration has customers.
  bool OrderByCost = false;
  bool FirstStart = false; ///< The whole system starts for the first time.
  /// Seed of the random generators; 0: chosen at startup.
  std::uint64_t Seed = 0;
};

/// Exit codes of the daemon.
enum class ExitCode : int {
  Done = 0,   ///< Graceful stop, or --help, --version or --check succeeded.
  Failed = 1, ///< A port could not be bound, or the stop timed out.
  BadSettings = 2, ///< A setting is invalid; all invalid ones were reported.
};

/// The action that the command line requests.
enum class Command : std::uint8_t { Run, Check, Help, Version };

/// The parsed command line, environment and settings file.
struct Invocation {
  Command Requested = Command::Run;
  Settings Values; ///< Valid only for Run and Check.
};

/// All errors in the settings, one line each, with the name of the flag.
using SettingErrors = std::vector<std::string>;

/// Reads an environment variable.
/// \returns null when it is not set.
using VariableReader = std::function<const char *(const char *name)>;

/// Reads a file.
/// \returns its content, none when it can't be read.
using FileReader =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads and validates all settings.
/// \param arguments the command line without the program's name.
/// \returns the invocation, or all errors together.
Result<Invocation, SettingErrors>
readSettings(const std::vector<std::string> &arguments,
             const VariableReader &variable, const FileReader &file);

/// The description of one setting.
struct SettingKind {
  std::string Flag;     ///< "--failure-domain"
  std::string Variable; ///< "ZINNIARAIL_FAILURE_DOMAIN"
  /// The default value. Without one, it is empty and the setting is required,
  /// except --seeds.
  std::string Default;
  std::string Meaning;
};

/// All settings, in the order of --help.
std::vector<SettingKind> settingKinds();

/// The text of --help.
std::string formatHelp();

} // namespace zinniarail
