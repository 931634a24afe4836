#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/store/ListWatch.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;

namespace {

const Instant Start{1h};

ListWatch afterList(std::uint64_t asOf) {
  ListWatch state;
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, asOf, "", Start);
  return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(watchFollowsTheFirstList) {
  ListWatch state;
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::List));
  BOOST_TEST(needsLatestRead(state, Start));
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::None));
  noteListPage(state, 7, "", Start);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::Watch));
  BOOST_TEST(state.AsOf == 7);
  BOOST_TEST(!needsLatestRead(state, Start));
}

BOOST_AUTO_TEST_CASE(watchStartsAtTheRevisionOfTheFirstListPage) {
  ListWatch state;
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 7, "m", Start);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::List));
  BOOST_TEST(state.PageCursor == "m");
  BOOST_TEST(needsLatestRead(state, Start));
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 9, "", Start);
  BOOST_TEST(state.AsOf == 7);
}

BOOST_AUTO_TEST_CASE(nextWatchIsDelayedAfterAChange) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteWatchReply(state, 8, true, Start);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::None));
  BOOST_TEST(
      (nextCall(state, Start + WatchBatchDelay) == ListWatchCall::Watch));
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteWatchReply(state, 8, false, Start + WatchBatchDelay);
  BOOST_TEST(
      (nextCall(state, Start + WatchBatchDelay) == ListWatchCall::Watch));
}

BOOST_AUTO_TEST_CASE(listIsRepeatedAfterTheRelistInterval) {
  ListWatch state = afterList(7);
  const Instant due = Start + RelistInterval;
  BOOST_TEST((nextCall(state, due - 1ms) == ListWatchCall::Watch));
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 9, "m", due);
  BOOST_TEST(state.ListComplete); // The previous list stays valid.
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 10, "", due);
  BOOST_TEST(state.AsOf == 9);
  BOOST_TEST((nextCall(state, due) == ListWatchCall::Watch));
}

namespace {

struct AdvanceCase {
  const char *Name;
  std::uint64_t StoreRevision; ///< Shown at Start by a call about another kind.
  std::uint64_t ReportedUpTo; ///< By the watch, before the delay is over; 0: -.
  bool ListDue;               ///< In place of the watch, after the delay.
};

std::ostream &operator<<(std::ostream &out, const AdvanceCase &it) {
  return out << it.Name;
}

const std::vector<AdvanceCase> AdvanceCases{
    {"the store has not changed", 7, 0, false},
    {"the watch is silent", 9, 0, true},
    {"the watch reports everything", 9, 9, false},
    {"the watch reports a part", 9, 8, true},
    {"the watch reports more", 9, 11, false},
};

} // namespace

BOOST_DATA_TEST_CASE(silentWatchIsReplacedByAListOnceTheStoreAdvances,
                     AdvanceCases, it) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteStoreRevision(state, it.StoreRevision, Start - 1ms, Start);
  if (it.ReportedUpTo != 0) {
    noteWatchReply(state, it.ReportedUpTo, true, Start + 1ms);
    BOOST_TEST((nextCall(state, Start + 1ms + WatchBatchDelay) ==
                ListWatchCall::Watch));
    noteCallStarted(state, ListWatchCall::Watch, Start);
  }
  const Instant due = Start + MaxNotificationDelay;
  const unsigned before = state.Generation;
  BOOST_TEST((nextCall(state, due - 1us) == ListWatchCall::None));
  BOOST_TEST((nextCall(state, due) ==
              (it.ListDue ? ListWatchCall::List : ListWatchCall::None)));
  BOOST_TEST((nextCallAt(state) == (it.ListDue ? due : Instant::max())));
  if (it.ListDue) {
    noteCallStarted(state, ListWatchCall::List, Start);
    BOOST_TEST(state.Generation == before + 1); // The watch is abandoned.
  }
}

// The store shows its revision 9 and answers from an older copy.
BOOST_AUTO_TEST_CASE(listOlderThanTheStoreIsRepeatedWithTheLatestState) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteStoreRevision(state, 9, Start, Start);
  const Instant due = Start + MaxNotificationDelay;
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  BOOST_TEST(!needsLatestRead(state, due));
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST(!noteListPage(state, 8, "", due));
  BOOST_TEST(state.AsOf == 7);
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  BOOST_TEST(needsLatestRead(state, due));
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST(noteListPage(state, 9, "", due));
  BOOST_TEST(state.AsOf == 9);
  BOOST_TEST((state.CurrentAt == Start));
  BOOST_TEST((nextCall(state, due) == ListWatchCall::Watch));
}

BOOST_AUTO_TEST_CASE(cheapListOlderThanTheWatchIsNotApplied) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteWatchReply(state, 9, true, Start + RelistInterval - 1ms);
  const Instant due = Start + RelistInterval + WatchBatchDelay;
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST(!noteListPage(state, 8, "", due));
  BOOST_TEST(state.AsOf == 9);
  BOOST_TEST((nextCall(state, due) == ListWatchCall::List));
  BOOST_TEST(needsLatestRead(state, due));
}

BOOST_AUTO_TEST_CASE(cheapListOfAKnownRevisionIsNoProofThatTheViewIsCurrent) {
  ListWatch state = afterList(7);
  const Instant due = Start + RelistInterval;
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST(noteListPage(state, 7, "", due));
  BOOST_TEST((state.CurrentAt == Start));
}

// The store does not tell a watch of changes whose history is gone.
BOOST_AUTO_TEST_CASE(watchThatEndsWithoutChangesIsNoProof) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteWatchReply(state, 9, false, Start);
  BOOST_TEST(state.AsOf == 7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteStoreRevision(state, 9, Start, Start);
  BOOST_TEST(
      (nextCall(state, Start + MaxNotificationDelay) == ListWatchCall::List));
}

BOOST_AUTO_TEST_CASE(revisionsAfterARestoreStartOver) {
  ListWatch state = afterList(7);
  noteStoreRevision(state, 9, Start, Start);
  restart(state);
  noteCallStarted(state, ListWatchCall::List, Start);
  BOOST_TEST(noteListPage(state, 3, "", Start));
  BOOST_TEST(state.AsOf == 3);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::Watch));
}

BOOST_AUTO_TEST_CASE(olderWatchReplyDoesNotLowerTheRevision) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteWatchReply(state, 5, false, Start);
  BOOST_TEST(state.AsOf == 7);
}

BOOST_AUTO_TEST_CASE(staleReadsAreAvoidedAfterLostHistory) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteHistoryGone(state, Start);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::List));
  BOOST_TEST(needsLatestRead(state, Start));
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 20, "", Start + LatestReadPeriod - 2ms);
  BOOST_TEST(needsLatestRead(state, Start + LatestReadPeriod - 1ms));
  BOOST_TEST(!needsLatestRead(state, Start + LatestReadPeriod));
}

BOOST_DATA_TEST_CASE(restartAfterAFailureBeginsWithAList,
                     (std::vector<bool>{true, false}), connectionLost) {
  ListWatch state = afterList(7);
  noteCallStarted(state, ListWatchCall::Watch, Start);
  noteFailure(state, connectionLost, Start);
  BOOST_TEST((nextCall(state, Start + 1h) == ListWatchCall::None));
  const unsigned before = state.Generation;
  restart(state);
  BOOST_TEST(state.Generation == before + 1);
  BOOST_TEST((nextCall(state, Start) == ListWatchCall::List));
  BOOST_TEST(needsLatestRead(state, Start));
  noteCallStarted(state, ListWatchCall::List, Start);
  noteListPage(state, 9, "", Start);
  // A store that drops the connection of a watch may have lost its history.
  BOOST_TEST(needsLatestRead(state, Start) == connectionLost);
}

BOOST_AUTO_TEST_CASE(backoffGrowsToTheMaximum) {
  RetryState retry;
  Random rng{1};
  Instant now = Start;
  Duration total{0};
  constexpr unsigned tries = 40;
  for (unsigned n = 0; n < tries; ++n) {
    noteFailure(retry, rng, now);
    const Duration backoff = retry.NextAt - now;
    BOOST_TEST((backoff >= InitialBackoff / 2));
    BOOST_TEST((backoff <= MaxBackoff));
    total += backoff;
    now = retry.NextAt;
  }
  BOOST_TEST((total > MaxBackoff * tries / 2));
}
