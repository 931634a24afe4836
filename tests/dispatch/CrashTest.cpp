#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatch/Service.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

Service makeCrashing() {
  auto plan = makePlan(6, 4);
  plan.Spec.RetryShare = 1;
  Service service(plan);
  return service;
}

RequestArrived alike(std::uint64_t id, std::uint64_t fingerprint,
                     const Service &service) {
  return {RequestId{id}, "read", "", fingerprint, service.Now + 1s, true};
}

void breakOff(Service &service, const StartAttempt &attempt) {
  service.Now += 1ms;
  service.tell(AttemptSent{attempt.Attempt});
  service.tell(AttemptEnded{attempt.Attempt, AttemptEnd::Broken});
}

} // namespace

BOOST_AUTO_TEST_CASE(aRequestThatCrashesTwoUpstreamsRunsNoMore) {
  Service service = makeCrashing();
  service.tell(alike(1, 77, service));
  const auto first = service.find<StartAttempt>();
  BOOST_REQUIRE(first);
  breakOff(service, *first);
  BOOST_TEST(service.count<TellHomes>() == 1u);
  const auto second = service.find<StartAttempt>();
  BOOST_REQUIRE(second);
  BOOST_TEST(second->Upstream != first->Upstream);
  breakOff(service, *second);
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  const auto refusal = service.find<Refuse>();
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Outcome == Truth::Unknown));
  service.tell(alike(2, 77, service));
  const auto again = service.find<Refuse>();
  BOOST_REQUIRE(again);
  BOOST_TEST((again->Reason == RefusalReason::Quarantined));
  BOOST_TEST((again->Outcome == Truth::DidNotRun));
  BOOST_TEST((again->RetryAfter > 1min));
}

BOOST_AUTO_TEST_CASE(itsNeighbourIsNotCondemned) {
  Service service = makeCrashing();
  service.serve(1000, 400);
  for (std::uint64_t id = 1; id <= 7; ++id) { // One upstream has two.
    service.tell(alike(id, 100 + id, service));
  }
  const auto last = service.find<StartAttempt>();
  BOOST_TEST_REQUIRE(last.has_value());
  breakOff(service, *last);
  service.tell(alike(20, 107, service));
  BOOST_TEST(service.count<Refuse>() == 0u);
  service.tell(alike(21, 101, service));
  BOOST_TEST(service.count<Refuse>() == 0u);
}

BOOST_AUTO_TEST_CASE(anotherHomesWordCondemns) {
  Service service = makeCrashing();
  PeerWord word;
  word.What = PeerWord::Kind::Quarantine;
  word.Fingerprint = 77;
  service.tell(word);
  service.tell(alike(1, 77, service));
  BOOST_TEST(service.count<StartAttempt>() == 0u);
  BOOST_TEST(service.count<Refuse>() == 1u);
}

BOOST_AUTO_TEST_CASE(aTimeoutIsNoCrash) {
  Service service = makeCrashing();
  service.tell(alike(1, 77, service));
  const auto attempt = service.find<StartAttempt>();
  BOOST_REQUIRE(attempt);
  service.tell(AttemptSent{attempt->Attempt});
  service.Now = attempt->Deadline - 1ms; // The socket's timer is coarser.
  service.tell(AttemptEnded{attempt->Attempt, AttemptEnd::Broken});
  BOOST_TEST(service.count<TellHomes>() == 0u);
}
