/// \file
/// What a process learns at its start, from flags and environment variables.
#pragma once

#include <cstdint>
#include <string>

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
  std::string TraceFile; ///< Empty: no trace.
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
};

} // namespace zinniarail
