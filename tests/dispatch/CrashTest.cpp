#include <algorithm>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
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

constexpr std::uint64_t OldLife = 1;
constexpr std::uint64_t NewLife = 2;

LoadReport inLife(std::uint64_t life) {
  LoadReport report;
  report.Incarnation = life;
  return report;
}

void answer(Service &service, const StartAttempt &attempt, std::uint64_t life) {
  service.Now += 5ms;
  service.tell(AttemptEnded{attempt.Attempt, AttemptEnd::Answered, 200, true,
                            inLife(life)});
}

/// A service that has heard from every upstream, and a request that broke two.
struct Suspected {
  Service Home = makeCrashing();
  std::vector<PeerWord> Words; ///< To the other homes.

  Suspected() {
    for (std::uint64_t id = 1000; id < 1100; ++id) {
      Home.arrive(id, "read");
      answer(Home, Home.find<StartAttempt>().value(), OldLife);
    }
    Home.tell(alike(1, 77, Home));
    for (int n = 0; n < 2; ++n) {
      breakOff(Home, Home.find<StartAttempt>().value());
      keepWords();
    }
  }

  void keepWords() {
    for (const Action &it : Home.Out) {
      if (const auto *told = std::get_if<TellHomes>(&it)) {
        Words.push_back(told->Word);
      }
    }
  }

  /// Lets a time pass in which probes end.
  void pass(Duration time, bool reached, std::uint64_t life) {
    const Instant until = Home.Now + time;
    while (Home.Now < until) {
      if (const auto probe = Home.find<SendProbe>()) {
        Home.tell(ProbeEnded{probe->Upstream, reached, inLife(life)});
        keepWords();
        continue;
      }
      Home.Now = std::clamp(nextWake(*Home.State), Home.Now + 1us, until);
      Home.tell(Woken{});
      keepWords();
    }
  }
};

std::optional<Refuse> refusalOf(Service &service, std::uint64_t id) {
  service.tell(alike(id, 77, service));
  return service.find<Refuse>();
}

struct Proof {
  const char *Name;
  bool Reached;
  std::uint64_t Life;
  bool Condemned;
};
std::ostream &operator<<(std::ostream &out, const Proof &it) {
  return out << it.Name;
}
const Proof Proofs[] = {
    {"probes find both in the life from before", true, OldLife, false},
    {"probes find both in another life", true, NewLife, true},
    {"probes do not reach them", false, 0, true},
    {"probes name no life", true, 0, true},
};

} // namespace

BOOST_DATA_TEST_CASE(brokenAnswersAreToldFromCrashes,
                     boost::unit_test::data::make(Proofs), proof) {
  Suspected suspected;
  const auto held = refusalOf(suspected.Home, 2);
  BOOST_TEST_REQUIRE(held.has_value());
  BOOST_TEST((held->Reason == RefusalReason::Held));
  BOOST_TEST((held->Outcome == Truth::DidNotRun));
  BOOST_TEST((held->RetryAfter <= 1s && held->RetryAfter > 0s));
  suspected.pass(1s, proof.Reached, proof.Life);
  const auto refusal = refusalOf(suspected.Home, 3);
  BOOST_TEST(refusal.has_value() == proof.Condemned);
  BOOST_TEST((!refusal || (refusal->Reason == RefusalReason::Quarantined &&
                           refusal->RetryAfter > 1min)));
}

BOOST_DATA_TEST_CASE(otherHomesHoldAndJudgeAlike,
                     boost::unit_test::data::make(Proofs), proof) {
  Suspected suspected;
  Service other = makeCrashing();
  const auto hear = [&] {
    other.Now = suspected.Home.Now;
    for (const PeerWord &it : std::exchange(suspected.Words, {})) {
      other.tell(it);
    }
  };
  hear();
  const auto held = refusalOf(other, 2);
  BOOST_TEST_REQUIRE(held.has_value());
  BOOST_TEST((held->RetryAfter <= 2s));
  suspected.pass(1s, proof.Reached, proof.Life);
  hear();
  const auto then = refusalOf(other, 3);
  BOOST_TEST((then && then->RetryAfter > 1min) == proof.Condemned);
  other.Now += held->RetryAfter; // No word need come for it to end.
  BOOST_TEST(refusalOf(other, 4).has_value() == proof.Condemned);
}

BOOST_AUTO_TEST_CASE(anAnswerFromBeforeTheBreakProvesNothing) {
  Service home = makeCrashing();
  for (std::uint64_t id = 1000; id < 1400; ++id) {
    home.arrive(id, "read");
    answer(home, home.find<StartAttempt>().value(), OldLife);
  }
  std::vector<StartAttempt> early; // Two on each upstream.
  for (std::uint64_t id = 2000; id < 2012; ++id) {
    home.arrive(id, "read");
    early.push_back(home.find<StartAttempt>().value());
  }
  home.tell(alike(1, 77, home));
  for (int n = 0; n < 2; ++n) {
    breakOff(home, home.find<StartAttempt>().value());
  }
  for (const StartAttempt &it : early) {
    answer(home, it, OldLife);
  }
  BOOST_TEST(refusalOf(home, 2).has_value());
}

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
