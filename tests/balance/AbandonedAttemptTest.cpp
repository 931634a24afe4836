#include <algorithm>
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
constexpr Instant Deadline = Start + 2s;
constexpr RequestId Request{1};

template <typename Kind> std::size_t countOf(const Actions &actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const Action &it) {
        return std::holds_alternative<Kind>(it);
      }));
}

/// An engine with one upstream, at which one request is running.
struct RunningRequest {
  explicit RunningRequest(bool idempotent) {
    ServicePlan plan;
    plan.Service = "s";
    plan.Domain = "a";
    plan.Upstreams = {{"u", "a", 4, Duration{0}, 0}};
    Tested = makeEngine(plan, Random(1, 1), 1, Start);
    RequestArrived arrival;
    arrival.Request = Request;
    arrival.Policy.Idempotent = idempotent;
    arrival.Deadline = Deadline;
    Actions actions = handle(arrival, Start);
    if (countOf<SendProbe>(actions) > 0) {
      ProbeEnded probe;
      probe.Upstream = "u";
      probe.Reached = probe.Healthy = true;
      probe.Report = LoadReport{0, 0, 4, 1};
      actions = handle(probe, Start);
    }
    BOOST_REQUIRE(countOf<StartAttempt>(actions) == 1);
  }

  Actions handle(const Event &event, Instant now) const {
    Actions actions;
    handleEvent(*Tested, event, now, actions);
    return actions;
  }

  EnginePtr Tested;
};

} // namespace

// Guards against a response without an end to a request whose caller has gone:
// the call went on, and counted as load, for as long as the upstream sent.
BOOST_DATA_TEST_CASE(attemptOfACallerThatHasGoneEndsAtItsDeadlineAtTheLatest,
                     (std::vector<bool>{true, false}), idempotent) {
  const RunningRequest it(idempotent);
  const Actions atLeaving = it.handle(CallerGone{Request}, Start + 1s);
  BOOST_TEST(countOf<CancelAttempt>(atLeaving) == (idempotent ? 1U : 0U));
  BOOST_TEST((idempotent || nextTimer(*it.Tested) == Deadline));
  const Actions atDeadline = it.handle(TimerExpired{}, Deadline);
  BOOST_TEST(countOf<CancelAttempt>(atDeadline) == (idempotent ? 0U : 1U));
}
