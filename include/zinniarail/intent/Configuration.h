/// \file
/// The configuration: which requests go to which service and under which rules,
/// and the limits on what callers may send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/customers/KeyDigest.h"

namespace zinniarail {

/// A service that receives a share of a route's requests.
struct Destination {
  std::string Service;
  /// The service's share is its weight over the sum of the route's weights.
  unsigned Weight = 1;

  bool operator==(const Destination &) const = default;
};

/// The requests to one host whose paths begin with one prefix, and how they are
/// handled.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;   ///< Begins and ends with a slash.
  bool Idempotent = false;  ///< A request may be executed more than once.
  unsigned Priority = 1;    ///< 0 is the most urgent.
  unsigned MaxAttempts = 1; ///< Upstreams that one request may be sent to.
  Duration Timeout = std::chrono::seconds{2};
  Duration TargetLatency = std::chrono::seconds{1};
  /// Empty: none can be read, and requests are refused. Without the route they
  /// might go to the service of a shorter prefix.
  std::vector<Destination> Destinations;
  bool AllowAnonymous = false; ///< Callers need no key of a customer.

  bool operator==(const Route &) const = default;
};

/// A customer's rules for the requests of its callers.
struct Customer {
  /// Empty: it holds the keys whose customer is not clear, and requests with
  /// them are refused; without keys, any key may be somebody's.
  std::string Name;
  std::optional<unsigned> Priority; ///< Precedes the route's priority.
  /// Requests per second over all instances; 0: no limit.
  double RatePerSecond = 0;
  double Burst = 0; ///< Requests beyond the rate, over all instances.
  std::vector<KeyDigest> Keys; ///< Of its API keys; sorted.

  bool operator==(const Customer &) const = default;
};

/// Settings that all upstreams of one service share.
struct ServiceConfig {
  std::string Name;
  std::string HealthPath = "/health";
  unsigned ConnectionLimit = 200; ///< Per upstream, over all instances.
  Duration Warmup{0}; ///< How long an upstream warms up after its start.
  /// Requests per second that an upstream can handle while it warms up; 0:
  /// unknown.
  double WarmupPerSecond = 0;

  bool operator==(const ServiceConfig &) const = default;
};

/// Limits on the size of a caller's requests and on the time to send them.
struct CallerLimits {
  /// Maximum size of the request line and the headers together.
  std::size_t MaxHeaderBytes = std::size_t{32} << 10;
  std::size_t MaxBodyBytes = std::size_t{8} << 20;
  Duration HeaderTimeout = std::chrono::seconds{10};
  Duration IdleTimeout = std::chrono::seconds{60};

  bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceConfig> Services;
  CallerLimits Limits;
  std::vector<Customer> Customers; ///< Empty: callers need no keys.

  bool operator==(const Configuration &) const = default;
};

/// Finds the route of a request: among the routes of its host, the one with the
/// longest prefix that matches the path.
/// \returns null when no route matches.
const Route *findRoute(const Configuration &configuration,
                       std::string_view host, std::string_view path);

/// Whether any route has this host.
bool hasHost(const Configuration &configuration, std::string_view host);

/// Finds a service by name.
/// \returns null when the configuration has no such service.
const ServiceConfig *findService(const Configuration &configuration,
                                 std::string_view name);

} // namespace zinniarail
