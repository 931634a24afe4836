#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatch/Service.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

// What one attempt came to, and what the caller must be told of a request that
// is not idempotent and may not be tried again.
struct EndCase {
  const char *Name;
  bool Sent;
  AttemptEnd End;
  bool RunsAgain;
  Truth Told;
  bool KeyReleased;
};

std::ostream &operator<<(std::ostream &out, const EndCase &it) {
  return out << it.Name;
}

const std::vector<EndCase> Ends{
    {"not sent", false, AttemptEnd::NotSent, true, Truth::DidNotRun, true},
    {"refused unrun", true, AttemptEnd::RefusedUnrun, true, Truth::DidNotRun,
     true},
    {"broken", true, AttemptEnd::Broken, false, Truth::Unknown, false},
};

// Ends the first attempt of a write whose claim is sought.
StartAttempt endFirst(Service &service, const EndCase &it) {
  service.tell(ClaimDecided{RequestId{1}, ClaimVerdict::Granted});
  const auto first = service.find<StartAttempt>();
  BOOST_REQUIRE(first);
  if (it.Sent) {
    service.tell(AttemptSent{first->Attempt});
  }
  service.tell(AttemptEnded{first->Attempt, it.End});
  return *first;
}

} // namespace

BOOST_DATA_TEST_CASE(aWriteRunsAgainOnlyWhenItDidNotRun, Ends, it) {
  auto plan = makePlan(3);
  plan.Spec.RetryShare = 0;
  Service service(plan);
  service.arrive(1, "write");
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  BOOST_TEST(service.count<SeekClaim>() == 1u);
  endFirst(service, it);
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Outcome == it.Told));
  BOOST_TEST(service.count<ReleaseClaim>() == (it.KeyReleased ? 1u : 0u));
  BOOST_TEST(openRequests(*service.State) == 0u);
}

BOOST_DATA_TEST_CASE(aBudgetLetsItRunAgainOnlyThen, Ends, it) {
  auto plan = makePlan(3);
  plan.Spec.RetryShare = 1;
  Service service(plan);
  service.arrive(1, "write");
  const auto first = endFirst(service, it);
  const auto second = service.find<StartAttempt>();
  BOOST_TEST(second.has_value() == it.RunsAgain);
  if (second) {
    BOOST_TEST(second->Upstream != first.Upstream);
  }
}

namespace {

struct RefusalCase {
  const char *Name;
  RefusalReason Reason;
  Truth Told;
};

std::ostream &operator<<(std::ostream &out, const RefusalCase &it) {
  return out << it.Name;
}

const std::vector<RefusalCase> Refusals{
    {"no-upstream", RefusalReason::NoUpstream, Truth::DidNotRun},
    {"view-expired", RefusalReason::ViewExpired, Truth::DidNotRun},
    {"key-missing", RefusalReason::KeyMissing, Truth::DidNotRun},
    {"stopping", RefusalReason::Stopping, Truth::DidNotRun},
    {"deadline-passed", RefusalReason::DeadlinePassed, Truth::DidNotRun},
    {"key-in-use", RefusalReason::KeyInUse, Truth::Unknown},
    {"claim-unavailable", RefusalReason::ClaimUnavailable, Truth::DidNotRun},
};

Service provoke(RefusalReason reason) {
  auto plan = makePlan(2);
  for (Target &it : plan.Targets) {
    it.InService = reason != RefusalReason::NoUpstream;
  }
  Service service(plan,
                  reason == RefusalReason::ViewExpired ? Start : Start + 1h);
  if (reason == RefusalReason::Stopping) {
    service.tell(StopBegun{});
  }
  const bool late = reason == RefusalReason::DeadlinePassed;
  const bool keyed = reason != RefusalReason::KeyMissing;
  service.tell(RequestArrived{RequestId{1}, "write", keyed ? "k" : "", 1,
                              service.Now + (late ? 0s : 1s), true});
  if (reason == RefusalReason::KeyInUse) {
    service.tell(ClaimDecided{RequestId{1}, ClaimVerdict::Taken});
  }
  if (reason == RefusalReason::ClaimUnavailable) {
    service.tell(ClaimDecided{RequestId{1}, ClaimVerdict::Unavailable});
  }
  return service;
}

} // namespace

BOOST_DATA_TEST_CASE(aRefusalComesAtOnceAndIsTrue, Refusals, it) {
  const Service service = provoke(it.Reason);
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST(nameOf(refusal->Reason) == it.Name);
  BOOST_TEST((refusal->Outcome == it.Told));
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  BOOST_TEST(openRequests(*service.State) == 0u);
}
