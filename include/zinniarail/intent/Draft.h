/// \file
/// A version of the configuration of which parts could not be read, and what is
/// put in force in their place. One unreadable entry must not keep the rest of
/// a version out of force: what operators took away would stay in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Configuration.h"

namespace zinniarail {

/// A field that may be left out.
template <typename Type> struct OptionalField {
  std::optional<Type> Value;
  bool IsUnreadable = false; ///< It is there, and Value is not known.
};

/// A destination whose weight may not be readable.
struct DestinationDraft {
  std::string Service;
  std::optional<unsigned> Weight;
};

/// A route with a readable host and prefix; fields without a value are left out
/// or unreadable.
struct RouteDraft {
  std::string Host;
  std::string PathPrefix;
  std::optional<std::string> Name;
  bool Idempotent = false;
  std::optional<unsigned> Priority;
  std::optional<unsigned> MaxAttempts;
  std::optional<Duration> Timeout;
  std::optional<Duration> TargetLatency;
  std::vector<DestinationDraft> Destinations; ///< The readable ones.
  bool AllowAnonymous = false;
};

/// A service with a readable name.
struct ServiceDraft {
  std::string Name;
  std::optional<std::string> HealthPath;
  std::optional<unsigned> ConnectionLimit;
  OptionalField<Duration> Warmup;
  OptionalField<double> WarmupPerSecond;
};

struct CustomerDraft {
  std::optional<std::string> Name; ///< None: unreadable, or can't be sent.
  OptionalField<unsigned> Priority;
  OptionalField<double> RatePerSecond;
  OptionalField<double> Burst;
  std::vector<KeyDigest> Keys; ///< The readable ones, in any order.
};

struct LimitsDraft {
  std::optional<std::size_t> MaxHeaderBytes;
  std::optional<std::size_t> MaxBodyBytes;
  std::optional<Duration> HeaderTimeout;
  std::optional<Duration> IdleTimeout;
};

/// What could be read of one version of the configuration.
struct ConfigurationDraft {
  std::uint64_t Version = 0;
  std::vector<RouteDraft> Routes;
  std::vector<ServiceDraft> Services;
  OptionalField<std::vector<CustomerDraft>> Customers;
  OptionalField<LimitsDraft> Limits;
};

/// The timeout of a route of which none is known: its callers' deadlines count.
constexpr Duration UnknownTimeout = std::chrono::seconds{60};

/// Completes a draft. What is unreadable never gives a key or a route more
/// rights than any version in force did; docs/design/unreadable.md has the
/// table.
/// \param inForce the version before; null: none.
Configuration completeDraft(const ConfigurationDraft &draft,
                            const Configuration *inForce);

} // namespace zinniarail
