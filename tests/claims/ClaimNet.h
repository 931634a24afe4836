/// \file
/// Instances that exchange claim messages in memory, over a network and a
/// store that delay, lose and repeat, with crashes, pauses and cuts. It checks
/// every grant against those before it.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/claims/Claims.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::testing {

using namespace std::chrono_literals;

/// One thing that happens to the instances.
struct Fault {
  enum class Kind : std::uint8_t {
    Crash,   ///< And start again after a while, with nothing.
    Pause,   ///< And wake with everything.
    Cut,     ///< From some others, and heal later.
    Isolate, ///< A half, with or without the store.
    Outage,  ///< Of the store.
    Leave,   ///< Planned stop, and a new process later.
  };
  Kind What = Kind::Crash;
  unsigned Who = 0;
  unsigned Length = 0; ///< In tenths of a second.
  unsigned After = 0;  ///< Since the fault before, likewise.
};

struct NetOptions {
  unsigned Nodes = 5;
  ClaimRule Broken = ClaimRule::None;
  std::uint64_t Seed = 1;
  unsigned Keys = 4;
  Duration ClaimEvery = 60ms;
  Duration WitnessLifetime = 500ms;
  std::size_t PerService = 3; ///< Less than the keys: holders get full.
};

/// A process.
struct NetNode {
  ClaimState State;
  bool Up = true;
  bool Leaving = false;
  unsigned Life = 0; ///< Rises with each crash; late callbacks are dropped.
  Instant PausedUntil{};
  std::deque<std::function<void()>> Held; ///< While paused.
  std::map<std::string, Instant> Heard;
};

class ClaimNet {
public:
  explicit ClaimNet(const NetOptions &options);

  /// Lets the faults happen, then heals everything.
  void play(const std::vector<Fault> &faults);
  void run(Duration length);
  /// Seeks a claim; the grant, if any, is checked.
  void claim(unsigned node, const std::string &key);
  /// Whether every node is granted a new key, once all is healed.
  bool everybodyServes(Duration within);

  // The faults, for directed tests.
  void crash(unsigned node, Duration length);
  void pause(unsigned node, Duration length);
  void cut(unsigned a, unsigned b, bool isCut);
  void cutStore(unsigned node, bool isCut) { StoreCut[node] = isCut; }
  void leave(unsigned node, Duration length);

  /// The nodes that hold the service's claims, by node 0's roster.
  std::vector<unsigned> holders() const;

  std::vector<std::string> Violations;
  unsigned Grants = 0;
  unsigned Refusals = 0;
  bool Outage = false;
  bool Noise = true;  ///< Loss, repeats and long delays.
  bool Quiet = false; ///< No claims of its own.
  Instant Now{1h};
  std::vector<std::unique_ptr<NetNode>> Nodes;

private:
  void at(Duration delay, std::function<void()> what);
  void start(unsigned node);
  void onNode(unsigned node, unsigned life, std::function<void()> what);
  void call(unsigned from, unsigned to, Duration timeout,
            const std::function<std::function<void()>()> &serve,
            const std::function<void()> &failed);
  void tick(unsigned node, unsigned life);
  void probe(unsigned node, unsigned life);
  void tell(unsigned node, const ClaimEvent &event);
  void act(unsigned node, const ClaimAction &action);
  void askStore(unsigned node, const std::optional<Roster> &write);
  void note(unsigned node, const DecideClaim &decided);
  void chatter();
  Duration delay();
  bool chance(double share) { return drawShare(Draws) < share; }

  NetOptions Set;
  Random Draws;
  std::multimap<Instant, std::function<void()>> Agenda;
  std::set<std::pair<unsigned, unsigned>> Cuts;
  std::map<unsigned, bool> StoreCut;
  std::optional<Roster> Stored;
  std::map<std::string, Instant> Ledger; ///< Last grant not released.
  std::map<std::pair<unsigned, RequestId>, std::string> Open;
  std::set<std::string> Served;
  std::uint64_t NextRequest = 1;
  std::uint64_t NextIncarnation = 1;
};

/// Short times, so that a schedule spans many windows.
ClaimLimits netLimits(ClaimRule broken);
constexpr Duration NetWindow = 2s;

} // namespace zinniarail::testing
