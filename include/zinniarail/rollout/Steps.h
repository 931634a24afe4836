/// \file
/// Decides the steps of a roll-out: how much of the traffic the new version
/// may get, when it gets all, and how the roll-out ends.
#pragma once

#include <optional>
#include <string>

#include "zinniarail/rollout/Evidence.h"
#include "zinniarail/rollout/Order.h"

namespace zinniarail::rollout {

/// Bound on the requests that a bad version gets, over all instances.
struct ExposureLimits {
  /// Part of all requests between the order and its deadline; 0: roll-outs are
  /// not carried out.
  double Share = 0;
  double Slack = 0; ///< Requests beyond it.
};

/// What a step is decided by.
struct Situation {
  Order Current;
  Duration Elapsed{0}; ///< Since the order.
  Evidence Seen;       ///< Of all instances that are heard from.
  /// Since when the evidence counts, for the rate of requests.
  Duration Counted{0};
  /// For how long all instances that are heard from have had the full share
  /// in force and nothing on the old version that can't be repeated.
  Duration Settled{0};
  unsigned TargetSlots = 0; ///< Of the target's upstreams that are in service.
  unsigned OldSlots = 0;
};

/// A new status of an order.
struct Step {
  Phase State = Phase::Running;
  double Share = 0;
  std::string Why; ///< For the log.
};

/// The step that is due, if any.
std::optional<Step> nextStep(const Situation &now,
                             const ExposureLimits &limits);

/// The requests that a bad version may get in all, as far as is known now.
double exposureBound(const Situation &now, const ExposureLimits &limits);

} // namespace zinniarail::rollout
