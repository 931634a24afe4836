/// \file
/// What operators want, as one document per environment: services, their
/// upstreams, classes of requests, limits, and failure domains in service.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// One upstream of a service.
struct UpstreamSpec {
  std::string Id;
  std::string Address; ///< IP number.
  std::uint16_t Port = 0;
  std::string Domain;         ///< Failure domain it runs in.
  unsigned Slots = 4;         ///< Requests it runs at a time.
  unsigned Connections = 220; ///< Connections it accepts, over all instances.
  bool Leaving = false;       ///< Gets no new work; running work finishes.

  bool operator==(const UpstreamSpec &) const = default;
};

/// How requests that match are treated. The first class that matches counts.
struct RequestClass {
  std::string Name;
  std::string Method = "*"; ///< An HTTP method, or "*" for any.
  std::string PathPrefix;   ///< Of the path behind the service's name.
  unsigned Priority = 1;    ///< 0 is shed last.
  bool Idempotent = true;   ///< False: runs at most once, by its key.
  Duration Deadline = std::chrono::seconds{2};

  bool operator==(const RequestClass &) const = default;
};

/// One service and its limits.
struct ServiceSpec {
  std::string Name;
  std::vector<UpstreamSpec> Upstreams;
  std::vector<RequestClass> Classes;
  unsigned Homes = 3;          ///< Instances that feed it.
  unsigned QueueLimit = 64;    ///< Waiting requests per home.
  double HedgeShare = 0.05;    ///< Extra tries for the tail, of all requests.
  double RetryShare = 0.10;    ///< Extra tries after failures, likewise.
  double ProbesPerSecond = 10; ///< Load probes per home, at most.
  Duration ClaimWindow = std::chrono::seconds{30}; ///< How long a key counts.

  bool operator==(const ServiceSpec &) const = default;
};

/// One failure domain.
struct DomainSpec {
  std::string Name;
  std::string Region;
  bool InService = true;

  bool operator==(const DomainSpec &) const = default;
};

/// One environment's document.
struct Document {
  /// The one environment that may run it; empty: any, so that it can be
  /// promoted unchanged.
  std::string Environment;
  std::string ChangeId; ///< Settles a write whose answer was lost.
  std::vector<DomainSpec> Domains;
  std::vector<ServiceSpec> Services;
  /// How long callers may keep a resolve answer.
  Duration ResolveLifetime = std::chrono::seconds{2};

  bool operator==(const Document &) const = default;
};

/// Finds a service.
/// \returns null when the document has none of that name.
const ServiceSpec *findService(const Document &document,
                               const std::string &name);

/// Tells whether a failure domain takes new work. Unknown domains do not.
bool isInService(const Document &document, const std::string &domain);

} // namespace zinniarail
