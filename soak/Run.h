/// \file
/// Plays a schedule on a deployment of real processes and judges it, while it
/// runs and at its end.
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
#include "soak/Promises.h"
#include "soak/Rogue.h"
#include "soak/Schedule.h"

namespace zinniarail::soak {

/// What is played.
struct RunPlan {
  standins::DeploymentPlan Deployment;
  std::string MovingPath; ///< Of the route that configurations move.
  std::vector<Entry> Schedule;
  Duration Length = std::chrono::seconds{20};
  Bounds Limits;
  std::optional<Misdeed> Planted;
  /// Whether the run is to end now; its processes are ended all the same.
  std::function<bool()> IsStopped = [] { return false; };
};

/// What came of it.
struct RunResult {
  std::string Fault; ///< Why it could not be played; empty when it was.
  std::vector<Breach> Breaches;
  standins::CallerTally Callers;
  std::map<Incident, unsigned> Played;
};

/// One run. Used on one thread, that of its loop.
class Run {
public:
  /// \param loop outlives the run.
  Run(struct ev_loop *loop, RunPlan plan);
  ~Run();
  Run(const Run &) = delete;
  Run &operator=(const Run &) = delete;

  RunResult play();

private:
  /// What is known of an instance's process beside the deployment.
  struct ProcessState {
    bool Asked = false; ///< To end.
    std::optional<Instant> StopBy;
    std::optional<Instant> StartAt;
    bool Paused = false;
  };
  struct Later {
    Instant At{};
    std::function<void()> What;
  };

  std::string prepare();
  std::string plant(Misdeed misdeed);
  void playTraffic();
  bool waitUntilReady();
  void turn(Duration time);
  void tick();
  void begin(const Entry &entry);
  void onInstance(const Entry &entry);
  void onLink(const Entry &entry);
  void onStore(const Entry &entry);
  void onUpstream(const Entry &entry);
  void changeConfiguration();
  void evacuate(const Entry &entry);
  void drain(std::size_t upstream, Duration time);
  void crash(std::size_t upstream, Duration time, bool silently);
  void stepClock(std::size_t upstream);
  void after(Duration time, std::function<void()> what);
  std::size_t note(std::size_t instance, Trouble kind);
  void over(std::size_t instance, std::size_t span);
  void watchProcesses();
  void askVersions();
  void collect();

  struct ev_loop *Loop;
  RunPlan Plan;
  standins::Deployment Deployed;
  std::unique_ptr<Rogue> Planted;
  http::ClientPool Operators;
  std::map<http::CallId, std::pair<std::size_t, unsigned>> Asked;
  http::CallId LastCall = 0;
  std::vector<bool> Ready;
  Records Seen;
  RunResult Result;
  Instant StartedAt{};
  std::size_t Next = 0; ///< Of the schedule.
  std::vector<Later> Agenda;
  std::vector<ProcessState> Processes;
  std::map<std::pair<Incident, std::size_t>, bool> Active;
  std::map<std::size_t, bool> UpstreamBusy; ///< It is being replaced.
  std::uint64_t Version = 1;
  unsigned Lives = 0;
  Instant AskedAt{};
  ev_timer Timer{};
};

} // namespace zinniarail::soak
