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

// The planned incidents are the first values of Incident.
constexpr std::size_t PlannedCount = 5;

// Fraction of planned work in a schedule that also has faults.
constexpr double PlannedFraction = 0.3;

// Fraction of draws that become a series: the same incident on consecutive
// targets.
constexpr double SeriesFraction = 0.25;
constexpr unsigned MaxSeriesLength = 5;

constexpr milliseconds MinActiveTime{300};
constexpr milliseconds MaxActiveTime{4000};
constexpr milliseconds MinGap{100};
constexpr milliseconds MaxGap{900};

// No incidents at the start and the end of a run, so that the checks cover the
// undisturbed deployment and its recovery.
constexpr milliseconds QuietStart{1000};
constexpr milliseconds QuietEnd{4000};

Duration drawDuration(Random &rng, milliseconds shortest,
                      milliseconds longest) {
  const auto span = static_cast<std::uint32_t>((longest - shortest).count());
  return shortest + milliseconds{drawBelow(rng, span)};
}

std::size_t countTargets(Incident kind, const ScheduleParameters &parameters) {
  if (kind == Incident::Evacuate) {
    return parameters.Domains;
  }
  const bool targetsUpstream =
      kind == Incident::DrainUpstream || kind >= Incident::CrashUpstream;
  return targetsUpstream ? parameters.Upstreams : parameters.Instances;
}

Incident drawIncident(Random &rng, bool plannedWorkOnly) {
  const bool planned = plannedWorkOnly || drawFraction(rng) < PlannedFraction;
  const std::size_t first = planned ? 0 : PlannedCount;
  const std::size_t count = planned ? PlannedCount : IncidentCount - first;
  return static_cast<Incident>(
      first + drawBelow(rng, static_cast<std::uint32_t>(count)));
}

} // namespace

const char *nameOf(Incident incident) {
  return Names[static_cast<std::size_t>(incident)];
}

bool isPlanned(Incident incident) {
  return static_cast<std::size_t>(incident) < PlannedCount;
}

std::vector<ScheduledIncident>
drawSchedule(const ScheduleParameters &parameters, std::uint64_t seed) {
  Random rng(seed);
  std::vector<ScheduledIncident> schedule;
  const Duration end = parameters.Length - QuietEnd;
  const double seconds = std::chrono::duration<double>(end).count();
  const auto incidentCount =
      static_cast<std::size_t>(parameters.IncidentsPerSecond * seconds);
  while (schedule.size() < incidentCount) {
    ScheduledIncident it;
    it.Kind = drawIncident(rng, parameters.PlannedWorkOnly);
    it.StartOffset = drawDuration(
        rng, QuietStart, std::chrono::duration_cast<milliseconds>(end));
    it.ActiveTime = drawDuration(rng, MinActiveTime, MaxActiveTime);
    const auto targets =
        static_cast<std::uint32_t>(countTargets(it.Kind, parameters));
    it.Target = drawBelow(rng, targets);
    const unsigned seriesLength = drawFraction(rng) < SeriesFraction
                                      ? 1 + drawBelow(rng, MaxSeriesLength)
                                      : 1;
    const Duration gap = drawDuration(rng, MinGap, MaxGap);
    for (unsigned n = 0; n < seriesLength && it.StartOffset < end; ++n) {
      it.ActiveTime = std::min(it.ActiveTime, end - it.StartOffset);
      schedule.push_back(it);
      it.StartOffset += gap;
      it.Target = (it.Target + 1) % targets;
    }
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const ScheduledIncident &a, const ScheduledIncident &b) {
                     return a.StartOffset < b.StartOffset;
                   });
  return schedule;
}

} // namespace zinniarail::soak
