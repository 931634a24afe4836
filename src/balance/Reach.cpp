#include "zinniarail/balance/Reach.h"

#include <algorithm>

namespace zinniarail::balance {

namespace {

// Calls in flight for this long without an answer from any upstream are the
// reason for a reach check.
constexpr Duration MaxHealthCheckSilence = std::chrono::milliseconds{100};
constexpr Duration MaxRequestSilence = std::chrono::seconds{1};

// So many upstreams that fail in a row are a reason too.
constexpr std::size_t FailuresForCheck = 3;

// Upstreams called in a reach check. The first one mostly finds that upstreams
// are just slow, and new connections cost them something.
constexpr std::size_t FirstCheckSize = 2;
constexpr std::size_t CheckSize = 4;

// One failed reach check may be due to its choice of upstreams, or to a pause
// of this process.
constexpr unsigned FailedChecksToDecide = 2;

// Time between the starts of reach checks while no upstream can be reached.
constexpr Duration RecheckInterval = std::chrono::milliseconds{250};

// Time from an answer until the next reach check at the earliest.
constexpr Duration CheckInterval = std::chrono::milliseconds{400};

CallSilence &silenceOf(Reach &reach, CallPurpose purpose) {
  return purpose == CallPurpose::HealthCheck ? reach.HealthChecks
                                             : reach.Requests;
}

void endCall(CallSilence &calls) {
  calls.Pending -= std::min<std::size_t>(calls.Pending, 1);
  if (calls.Pending == 0) {
    calls.Since = Instant::max();
  }
}

void recordAnswer(Reach &reach, Instant now) {
  for (CallSilence *it : {&reach.HealthChecks, &reach.Requests}) {
    it->Since = it->Pending == 0 ? Instant::max() : now;
  }
  reach.FailedUpstreams.clear();
  reach.FailedChecks = 0;
  if (reach.IsChecking) {
    reach.CheckAnswered = true;
    reach.CheckEndsAt = now;
  }
  reach.NextCheckAt = now + CheckInterval;
  reach.AnyReachable = true;
}

// When the calls so far are a reason for a reach check; max: they are none.
Instant suspectedAt(const Reach &reach) {
  if (!reach.AnyReachable || reach.FailedChecks > 0 ||
      reach.FailedUpstreams.size() >= FailuresForCheck) {
    return Instant::min();
  }
  const auto after = [](Instant since, Duration limit) {
    return since == Instant::max() ? since : since + limit;
  };
  return std::min(after(reach.HealthChecks.Since, MaxHealthCheckSilence),
                  after(reach.Requests.Since, MaxRequestSilence));
}

} // namespace

void recordCallStart(Reach &reach, CallPurpose purpose, Instant now) {
  CallSilence &calls = silenceOf(reach, purpose);
  ++calls.Pending;
  calls.Since = std::min(calls.Since, now);
}

void recordCallFailure(Reach &reach, CallPurpose purpose,
                       const std::string &upstream) {
  endCall(silenceOf(reach, purpose));
  if (!upstream.empty()) {
    reach.FailedUpstreams.insert(upstream);
  }
}

void recordCallAnswer(Reach &reach, CallPurpose purpose, Instant now) {
  endCall(silenceOf(reach, purpose));
  recordAnswer(reach, now);
}

std::size_t nextCheckSize(const Reach &reach) {
  const bool isFirst = reach.AnyReachable && reach.FailedChecks == 0;
  return isFirst ? FirstCheckSize : CheckSize;
}

void recordCheckStart(Reach &reach, std::size_t calls, Instant now) {
  reach.NextCheckAt = now + RecheckInterval;
  reach.IsChecking = calls > 0;
  reach.CheckAnswered = false;
  reach.PendingCheckCalls = calls;
  reach.CheckEndsAt = now + ReachCheckTimeout;
}

void recordCheckCallEnd(Reach &reach, bool answered, Instant now) {
  if (answered) {
    return recordAnswer(reach, now);
  }
  reach.PendingCheckCalls -= std::min<std::size_t>(reach.PendingCheckCalls, 1);
  if (reach.PendingCheckCalls == 0) {
    reach.CheckEndsAt = std::min(reach.CheckEndsAt, now);
  }
}

ReachStep nextReachStep(Reach &reach, Instant now) {
  if (reach.IsChecking) {
    if (now < reach.CheckEndsAt) {
      return ReachStep::None;
    }
    reach.IsChecking = false;
    if (!reach.CheckAnswered && ++reach.FailedChecks >= FailedChecksToDecide) {
      reach.AnyReachable = false;
    } else if (!reach.CheckAnswered) {
      reach.NextCheckAt = now;
    }
    return ReachStep::EndCheck;
  }
  const bool due = now >= suspectedAt(reach) && now >= reach.NextCheckAt;
  return due ? ReachStep::StartCheck : ReachStep::None;
}

Instant nextReachTime(const Reach &reach) {
  if (reach.IsChecking) {
    return reach.CheckEndsAt;
  }
  const Instant suspected = suspectedAt(reach);
  return suspected == Instant::max() ? suspected
                                     : std::max(suspected, reach.NextCheckAt);
}

} // namespace zinniarail::balance
