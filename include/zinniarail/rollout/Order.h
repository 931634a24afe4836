/// \file
/// An order to move a service's traffic to upstreams of another version.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "zinniarail/core/StoreRevision.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/registry/Upstream.h"

namespace zinniarail::rollout {

/// How far an order is carried out. Completed and RolledBack are final.
enum class Phase : std::uint8_t {
  Ordered, ///< Nobody has begun with it.
  Running,
  Completed,
  RolledBack,
};

/// Stable names for logs and dumps.
const char *nameOf(Phase phase);

/// An order with its status, as stored.
struct Order {
  std::string Service;
  std::string Target; ///< The version that gets the traffic.
  Duration Limit{0};  ///< From the order to its deadline.
  /// Number of the store's change that created it: tells an order that was
  /// withdrawn and given again from the first one.
  std::uint64_t Created = 0;
  StoreRevision Revision; ///< Of its last change.
  Phase State = Phase::Ordered;
  double Share = 0; ///< Part of the requests that go to Target while Running.
  /// Since the order, when its status was written.
  Duration Elapsed{0};

  bool operator==(const Order &) const = default;
};

/// What tells one order from all others.
struct OrderKey {
  std::string Service;
  std::string Target;
  std::uint64_t Created = 0;

  auto operator<=>(const OrderKey &) const = default;
};

inline OrderKey keyOf(const Order &it) {
  return {it.Service, it.Target, it.Created};
}

/// Orders by the name of their store object.
using Orders = std::map<std::string, Order>;

/// How a service's requests are divided between two versions.
struct Division {
  std::string Target;
  double Share = 0; ///< Part of the requests that go to Target; 0 to 1.

  bool operator==(const Division &) const = default;
};

/// Divisions by service; a service without one uses all versions alike.
using Divisions = std::map<std::string, Division>;

/// The upstreams of one service that requests may go to. While Target gets a
/// small share, it is concentrated on few upstreams, which then run under the
/// usual load; each instance selects the same ones.
/// \param all upstreams of the service that are in service.
/// \returns all of \p all with a full share of a version that has no upstream,
/// and those of Target with a smaller one if there are no others.
std::vector<const Upstream *>
selectUpstreams(const std::vector<const Upstream *> &all,
                const Division &division);

} // namespace zinniarail::rollout
