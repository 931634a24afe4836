/// \file
/// Repeats that may still be sent. Each instance earns a share of its own
/// requests, so that the instances together stay below the same share of all.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zinniarail::balance {

/// What the whole fleet may spend, and how many share it.
struct BudgetLimits {
  double Ratio = 0.1;      ///< Repeats for each request.
  double Extra = 10;       ///< Beyond that in one window, over all instances.
  std::size_t Sharers = 1; ///< Instances that may draw on Extra.

  bool operator==(const BudgetLimits &) const = default;
};

/// One service's budget on one instance.
struct RetryBudget {
  double Tokens = 0;
  std::uint64_t Spent = 0;
};

/// The most that a budget holds.
double capacityOf(const BudgetLimits &limits);

/// Earns for one request.
void earn(RetryBudget &budget, const BudgetLimits &limits);

/// Whether a repeat may be sent.
/// \param reserve what must be left for others.
bool maySpend(const RetryBudget &budget, double reserve);

/// Pays for one repeat, whether or not there is enough.
void spend(RetryBudget &budget);

} // namespace zinniarail::balance
