/// \file
/// Decides whether this instance can reach any upstream at all, from the calls
/// that upstreams answer and those that they don't.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// How long a reach check waits for an answer.
constexpr Duration ReachCheckTimeout = std::chrono::milliseconds{150};

/// What a call to an upstream is for.
enum class CallPurpose : std::uint8_t {
  HealthCheck, ///< Upstreams answer it at once.
  Request,     ///< May take as long as the caller waits.
};

/// Calls of one purpose.
struct CallSilence {
  std::size_t Pending = 0; ///< Calls in flight.
  /// Since when calls were in flight without any answer from an upstream; max:
  /// none is in flight.
  Instant Since = Instant::max();
};

/// What is known of the path to the upstreams.
struct Reach {
  /// False while no upstream can be reached.
  bool AnyReachable = true;
  CallSilence HealthChecks;
  CallSilence Requests;
  /// Upstreams whose calls failed since the last answer of any upstream.
  std::set<std::string> FailedUpstreams;
  bool IsChecking = false;    ///< A reach check is under way.
  bool CheckAnswered = false; ///< An upstream answered since it started.
  Instant CheckEndsAt{};      ///< When the reach check under way ends.
  std::size_t PendingCheckCalls = 0;
  unsigned FailedChecks = 0; ///< Reach checks since the last answer.
  Instant NextCheckAt{};     ///< No reach check starts before.
};

/// What to do about the path to the upstreams.
enum class ReachStep : std::uint8_t {
  None,
  /// Send health checks to nextCheckSize upstreams, each on a new connection:
  /// kept ones may be dead although the upstream can be reached.
  StartCheck,
  EndCheck, ///< Cancel the calls of the reach check.
};

/// Records that a call was sent.
void recordCallStart(Reach &reach, CallPurpose purpose, Instant now);

/// Records that a call ended without an answer.
/// \param upstream the upstream that failed to answer; empty if the call was
/// cancelled.
void recordCallFailure(Reach &reach, CallPurpose purpose,
                       const std::string &upstream);

/// Records that an upstream answered a call, whatever the answer.
void recordCallAnswer(Reach &reach, CallPurpose purpose, Instant now);

/// Number of upstreams that the next reach check calls.
std::size_t nextCheckSize(const Reach &reach);

/// Records that a reach check was started.
/// \param calls number of its calls; 0 if there is no upstream to call.
void recordCheckStart(Reach &reach, std::size_t calls, Instant now);

/// Records that a call of the reach check under way ended.
void recordCheckCallEnd(Reach &reach, bool answered, Instant now);

/// The next step. EndCheck also updates AnyReachable.
ReachStep nextReachStep(Reach &reach, Instant now);

/// When to call nextReachStep next; max: only after a further record.
Instant nextReachTime(const Reach &reach);

} // namespace zinniarail::balance
