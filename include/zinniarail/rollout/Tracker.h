/// \file
/// The orders as one instance follows them: it counts what its own attempts
/// show, adds up what others report, divides the requests, and decides the next
/// steps while it reads the store. Does no I/O and reads no clock.
///
/// Every instance reports to the reader of its failure domain. Readers exchange
/// the sums of their domains, and those of the others that they have heard, and
/// tell their followers the sum over the fleet: each instance stops using a bad
/// version by itself, also while the store is down.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zinniarail/rollout/Evidence.h"
#include "zinniarail/rollout/Order.h"
#include "zinniarail/rollout/Steps.h"

namespace zinniarail::rollout {

/// What a report sums up.
enum class ReportScope : std::uint8_t {
  Instance, ///< The sender; goes to the reader of its failure domain.
  Domain,   ///< A failure domain; goes to the readers of the others.
  Fleet,    ///< All that the sender has heard; goes to its followers.
};

/// What an instance tells others of an order.
struct Report {
  OrderKey Of;
  ReportScope Scope = ReportScope::Instance;
  std::string Domain;
  /// Boot id of the instance that made the sum; differs after each start.
  std::uint64_t BootId = 0;
  std::uint64_t Sequence = 0; ///< Increases with each report of that instance.
  Evidence Seen;

  bool operator==(const Report &) const = default;
};

/// How an attempt ended, as far as it tells about its upstream's version.
enum class AnswerQuality : std::uint8_t {
  Good,
  Failed,
  CutOff, ///< Cancelled here; tells something only if it ran too long.
  Unrun,  ///< Nothing was run; tells nothing.
};

/// An attempt that ended.
struct AnswerSeen {
  std::string Service;
  std::string Upstream;
  std::string Route;
  AnswerQuality Quality = AnswerQuality::Good;
  Duration Took{0};
  bool IsCold = false; ///< The upstream was warming up.
};

/// A status to write to the store, unless the order has changed since.
struct StatusWrite {
  std::string Name; ///< Of the order's object.
  Order Changed;    ///< With the new status and the revision it is based on.
  std::string Why;
};

/// Identity of the instance.
struct TrackerContext {
  std::string Domain;
  std::uint64_t BootId = 0;
  ExposureLimits Limits;
};

/// One order as this instance follows it.
struct TrackedOrder {
  struct Received {
    Evidence Seen;
    std::uint64_t Sequence = 0;
    Instant At{};
  };
  Order Current;
  Instant BeganAt{};                ///< When it was given, as far as is known.
  Instant SeenAt{};                 ///< When it was first seen here.
  Instant EndedAt = Instant::max(); ///< When it was first seen as final.
  Evidence Own;
  std::map<std::uint64_t, Received> Followers; ///< By boot id.
  /// By failure domain and the boot id of its reader.
  std::map<std::pair<std::string, std::uint64_t>, Received> Domains;
  /// From the followed reader; a reader's own sum.
  std::optional<Received> Fleet;
  bool IsSuspended = false; ///< This instance found the target bad.
  std::string Fault;        ///< Why.
  Instant SettledSince = Instant::max();
  Instant StepDueSince = Instant::max();
};

struct Tracker {
  struct KnownUpstream {
    std::string Version;
    unsigned Slots = 0; ///< 0 unless it is in service.
  };
  TrackerContext Context;
  std::map<std::string, TrackedOrder> Tracked; ///< By the object's name.
  /// By service and id.
  std::map<std::string, std::map<std::string, KnownUpstream>> Upstreams;
  std::uint64_t Sequence = 0;
};

/// Applies the orders as they are in the store.
void applyOrders(Tracker &tracker, const Orders &orders, Instant now);

/// Counts a request that is sent to an upstream.
void recordSent(Tracker &tracker, const std::string &service,
                const std::string &upstream, const std::string &route);

void recordAnswer(Tracker &tracker, const AnswerSeen &answer);

/// Whether any order is neither completed nor rolled back.
bool isActive(const Tracker &tracker);

/// Whether an upstream runs another version than the target of its service's
/// order, or is unknown.
bool isOld(const Tracker &tracker, const OrderKey &order,
           const std::string &upstream);

/// The number of this instance's attempts that can't be repeated, at upstreams
/// of the order's service of which isOld holds.
using OpenCounter = std::function<std::uint64_t(const OrderKey &)>;

/// The reports that are due: one per active order for a follower; for a reader
/// one for its followers and one for each failure domain.
std::vector<Report> makeReports(Tracker &tracker, bool isReader,
                                const OpenCounter &countOpen, Instant now);

/// Applies a report of another instance. Older and repeated ones are ignored.
void receive(Tracker &tracker, const Report &report, Instant now);

/// Stops using targets that this instance's knowledge shows to be bad.
/// \returns whether any was stopped.
bool suspendFaulty(Tracker &tracker, bool isReader, Instant now);

/// The steps that this instance, a reader, is to write now. Readers decide in
/// the order of their failure domains: the later ones wait, in case the earlier
/// ones can't write. A roll-back does not wait.
std::vector<StatusWrite> decide(Tracker &tracker, Instant now);

/// How requests are divided now.
Divisions divisionsOf(const Tracker &tracker, Instant now);

} // namespace zinniarail::rollout
