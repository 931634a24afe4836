// What a caller gets when its only attempt ends with an upstream's response.
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
constexpr RequestId Request{1};

struct StatusCase {
  unsigned Status;
  bool Idempotent;
  AttemptEnd End;
  bool IsDelivered; ///< The upstream's response reaches the caller.
};

std::ostream &operator<<(std::ostream &out, const StatusCase &it) {
  return out << it.Status << (it.Idempotent ? " idempotent " : " ")
             << nameOf(it.End);
}

const std::vector<StatusCase> StatusCases{
    {200, false, AttemptEnd::Answered, true},
    {404, false, AttemptEnd::Answered, true},
    {500, false, AttemptEnd::Answered, true},
    {504, false, AttemptEnd::Answered, true},
    {408, false, AttemptEnd::Answered, false},
    {429, false, AttemptEnd::Answered, false},
    {503, false, AttemptEnd::Answered, false},
    {503, false, AttemptEnd::RefusedUnrun, false},
    {408, true, AttemptEnd::Answered, true},
    {429, true, AttemptEnd::Answered, true},
    {503, true, AttemptEnd::Answered, true}};

template <typename Kind> const Kind *find(const Actions &actions) {
  const auto it =
      std::find_if(actions.begin(), actions.end(), [](const Action &action) {
        return std::holds_alternative<Kind>(action);
      });
  return it == actions.end() ? nullptr : &std::get<Kind>(*it);
}

} // namespace

// Guards against an upstream's status that makes a caller repeat a request that
// must not run twice.
BOOST_DATA_TEST_CASE(onlyARequestThatDidNotRunIsSaidNotToHaveRun, StatusCases,
                     row) {
  ServicePlan plan;
  plan.Service = "s";
  plan.Domain = "a";
  plan.Upstreams = {{"u", "a", 4, Duration{0}, 0}};
  const EnginePtr engine = makeEngine(plan, Random(1, 1), 1, Start);
  const auto handle = [&](const Event &event) {
    Actions actions;
    handleEvent(*engine, event, Start, actions);
    return actions;
  };
  RequestArrived arrival;
  arrival.Request = Request;
  arrival.Policy.Idempotent = row.Idempotent;
  arrival.Deadline = Start + 2s;
  handle(arrival);
  ProbeEnded probe;
  probe.Upstream = "u";
  probe.Reached = probe.Healthy = true;
  probe.Report = LoadReport{0, 0, 4, 1};
  const Actions started = handle(probe);
  BOOST_REQUIRE(find<StartAttempt>(started) != nullptr);
  AttemptEnded ended{find<StartAttempt>(started)->Attempt};
  ended.End = row.End;
  ended.Status = row.Status;
  const Actions actions = handle(ended);
  BOOST_TEST((find<Deliver>(actions) != nullptr) == row.IsDelivered);
  const Refuse *refusal = find<Refuse>(actions);
  BOOST_TEST((refusal != nullptr) == !row.IsDelivered);
  if (refusal != nullptr) {
    BOOST_TEST((refusal->Outcome == Execution::DidNotRun) ==
               (row.End == AttemptEnd::RefusedUnrun));
  }
}
