#include "soak/Schedule.h"

#include <algorithm>
#include <array>

#include "zinniarail/core/Random.h"

namespace zinniarail::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char *, IncidentCount> Names{
    "stop-instance",
    "reload-instance",
    "change-configuration",
    "evacuate",
    "drain-upstream",
    "kill-instance",
    "pause-instance",
    "cut-from-store",
    "cut-from-store-one-way",
    "silence-store-link",
    "reset-store-link",
    "delay-store-link",
    "cut-from-callers",
    "reset-caller-link",
    "delay-caller-link",
    "store-gone",
    "store-busy",
    "store-silent",
    "store-garbage",
    "store-slow",
    "store-loses-answers",
    "store-forgets",
    "crash-upstream",
    "crash-upstream-silently",
    "slow-upstream",
    "failing-upstream",
    "shedding-upstream",
    "losing-upstream",
    "cutting-upstream",
    "doubling-upstream",
    "hanging-upstream",
    "lying-upstream",
    "reset-upstream-link",
    "silence-upstream-link",
    "delay-upstream-link",
    "step-upstream-clock"};

constexpr std::size_t PlannedCount = 5;

// Part of the incidents that are planned work, where there are others too.
constexpr double PlannedPart = 0.3;

// Part of them that come in a series, and its length at most.
constexpr double SeriesPart = 0.25;
constexpr unsigned LongestSeries = 5;

constexpr milliseconds ShortestTime{300};
constexpr milliseconds LongestTime{4000};
constexpr milliseconds ShortestGap{100};
constexpr milliseconds LongestGap{900};

// At the beginning and the end nothing happens, so that it is seen that the
// deployment works and works again.
constexpr milliseconds QuietStart{1000};
constexpr milliseconds QuietEnd{4000};

Duration drawTime(Random &draws, milliseconds least, milliseconds most) {
  const auto span = static_cast<std::uint32_t>((most - least).count());
  return least + milliseconds{drawBelow(draws, span)};
}

std::size_t targetsOf(Incident what, const Scope &scope) {
  if (what == Incident::Evacuate) {
    return scope.Domains;
  }
  const bool isUpstreams =
      what == Incident::DrainUpstream || what >= Incident::CrashUpstream;
  return isUpstreams ? scope.Upstreams : scope.Instances;
}

Incident drawIncident(Random &draws, bool onlyPlanned) {
  const bool planned = onlyPlanned || drawFraction(draws) < PlannedPart;
  const std::size_t first = planned ? 0 : PlannedCount;
  const std::size_t count = planned ? PlannedCount : IncidentCount - first;
  return static_cast<Incident>(
      first + drawBelow(draws, static_cast<std::uint32_t>(count)));
}

} // namespace

const char *nameOf(Incident incident) {
  return Names[static_cast<std::size_t>(incident)];
}

bool isPlanned(Incident incident) {
  return static_cast<std::size_t>(incident) < PlannedCount;
}

std::vector<Entry> drawSchedule(const Scope &scope, std::uint64_t seed) {
  Random draws(seed);
  std::vector<Entry> all;
  const Duration end = scope.Length - QuietEnd;
  const double seconds = std::chrono::duration<double>(end).count();
  const auto wanted = static_cast<std::size_t>(scope.PerSecond * seconds);
  while (all.size() < wanted) {
    Entry it;
    it.What = drawIncident(draws, scope.OnlyPlanned);
    it.At = drawTime(draws, QuietStart,
                     std::chrono::duration_cast<milliseconds>(end));
    it.For = drawTime(draws, ShortestTime, LongestTime);
    const auto targets = static_cast<std::uint32_t>(targetsOf(it.What, scope));
    it.Target = drawBelow(draws, targets);
    const unsigned steps = drawFraction(draws) < SeriesPart
                               ? 1 + drawBelow(draws, LongestSeries)
                               : 1;
    const Duration gap = drawTime(draws, ShortestGap, LongestGap);
    for (unsigned n = 0; n < steps && it.At < end; ++n) {
      it.For = std::min(it.For, end - it.At);
      all.push_back(it);
      it.At += gap;
      it.Target = (it.Target + 1) % targets;
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Entry &a, const Entry &b) { return a.At < b.At; });
  return all;
}

} // namespace zinniarail::soak
