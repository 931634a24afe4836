#include <iostream>
#include <variant>

#include <zinniarail/balance/Balance.h>

// Runs the engine of one service with two upstreams without a network. The
// engine only decides: the program passes it events and the time, and carries
// out its actions.

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

balance::ServicePlan makePlan() {
  balance::ServicePlan plan;
  plan.Service = "records";
  plan.Domain = "north";
  for (const char *it : {"u1", "u2"}) {
    plan.Upstreams.push_back({.Id = it, .Domain = "north", .Slots = 4});
  }
  return plan;
}

balance::RequestArrived makeArrival(Instant now) {
  return {.Request = balance::RequestId{1},
          .Policy = {.Route = "lookup",
                     .Idempotent = true,
                     .MaxAttempts = 2,
                     .LatencyTarget = 200ms},
          .Fingerprint = 7,
          .Deadline = now + 1s};
}

/// Prints the actions, and answers each health check as an idle upstream would.
/// \returns whether an attempt of the request was started.
bool performActions(balance::Engine &engine, const balance::Actions &actions,
                    Instant now) {
  bool started = false;
  for (const balance::Action &it : actions) {
    if (const auto *probe = std::get_if<balance::SendProbe>(&it)) {
      std::cout << "health check of " << probe->Upstream << "\n";
      balance::Actions next;
      handleEvent(
          engine,
          balance::ProbeEnded{.Upstream = probe->Upstream,
                              .Reached = true,
                              .Healthy = true,
                              .Report = balance::LoadReport{.Slots = 4}},
          now, next);
      started = performActions(engine, next, now) || started;
    } else if (const auto *start = std::get_if<balance::StartAttempt>(&it)) {
      std::cout << "send the request to " << start->Upstream << '\n';
      started = true;
    }
  }
  return started;
}

} // namespace

int main() {
  const Instant now = readClock();
  const auto engine = balance::makeEngine(makePlan(), Random(1), 1, now);
  balance::Actions actions;
  handleEvent(*engine, makeArrival(now), now, actions);
  return performActions(*engine, actions, now) ? 0 : 1;
}
