/// \file
/// What a customer's limit allows the fleet to admit, and how much of it may be
/// credit that gathers while a customer is calm.
#pragma once

#include "zinniarail/core/Time.h"

namespace zinniarail::quota {

/// How long credit may be used after it was asked for.
constexpr Duration GrantLifetime = std::chrono::milliseconds{300};

/// How long credit that one lender gives another may be used after the report
/// that it answers.
constexpr Duration TransferLifetime = std::chrono::milliseconds{200};

/// How long a share is lent, from when the lender told its time.
constexpr Duration LeaseTime = std::chrono::milliseconds{700};

/// Settings of the fleet.
struct QuotaSettings {
  Duration Window = std::chrono::seconds{5};
  /// What all instances together may admit in any window beyond rate and burst:
  /// a part of these, and a number of requests.
  double Overshoot = 0;
  double Slack = 0;
};

/// A customer's limit over all instances.
struct CustomerLimit {
  double RatePerSecond = 0; ///< 0: no limit.
  double Burst = 0;

  bool operator==(const CustomerLimit &) const = default;
};

/// The most requests that may be admitted in any window.
double mostInWindow(const CustomerLimit &limit, const QuotaSettings &settings);

/// A token bucket for the whole fleet that keeps to mostInWindow, whatever
/// credit is on its way.
struct PoolLimit {
  double RatePerSecond = 0;
  double Capacity = 0;
  /// Credit after a start of all instances at once: what was admitted before
  /// is not known then.
  double StartCredit = 0;
};

/// Derives the bucket of a customer.
PoolLimit derivePoolLimit(const CustomerLimit &limit,
                          const QuotaSettings &settings);

} // namespace zinniarail::quota
