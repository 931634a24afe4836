#include "zinniarail/balance/Budget.h"

#include <algorithm>

namespace zinniarail::balance {

namespace {

// Part of the fleet's allowance that is used; the rest covers windows that
// begin at different moments and instances not known yet.
constexpr double UsedShare = 0.8;

} // namespace

double capacityOf(const BudgetLimits &limits) {
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(limits.Sharers, 1));
  return std::max(1.0, limits.Extra * UsedShare / sharers);
}

void earn(RetryBudget &budget, const BudgetLimits &limits) {
  budget.Tokens =
      std::min(budget.Tokens + limits.Ratio * UsedShare, capacityOf(limits));
}

bool maySpend(const RetryBudget &budget, double reserve) {
  return budget.Tokens >= 1 + reserve;
}

void spend(RetryBudget &budget) {
  budget.Tokens = std::max(0.0, budget.Tokens - 1);
  ++budget.Spent;
}

} // namespace zinniarail::balance
