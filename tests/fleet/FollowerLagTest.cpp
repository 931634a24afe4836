#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet/FollowerLag.h"

using namespace zinniarail;
using namespace zinniarail::fleet;
using namespace std::chrono_literals;

namespace {

const Instant Start{1h};
constexpr std::uint64_t Boot = 7;

struct LagCase {
  const char *Name;
  std::uint64_t ToldBootId;
  std::uint64_t ToldSequence;
  Duration BehindFor;
  bool IsBehind;
};

std::ostream &operator<<(std::ostream &out, const LagCase &it) {
  return out << it.Name;
}

const LagCase LagCases[]{
    {"the reader has no news", Boot, 9, 1h, false},
    {"the reader is ahead for a moment", Boot, 10, OverdueTime, false},
    {"the reader is ahead", Boot, 10, OverdueTime + 1us, true},
    {"the datagram is older than the update", Boot, 8, 1h, false},
    {"the reader says nothing", Boot, 0, 1h, false},
    {"the reader restarted", Boot + 1, 1, OverdueTime + 1us, true},
    {"the reader restarted and has nothing", Boot + 1, 0, 1h, false},
};

} // namespace

BOOST_DATA_TEST_CASE(followerIsBehindWhileItsReaderIsAhead, LagCases, it) {
  FollowerLag lag;
  recordUpdate(lag, Boot, 9);
  recordReaderSequence(lag, it.ToldBootId, it.ToldSequence, false, Start);
  // Told again and again, as by each pong.
  recordReaderSequence(lag, it.ToldBootId, it.ToldSequence, false,
                       Start + it.BehindFor);
  BOOST_TEST(isBehind(lag, Start + it.BehindFor) == it.IsBehind);
  BOOST_TEST(isPollOverdue(lag, Start - 1h, Start + it.BehindFor) ==
             it.IsBehind);
  BOOST_TEST(!isPollOverdue(lag, Start + it.BehindFor, Start + it.BehindFor));
}

BOOST_AUTO_TEST_CASE(updateEndsTheLag) {
  FollowerLag lag;
  recordReaderSequence(lag, Boot, 3, false, Start);
  BOOST_TEST(isBehind(lag, Start + 1s));
  recordUpdate(lag, Boot, 3);
  BOOST_TEST(!isBehind(lag, Start + 1s));
}

// A response that takes longer than OverdueTime must arrive at last.
BOOST_AUTO_TEST_CASE(eachAbandonedPollDoublesTheTimeOfTheNext) {
  FollowerLag lag;
  recordReaderSequence(lag, Boot, 3, false, Start);
  const Duration limits[]{OverdueTime, 2 * OverdueTime, 4 * OverdueTime,
                          8 * OverdueTime, 8 * OverdueTime};
  Instant startedAt = Start;
  for (const Duration limit : limits) {
    BOOST_TEST(!isPollOverdue(lag, startedAt, startedAt + limit));
    BOOST_TEST(isPollOverdue(lag, startedAt, startedAt + limit + 1us));
    startedAt += limit + 1us;
    ++lag.AbandonedPolls;
  }
  recordUpdate(lag, Boot, 3);
  recordReaderSequence(lag, Boot, 4, false, startedAt);
  BOOST_TEST(isPollOverdue(lag, startedAt, startedAt + OverdueTime + 1us));
}

// A follower in line for a large update that polled again would lose its place,
// and one that counted as current would answer callers by an old state.
BOOST_AUTO_TEST_CASE(followerInLineIsBehindAndKeepsItsPoll) {
  FollowerLag lag;
  recordUpdate(lag, Boot, 9);
  const Instant deferredUntil = Start + 10 * OverdueTime;
  for (Instant now = Start; now <= deferredUntil; now += OverdueTime / 2) {
    recordReaderSequence(lag, Boot, 10, true, now);
    BOOST_TEST(!isPollOverdue(lag, Start, now));
  }
  BOOST_TEST(isBehind(lag, deferredUntil));
  const Instant late = deferredUntil + OverdueTime + 1us;
  recordReaderSequence(lag, Boot, 10, false, late);
  BOOST_TEST(isPollOverdue(lag, Start, late));
}
