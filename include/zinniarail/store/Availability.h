/// \file
/// When the store answered, as far as this instance and others have seen.
/// Decides whether a registration that is gone may have expired although its
/// upstream lives. Does no I/O and reads no clock.
#pragma once

#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::store {

/// A time in which the store answered all health checks of an instance.
struct AnsweredSpan {
  Instant From{};
  Instant To{};

  bool operator==(const AnsweredSpan &) const = default;
};

/// An AnsweredSpan as one instance tells it to another: clocks differ, so it
/// has the ages of both ends.
struct AnsweredSpanAge {
  Duration From{0};
  Duration To{0};

  bool operator==(const AnsweredSpanAge &) const = default;
};

/// Answers that are further apart belong to two spans: nobody asked in between.
constexpr Duration MaxAnswerGap = std::chrono::seconds{1};

/// What this instance knows of the store's answers.
struct Availability {
  /// How often upstreams renew their registrations.
  Duration HeartbeatInterval = std::chrono::milliseconds{1500};
  std::vector<AnsweredSpan> Own;  ///< To this instance; the latest is last.
  std::vector<AnsweredSpan> Told; ///< To other instances, as they told.
  /// A health check has failed since the last answer.
  bool HasFailed = false;
  /// The first answer since this instance began to ask; max: there is none.
  Instant AskedSince = Instant::max();
};

/// Starts over when this instance begins to ask the store.
/// \param answeredUntil until when the store was known to answer the instance
/// that asked before; Instant::min(): unknown.
void startAsking(Availability &availability, Instant answeredUntil);

/// Records an answer to a health check. The time before the first one counts as
/// answered, unless health checks failed in it.
void recordAnswer(Availability &availability, Instant now);

/// Records that a health check failed.
void recordFailure(Availability &availability);

/// Records what another instance told.
void recordTold(Availability &availability,
                const std::vector<AnsweredSpanAge> &spans, Instant now);

/// What this instance has seen itself, for others.
std::vector<AnsweredSpanAge> listOwnSpans(const Availability &availability,
                                          Instant now);

/// Whether a registration that was removed by \p at may have expired while its
/// upstream lived. It expires after three heartbeats without a renewal. If one
/// of the renewals due in that time came when the store answered anybody, it
/// has not expired, so that its removal shows that its upstream has left.
bool mayHaveExpired(const Availability &availability, Instant at);

} // namespace zinniarail::store
