/// \file
/// What is known of upstreams' load beyond one's own requests: reports, which
/// are always stale, and the budget of probes that ask for them.
#pragma once

#include <cstdint>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// What a report said of an upstream's load, with the answer that carried it.
struct LoadReport {
  unsigned InFlight = 0;         ///< Requests it was running.
  unsigned Queued = 0;           ///< Requests waiting there.
  std::uint64_t Incarnation = 0; ///< Changes when the upstream starts anew.
  bool Cold = false;
  bool Draining = false;
};

/// The last report of one upstream.
struct ReportedLoad {
  LoadReport Report;
  unsigned Own = 0; ///< Own requests in flight there when it was made.
  Instant At{};
  bool Known = false;
};

/// Guesses how many requests of others an upstream has. A report counts less
/// with each microsecond and not at all beyond \p lifetime.
/// \param slots an upper bound, so that a lie is worth no more.
double othersInFlight(const ReportedLoad &load, unsigned slots,
                      Duration lifetime, Instant now);

/// Probes that may still be sent. Earned by time, with nothing saved up but
/// one, so that any second sees at most the rate and one more.
struct ProbeBudget {
  double Tokens = 1;
  Instant At{};
  std::uint64_t Spent = 0; ///< Over the life of the budget.
};

/// Spends one probe.
/// \param perSecond what is earned in a second; none may be spent at 0.
/// \returns false, and spends nothing, when there is none left.
bool spendProbe(ProbeBudget &budget, double perSecond, Instant now);

/// When a probe may be sent again; Instant::max() at a rate of 0.
Instant nextProbe(const ProbeBudget &budget, double perSecond);

} // namespace zinniarail
