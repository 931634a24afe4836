#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/store/Feed.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;

namespace {

const Instant Start{1h};

Feed watching(std::uint64_t asOf) {
  Feed feed;
  noteStart(feed);
  noteListed(feed, asOf, "", Start);
  return feed;
}

} // namespace

BOOST_AUTO_TEST_CASE(aListComesFirstAndThenWatches) {
  Feed feed;
  BOOST_TEST((nextCall(feed, Start) == FeedCall::List));
  BOOST_TEST(needsLatest(feed, Start));
  noteStart(feed);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::None));
  noteListed(feed, 7, "", Start);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::Watch));
  BOOST_TEST(feed.AsOf == 7);
  BOOST_TEST(!needsLatest(feed, Start));
}

BOOST_AUTO_TEST_CASE(aWatchBeginsAtTheFirstPagesRevision) {
  Feed feed;
  noteStart(feed);
  noteListed(feed, 7, "m", Start);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::List));
  BOOST_TEST(feed.After == "m");
  BOOST_TEST(needsLatest(feed, Start));
  noteStart(feed);
  noteListed(feed, 9, "", Start);
  BOOST_TEST(feed.AsOf == 7);
}

BOOST_AUTO_TEST_CASE(changesInQuickSuccessionAreGathered) {
  Feed feed = watching(7);
  noteStart(feed);
  noteWatched(feed, 8, true, Start);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::None));
  BOOST_TEST((nextCall(feed, Start + GatherPause) == FeedCall::Watch));
  noteStart(feed);
  noteWatched(feed, 8, false, Start + GatherPause);
  BOOST_TEST((nextCall(feed, Start + GatherPause) == FeedCall::Watch));
}

BOOST_AUTO_TEST_CASE(aListIsReadAgainForWhatAWatchMissed) {
  Feed feed = watching(7);
  const Instant due = Start + RelistPause;
  BOOST_TEST((nextCall(feed, due - 1ms) == FeedCall::Watch));
  BOOST_TEST((nextCall(feed, due) == FeedCall::List));
  BOOST_TEST(needsLatest(feed, due));
  noteStart(feed);
  noteListed(feed, 9, "m", due);
  BOOST_TEST(feed.Watches); // The picture stays complete meanwhile.
  BOOST_TEST((nextCall(feed, due) == FeedCall::List));
  noteStart(feed);
  noteListed(feed, 10, "", due);
  BOOST_TEST(feed.AsOf == 9);
  BOOST_TEST((nextCall(feed, due) == FeedCall::Watch));
}

BOOST_AUTO_TEST_CASE(aRevisionNeverGoesBack) {
  Feed feed = watching(7);
  noteStart(feed);
  noteWatched(feed, 5, false, Start);
  BOOST_TEST(feed.AsOf == 7);
}

BOOST_AUTO_TEST_CASE(lostHistoryAsksForACurrentListAndForNoCheapReads) {
  Feed feed = watching(7);
  noteStart(feed);
  noteHistoryGone(feed, Start);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::List));
  BOOST_TEST(needsLatest(feed, Start));
  noteStart(feed);
  noteListed(feed, 20, "", Start + LagTime - 2ms);
  BOOST_TEST(needsLatest(feed, Start + LagTime - 1ms));
  BOOST_TEST(!needsLatest(feed, Start + LagTime));
}

BOOST_DATA_TEST_CASE(afterAFailureTheListIsReadAnew,
                     (std::vector<bool>{true, false}), cut) {
  Feed feed = watching(7);
  noteStart(feed);
  noteFailure(feed, cut, Start);
  BOOST_TEST((nextCall(feed, Start + 1h) == FeedCall::None));
  const unsigned before = feed.Generation;
  restart(feed);
  BOOST_TEST(feed.Generation == before + 1);
  BOOST_TEST((nextCall(feed, Start) == FeedCall::List));
  BOOST_TEST(needsLatest(feed, Start));
  noteStart(feed);
  noteListed(feed, 9, "", Start);
  // A store that cuts a watch may have dropped its history.
  BOOST_TEST(needsLatest(feed, Start) == cut);
}

BOOST_AUTO_TEST_CASE(pausesGrowUpToTheLongest) {
  Retry retry;
  Random draws{1};
  Instant now = Start;
  Duration all{0};
  constexpr unsigned tries = 40;
  for (unsigned n = 0; n < tries; ++n) {
    noteFailure(retry, draws, now);
    const Duration pause = retry.NextAt - now;
    BOOST_TEST((pause >= FirstPause / 2));
    BOOST_TEST((pause <= LongestPause));
    all += pause;
    now = retry.NextAt;
  }
  BOOST_TEST((all > LongestPause * tries / 2));
}
