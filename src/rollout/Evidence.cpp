#include "zinniarail/rollout/Evidence.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::rollout {

namespace {

// Bad answers that both versions may have without being bad.
constexpr double NoiseShare = 0.02;

// A fault has at least so many bad answers, exceeds the usual part of them by
// MinExcess, and the expected number by MinDeviations standard deviations and
// ExtraBad: it is tested many times in the course of one roll-out.
constexpr std::uint64_t MinBad = 4;
constexpr double MinExcess = 0.05;
constexpr double MinDeviations = 4;
constexpr double ExtraBad = 2;

// Of a version of which a third of the answers is bad, so many show it.
constexpr std::uint64_t ConclusiveAnswers = 20;

// Factor on a route's usual time beyond which an answer counts as slow.
constexpr double SlowFactor = 2.5;
// A cold upstream takes about twice as long.
constexpr double ColdFactor = 2;

// Answers of the old version that tell its usual time.
constexpr std::uint64_t MinSamples = 5;

void add(VersionCounts &sum, const VersionCounts &it) {
  sum.Sent += it.Sent;
  sum.Ended += it.Ended;
  sum.Failed += it.Failed;
  sum.Timed += it.Timed;
  sum.Slow += it.Slow;
  sum.Good += it.Good;
  sum.GoodMicros += it.GoodMicros;
}

double partOf(std::uint64_t some, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(some) / static_cast<double>(all);
}

std::optional<Finding> compare(const std::string &route, const char *what,
                               std::uint64_t bad, std::uint64_t judged,
                               double usual) {
  const double expectedPart = std::max(usual, NoiseShare);
  const double expected = expectedPart * static_cast<double>(judged);
  const double limit =
      expected + MinDeviations * std::sqrt(expected) + ExtraBad;
  if (bad < MinBad || static_cast<double>(bad) <= limit ||
      partOf(bad, judged) <= expectedPart + MinExcess) {
    return std::nullopt;
  }
  return Finding{route, what, bad, judged, usual};
}

std::optional<Finding> judge(const std::string &route, const RouteCounts &it) {
  auto found = compare(route, "failed", it.Target.Failed, it.Target.Ended,
                       partOf(it.Old.Failed, it.Old.Ended));
  if (!found) {
    found = compare(route, "slow", it.Target.Slow, it.Target.Timed,
                    partOf(it.Old.Slow, it.Old.Timed));
  }
  return found;
}

} // namespace

void add(Evidence &sum, const Evidence &it) {
  for (const auto &[route, counts] : it.Routes) {
    RouteCounts &out = sum.Routes[route];
    add(out.Old, counts.Old);
    add(out.Target, counts.Target);
  }
  sum.OpenOld += it.OpenOld;
  sum.Share = std::min(sum.Share, it.Share);
}

RouteCounts totalOf(const Evidence &evidence) {
  RouteCounts total;
  for (const auto &[route, it] : evidence.Routes) {
    add(total.Old, it.Old);
    add(total.Target, it.Target);
  }
  return total;
}

std::string describe(const Finding &it) {
  return (it.Route.empty() ? "all routes" : it.Route) + ": " +
         std::to_string(it.Bad) + " of " + std::to_string(it.Judged) +
         " answers " + it.What + ", usually " +
         std::to_string(static_cast<int>(it.Usual * 100)) + " in 100";
}

std::optional<Finding> findFault(const Evidence &evidence) {
  for (const auto &[route, it] : evidence.Routes) {
    if (auto found = judge(route, it)) {
      return found;
    }
  }
  return judge("", totalOf(evidence));
}

bool isConclusive(const Evidence &evidence) {
  return std::all_of(
      evidence.Routes.begin(), evidence.Routes.end(), [](const auto &it) {
        const RouteCounts &counts = it.second;
        return counts.Target.Ended >=
               std::min(ConclusiveAnswers, counts.Old.Ended / 10);
      });
}

std::optional<bool> isSlow(const VersionCounts &old, Duration took,
                           bool isCold) {
  if (old.Good < MinSamples) {
    return std::nullopt;
  }
  const double usual =
      static_cast<double>(old.GoodMicros) / static_cast<double>(old.Good);
  return static_cast<double>(took.count()) >
         usual * SlowFactor * (isCold ? ColdFactor : 1);
}

} // namespace zinniarail::rollout
