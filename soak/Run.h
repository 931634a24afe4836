/// \file
/// Runs a schedule of incidents on a deployment of real processes and checks
/// the guarantees, periodically during the run and once after it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ev.h>

#include "deployment/Deployment.h"
#include "soak/Guarantees.h"
#include "soak/MisbehavingProxy.h"
#include "soak/Schedule.h"

namespace zinniarail::soak {

/// The settings of a run.
struct RunPlan {
  standins::DeploymentPlan Deployment;
  std::string MovingPath; ///< Path of the route that configurations move.
  std::vector<ScheduledIncident> Schedule;
  Duration Length = std::chrono::seconds{20};
  Bounds Limits;
  std::optional<Misbehaviour> InjectedMisbehaviour;
  /// Returns whether the run must end early. The run still stops its
  /// processes.
  std::function<bool()> ShouldStop = [] { return false; };
};

/// The outcome of a run.
struct RunResult {
  std::string Error; ///< Why the run did not complete; empty if it did.
  std::vector<Violation> Violations;
  standins::CallerTally Callers;
  std::map<Incident, unsigned> IncidentCounts;
};

/// One run. Used only on the thread of its event loop.
class Run {
public:
  /// \param loop event loop; it must outlive the run.
  Run(struct ev_loop *loop, RunPlan plan);
  ~Run();
  Run(const Run &) = delete;
  Run &operator=(const Run &) = delete;

  /// Starts the deployment, runs traffic and incidents, and checks the records.
  RunResult execute();

private:
  /// State of an instance's process that the deployment does not track.
  struct ProcessState {
    bool ExitRequested = false;          ///< The run sent SIGTERM or SIGKILL.
    std::optional<Instant> StopDeadline; ///< Process is killed after it.
    std::optional<Instant> RestartAt;
    bool Paused = false;
  };
  /// An action that tick() runs once its time has come.
  struct TimedAction {
    Instant DueAt{};
    std::function<void()> Action;
  };

  std::string prepare();
  std::string injectMisbehaviour(Misbehaviour misbehaviour);
  void runTraffic();
  bool waitUntilReady();
  void runLoop(Duration duration);
  void tick();
  void startIncident(const ScheduledIncident &incident);
  void disruptInstance(const ScheduledIncident &incident);
  void disruptLink(const ScheduledIncident &incident);
  void disruptStore(const ScheduledIncident &incident);
  void disruptUpstream(const ScheduledIncident &incident);
  void changeConfiguration();
  void evacuateDomain(const ScheduledIncident &incident);
  void drainUpstream(std::size_t upstream, Duration extraTime);
  void crashUpstream(std::size_t upstream, Duration downTime,
                     bool keepRegistration);
  void stepUpstreamClock(std::size_t upstream);
  void runAfter(Duration delay, std::function<void()> action);
  /// \returns the disruption's index, for endDisruption.
  std::size_t beginDisruption(std::size_t instance, Disruption kind);
  void endDisruption(std::size_t instance, std::size_t index);
  void superviseProcesses();
  void requestVersions();
  void collectRecords();

  struct ev_loop *Loop;
  RunPlan Plan;
  standins::Deployment Deployed;
  std::unique_ptr<MisbehavingProxy> Proxy;
  http::ClientPool OperatorClient;
  /// The instance and incarnation that each version request was sent to.
  std::map<http::CallId, std::pair<std::size_t, unsigned>> PendingVersionCalls;
  http::CallId LastCall = 0;
  std::vector<bool> Ready; ///< By instance: whether it reported a version.
  Records Recorded;
  RunResult Result;
  Instant StartedAt{};          ///< Start of traffic; Instant::max() before it.
  std::size_t NextIncident = 0; ///< Index into the schedule.
  std::vector<TimedAction> TimedActions;
  std::vector<ProcessState> Processes;
  std::map<std::pair<Incident, std::size_t>, bool> ActiveIncidents;
  std::map<std::size_t, bool> RestartPending; ///< By upstream index.
  std::uint64_t Version = 1;
  unsigned UpstreamRestarts = 0;
  Instant VersionsRequestedAt{};
  ev_timer Timer{};
};

} // namespace zinniarail::soak
