#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatch/Service.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

// A service of one slot, taken by request 1, with some waiting behind it.
Service makeBusy(const std::string &type, unsigned waiting) {
  auto plan = makePlan(1, 1);
  plan.Spec.QueueLimit = 2;
  Service service(plan);
  service.arrive(1, "read");
  for (unsigned n = 0; n < waiting; ++n) {
    service.arrive(2 + n, type);
  }
  return service;
}

struct ShedCase {
  const char *Waiting;
  const char *Newcomer;
  std::uint64_t Refused; ///< Which request is shed.
};

std::ostream &operator<<(std::ostream &out, const ShedCase &it) {
  return out << it.Newcomer << " behind " << it.Waiting;
}

const std::vector<ShedCase> ShedCases{
    {"sheet", "read", 3}, {"read", "sheet", 9}, {"read", "read", 9}};

} // namespace

BOOST_DATA_TEST_CASE(aFullQueueShedsTheWorst, ShedCases, it) {
  Service service = makeBusy(it.Waiting, 2);
  service.arrive(9, it.Newcomer);
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Request == RequestId{it.Refused}));
  BOOST_TEST((refusal->Reason == RefusalReason::Overloaded));
  BOOST_TEST((refusal->Outcome == Truth::DidNotRun));
  BOOST_TEST((refusal->RetryAfter > 0s));
}

BOOST_AUTO_TEST_CASE(whatWaitsAndWhatIsColdIsCounted) {
  Service it(makePlan(2, 1));
  BOOST_TEST(coldUpstreams(*it.State) == 2u);
  it.serve(1, 100);
  BOOST_TEST(coldUpstreams(*it.State) == 0u);
  for (std::uint64_t id = 200; id < 205; ++id) {
    it.arrive(id, "read");
  }
  BOOST_TEST(waitingRequests(*it.State) == 3u);
}

BOOST_AUTO_TEST_CASE(whatCannotBeServedInTimeIsRefusedAtOnce) {
  Service service = makeBusy("read", 1);
  service.arrive(9, "read", 15ms); // Two services of 10 ms are ahead.
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Reason == RefusalReason::DeadlinePassed));
  BOOST_TEST((refusal->Outcome == Truth::DidNotRun));
}

BOOST_AUTO_TEST_CASE(whatWaitsIsRefusedWhenTheViewRunsOut) {
  auto plan = makePlan(1, 1);
  Service service(plan, Start + 10ms);
  service.arrive(1, "read");
  const auto running = service.find<StartAttempt>();
  BOOST_REQUIRE(running);
  service.arrive(2, "read");
  BOOST_TEST((nextWake(*service.State) == Start + 10ms));
  service.Now = Start + 10ms;
  service.tell(Woken{});
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Request == RequestId{2}));
  BOOST_TEST((refusal->Reason == RefusalReason::ViewExpired));
  service.tell(AttemptSent{running->Attempt});
  service.tell(AttemptEnded{running->Attempt, AttemptEnd::Answered, 200});
  BOOST_TEST(service.count<Deliver>() == 1u);
}

BOOST_AUTO_TEST_CASE(aClaimGrantedAfterTheViewRanOutIsGivenBack) {
  Service service(makePlan(1), Start + 10ms);
  service.arrive(1, "write");
  service.Now = Start + 20ms;
  service.tell(ClaimDecided{RequestId{1}, ClaimVerdict::Granted});
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  BOOST_TEST(service.count<ReleaseClaim>() == 1u);
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Reason == RefusalReason::ViewExpired));
}

BOOST_AUTO_TEST_CASE(aSlowReadIsHedgedAndTheLoserCancelled) {
  auto plan = makePlan(3, 4);
  plan.Spec.HedgeShare = 0.5;
  Service service(plan);
  service.serve(1000, 40); // Until a latency is known.
  service.arrive(1, "read");
  const auto first = service.find<StartAttempt>();
  BOOST_REQUIRE(first);
  service.Now = nextWake(*service.State);
  service.tell(Woken{});
  const auto second = service.find<StartAttempt>();
  BOOST_REQUIRE(second);
  BOOST_TEST(second->Hedge);
  BOOST_TEST(second->Upstream != first->Upstream);
  service.tell(AttemptEnded{second->Attempt, AttemptEnd::Answered, 200});
  BOOST_TEST(service.count<Deliver>() == 1u);
  const auto cancelled = service.find<CancelAttempt>();
  BOOST_REQUIRE(cancelled);
  BOOST_TEST((cancelled->Attempt == first->Attempt));
}

BOOST_AUTO_TEST_CASE(anUpstreamThatFailsFastIsLeftAlone) {
  auto plan = makePlan(4, 2);
  plan.Spec.RetryShare = 1;
  Service service(plan);
  unsigned onFailing = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    service.arrive(id, "read");
    auto attempt = service.find<StartAttempt>();
    while (attempt) {
      const bool fails = attempt->Upstream == "u0";
      onFailing += fails ? 1 : 0;
      service.Now += fails ? 100us : 5ms;
      service.tell(AttemptEnded{attempt->Attempt, AttemptEnd::Answered,
                                fails ? 500U : 200U});
      attempt = service.find<StartAttempt>();
    }
    BOOST_TEST(service.count<Deliver>() == 1u);
  }
  BOOST_TEST(onFailing < 10u); // A quarter of all, were it chosen like others.
}
