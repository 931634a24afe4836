/// \file
/// Checks the records of a soak run against the guarantees of the load
/// balancer. The records hold what callers and upstreams observed and which
/// disruptions the run caused. Its functions are pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller/Callers.h"
#include "upstream/Upstream.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::soak {

/// A time interval; To is Instant::max() while it has not ended.
struct Span {
  Instant From{};
  Instant To = Instant::max();
};

/// How the run disrupts an instance.
enum class Disruption : std::uint8_t {
  PlannedRestart, ///< SIGTERM, followed by a new start.
  ProcessFault,   ///< Killed or paused without warning.
  CallerLink,     ///< Faults on the link from its callers.
  StoreLink,      ///< Faults on its link to the store.
};

/// Limits of the guarantees, as the users require them, and tolerances of the
/// checks.
struct Bounds {
  /// An interval is checked only if no disruption overlaps it or the settling
  /// time before it.
  Duration SettlingTime = std::chrono::milliseconds{3000};
  /// A request that reached no upstream may be lost if its connection ends
  /// within this time after it was sent: the instance may have closed the
  /// connection before it read the request.
  Duration CloseRaceWindow = std::chrono::milliseconds{200};
  /// Time from the start of an upstream's draining to its last new request.
  Duration MaxDrainTime = std::chrono::milliseconds{2000};
  /// Time from the evacuation of a failure domain to its last new request.
  Duration MaxEvacuationTime = std::chrono::milliseconds{5000};
  /// Time from the publication of a configuration until all requests follow it.
  Duration MaxConfigurationDelay = std::chrono::milliseconds{2000};
  Duration RetryBudgetWindow = std::chrono::seconds{10};
  double RetryRatio = 0.2;        ///< Retries and hedges per request.
  double ExtraRetries = 56;       ///< Retries per window beyond RetryRatio.
  double MaxColdPerSecond = 26;   ///< Requests to an upstream in its warm-up.
  double MaxProbesPerSecond = 60; ///< Health checks of one upstream.
};

/// The service that the route with Records::MovingPath points to from MovedAt
/// until the next move.
struct RouteMove {
  Instant MovedAt{};
  std::uint64_t Version = 0;
  std::string Service;
};

/// The configuration version that an instance reported as in force.
struct VersionReport {
  std::size_t Instance = 0;
  unsigned Incarnation = 0; ///< Counts the starts of the instance.
  std::uint64_t Version = 0;
};

/// How many health checks an upstream received.
struct ProbeCount {
  std::string Upstream;
  std::uint64_t Probes = 0;
  Duration ObservedTime{}; ///< Time since the start of traffic.
};

/// How an instance's process ended.
struct ProcessExit {
  std::string Instance;
  bool WasRequested = false; ///< The run signalled it to exit.
  bool TimedOut = false;     ///< Killed after its stop timeout.
  int ExitCode = 0;
};

/// Everything that the checks of a run need.
struct Records {
  std::string MovingPath; ///< Path of the route that configurations move.
  std::map<std::string, standins::CallerRecord> Requests; ///< By request id.
  standins::ExecutionLog Executions;
  std::map<std::string, std::size_t> InstanceByAddress; ///< By caller address.
  /// By the index of the instance.
  std::map<std::size_t, std::vector<std::pair<Disruption, Span>>> Disruptions;
  std::vector<Span> StoreDisruptions;
  std::map<std::string, Instant> DrainingSince;          ///< By upstream id.
  std::vector<std::pair<std::string, Span>> Evacuations; ///< By failure domain.
  std::vector<RouteMove> RouteMoves; ///< In chronological order.
  std::vector<VersionReport> VersionReports;
  std::vector<ProbeCount> ProbeCounts;
  std::vector<ProcessExit> ProcessExits;
};

/// A guarantee that did not hold.
struct Violation {
  std::string Guarantee; ///< Its name, such as "runs-once".
  std::string Description;
};

/// Checks all guarantees.
/// \returns the violations found; empty when every guarantee held.
std::vector<Violation> checkGuarantees(const Records &records,
                                       const Bounds &bounds);

} // namespace zinniarail::soak
