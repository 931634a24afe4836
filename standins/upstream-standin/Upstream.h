/// \file
/// One upstream: slots, a bounded queue, cold start, load reports, and the
/// faults it can be told to have.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/json/object.hpp>

#include "common/HttpServer.h"
#include "common/Timer.h"
#include "upstream-standin/Faults.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// How long a request runs.
struct ServiceTimes {
  enum class Shapes : std::uint8_t { Exponential, LogNormal, Fixed };
  Shapes Shape = Shapes::Exponential;
  Duration Mean = std::chrono::milliseconds{8};
  double Sigma = 0.5; ///< Of the logarithm, for LogNormal.
};

/// What does not change while an upstream runs.
struct UpstreamSettings {
  std::string Id;
  std::string Address; ///< "ip:port"
  unsigned Slots = 4;
  unsigned QueueLimit = 16;
  ServiceTimes Times;
  ConnectionRules Connections{220, std::chrono::milliseconds{1}};
  unsigned ColdLimit = 1;  ///< Requests it bears at a time while cold.
  unsigned WarmAfter = 20; ///< Finished requests that make it warm.
  double ColdFactor = 2;   ///< Of service times while cold.
  bool StartCold = false;
  std::uint64_t Incarnation = 1;
  std::uint64_t Seed = 1;
};

struct UpstreamCounts {
  std::uint64_t Arrived = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Sheds = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t DeadlineMissed = 0;
  std::uint64_t ColdOverloads = 0;
  /// Those well after an answer or probe had said that it is cold.
  std::uint64_t ColdOverloadsTold = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Probes = 0;
  std::uint64_t HealthChecks = 0;
  unsigned MaxInFlight = 0;
  std::size_t MaxConnections = 0;
  std::int64_t NewWorkAtMs = 0; ///< Unix time; 0: never.
};

/// What the upstreams of a process count together.
struct Ledger {
  /// Runs by idempotency key.
  std::unordered_map<std::string, unsigned> KeyRuns;
  /// Hashes of the targets that arrived, to tell requests from attempts.
  std::unordered_set<std::uint64_t> Targets;
};

class Upstream {
public:
  Upstream(struct ev_loop *loop, UpstreamSettings settings, Ledger &ledger);

  /// Opens the listening socket.
  bool listen() { return Server.listen(); }
  const std::string &id() const { return Settings.Id; }
  /// Changes fault switches; "turnCold", "turnWarm" and
  /// "crash" act once.
  void change(const boost::json::object &change);
  boost::json::object describe() const;
  void resetCounts() { Counts = {}; }

private:
  struct Run;
  using RunPtr = std::shared_ptr<Run>;

  void handle(const ExchangePtr &caller);
  void handleRequest(const ExchangePtr &caller);
  void countArrival();
  void place(const RunPtr &run);
  void start(const RunPtr &run);
  void finish(const RunPtr &run);
  void reply(const RunPtr &run);
  void startQueued();
  void cancel(const RunPtr &run);
  void shed(const ExchangePtr &caller);
  void removeRunning(const RunPtr &run);
  void crash();
  void turnCold();
  void thaw();

  bool draw(double share);
  Duration drawServiceTime();
  std::string loadReport();
  Answer withReport(const ExchangePtr &caller, Answer answer);
  unsigned inFlight() const;
  const char *state() const;

  struct ev_loop *Loop;
  UpstreamSettings Settings;
  Ledger &Shared;
  UpstreamFaults Faults;
  UpstreamCounts Counts;
  Random Draws;
  NoiseSchedule Noise;

  std::list<RunPtr> Running;
  std::deque<RunPtr> Queue;
  std::deque<RunPtr> Held;   ///< Arrived while frozen.
  std::vector<RunPtr> Ended; ///< Would have finished while frozen.

  std::uint64_t Incarnation;
  bool Cold;
  bool Fallen = false; ///< Got more than it bears while cold.
  unsigned ColdDone = 0;
  Instant ColdTold{}; ///< When a caller was first told; epoch: not yet.

  std::string LastReport;
  Instant LastReportAt{};
  std::string LastAttempt; ///< The last answer, for crossed ones.
  std::string LastBody;

  Timer Restart;
  HttpServer Server;
};

} // namespace zinniarail::standins
