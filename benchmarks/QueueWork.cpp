// Measures the processor time and the searches for an upstream that an event
// costs while requests wait for upstreams that are full.
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>

#include "zinniarail/balance/Engine.h"

using namespace zinniarail;
using namespace zinniarail::balance;

namespace {

constexpr Instant Start{std::chrono::seconds{10}};
constexpr unsigned Slots = 4;
constexpr std::uint64_t Events = 4000;

EnginePtr makeFullService(unsigned upstreams) {
  ServicePlan plan;
  plan.Service = "s";
  plan.Domain = "a";
  for (unsigned n = 0; n < upstreams; ++n) {
    plan.Upstreams.push_back(
        {"u" + std::to_string(n), "a", Slots, Duration{0}, 0});
  }
  EnginePtr engine = makeEngine(plan, Random(1, 1), 1, Start);
  for (const PlannedUpstream &it : plan.Upstreams) {
    ProbeEnded probe;
    probe.Upstream = it.Id;
    probe.Reached = probe.Healthy = true;
    probe.Report = LoadReport{Slots, 0, Slots, 1};
    Actions actions;
    handleEvent(*engine, probe, Start, actions);
  }
  return engine;
}

void measure(unsigned upstreams, std::size_t length) {
  const EnginePtr engine = makeFullService(upstreams);
  std::uint64_t arrived = 0;
  std::uint64_t gone = 0;
  const auto handle = [&](const Event &event) {
    Actions actions;
    handleEvent(*engine, event, Start, actions);
  };
  const auto arrive = [&] {
    RequestArrived arrival;
    arrival.Request = RequestId{++arrived};
    arrival.Deadline = Start + std::chrono::seconds{10};
    handle(arrival);
  };
  while (waitingRequests(*engine) < length) {
    arrive();
  }
  const std::uint64_t before = countersOf(*engine).Placements;
  const std::clock_t start = std::clock();
  for (std::uint64_t n = 0; n < Events; n += 2) {
    handle(CallerGone{RequestId{++gone}});
    arrive();
  }
  const double seconds =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  std::printf("upstreams %u, queue %zu: %.1f us and %.2f searches an event\n",
              upstreams, length, seconds * 1e6 / Events,
              static_cast<double>(countersOf(*engine).Placements - before) /
                  Events);
}

} // namespace

int main() {
  constexpr unsigned upstreams = 257;
  for (const std::size_t length : {16U, 256U, 4096U}) {
    measure(upstreams, length);
  }
  return 0;
}
