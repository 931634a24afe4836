// Requests of an instance that stops.
#include <algorithm>
#include <ostream>
#include <variant>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/balance/Engine.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};
constexpr unsigned Slots = 4;

ServicePlan planUntil(Instant stopsAt) {
  ServicePlan plan;
  plan.Service = "s";
  plan.Domain = "a";
  plan.Upstreams = {{"u", "a", Slots, Duration{0}, 0}};
  plan.StopsAt = stopsAt;
  return plan;
}

/// An engine with one upstream, whose slots are all in use, and requests that
/// wait. Each is assumed to take 300 ms, or 390 ms at most.
struct WaitingRequests {
  explicit WaitingRequests(unsigned count)
      : Tested(makeEngine(planUntil(Instant::max()), Random(1, 1), 1, Start)) {
    for (unsigned n = 1; n <= count; ++n) {
      arrive(n, Start);
      while (countOf<SendProbe>() > 0) {
        ProbeEnded probe;
        probe.Upstream = "u";
        probe.Reached = probe.Healthy = true;
        probe.Report = LoadReport{std::min(Running, Slots), 0, Slots, 1};
        handle(probe, Start);
      }
    }
  }

  void arrive(std::uint64_t id, Instant now) {
    RequestArrived arrival;
    arrival.Request = RequestId{id};
    arrival.Policy.LatencyTarget = 1s;
    arrival.Deadline = now + 10s;
    handle(arrival, now);
  }

  void handle(const Event &event, Instant now) {
    Output.clear();
    handleEvent(*Tested, event, now, Output);
    Running += static_cast<unsigned>(countOf<StartAttempt>());
  }

  void stop(Instant when, Instant now) {
    Output.clear();
    updatePlan(*Tested, planUntil(when), now, Output);
  }

  template <typename Kind> std::size_t countOf() const {
    return static_cast<std::size_t>(
        std::count_if(Output.begin(), Output.end(), [](const Action &it) {
          return std::holds_alternative<Kind>(it);
        }));
  }

  /// The requests that the last event refused because of the stop.
  std::size_t refused(Execution outcome) const {
    return static_cast<std::size_t>(
        std::count_if(Output.begin(), Output.end(), [&](const Action &it) {
          const auto *refusal = std::get_if<Refuse>(&it);
          return refusal != nullptr &&
                 refusal->Reason == RefusalReason::Stopping &&
                 refusal->Outcome == outcome;
        }));
  }

  EnginePtr Tested;
  Actions Output; ///< Of the last event.
  unsigned Running = 0;
};

struct StopCase {
  Duration TimeLeft;
  std::size_t MostWaiting; ///< Requests that may still be served in time.
};

std::ostream &operator<<(std::ostream &out, const StopCase &it) {
  return out << it.TimeLeft.count() << " us left";
}

const std::vector<StopCase> StopCases{{0ms, 0},
                                      {380ms, 0},
                                      {400ms, Slots},
                                      {800ms, std::size_t{2} * Slots},
                                      {60s, 1000}};

} // namespace

// Guards against a request that waits for an upstream until its instance ends.
BOOST_DATA_TEST_CASE(stopRefusesAtOnceWhatItCannotServe, StopCases, row) {
  WaitingRequests it(16);
  const std::size_t waiting = waitingRequests(*it.Tested);
  const std::size_t running = openRequests(*it.Tested) - waiting;
  BOOST_REQUIRE(waiting > 8U);
  it.stop(Start + row.TimeLeft, Start);
  const std::size_t kept = std::min(waiting, row.MostWaiting);
  BOOST_TEST(it.refused(Execution::DidNotRun) == waiting - kept);
  BOOST_TEST(it.refused(Execution::Unknown) == 0U);
  BOOST_TEST(openRequests(*it.Tested) == running + kept);
}

BOOST_AUTO_TEST_CASE(allRequestsHaveAnAnswerWhenTheStopIsOver) {
  WaitingRequests it(16);
  const Instant end = Start + 800ms;
  it.stop(end, Start);
  const std::size_t waiting = waitingRequests(*it.Tested);
  const std::size_t running = openRequests(*it.Tested) - waiting;
  std::size_t unrun = 0;
  while (nextTimer(*it.Tested) < end) {
    it.handle(TimerExpired{}, nextTimer(*it.Tested));
    unrun += it.refused(Execution::DidNotRun);
  }
  BOOST_TEST((nextTimer(*it.Tested) == end));
  it.handle(TimerExpired{}, end);
  unrun += it.refused(Execution::DidNotRun);
  BOOST_TEST(unrun == waiting);
  BOOST_TEST(it.refused(Execution::Unknown) == running);
  BOOST_TEST(openRequests(*it.Tested) == 0U);
  it.arrive(100, end + 1ms);
  BOOST_TEST(it.refused(Execution::DidNotRun) == 1U);
}
