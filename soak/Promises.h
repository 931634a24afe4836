/// \file
/// Judges a run by what callers and upstreams saw and what was done to whom:
/// each promise of the product, as a pure function of the records.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller/Callers.h"
#include "upstream/Upstream.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::soak {

/// A span of time; the end of one that goes on is Instant::max().
struct Span {
  Instant From{};
  Instant To = Instant::max();
};

/// What is done to an instance.
enum class Trouble : std::uint8_t {
  Planned, ///< It is stopped and started.
  Process, ///< It is killed or paused.
  Callers, ///< The way from its callers suffers.
  Store,   ///< Its way to the store does.
};

/// The times within which the users want things done.
struct Bounds {
  /// Before a moment, without trouble, for a bound to hold.
  Duration Stable = std::chrono::milliseconds{3000};
  /// A request that was read for longer is owed an answer.
  Duration LossSlack = std::chrono::milliseconds{200};
  Duration Drain = std::chrono::milliseconds{2000};
  Duration Evacuation = std::chrono::milliseconds{5000};
  Duration Configuration = std::chrono::milliseconds{2000};
  Duration BudgetWindow = std::chrono::seconds{10};
  double RetryRatio = 0.2;
  double ExtraRetries = 56;
  double ColdPerSecond = 26;
  double ProbesPerSecond = 60;
};

/// Which service had the route that moves, from when on.
struct RouteMove {
  Instant At{};
  std::uint64_t Version = 0;
  std::string Service;
};

/// What an instance said that it has in force.
struct VersionSeen {
  std::size_t Instance = 0;
  unsigned Start = 0; ///< Which of its processes said so.
  std::uint64_t Version = 0;
};

/// An upstream's health checks.
struct ProbeCount {
  std::string Upstream;
  std::uint64_t Probes = 0;
  Duration Lived{};
};

/// How an instance's process ended.
struct ProcessEnd {
  std::string Instance;
  bool Asked = false;   ///< By a signal of the run.
  bool Overdue = false; ///< It had to be killed after its grace time.
  int Code = 0;
};

/// All that a run leaves to be judged.
struct Records {
  std::string MovingPath; ///< Of the route that configurations move.
  std::map<std::string, standins::CallerRecord> Requests; ///< By their id.
  standins::Ledger Done;
  std::map<std::string, std::size_t> InstanceOf; ///< By caller address.
  std::map<std::size_t, std::vector<std::pair<Trouble, Span>>> Troubles;
  std::vector<Span> StoreTrouble;
  std::map<std::string, Instant> LeavingSince; ///< Of upstreams.
  std::vector<std::pair<std::string, Span>> DomainsOut;
  std::vector<RouteMove> Moves; ///< In the order of time.
  std::vector<VersionSeen> Versions;
  std::vector<ProbeCount> Probes;
  std::vector<ProcessEnd> Ends;
};

/// A promise that was broken.
struct Breach {
  std::string Promise;
  std::string What;
};

/// Judges all promises.
std::vector<Breach> judge(const Records &records, const Bounds &bounds);

} // namespace zinniarail::soak
