/// \file
/// The random schedule of a run's faults and planned work: which, when and
/// where. The same seed always gives the same schedule.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::soak {

/// A fault or a piece of planned work. The values are in the order of the
/// name table of nameOf, and code compares them: keep the groups together.
enum class Incident : std::uint8_t {
  // Planned work.
  StopInstance,        ///< SIGTERM, and a new start after its exit.
  ReloadInstance,      ///< SIGHUP.
  ChangeConfiguration, ///< Moves a route to another service.
  Evacuate,            ///< Takes a failure domain out of service.
  /// Registers as draining, continues to serve, then restarts with a new id.
  DrainUpstream,
  // Faults of an instance and its links.
  KillInstance,       ///< SIGKILL, and a new start.
  PauseInstance,      ///< SIGSTOP, later SIGCONT.
  CutFromStore,       ///< Its link to the store holds back all bytes.
  CutFromStoreOneWay, ///< Holds back only the store's responses.
  SilenceStoreLink,   ///< Open connections stop passing bytes.
  ResetStoreLink,
  DelayStoreLink,
  CutFromCallers, ///< Its link to the callers holds back all bytes.
  ResetCallerLink,
  DelayCallerLink,
  // Faults of the store.
  StoreGone,         ///< 503 for each call.
  StoreBusy,         ///< 429 for each call.
  StoreSilent,       ///< No responses.
  StoreGarbage,      ///< Bytes that are no HTTP response.
  StoreSlow,         ///< Delayed responses.
  StoreLosesAnswers, ///< Some writes are applied without a response.
  StoreForgets,      ///< Drops its history and ends all watches.
  // Faults of an upstream and its link.
  CrashUpstream,
  CrashUpstreamSilently, ///< Its registration stays until the restart.
  SlowUpstream,
  FailingUpstream,  ///< Runs some requests, then responds 500.
  SheddingUpstream, ///< Refuses some requests though it has capacity.
  LosingUpstream,   ///< Runs some requests, then closes the connection.
  CuttingUpstream,  ///< Truncates some response bodies; resets uploads.
  DoublingUpstream, ///< Sends some responses twice.
  HangingUpstream,  ///< Accepts requests and never responds.
  LyingUpstream,    ///< Fails its health checks although it serves.
  ResetUpstreamLink,
  SilenceUpstreamLink, ///< Open connections stop passing bytes.
  DelayUpstreamLink,
  StepUpstreamClock, ///< Restarts and reports a start time in the past.
};
constexpr std::size_t IncidentCount = 36;

const char *nameOf(Incident incident);

/// Whether the incident is planned work of operators or the platform, not a
/// fault.
bool isPlanned(Incident incident);

/// An incident with its time and target.
struct ScheduledIncident {
  Incident Kind{};
  Duration StartOffset{}; ///< Time since the start of traffic.
  Duration ActiveTime{};  ///< From the start of the fault to its removal.
  std::size_t Target = 0; ///< Index of the instance, upstream or domain.

  bool operator==(const ScheduledIncident &) const = default;
};

/// What a schedule depends on besides the seed.
struct ScheduleParameters {
  Duration Length = std::chrono::seconds{20};
  std::size_t Instances = 6;
  std::size_t Upstreams = 8;
  std::size_t Domains = 3;
  double IncidentsPerSecond = 1.2; ///< A series of incidents may exceed it.
  bool PlannedWorkOnly = false;    ///< Draws no faults.
};

/// Draws a schedule of incidents, in chronological order.
std::vector<ScheduledIncident>
drawSchedule(const ScheduleParameters &parameters, std::uint64_t seed);

} // namespace zinniarail::soak
