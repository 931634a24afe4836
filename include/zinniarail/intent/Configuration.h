/// \file
/// The configuration in force: which requests go to which service and under
/// which rules, and the limits on what callers may send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// A service that a route sends a part of its requests to.
struct Destination {
  std::string Service;
  unsigned Weight = 1; ///< Its part of the sum of all weights.

  bool operator==(const Destination &) const = default;
};

/// Requests of one host below one path, and how they are treated.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;   ///< Begins and ends with a slash.
  bool Idempotent = false;  ///< May run more than once.
  unsigned Priority = 1;    ///< 0 is the most urgent.
  unsigned MaxAttempts = 1; ///< Upstreams that one request may be sent to.
  Duration Timeout = std::chrono::seconds{2};
  Duration TargetLatency = std::chrono::seconds{1};
  std::vector<Destination> Destinations; ///< Never empty.

  bool operator==(const Route &) const = default;
};

/// What all upstreams of one service have in common.
struct ServiceConfig {
  std::string Name;
  std::string HealthPath = "/health";
  unsigned ConnectionLimit = 200; ///< Of one upstream, over all instances.
  Duration Warmup{0};             ///< How long an upstream is cold.
  double WarmupPerSecond = 0; ///< Requests that a cold one bears; 0: unknown.

  bool operator==(const ServiceConfig &) const = default;
};

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  std::size_t HeadBytes = std::size_t{32} << 10; ///< Request line and headers.
  std::size_t BodyBytes = std::size_t{8} << 20;
  Duration HeadTime = std::chrono::seconds{10};
  Duration IdleTime = std::chrono::seconds{60};

  bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceConfig> Services;
  CallerLimits Limits;

  bool operator==(const Configuration &) const = default;
};

/// Finds the route of a request: of those of its host the one with the longest
/// prefix that begins the path.
/// \returns null when there is none.
const Route *findRoute(const Configuration &configuration,
                       std::string_view host, std::string_view path);

/// Whether any route has this host.
bool hasHost(const Configuration &configuration, std::string_view host);

/// Finds a service.
/// \returns null when the configuration has none of that name.
const ServiceConfig *findService(const Configuration &configuration,
                                 std::string_view name);

} // namespace zinniarail
