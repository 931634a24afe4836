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
  it.ElectionWeight = weight;
  return it;
}

Member reading(Member it, bool healthy = true) {
  it.Reading = true;
  it.StoreHealthy = healthy;
  return it;
}

Members onlySelf() {
  Members members;
  members.LocalMember = member("self", 10);
  return members;
}

/// Runs the election every 50 ms for the given time, with a message from each
/// of the others every time.
void runElectionFor(Election &election, Members &members,
                    const std::vector<Member> &others, Duration time,
                    Instant &now) {
  for (const Instant end = now + time; now < end; now += 50ms) {
    for (const Member &it : others) {
      recordMessageFrom(members, it, now);
    }
    if (election.CurrentDuty == Duty::Read) {
      members.LocalMember.Reading = true;
    }
    updateElection(election, members, true, now);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(membersWithSnapshotOfOwnDomainComeFirst) {
  Members members = onlySelf();
  const auto withSnapshot = [](Member it) {
    it.HasSnapshot = true;
    return it;
  };
  recordMessageFrom(members, withSnapshot(member("elsewhere", 20, "b")), Start);
  recordMessageFrom(members, withSnapshot(member("near", 5)), Start);
  recordMessageFrom(members, member("knows-nothing", 30), Start);
  recordMessageFrom(members, withSnapshot(member("silent", 40)), Start - 2s);
  const std::vector<Member> selected = membersWithSnapshot(members, Start);
  BOOST_REQUIRE(selected.size() == 2);
  BOOST_TEST(selected[0].Record.Id == "near");
  BOOST_TEST(selected[1].Record.Id == "elsewhere");
}

BOOST_AUTO_TEST_CASE(onlyInstanceReadsAfterDiscovery) {
  Election election;
  Members members = onlySelf();
  updateElection(election, members, false, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Wait));
  updateElection(election, members, true, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_AUTO_TEST_CASE(healthyReaderIsFollowedAtOnce) {
  Election election;
  Members members = onlySelf();
  recordMessageFrom(members, reading(member("r", 1)), Start);
  updateElection(election, members, false, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Follow));
  BOOST_TEST(election.Reader == "r");
}

BOOST_AUTO_TEST_CASE(readerOfAnotherDomainIsNotFollowed) {
  Election election;
  Members members = onlySelf();
  recordMessageFrom(members, reading(member("r", 1, "b")), Start);
  updateElection(election, members, true, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_AUTO_TEST_CASE(readerWithAnotherUpdateFormatIsNotFollowed) {
  Election election;
  Members members = onlySelf();
  Member other = reading(member("r", 20));
  other.UpdateFormat = members.LocalMember.UpdateFormat + 1;
  recordMessageFrom(members, other, Start);
  updateElection(election, members, true, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_DATA_TEST_CASE(candidateWaitsOneDelayPerMemberOfHigherPriority,
                     (std::vector<unsigned>{0, 1, 3}), higherMembers) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  std::vector<Member> others{member("small", 1)};
  for (unsigned n = 0; n < higherMembers; ++n) {
    others.push_back(member("big" + std::to_string(n), 20 + n));
  }
  runElectionFor(election, members, others, 50ms, now);
  const Instant from = now;
  while (election.CurrentDuty != Duty::Read && now < from + 10s) {
    runElectionFor(election, members, others, 50ms, now);
  }
  BOOST_TEST((now - from >= TakeoverDelayPerRank * higherMembers - 100ms));
  BOOST_TEST((now - from <= TakeoverDelayPerRank * higherMembers + 150ms));
}

// If the store is unreachable for all instances of a large failure domain,
// those of low priority must not all call it. An instance gets no messages from
// most members and must still wait for those that are on the reader's live
// list.
BOOST_AUTO_TEST_CASE(lowPriorityCandidateWaitsForMembersOnTheLiveList) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  const Member reader = reading(member("r", 20), false);
  std::vector<Member> listed;
  for (unsigned n = 0; n < 30; ++n) {
    listed.push_back(member("m" + std::to_string(n), 20 + n));
  }
  applyReaderLiveList(members, listed, now);
  // Some members sent one message and were never pinged.
  for (unsigned n = 0; n < 10; ++n) {
    recordMessageFrom(members, listed[n], now);
  }
  const Instant from = now;
  while (election.CurrentDuty != Duty::Read && now < from + 20s) {
    runElectionFor(election, members, {reader}, 50ms, now);
  }
  BOOST_TEST((now - from >= TakeoverDelayPerRank * 30));
}

// A candidate does not wait for a member on the live list that left a ping
// unanswered.
BOOST_AUTO_TEST_CASE(candidateDoesNotWaitForUnresponsiveMember) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  const Member unresponsive = member("m", 20);
  recordMessageFrom(members, unresponsive, now);
  applyReaderLiveList(members, {unresponsive}, now);
  recordPingTo(members, "m", now);
  now += LivenessTimeout + 50ms;
  updateElection(election, members, true, now);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_AUTO_TEST_CASE(lostReaderIsReplaced) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  runElectionFor(election, members, {reading(member("r", 20))}, 1s, now);
  BOOST_REQUIRE((election.CurrentDuty == Duty::Follow));
  const Instant lostAt = now;
  while (election.CurrentDuty != Duty::Read && now < lostAt + 10s) {
    runElectionFor(election, members, {}, 50ms, now);
  }
  BOOST_TEST((now - lostAt <= LivenessTimeout + 150ms));
}

BOOST_AUTO_TEST_CASE(readerWithoutStoreIsReplacedAndDoesNotTakeOverAgain) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  const Member unhealthy = reading(member("r", 20), false);
  runElectionFor(election, members, {unhealthy}, TakeoverDelayPerRank + 200ms,
                 now);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
  members.LocalMember.StoreHealthy = true;
  runElectionFor(election, members, {unhealthy}, 1s, now);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_AUTO_TEST_CASE(ofTwoReadersTheOneWithHigherPriorityGoesOn) {
  Instant now = Start;
  Election election;
  Members members = onlySelf();
  runElectionFor(election, members, {}, 100ms, now);
  BOOST_REQUIRE((election.CurrentDuty == Duty::Read));
  members.LocalMember.StoreHealthy = true;
  runElectionFor(election, members, {reading(member("r", 1))}, 1s, now);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
  runElectionFor(election, members, {reading(member("q", 20))}, 1s, now);
  BOOST_TEST((election.CurrentDuty == Duty::Follow));
  BOOST_TEST(election.Reader == "q");
}

BOOST_AUTO_TEST_CASE(usableReaderIsKept) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  runElectionFor(election, members, {reading(member("r", 1))}, 200ms, now);
  runElectionFor(election, members,
                 {reading(member("r", 1)), reading(member("q", 20))}, 1s, now);
  BOOST_TEST(election.Reader == "r");
}

BOOST_AUTO_TEST_CASE(leavingReaderIsNotFollowed) {
  Election election;
  Members members = onlySelf();
  Instant now = Start;
  Member leaving = reading(member("r", 20));
  leaving.Record.Leaving = true;
  runElectionFor(election, members, {leaving}, 200ms, now);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
}

BOOST_AUTO_TEST_CASE(priorityIsATotalOrderByWeight) {
  std::vector<Member> all;
  for (unsigned n = 0; n < 20; ++n) {
    all.push_back(member("m" + std::to_string(n), n % 3));
  }
  for (const Member &a : all) {
    BOOST_TEST(!hasHigherPriority(a, a));
    for (const Member &b : all) {
      if (a != b) {
        BOOST_TEST(hasHigherPriority(a, b) != hasHigherPriority(b, a));
        if (a.ElectionWeight > b.ElectionWeight) {
          BOOST_TEST(hasHigherPriority(a, b));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(memberIsLiveWhileOnTheReadersList) {
  Members members = onlySelf();
  const Member far = member("far", 1);
  BOOST_TEST(applyReaderLiveList(members, {far, members.LocalMember}, Start));
  BOOST_TEST(listLiveMembers(members, Start + 10s).size() == 2);
  BOOST_TEST(!applyReaderLiveList(members, {far}, Start + 10s));
  BOOST_TEST(applyReaderLiveList(members, {}, Start + 11s));
  BOOST_TEST(listLiveMembers(members, Start + 11s).size() == 1);
}

BOOST_AUTO_TEST_CASE(memberStaysLiveUntilTheLivenessTimeout) {
  Members members = onlySelf();
  BOOST_TEST(recordMessageFrom(members, member("m", 1), Start));
  BOOST_TEST(!recordMessageFrom(members, member("m", 1), Start + 100ms));
  BOOST_TEST(listLiveMembers(members, Start + 100ms + LivenessTimeout).size() ==
             2);
  BOOST_TEST(listLiveMembers(members, Start + 101ms + LivenessTimeout).size() ==
             1);
  removeExpired(members, Start + 101ms + RemovalTimeout);
  BOOST_TEST(members.Others.empty());
}

// The reader sends its list only when it changes.
BOOST_AUTO_TEST_CASE(memberOnTheReadersListIsNotRemovedWhileAllIsCalm) {
  Members members = onlySelf();
  applyReaderLiveList(members, {member("far", 1)}, Start);
  const Instant later = Start + 10 * RemovalTimeout;
  removeExpired(members, later);
  BOOST_TEST(listLiveMembers(members, later).size() == 2);
  applyReaderLiveList(members, {}, later);
  removeExpired(members, later + RemovalTimeout);
  BOOST_TEST(members.Others.size() == 1);
  BOOST_TEST(listLiveMembers(members, later + RemovalTimeout).size() == 1);
  removeExpired(members, later + RemovalTimeout + 1us);
  BOOST_TEST(members.Others.empty());
}

BOOST_AUTO_TEST_CASE(memberKnownFromOthersIsNotLive) {
  Members members = onlySelf();
  addIfUnknown(members, reading(member("m", 20)), Start);
  BOOST_TEST(listLiveMembers(members, Start).size() == 1);
  BOOST_TEST(topCandidates(members, 3, Start).size() == 1);
  recordPingTo(members, "m", Start);
  Election election;
  updateElection(election, members, true, Start);
  BOOST_TEST((election.CurrentDuty == Duty::Read));
  // The ping stayed unanswered.
  BOOST_TEST(topCandidates(members, 3, Start + LivenessTimeout + 1ms).empty());
}
