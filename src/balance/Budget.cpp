#include "zinniarail/balance/Budget.h"

#include <algorithm>

namespace zinniarail::balance {

namespace {

// Part of the fleet's limits that the instances use. The rest covers time
// windows that start at different times and instances that are not known yet.
constexpr double UsableShare = 0.8;

} // namespace

double maxTokens(const RetryBudgetLimits &limits) {
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(limits.SharingInstances, 1));
  return std::max(1.0, limits.ExtraRetries * UsableShare / sharers);
}

void earnTokens(RetryBudget &budget, const RetryBudgetLimits &limits) {
  budget.Tokens = std::min(budget.Tokens + limits.RetryRatio * UsableShare,
                           maxTokens(limits));
}

bool maySpend(const RetryBudget &budget, double reserve) {
  return budget.Tokens >= 1 + reserve;
}

void spendToken(RetryBudget &budget) {
  budget.Tokens = std::max(0.0, budget.Tokens - 1);
  ++budget.Spent;
}

} // namespace zinniarail::balance
