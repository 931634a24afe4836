/// \file
/// Which faults and planned changes a run has, when and where: drawn from a
/// seed, the same for it every time. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::soak {

/// What happens. The order is that of nameOf.
enum class Incident : std::uint8_t {
  // Planned work.
  StopInstance, ///< SIGTERM, and a new start once it has ended.
  ReloadInstance,
  ChangeConfiguration,
  Evacuate,
  DrainUpstream, ///< It says so, serves on for a while and ends.
  // An instance.
  KillInstance,
  PauseInstance,
  CutFromStore,
  CutFromStoreOneWay,
  SilenceStoreLink,
  ResetStoreLink,
  DelayStoreLink,
  CutFromCallers,
  ResetCallerLink,
  DelayCallerLink,
  // The store.
  StoreGone,
  StoreBusy,
  StoreSilent,
  StoreGarbage,
  StoreSlow,
  StoreLosesAnswers,
  StoreForgets,
  // An upstream.
  CrashUpstream,
  CrashUpstreamSilently, ///< Its registration stays for a while.
  SlowUpstream,
  FailingUpstream,
  SheddingUpstream,
  LosingUpstream,
  CuttingUpstream,
  DoublingUpstream,
  HangingUpstream,
  LyingUpstream,
  ResetUpstreamLink,
  SilenceUpstreamLink,
  DelayUpstreamLink,
  StepUpstreamClock, ///< It starts anew and says that this was long ago.
};
constexpr std::size_t IncidentCount = 36;

const char *nameOf(Incident incident);

/// Whether operators or the platform do it on purpose.
bool isPlanned(Incident incident);

/// One of them at its time.
struct Entry {
  Incident What{};
  Duration At{}; ///< From the start of traffic.
  Duration For{};
  std::size_t Target = 0; ///< Number of the instance, upstream or domain.

  bool operator==(const Entry &) const = default;
};

/// What a schedule is drawn for.
struct Scope {
  Duration Length = std::chrono::seconds{20};
  std::size_t Instances = 6;
  std::size_t Upstreams = 8;
  std::size_t Domains = 3;
  double PerSecond = 1.2;   ///< Incidents; some come in series.
  bool OnlyPlanned = false; ///< Nothing but planned work.
};

/// Draws a schedule, in the order of time.
std::vector<Entry> drawSchedule(const Scope &scope, std::uint64_t seed);

} // namespace zinniarail::soak
