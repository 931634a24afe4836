// A cold start counts only what its own attempts showed.

#include <boost/test/unit_test.hpp>

#include "dispatch/Service.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr unsigned AnswersOfAStep = 4; // before a second request may run

void setInService(Service &service, ServicePlan &plan, bool inService) {
  plan.Targets[0].InService = inService;
  ++plan.HomesDigest;
  replan(*service.State, plan, service.Now, service.Out);
}

} // namespace

BOOST_AUTO_TEST_CASE(anAnswerFromBeforeTheReturnWarmsNothing) {
  ServicePlan plan = makePlan(1, 4);
  Service service(plan);
  service.arrive(1, "read");
  const auto before = service.find<StartAttempt>();
  BOOST_REQUIRE(before);
  setInService(service, plan, false);
  setInService(service, plan, true);
  service.tell(AttemptEnded{before->Attempt, AttemptEnd::Answered, 200});
  service.serve(2, AnswersOfAStep - 1);

  service.arrive(10, "read");
  BOOST_TEST(service.count<StartAttempt>() == 1u);
  service.arrive(11, "read");
  BOOST_TEST(service.count<StartAttempt>() == 0u);
}

// A cancelled request may run on for a while: the upstream learns of it by a
// connection that closes, and the next request can overtake that.
BOOST_AUTO_TEST_CASE(whatAColdUpstreamRunsIsNotCancelled) {
  Service service(makePlan(1, 4));
  service.arrive(1, "read");
  const auto first = service.find<StartAttempt>();
  BOOST_REQUIRE(first);
  service.tell(AttemptSent{first->Attempt});
  service.tell(CallerGone{RequestId{1}});
  BOOST_TEST(service.count<CancelAttempt>() == 0u);
  service.arrive(2, "read");
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  service.tell(AttemptEnded{first->Attempt, AttemptEnd::Answered, 200});
  BOOST_TEST(service.count<StartAttempt>() == 1u);
}

BOOST_AUTO_TEST_CASE(whatWasNotSentYetIsCancelledAlsoThere) {
  Service service(makePlan(1, 4));
  service.arrive(1, "read");
  service.tell(CallerGone{RequestId{1}});
  BOOST_TEST(service.count<CancelAttempt>() == 1u);
}
