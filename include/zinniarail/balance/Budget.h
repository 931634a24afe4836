/// \file
/// Retry budget: a token bucket that retries and hedges draw on. Each instance
/// earns a fraction of a token for each of its requests, so that all instances
/// together stay below the same fraction of all requests.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zinniarail::balance {

/// Limits of the whole fleet, and the number of instances that share them.
struct RetryBudgetLimits {
  double RetryRatio = 0.1; ///< Retries and hedges per request.
  /// Retries and hedges beyond the ratio in any time window, fleet-wide.
  double ExtraRetries = 10;
  std::size_t SharingInstances = 1; ///< Instances that share ExtraRetries.

  bool operator==(const RetryBudgetLimits &) const = default;
};

/// One service's retry budget on one instance.
struct RetryBudget {
  double Tokens = 0;
  std::uint64_t Spent = 0;
};

/// The capacity of an instance's bucket, at least 1.
double maxTokens(const RetryBudgetLimits &limits);

/// Adds the fraction of a token that one request earns.
void earnTokens(RetryBudget &budget, const RetryBudgetLimits &limits);

/// Whether a retry or hedge may be sent.
/// \param reserve tokens that must be left over.
bool maySpend(const RetryBudget &budget, double reserve);

/// Takes one token for a retry or hedge; an insufficient balance becomes 0.
void spendToken(RetryBudget &budget);

} // namespace zinniarail::balance
