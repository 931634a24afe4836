/// \file
/// What a process learns at its start, from flags and environment variables.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Engine.h"

namespace zinniarail {

/// The daemon's settings. Each is a flag (--failure-domain) and a variable
/// (ZINNIARAIL_FAILURE_DOMAIN); the flag wins.
struct Settings {
  std::string InstanceId;
  std::string FailureDomain;
  std::string Environment;
  std::string CallerAddress;   ///< "ip:port"
  std::string PeerAddress;     ///< "ip:port"
  std::string OperatorAddress; ///< "ip:port"
  std::string PlatformAddress; ///< "ip:port"
  std::string LogLevel = "info";
  RoutingPolicy Policy = RoutingPolicy::Homes;
  /// How long a proof that the version is current lasts.
  Duration ViewLifetime = std::chrono::seconds{3};
  /// Silence after which a peer counts as lost.
  Duration PeerTimeout = std::chrono::milliseconds{1000};
  /// How often an instance speaks to its peers.
  Duration PeerInterval = std::chrono::milliseconds{250};
  /// How long a graceful stop may take at most.
  Duration StopTimeout = std::chrono::seconds{30};
  std::uint64_t Seed = 0; ///< 0: drawn at the start.
  /// Memory for the trace of each service; 0: nothing is recorded.
  std::size_t TraceBytes = 0;
};

/// The exit codes of the daemon.
enum class ExitCode : int {
  Done = 0,        ///< Stopped gracefully, or --help, --version, --check.
  Failed = 1,      ///< A port could not be bound, or the stop was cut short.
  BadSettings = 2, ///< A setting is wrong; every wrong one was named.
};

/// What the command line asks the process to do.
enum class Command : std::uint8_t { Run, Check, Help, Version };

/// The command line and the environment, understood.
struct Invocation {
  Command Wanted = Command::Run;
  Settings Values; ///< Only for Run and Check.
};

/// Everything that is wrong with the settings, one line each, naming the flag.
using SettingErrors = std::vector<std::string>;

/// Looks up an environment variable.
/// \returns null when it is not set.
using ReadVariable = std::function<const char *(const char *name)>;

/// Reads the settings from flags and environment variables, and checks them
/// all before it returns.
/// \param arguments the command line without the program's name.
/// \returns the settings, or every error at once.
Result<Invocation, SettingErrors>
readSettings(const std::vector<std::string> &arguments,
             const ReadVariable &variable);

/// One setting, as the program takes it.
struct SettingKind {
  std::string Flag;     ///< "--failure-domain"
  std::string Variable; ///< "ZINNIARAIL_FAILURE_DOMAIN"
  std::string Default;  ///< Empty: it must be given.
  std::string Meaning;
};

/// Every setting, in the order of --help.
std::vector<SettingKind> settingKinds();

/// The text of --help: each setting with its variable and default.
std::string describeSettings();

/// An address, taken apart.
struct SocketAddress {
  std::string Host; ///< IPv4 number.
  std::uint16_t Port = 0;
};

/// Takes "ip:port" apart.
/// \returns an empty host when it is not an IPv4 number and a port from 1 on.
SocketAddress parseAddress(const std::string &text);

} // namespace zinniarail
