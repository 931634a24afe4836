/// \file
/// The engine of one service on one instance: places, queues, retries, hedges
/// and refuses requests, as a deterministic function of state, event, time and
/// random seed. It owns no socket and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/balance/Budget.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/quarantine/Quarantine.h"

namespace zinniarail::balance {

/// One upstream that may get new requests.
struct PlannedUpstream {
  std::string Id;
  std::string Domain;
  unsigned Slots = 1;
  Duration WarmupRemaining{0}; ///< As of the upstream's last report.
  /// Unix time of its start in milliseconds; 0 if unknown. Another value means
  /// a restart: the engine resets all but the running attempts.
  std::uint64_t StartedMs = 0;
  bool IsTarget = false; ///< See ServicePlan::TargetShare.

  bool operator==(const PlannedUpstream &) const = default;
};

/// Limits on the request rate of a cold upstream, one that is warming up.
struct ColdLimits {
  double RequestsPerSecond = 0; ///< Over all instances; 0: unlimited.
  std::size_t SharingInstances = 1;

  bool operator==(const ColdLimits &) const = default;
};

/// The configuration and upstreams of the service, as this instance uses them.
struct ServicePlan {
  std::string Service;
  std::string Domain;   ///< Failure domain of this instance.
  std::string Instance; ///< Id of this instance.
  /// Ids of all instances, which share the limits that upstreams name.
  std::vector<std::string> Instances;
  std::vector<PlannedUpstream> Upstreams;
  RetryBudgetLimits Budget;
  ColdLimits ColdUpstreams;
  /// Health checks that this instance may send to an upstream, averaged over
  /// all upstreams.
  double ProbesPerSecond = 10;
  /// When this instance stops; Instant::max() if it is not stopping. All
  /// requests have their final answer by then: those that can't be served in
  /// time are refused as soon as that is known.
  Instant StopsAt = Instant::max();
  /// Part of the requests whose first attempt goes to an upstream with IsTarget
  /// if one can take it; all other attempts go to the other upstreams. None:
  /// all upstreams are alike.
  std::optional<double> TargetShare = {};
  /// While there is too little room, those that cost callers least yield to
  /// others, also to newcomers. Without it, a full queue refuses newcomers.
  bool OrdersByCost = false;

  bool operator==(const ServicePlan &) const = default;
};

/// The engine's state, made by makeEngine; internal to the balance module.
struct Engine;

struct EngineDelete {
  void operator()(Engine *engine) const;
};
using EnginePtr = std::unique_ptr<Engine, EngineDelete>;

/// Makes an engine.
/// \param firstAttempt the first attempt id; the id ranges of the services of
/// one process must not overlap.
/// \param quarantine shared by the engines of one process, since a request may
/// reach several services; null: the engine has its own.
EnginePtr makeEngine(ServicePlan plan, Random random,
                     std::uint64_t firstAttempt, Instant now,
                     std::shared_ptr<Quarantine> quarantine = nullptr);

/// Applies what another instance told: a PeerSuspected, PeerQuarantined or
/// PeerCleared event. Engines that share the quarantine apply it to their
/// queues with the next event.
/// \returns whether a fingerprint is refused now that was not before.
bool applyNotice(Quarantine &quarantine, const Event &notice, Instant now);

/// The fingerprints that are quarantined for the longest time from now, to be
/// told to instances that may have missed it.
std::vector<PeerQuarantined> latestQuarantines(const Quarantine &quarantine,
                                               std::size_t most, Instant now);

/// Applies a new plan. Attempts that run on removed upstreams may finish.
void updatePlan(Engine &engine, ServicePlan plan, Instant now, Actions &out);

/// Handles one event. Appends the resulting actions to \p out, in order.
void handleEvent(Engine &engine, const Event &event, Instant now, Actions &out);

/// When to send TimerExpired next; Instant::max(): no timer is pending.
Instant nextTimer(const Engine &engine);

/// Number of requests without a final answer.
std::size_t openRequests(const Engine &engine);

/// Number of requests that are queued for an upstream.
std::size_t waitingRequests(const Engine &engine);

/// Retries and hedges that the retry budget allows now.
double retryTokens(const Engine &engine);

/// Counts since the engine was made.
struct EngineCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t Quarantined = 0;
  std::uint64_t Refused = 0;
  /// Of Refused: while there was too little room, since others went first.
  std::uint64_t Yielded = 0;
  std::uint64_t Placements = 0; ///< Searches for an upstream.
};
const EngineCounters &countersOf(const Engine &engine);

/// Returns the engine's state as JSON with stable keys, for a state dump.
boost::json::object describe(const Engine &engine, Instant now);

} // namespace zinniarail::balance
