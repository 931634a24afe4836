/// \file
/// What a service's engine costs: processor time for a request, and memory for
/// a service, an upstream and an open request. The slopes go into
/// docs/CAPACITY.md.
/// Usage: bench_engine [REQUESTS]

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>

#include "zinniarail/dispatch/Engine.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};
constexpr unsigned ManyServices = 500;

ServicePlan makePlan(unsigned upstreams, unsigned slots) {
  ServicePlan plan;
  plan.Spec.Name = "credencial";
  plan.Spec.Classes = {{.Name = "read"}};
  plan.Spec.QueueLimit = 1 << 20;
  for (unsigned n = 0; n < upstreams; ++n) {
    Target target;
    target.Spec.Id = "credencial-" + std::to_string(n);
    target.Spec.Address = "127.0.0.1";
    target.Spec.Domain = "serra-a";
    target.Spec.Slots = slots;
    target.Share = {slots, 220, true};
    plan.Targets.push_back(std::move(target));
  }
  plan.Spec.Upstreams.clear();
  return plan;
}

double processorMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// A closed loop: so many requests open at a time, each answered after 5 ms.
class Loop {
public:
  explicit Loop(unsigned upstreams)
      : State(
            makeService(makePlan(upstreams, 4), Start + 1000h, Random(1), 1)) {}

  double microsPerRequest(unsigned open, std::uint64_t requests) {
    for (; Open < open; ++Open) {
      arrive();
    }
    const double before = processorMicros();
    for (std::uint64_t n = 0; n < requests; ++n) {
      Now += 5ms / open;
      if (!Running.empty()) {
        answer();
      }
      arrive();
    }
    return (processorMicros() - before) / static_cast<double>(requests);
  }

private:
  void tell(const Event &event) {
    Out.clear();
    handle(*State, event, Now, Out);
    for (const Action &action : Out) {
      if (const auto *it = std::get_if<StartAttempt>(&action)) {
        Running.push_back(it->Attempt);
      }
    }
    Wake = nextWake(*State);
  }

  void arrive() {
    tell(RequestArrived{RequestId{Next++}, "read", "", Next, Now + 2s, true});
  }

  void answer() {
    const AttemptId id = Running.front();
    Running.pop_front();
    tell(AttemptSent{id});
    AttemptEnded event{id, AttemptEnd::Answered, 200, true, {}};
    event.Report.Incarnation = 1;
    tell(event);
  }

  ServiceStatePtr State;
  Instant Now = Start;
  Instant Wake{};
  std::uint64_t Next = 1;
  std::deque<AttemptId> Running;
  Actions Out;
  unsigned Open = 0;
};

double bytesPerService(unsigned upstreams) {
  std::vector<ServiceStatePtr> services;
  services.reserve(ManyServices);
  const double before = heapBytes();
  for (unsigned n = 0; n < ManyServices; ++n) {
    services.push_back(
        makeService(makePlan(upstreams, 4), Start + 1h, Random(n), 1));
  }
  return (heapBytes() - before) / ManyServices;
}

double bytesPerRequest(unsigned requests, bool running) {
  const unsigned slots = running ? requests : 0;
  ServicePlan plan = makePlan(1, slots);
  plan.Targets.front().Share.Slots = std::max(1U, slots);
  // The baseline sets no ramp, so that all of them run at once.
  plan.Policy = running ? RoutingPolicy::Random : RoutingPolicy::Homes;
  const ServiceStatePtr state =
      makeService(std::move(plan), Start + 1h, Random(1), 1);
  Actions out;
  out.reserve(16);
  const double before = heapBytes();
  for (std::uint64_t n = 0; n < requests; ++n) {
    out.clear();
    handle(*state,
           RequestArrived{RequestId{n}, "read", "order-0123456789abcdef", n,
                          Start + 3h, true},
           Start, out);
  }
  return (heapBytes() - before) / requests;
}

} // namespace

int main(int argc, char **argv) {
  const std::uint64_t requests =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200'000;
  std::printf("upstreams open us/request\n");
  for (const unsigned upstreams : {6U, 12U, 24U, 48U}) {
    for (const unsigned open : {4U, 16U, 64U}) {
      Loop loop(upstreams);
      loop.microsPerRequest(open, requests / 10); // Warms the upstreams.
      std::printf("%9u %4u %10.2f\n", upstreams, open,
                  loop.microsPerRequest(open, requests));
    }
  }
  const double few = bytesPerService(1);
  const double many = bytesPerService(25);
  std::printf("bytes/service %.0f\nbytes/upstream %.0f\n",
              few - (many - few) / 24, (many - few) / 24);
  std::printf("bytes/running request %.0f\n", bytesPerRequest(2000, true));
  std::printf("bytes/waiting request %.0f\n", bytesPerRequest(2000, false));
  return 0;
}
