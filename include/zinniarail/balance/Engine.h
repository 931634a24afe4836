/// \file
/// The engine of one service on one instance: places, queues, repeats, hedges
/// and refuses, as a deterministic function of state, event, time and random
/// draws. It owns no socket and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/balance/Budget.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// One upstream that may get new work.
struct Target {
  std::string Id;
  std::string Domain;
  unsigned Slots = 1;
  Duration ColdFor{0};         ///< When it was last heard.
  std::uint64_t StartedMs = 0; ///< Another start is another upstream.

  bool operator==(const Target &) const = default;
};

/// Bounds on what a cold upstream gets in a second.
struct ColdLimits {
  double PerSecond = 0; ///< Over all instances; 0: not bounded.
  std::size_t Sharers = 1;

  bool operator==(const ColdLimits &) const = default;
};

/// What is in force for the service on this instance.
struct ServicePlan {
  std::string Service;
  std::string Domain; ///< This instance's own.
  std::vector<Target> Targets;
  BudgetLimits Budget;
  ColdLimits Cold;
  double ProbesPerSecond = 10; ///< From here to one upstream, at most.

  bool operator==(const ServicePlan &) const = default;
};

/// All that an engine knows. Made by makeEngine; the fields are the slice's.
struct Engine;

struct EngineDelete {
  void operator()(Engine *engine) const;
};
using EnginePtr = std::unique_ptr<Engine, EngineDelete>;

/// Makes an engine.
/// \param firstAttempt numbers attempts from here on; leave room between the
/// services of one process.
EnginePtr makeEngine(ServicePlan plan, Random random,
                     std::uint64_t firstAttempt, Instant now);

/// Puts a new plan into force. What runs on upstreams that are gone from it is
/// let finish.
void replan(Engine &engine, ServicePlan plan, Instant now, Actions &out);

/// Handles one event. Appends what is to be done to \p out, in order.
void handle(Engine &engine, const Event &event, Instant now, Actions &out);

/// When to send Woken next; Instant::max() when there is nothing to wait for.
Instant nextWake(const Engine &engine);

/// Requests without their final answer.
std::size_t openRequests(const Engine &engine);

/// Requests that wait for an upstream.
std::size_t waitingRequests(const Engine &engine);

/// Repeats that may be sent now.
double retryTokens(const Engine &engine);

/// Counts since the start.
struct EngineCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t Condemned = 0;
  std::uint64_t Refused = 0;
};
const EngineCounters &countersOf(const Engine &engine);

/// The state for a dump, with stable keys.
boost::json::object describe(const Engine &engine, Instant now);

} // namespace zinniarail::balance
