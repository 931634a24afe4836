#include "zinniarail/rollout/Steps.h"

#include <algorithm>

namespace zinniarail::rollout {

namespace {

// For so long only the old version is used and the rate of requests counted.
constexpr Duration CountingTime = std::chrono::milliseconds{600};

// From the evidence of a fault until no instance sends anything more to the
// target: counts, their sum, the verdict and its way back.
constexpr Duration ReactionTime = std::chrono::milliseconds{900};

// The parts of the exposure bound that the first share may use until the second
// step. The rest is for a version that turns bad with the full share.
constexpr double FirstPartOfShare = 0.2;
constexpr double FirstPartOfSlack = 0.4;
constexpr double MaxFirstShare = 0.5;

// Requests that are still to come count for this part: there may be fewer.
constexpr double FutureFactor = 0.8;

// Parts of the time limit at which all requests may go to the target, and at
// which they must, without evidence against it: the rest is for the requests
// that the old version still runs, and for an instance that takes over.
constexpr double FullFrom = 0.6;
constexpr double FullAtLatest = 0.7;

// The target needs at least this part of the old version's slots.
constexpr double MinSlotShare = 0.5;

// For how long the full share must have been in force everywhere.
constexpr Duration SettleTime = std::chrono::milliseconds{1000};

double seconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

double rateOf(const Situation &now, const RouteCounts &total) {
  return static_cast<double>(total.Old.Sent + total.Target.Sent) /
         std::max(seconds(now.Counted), 0.1);
}

double firstShare(const Situation &now, const ExposureLimits &limits) {
  const double rate = rateOf(now, totalOf(now.Seen));
  const double limit = seconds(now.Current.Limit);
  const double budget = FirstPartOfShare * limits.Share * rate * limit +
                        FirstPartOfSlack * limits.Slack;
  const double requests = rate * limit * FullFrom;
  return requests * MaxFirstShare <= budget ? MaxFirstShare : budget / requests;
}

// Whether the bound would hold if the target turned bad now.
bool isAffordable(double share, const Situation &now,
                  const ExposureLimits &limits) {
  const RouteCounts total = totalOf(now.Seen);
  const double cost = static_cast<double>(total.Target.Sent) +
                      share * rateOf(now, total) * seconds(ReactionTime);
  return cost <= exposureBound(now, limits);
}

std::optional<Step> nextShare(const Situation &now,
                              const ExposureLimits &limits) {
  const Order &order = now.Current;
  const double part = seconds(now.Elapsed) / seconds(order.Limit);
  if (order.State == Phase::Ordered) {
    const bool counted =
        now.Counted >= std::min<Duration>(CountingTime, order.Limit / 8);
    return counted ? std::optional(Step{Phase::Running, firstShare(now, limits),
                                        "begins"})
                   : std::nullopt;
  }
  const bool hasSlots =
      now.TargetSlots > 0 && now.TargetSlots >= now.OldSlots * MinSlotShare;
  const bool isDue =
      part >= FullAtLatest || (part >= FullFrom && isConclusive(now.Seen) &&
                               isAffordable(1, now, limits));
  if (hasSlots && isDue) {
    return Step{Phase::Running, 1, "no fault seen"};
  }
  if (!isAffordable(order.Share, now, limits)) {
    return Step{Phase::Running, order.Share / 2, "more requests than expected"};
  }
  return std::nullopt;
}

} // namespace

double exposureBound(const Situation &now, const ExposureLimits &limits) {
  const RouteCounts total = totalOf(now.Seen);
  const double left =
      seconds(std::max<Duration>(now.Current.Limit - now.Elapsed, Duration{0}));
  const double all = static_cast<double>(total.Old.Sent + total.Target.Sent) +
                     FutureFactor * rateOf(now, total) * left;
  return limits.Share * all + limits.Slack;
}

std::optional<Step> nextStep(const Situation &now,
                             const ExposureLimits &limits) {
  const Order &order = now.Current;
  const bool isFinal =
      order.State == Phase::Completed || order.State == Phase::RolledBack;
  if (isFinal || order.Limit <= Duration{0}) {
    return std::nullopt;
  }
  if (const auto fault = findFault(now.Seen)) {
    return Step{Phase::RolledBack, 0, describe(*fault)};
  }
  if (order.State == Phase::Running && order.Share >= 1) {
    return now.Settled >= SettleTime
               ? std::optional(Step{Phase::Completed, 1, "no fault seen"})
               : std::nullopt;
  }
  const bool isHopeless = now.Elapsed >= order.Limit && now.TargetSlots == 0;
  return isHopeless ? Step{Phase::RolledBack, 0, "no upstream of the version"}
                    : nextShare(now, limits);
}

} // namespace zinniarail::rollout
