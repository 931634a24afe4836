#include <iostream>
#include <variant>

#include <zinniarail/balance/Balance.h>

// The engine of one service with two upstreams, fed by hand: it decides, the
// clock and the sockets would be yours.

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

balance::RequestArrived makeRequest(Instant now) {
  return {.Request = balance::RequestId{1},
          .Policy = {.Route = "lookup",
                     .Idempotent = true,
                     .MaxAttempts = 2,
                     .LatencyTarget = 200ms},
          .Fingerprint = 7,
          .Deadline = now + 1s};
}

/// Answers each health check as an idle upstream would.
/// \returns whether the request was sent.
bool perform(balance::Engine &engine, const balance::Actions &actions,
             Instant now) {
  bool sent = false;
  for (const balance::Action &it : actions) {
    if (const auto *probe = std::get_if<balance::SendProbe>(&it)) {
      std::cout << "ask " << probe->Upstream << " how it is\n";
      balance::Actions next;
      handleEvent(
          engine,
          balance::ProbeEnded{.Upstream = probe->Upstream,
                              .Reached = true,
                              .Healthy = true,
                              .Report = balance::LoadReport{.Slots = 4}},
          now, next);
      sent = perform(engine, next, now) || sent;
    } else if (const auto *start = std::get_if<balance::StartAttempt>(&it)) {
      std::cout << "send to " << start->Upstream << '\n';
      sent = true;
    }
  }
  return sent;
}

} // namespace

int main() {
  const Instant now = readClock();
  const auto engine = balance::makeEngine(makePlan(), Random(1), 1, now);
  balance::Actions actions;
  handleEvent(*engine, makeRequest(now), now, actions);
  return perform(*engine, actions, now) ? 0 : 1;
}
