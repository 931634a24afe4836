#include "zinniarail/store/Availability.h"

#include <algorithm>
#include <utility>

namespace zinniarail::store {

namespace {

// Heartbeats without a renewal after which a registration expires.
constexpr int ExpiryHeartbeats = 3;

// Heartbeats between two renewals: they come about every heartbeat.
constexpr double MinRenewalHeartbeats = 0.75;
constexpr double MaxRenewalHeartbeats = 1.25;

// Spans that ended this many heartbeats ago bear on nothing any more.
constexpr int KeptHeartbeats = 2 * ExpiryHeartbeats;

// Spans that are kept of each origin: other instances decide on what they tell.
constexpr std::size_t MaxSpans = 64;

void eraseOld(const Availability &availability, std::vector<AnsweredSpan> &all,
              Instant now) {
  const Instant end = now - availability.HeartbeatInterval * KeptHeartbeats;
  std::erase_if(all, [&](const AnsweredSpan &it) { return it.To < end; });
  if (all.size() > MaxSpans) {
    all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(MaxSpans));
  }
}

// The parts of a time in which the store is not known to have answered anybody.
std::vector<AnsweredSpan> findSilences(const Availability &availability,
                                       AnsweredSpan time) {
  std::vector<AnsweredSpan> answered = availability.Own;
  answered.insert(answered.end(), availability.Told.begin(),
                  availability.Told.end());
  std::ranges::sort(answered, {}, &AnsweredSpan::From);
  std::vector<AnsweredSpan> out;
  Instant silentFrom = time.From;
  for (const AnsweredSpan &it : answered) {
    if (it.From > silentFrom && silentFrom < time.To) {
      out.push_back({silentFrom, std::min(it.From, time.To)});
    }
    silentFrom = std::max(silentFrom, it.To);
  }
  if (silentFrom < time.To) {
    out.push_back({silentFrom, time.To});
  }
  return out;
}

std::vector<AnsweredSpan> intersect(const std::vector<AnsweredSpan> &all,
                                    AnsweredSpan time) {
  std::vector<AnsweredSpan> out;
  for (const AnsweredSpan &it : all) {
    const AnsweredSpan part{std::max(it.From, time.From),
                            std::min(it.To, time.To)};
    if (part.From <= part.To) {
      out.push_back(part);
    }
  }
  return out;
}

} // namespace

void startAsking(Availability &availability, Instant answeredUntil) {
  availability.Own.clear();
  availability.HasFailed = false;
  availability.AskedSince = Instant::max();
  if (answeredUntil != Instant::min()) {
    availability.Own.push_back({Instant::min(), answeredUntil});
  }
}

void recordAnswer(Availability &availability, Instant now) {
  std::vector<AnsweredSpan> &own = availability.Own;
  const bool failed = std::exchange(availability.HasFailed, false);
  if (own.empty() && !failed) {
    own.push_back({Instant::min(), now});
  } else if (own.empty() || failed || now - own.back().To > MaxAnswerGap) {
    own.push_back({now, now});
  } else {
    own.back().To = now;
  }
  availability.AskedSince = std::min(availability.AskedSince, now);
  eraseOld(availability, own, now);
}

void recordFailure(Availability &availability) {
  availability.HasFailed = true;
}

void recordTold(Availability &availability,
                const std::vector<AnsweredSpanAge> &spans, Instant now) {
  for (const AnsweredSpanAge &it : spans) {
    if (it.To >= Duration{0} && it.From >= it.To) {
      availability.Told.push_back({now - it.From, now - it.To});
    }
  }
  eraseOld(availability, availability.Told, now);
}

std::vector<AnsweredSpanAge> listOwnSpans(const Availability &availability,
                                          Instant now) {
  std::vector<AnsweredSpanAge> out;
  for (const AnsweredSpan &it : availability.Own) {
    const Instant from = std::max(it.From, availability.AskedSince);
    if (from <= it.To) {
      out.push_back({now - from, now - it.To});
    }
  }
  return out;
}

bool mayHaveExpired(const Availability &availability, Instant at) {
  const auto heartbeats = [&](double count) {
    return std::chrono::duration_cast<Duration>(availability.HeartbeatInterval *
                                                count);
  };
  const Duration shortest = heartbeats(MinRenewalHeartbeats);
  const Duration longest = heartbeats(MaxRenewalHeartbeats);
  const std::vector<AnsweredSpan> silences =
      findSilences(availability, {at - heartbeats(ExpiryHeartbeats), at});
  // When the first renewal can have failed that the registration needed.
  std::vector<AnsweredSpan> failed = intersect(
      silences, {Instant::min(), at - heartbeats(ExpiryHeartbeats) + longest});
  while (!failed.empty()) {
    if (failed.back().To + longest >= at) {
      return true; // No other one was due.
    }
    std::vector<AnsweredSpan> next;
    for (const AnsweredSpan &it : failed) {
      const auto part =
          intersect(silences, {it.From + shortest, it.To + longest});
      next.insert(next.end(), part.begin(), part.end());
    }
    std::ranges::sort(next, {}, &AnsweredSpan::To);
    failed = std::move(next);
  }
  return false;
}

} // namespace zinniarail::store
