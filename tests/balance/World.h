/// \file
/// Engines of one service on several instances, and the upstreams that they
/// share, as a simulation with a clock of its own: what callers get under a
/// load is counted, the same for a seed on every machine.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "zinniarail/balance/Balance.h"

namespace zinniarail::balance {

/// Requests of one kind.
struct Kind {
  std::string Name = "read";
  double PerSecond = 100; ///< Over all instances.
  Duration Work = std::chrono::milliseconds{60};
  double Spread = 0.3; ///< Of the logarithm of the work.
  Rules Treatment;
  Duration Deadline = std::chrono::milliseconds{800};
};

/// What the upstreams are like.
struct UpstreamKind {
  unsigned Count = 14;
  unsigned Slots = 4;
  unsigned QueueLimit = 8;
  bool TellsLoad = true;
  double NoiseShare = 0; ///< Part of the time that one is slow.
  double NoiseFactor = 5;
  Duration NoisePeriod = std::chrono::milliseconds{150};
  double LastSlotFactor = 1; ///< On the last slot work takes longer.
  double ColdFactor = 2;
};

/// What became of the requests that arrived in a span of time.
struct Tally {
  unsigned Asked = 0;
  unsigned InTime = 0; ///< Whole answers within the target.
  unsigned Late = 0;
  unsigned Refused = 0; ///< And it was said that they did not run.
  unsigned Failed = 0;  ///< Other ends without an upstream's answer.

  double inTime() const {
    return Asked == 0 ? 1 : static_cast<double>(InTime) / Asked;
  }
  double served() const {
    return Asked == 0 ? 1 : static_cast<double>(InTime + Late) / Asked;
  }
};

/// One upstream as it is.
struct SimulatedUpstream {
  Target Plan;
  bool Alive = true;    ///< Connections are refused when not.
  bool Silent = false;  ///< Takes requests and never answers.
  bool SaysIll = false; ///< Its health checks fail, whatever it does.
  double FailShare = 0;
  double ShedShare = 0; ///< Turned away as if full.
  double Slow = 1;      ///< Not told by its reports.
  Instant ColdUntil{};
  unsigned ColdArrivals = 0;
  std::map<std::int64_t, unsigned> ColdPerSecond; ///< By whole second.
  bool Noisy = false;
  unsigned Running = 0;
  std::deque<std::function<void()>> Waiting;
  unsigned Arrivals = 0;
  unsigned Probes = 0;
  unsigned Runs = 0;
};

/// One request as its caller sees it.
struct SimulatedRequest {
  std::size_t Instance = 0;
  std::string KindName;
  Instant Arrived{};
  Duration Target{};
  bool Idempotent = true;
  unsigned Runs = 0;
  bool Poison = false;
  std::uint64_t Fingerprint = 0;
  std::optional<Instant> AnsweredAt;
  bool Success = false;
  std::optional<Truth> RefusedAs;
  Duration RetryAfter{0};
};

/// The whole simulation.
class World {
public:
  World(std::size_t instances, UpstreamKind upstreams, std::uint64_t seed);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Requests arrive at random, from now on for so long.
  /// \param from the first instance that gets any; \p count of them do.
  void load(const Kind &kind, Duration time, std::size_t from = 0,
            std::size_t count = 0);

  /// One request at an instance.
  /// \returns its number.
  std::uint64_t ask(const Kind &kind, std::size_t instance,
                    std::uint64_t fingerprint = 0, bool poison = false);

  /// The caller of a request goes away.
  void leave(std::uint64_t request);

  /// Lets time pass.
  void run(Duration time);

  /// Puts the present upstreams into force on every instance.
  void replan();

  /// Changes something at a later time.
  void at(Duration later, std::function<void()> what);

  /// An upstream dies now: what runs there breaks off.
  void kill(std::size_t upstream);

  /// Counts the requests that arrived in a span, from the beginning of time.
  Tally tally(Duration from, Duration to, const std::string &kind = "") const;

  Instant now() const { return Clock; }
  static Instant start() { return Instant{std::chrono::hours{1}}; }

  std::vector<SimulatedUpstream> Upstreams;
  std::map<std::uint64_t, SimulatedRequest> Requests;
  ServicePlan Plan; ///< What all instances share; Targets are made by replan.
  unsigned Condemnations = 0;
  std::uint64_t Repeats = 0; ///< Arrivals beyond the first of a request.

  Engine &engine(std::size_t instance) { return *Instances[instance].Brain; }

private:
  struct Instance {
    EnginePtr Brain;
    Instant Wake = Instant::max();
  };
  struct Running {
    std::size_t Instance = 0;
    std::uint64_t Request = 0;
    std::size_t Upstream = 0;
    bool Begun = false;
    bool Over = false;
    AttemptId Attempt{};
  };

  ServicePlan planFor(std::size_t instance) const;
  void post(Instant when, std::function<void()> what);
  void tell(std::size_t instance, const Event &event);
  void perform(std::size_t instance, const Actions &actions);
  void setWake(std::size_t instance);
  void startAttempt(std::size_t instance, const StartAttempt &wanted);
  void arrive(const std::shared_ptr<Running> &attempt);
  void begin(const std::shared_ptr<Running> &attempt);
  void finish(const std::shared_ptr<Running> &attempt);
  void answer(const std::shared_ptr<Running> &attempt, AttemptEnd end,
              unsigned status);
  void next(std::size_t upstream);
  void probe(std::size_t instance, const std::string &id);
  std::size_t indexOf(const std::string &id) const;
  LoadReport reportOf(const SimulatedUpstream &it) const;
  Duration way(std::size_t instance, const SimulatedUpstream &it) const;
  void redraw();

  UpstreamKind Nature;
  Random Draws;
  Instant Clock = start();
  std::uint64_t Order = 0;
  struct Later {
    Instant When{};
    std::uint64_t Order = 0;
    std::function<void()> What;
    bool operator<(const Later &it) const {
      return std::tie(When, Order) > std::tie(it.When, it.Order);
    }
  };
  std::priority_queue<Later> Agenda;
  std::vector<Instance> Instances;
  std::map<std::uint64_t, std::shared_ptr<Running>> Attempts;
  std::map<std::uint64_t, Duration> WorkOf;     ///< By request.
  std::map<std::uint64_t, unsigned> ArrivalsOf; ///< By request.
  std::map<std::size_t, unsigned> Lives;        ///< By upstream.
  std::uint64_t LastRequest = 0;
};

} // namespace zinniarail::balance
