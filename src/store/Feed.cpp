#include "zinniarail/store/Feed.h"

#include <algorithm>

namespace zinniarail::store {

namespace {

// Doublings of the pause beyond which it no longer grows.
constexpr unsigned MostDoublings = 8;

// A pause is drawn from this part of it upwards, so that instances that failed
// together do not come back together.
constexpr double LeastPart = 0.5;

void succeed(Feed &feed) {
  feed.Running = false;
  feed.NextAt = Instant{};
}

bool lists(const Feed &feed, Instant now) {
  return !feed.Watches || !feed.After.empty() || now >= feed.RelistAt;
}

} // namespace

FeedCall nextCall(const Feed &feed, Instant now) {
  if (feed.Running || now < feed.NextAt) {
    return FeedCall::None;
  }
  return lists(feed, now) ? FeedCall::List : FeedCall::Watch;
}

bool needsLatest(const Feed &feed, Instant now) {
  return now < feed.LatestUntil || lists(feed, now);
}

void noteStart(Feed &feed) { feed.Running = true; }

void noteListed(Feed &feed, std::uint64_t asOf, const std::string &last,
                Instant now) {
  succeed(feed);
  // Changes between two pages must not be missed: the first page's revision
  // counts.
  feed.AsOf = feed.After.empty() ? asOf : std::min(feed.AsOf, asOf);
  feed.After = last;
  if (last.empty()) {
    feed.Watches = true;
    feed.RelistAt = now + RelistPause;
  }
}

void noteWatched(Feed &feed, std::uint64_t asOf, bool any, Instant now) {
  succeed(feed);
  feed.AsOf = std::max(feed.AsOf, asOf);
  if (any) {
    feed.NextAt = now + GatherPause;
  }
}

void noteHistoryGone(Feed &feed, Instant now) {
  feed.Running = false;
  feed.Watches = false;
  feed.LatestUntil = now + LagTime;
  feed.After.clear();
}

void noteFailure(Feed &feed, bool cut, Instant now) {
  feed.Running = false;
  feed.NextAt = Instant::max();
  if (cut && feed.Watches) {
    feed.LatestUntil = now + LagTime;
  }
}

void restart(Feed &feed) {
  ++feed.Generation;
  feed.Running = false;
  feed.Watches = false;
  feed.After.clear();
  feed.NextAt = Instant{};
}

void noteFailure(Retry &retry, Random &draws, Instant now) {
  retry.Running = false;
  const unsigned doublings = std::min(retry.Failures++, MostDoublings);
  const Duration pause =
      std::min<Duration>(FirstPause * (1U << doublings), LongestPause);
  const double part = LeastPart + (1 - LeastPart) * drawShare(draws);
  retry.NextAt = now + Duration(static_cast<Duration::rep>(
                           static_cast<double>(pause.count()) * part));
}

} // namespace zinniarail::store
