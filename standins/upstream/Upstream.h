/// \file
/// An upstream as the platform's page describes it: slots and a queue, load
/// reports, health, coldness, its registration in the store, and the faults
/// that it can be told to have. What ran where stands in a ledger that all
/// share.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ev.h>

#include "http/Server.h"
#include "store/Store.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// What ran, by the caller's request id.
struct Ledger {
  struct Entry {
    unsigned Begun = 0;
    unsigned Finished = 0;
    std::string LastBy; ///< The upstream that began it last.
    std::string Service;
    Instant BegunAt{};
  };
  /// A request that reached the upstream that it was meant for, run or not.
  struct Arrival {
    std::string Request;
    std::string Upstream;
    std::string Service;
    std::string Domain;
    Instant At{};
    bool Cold = false; ///< The upstream was.
  };
  std::map<std::string, Entry> Requests;
  std::vector<Arrival> Arrivals; ///< In the order of time.
};

/// What an upstream is.
struct UpstreamNature {
  std::string Service;
  std::string Domain;
  std::string Address;    ///< "ip:port" that it listens on.
  std::string Registered; ///< "ip:port" that it registers; empty: Address.
  unsigned Slots = 4;
  unsigned QueueLimit = 8;
  Duration Work = std::chrono::milliseconds{20};
  double Spread = 0.3;
  Duration Warmup{0}; ///< Cold for so long after each start.
};

/// What it suffers. Change them at any time.
struct UpstreamFaults {
  double Slow = 1;         ///< Times the usual work.
  double FailShare = 0;    ///< 500 after the run.
  double ShedShare = 0;    ///< Turned away though there is room.
  double LoseShare = 0;    ///< Runs, and the connection breaks.
  double CutShare = 0;     ///< Runs, and half of the body is sent.
  double ExtraShare = 0;   ///< Answers, and answers again.
  bool Silent = false;     ///< Takes requests and never answers.
  bool HealthLies = false; ///< Says that it is ill.
  std::chrono::milliseconds ClockAhead{0}; ///< Of the start that it tells.
};

/// Used on one thread, that of its loop.
class Upstream {
public:
  Upstream(struct ev_loop *loop, Store &registry, Ledger &ledger,
           UpstreamNature nature, std::string id, std::uint64_t seed);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  /// Listens and registers itself.
  bool start();

  /// Ends without a word, as by SIGKILL; what runs is lost.
  /// \param silently keeps its registration, as one that lapses later does.
  void crash(bool silently);

  /// Starts again, cold, as another upstream at the same address.
  bool restart(const std::string &id);

  /// Says that it is about to leave; serves on.
  void drain();

  /// Removes its registration.
  void leave();

  const std::string &id() const { return Id; }
  const std::string &registeredAddress() const {
    return Nature.Registered.empty() ? Nature.Address : Nature.Registered;
  }
  std::uint64_t probes() const { return Probes; }
  bool isAlive() const { return Server != nullptr; }
  unsigned running() const { return Running; }
  Instant lastBegun() const { return LastBegun; }

  UpstreamFaults Faults;
  UpstreamNature Nature;

private:
  struct Run {
    http::ExchangeId Exchange = 0;
    http::Request Request;
    std::string RequestId;
    Instant Ends{};
    bool Begun = false;
  };

  void serve(http::ExchangeId id, http::Request request);
  void answerHealth(http::ExchangeId id);
  void refuse(http::ExchangeId id, unsigned status);
  void place(Run run);
  void begin(Run run);
  void finish(const Run &run);
  void cancel(http::ExchangeId id);
  void startWaiting();
  void tick();
  void publish(const char *state);
  std::string load() const;
  bool draw(double share);
  bool isCold() const;

  struct ev_loop *Loop;
  Store &Registry;
  Ledger &Done;
  std::string Id;
  Random Draws;
  ev_timer Timer{};
  std::unique_ptr<http::Server> Server;
  std::list<Run> Runs;
  std::deque<Run> Waiting;
  unsigned Running = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Probes = 0; ///< Health checks, over all its lives.
  std::int64_t BornMs = 0;
  Instant ColdUntil{};
  Instant LastBegun{};
};

} // namespace zinniarail::standins
