#include "zinniarail/load/Load.h"

#include <algorithm>
#include <cmath>

namespace zinniarail {

namespace {

constexpr double MicrosPerSecond = 1e6;

double tokensAt(const ProbeBudget &budget, double perSecond, Instant now) {
  const auto micros = static_cast<double>((now - budget.At).count());
  const double earned = std::max(0.0, micros) / MicrosPerSecond * perSecond;
  return std::min(1.0, budget.Tokens + earned);
}

} // namespace

double othersInFlight(const ReportedLoad &load, unsigned slots,
                      Duration lifetime, Instant now) {
  const Duration age = now - load.At;
  if (!load.Known || age >= lifetime) {
    return 0;
  }
  const unsigned all = std::min(load.Report.InFlight, slots) +
                       std::min(load.Report.Queued, slots);
  const double others = all > load.Own ? all - load.Own : 0;
  const double left = 1 - static_cast<double>(age.count()) /
                              static_cast<double>(lifetime.count());
  return std::min<double>(others, slots) * left;
}

bool spendProbe(ProbeBudget &budget, double perSecond, Instant now) {
  const double tokens = tokensAt(budget, perSecond, now);
  if (perSecond <= 0 || tokens < 1) {
    return false;
  }
  budget.Tokens = tokens - 1;
  budget.At = now;
  ++budget.Spent;
  return true;
}

Instant nextProbe(const ProbeBudget &budget, double perSecond) {
  if (perSecond <= 0) {
    return Instant::max();
  }
  const double seconds = std::max(0.0, 1 - budget.Tokens) / perSecond;
  return budget.At + Duration(static_cast<Duration::rep>(
                         std::ceil(seconds * MicrosPerSecond)));
}

} // namespace zinniarail
