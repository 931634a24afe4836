#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/fleet/Fleet.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

const Instant Start{1h};

Member member(const std::string &id, unsigned weight,
              const std::string &domain = "a") {
  Member it;
  it.Record.Id = id;
  it.Record.Domain = domain;
  it.Record.CallerAddress = id + ":80";
  it.Record.PeerAddress = id + ":81";
  it.Weight = weight;
  return it;
}

Member reading(Member it, bool healthy = true) {
  it.Reading = true;
  it.Healthy = healthy;
  return it;
}

Members alone() {
  Members members;
  members.Self = member("self", 10);
  return members;
}

/// Decides for so long, hearing the others all the time.
void pass(Election &election, Members &members,
          const std::vector<Member> &others, Duration time, Instant &now) {
  for (const Instant end = now + time; now < end; now += 50ms) {
    for (const Member &it : others) {
      hearMember(members, it, now);
    }
    if (election.Now == Duty::Read) {
      members.Self.Reading = true;
    }
    decide(election, members, true, now);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(thoseOfTheOwnDomainAreAskedFirst) {
  Members members = alone();
  const auto informed = [](Member it) {
    it.Informed = true;
    return it;
  };
  hearMember(members, informed(member("elsewhere", 20, "b")), Start);
  hearMember(members, informed(member("near", 5)), Start);
  hearMember(members, member("knows-nothing", 30), Start);
  hearMember(members, informed(member("silent", 40)), Start - 2s);
  const std::vector<Member> some = informedOf(members, Start);
  BOOST_REQUIRE(some.size() == 2);
  BOOST_TEST(some[0].Record.Id == "near");
  BOOST_TEST(some[1].Record.Id == "elsewhere");
}

BOOST_AUTO_TEST_CASE(whoIsAloneReadsOnceItHasLookedAround) {
  Election election;
  Members members = alone();
  decide(election, members, false, Start);
  BOOST_TEST((election.Now == Duty::Wait));
  decide(election, members, true, Start);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_AUTO_TEST_CASE(aHealthyReaderIsFollowedAtOnce) {
  Election election;
  Members members = alone();
  hearMember(members, reading(member("r", 1)), Start);
  decide(election, members, false, Start);
  BOOST_TEST((election.Now == Duty::Follow));
  BOOST_TEST(election.Reader == "r");
}

BOOST_AUTO_TEST_CASE(aReaderOfAnotherDomainIsNot) {
  Election election;
  Members members = alone();
  hearMember(members, reading(member("r", 1, "b")), Start);
  decide(election, members, true, Start);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_AUTO_TEST_CASE(aReaderWhoseNewsCannotBeReadIsNotFollowed) {
  Election election;
  Members members = alone();
  Member other = reading(member("r", 20));
  other.Format = members.Self.Format + 1;
  hearMember(members, other, Start);
  decide(election, members, true, Start);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_DATA_TEST_CASE(theNextInLineStepsInAfterThoseBeforeIt,
                     (std::vector<unsigned>{0, 1, 3}), leaders) {
  Election election;
  Members members = alone();
  Instant now = Start;
  std::vector<Member> others{member("small", 1)};
  for (unsigned n = 0; n < leaders; ++n) {
    others.push_back(member("big" + std::to_string(n), 20 + n));
  }
  pass(election, members, others, 50ms, now);
  const Instant from = now;
  while (election.Now != Duty::Read && now < from + 10s) {
    pass(election, members, others, 50ms, now);
  }
  BOOST_TEST((now - from >= StepTime * leaders - 100ms));
  BOOST_TEST((now - from <= StepTime * leaders + 150ms));
}

// The store is away for all instances of a large failure domain: those far back
// must not ask for it one and all.
BOOST_AUTO_TEST_CASE(whoIsFarBackWaitsForThoseItOnlyHeardOf) {
  Election election;
  Members members = alone();
  Instant now = Start;
  const Member reader = reading(member("r", 20), false);
  std::vector<Member> vouched;
  for (unsigned n = 0; n < 30; ++n) {
    vouched.push_back(member("m" + std::to_string(n), 20 + n));
  }
  vouchFor(members, vouched, now);
  // Some spoke once, and nobody asks them for more.
  for (unsigned n = 0; n < 10; ++n) {
    hearMember(members, vouched[n], now);
  }
  const Instant from = now;
  while (election.Now != Duty::Read && now < from + 20s) {
    pass(election, members, {reader}, 50ms, now);
  }
  BOOST_TEST((now - from >= StepTime * 30));
}

// One that was spoken to and fell silent is waited for no more.
BOOST_AUTO_TEST_CASE(aLeadingOneThatFellSilentIsNotWaitedFor) {
  Election election;
  Members members = alone();
  Instant now = Start;
  const Member silent = member("m", 20);
  hearMember(members, silent, now);
  vouchFor(members, {silent}, now);
  noteAsked(members, "m", now);
  now += LostAfter + 50ms;
  decide(election, members, true, now);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_AUTO_TEST_CASE(aReaderThatFallsSilentIsReplaced) {
  Election election;
  Members members = alone();
  Instant now = Start;
  pass(election, members, {reading(member("r", 20))}, 1s, now);
  BOOST_REQUIRE((election.Now == Duty::Follow));
  const Instant silent = now;
  while (election.Now != Duty::Read && now < silent + 10s) {
    pass(election, members, {}, 50ms, now);
  }
  BOOST_TEST((now - silent <= LostAfter + 150ms));
}

BOOST_AUTO_TEST_CASE(aReaderWhomTheStoreFailsIsReplacedAndNotTheOtherWayRound) {
  Election election;
  Members members = alone();
  Instant now = Start;
  const Member sick = reading(member("r", 20), false);
  pass(election, members, {sick}, StepTime + 200ms, now);
  BOOST_TEST((election.Now == Duty::Read));
  members.Self.Healthy = true;
  pass(election, members, {sick}, 1s, now);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_AUTO_TEST_CASE(ofTwoReadersTheLeadingOneGoesOn) {
  Instant now = Start;
  Election leading;
  Members members = alone();
  pass(leading, members, {}, 100ms, now);
  BOOST_REQUIRE((leading.Now == Duty::Read));
  members.Self.Healthy = true;
  pass(leading, members, {reading(member("r", 1))}, 1s, now);
  BOOST_TEST((leading.Now == Duty::Read));
  pass(leading, members, {reading(member("q", 20))}, 1s, now);
  BOOST_TEST((leading.Now == Duty::Follow));
  BOOST_TEST(leading.Reader == "q");
}

BOOST_AUTO_TEST_CASE(aReaderIsKeptWhileItServes) {
  Election election;
  Members members = alone();
  Instant now = Start;
  pass(election, members, {reading(member("r", 1))}, 200ms, now);
  pass(election, members, {reading(member("r", 1)), reading(member("q", 20))},
       1s, now);
  BOOST_TEST(election.Reader == "r");
}

BOOST_AUTO_TEST_CASE(oneThatLeavesIsNotFollowed) {
  Election election;
  Members members = alone();
  Instant now = Start;
  Member leaver = reading(member("r", 20));
  leaver.Record.Leaving = true;
  pass(election, members, {leaver}, 200ms, now);
  BOOST_TEST((election.Now == Duty::Read));
}

BOOST_AUTO_TEST_CASE(allAgreeOnWhoLeads) {
  std::vector<Member> all;
  for (unsigned n = 0; n < 20; ++n) {
    all.push_back(member("m" + std::to_string(n), n % 3));
  }
  for (const Member &a : all) {
    BOOST_TEST(!leads(a, a));
    for (const Member &b : all) {
      if (a != b) {
        BOOST_TEST(leads(a, b) != leads(b, a));
        if (a.Weight > b.Weight) {
          BOOST_TEST(leads(a, b));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(whoIsVouchedForLivesUntilItIsNot) {
  Members members = alone();
  const Member far = member("far", 1);
  BOOST_TEST(vouchFor(members, {far, members.Self}, Start));
  BOOST_TEST(liveMembers(members, Start + 10s).size() == 2);
  BOOST_TEST(!vouchFor(members, {far}, Start + 10s));
  BOOST_TEST(vouchFor(members, {}, Start + 11s));
  BOOST_TEST(liveMembers(members, Start + 11s).size() == 1);
}

BOOST_AUTO_TEST_CASE(whoWasHeardLivesForAWhile) {
  Members members = alone();
  BOOST_TEST(hearMember(members, member("m", 1), Start));
  BOOST_TEST(!hearMember(members, member("m", 1), Start + 100ms));
  BOOST_TEST(liveMembers(members, Start + 100ms + LostAfter).size() == 2);
  BOOST_TEST(liveMembers(members, Start + 101ms + LostAfter).size() == 1);
  forgetSilent(members, Start + 101ms + ForgetAfter);
  BOOST_TEST(members.Others.empty());
}

BOOST_AUTO_TEST_CASE(anIntroductionIsNoSignOfLife) {
  Members members = alone();
  introduce(members, reading(member("m", 20)), Start);
  BOOST_TEST(liveMembers(members, Start).size() == 1);
  BOOST_TEST(leadingOf(members, 3, Start).size() == 1);
  noteAsked(members, "m", Start);
  Election election;
  decide(election, members, true, Start);
  BOOST_TEST((election.Now == Duty::Read));
  // It had its chance to answer.
  BOOST_TEST(leadingOf(members, 3, Start + LostAfter + 1ms).empty());
}
