#include "http/ByteBudget.h"

#include <algorithm>
#include <utility>

namespace zinniarail::http {

namespace {

// What the process itself needs: code, configuration, upstreams, other
// instances, the buffers of the kernel for its connections.
constexpr std::size_t OwnBytes = std::size_t{40} * 1000 * 1000;

// At least this part of the memory is for callers, however small it is.
constexpr std::size_t MinDataDivisor = 4;

// Shares in percent. A body of 64 MiB fits in the large share of 160 MB.
using Shares = std::array<std::size_t, HeldKindCount>;
constexpr Shares SharesPercent{15, 57, 28};
constexpr Shares InternalSharesPercent{10, 5, 20}; ///< Of OwnBytes.

ByteBudget divide(std::size_t bytes, const Shares &percentages) {
  constexpr std::size_t percent = 100;
  ByteBudget budget;
  for (std::size_t n = 0; n < HeldKindCount; ++n) {
    budget.Limits[n] = bytes / percent * percentages[n];
  }
  return budget;
}

bool hasStalled(const Holder &it, Instant now) {
  return it.IsIncomplete && !it.AwaitsRoom &&
         now - it.LastProgressAt >= StallTime;
}

// The first of the best holders among those that qualify.
template <typename Qualifies, typename IsBetter>
std::optional<std::size_t> findBest(std::span<const Holder> holders,
                                    Qualifies qualifies, IsBetter isBetter) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < holders.size(); ++n) {
    if (qualifies(holders[n]) &&
        (!best || isBetter(holders[n], holders[*best]))) {
      best = n;
    }
  }
  return best;
}

bool isLarger(const Holder &a, const Holder &b) { return a.Bytes > b.Bytes; }

bool isOlder(const Holder &a, const Holder &b) {
  return a.LastProgressAt < b.LastProgressAt;
}

double rateOf(const Holder &it, Instant now) {
  const std::chrono::duration<double> age = now - it.StartedAt;
  return static_cast<double>(it.Received) / age.count();
}

bool isSlow(const Holder &it, Instant now) {
  return it.IsIncomplete && !it.AwaitsRoom && it.StartedAt != Instant::max() &&
         now - it.StartedAt >= MinSlowTime &&
         rateOf(it, now) < static_cast<double>(MinBytesPerSecond);
}

std::optional<std::size_t> findSlowest(std::span<const Holder> holders,
                                       Instant now) {
  return findBest(
      holders,
      [&](const Holder &it) { return it.Bytes > 0 && isSlow(it, now); },
      [&](const Holder &a, const Holder &b) {
        return rateOf(a, now) < rateOf(b, now);
      });
}

std::optional<Choice> chooseLargestStalled(std::span<const Holder> holders,
                                           Instant now, Relief way) {
  const auto found = findBest(
      holders,
      [&](const Holder &it) { return it.Bytes > 0 && hasStalled(it, now); },
      isLarger);
  return found ? std::optional<Choice>({*found, way}) : std::nullopt;
}

} // namespace

ByteBudget makeByteBudget(std::size_t memory) {
  const std::size_t data =
      std::max(memory - std::min(memory, OwnBytes), memory / MinDataDivisor);
  return divide(data, SharesPercent);
}

ByteBudget makeInternalByteBudget(std::size_t memory) {
  return divide(std::min(memory, OwnBytes), InternalSharesPercent);
}

Charge::Charge(const Charge &other) : Budget(other.Budget) {
  set(other.Kind, other.Bytes);
}

Charge::Charge(Charge &&other) noexcept
    : Budget(other.Budget), Kind(other.Kind),
      Bytes(std::exchange(other.Bytes, 0)) {}

Charge &Charge::operator=(Charge other) noexcept {
  std::swap(Budget, other.Budget);
  std::swap(Kind, other.Kind);
  std::swap(Bytes, other.Bytes);
  return *this;
}

void Charge::set(HeldKind kind, std::size_t bytes) {
  if (Budget != nullptr) {
    Budget->Held[static_cast<std::size_t>(Kind)] -= Bytes;
    Budget->Held[static_cast<std::size_t>(kind)] += bytes;
  }
  Kind = kind;
  Bytes = bytes;
}

bool canAllEnd(std::vector<LargeBody> bodies, std::size_t free) {
  std::sort(bodies.begin(), bodies.end(),
            [](const LargeBody &a, const LargeBody &b) {
              return a.Remaining < b.Remaining;
            });
  for (const LargeBody &it : bodies) {
    if (it.Remaining > free) {
      return false;
    }
    free += it.Taken;
  }
  return true;
}

std::optional<Choice> chooseForSmall(std::span<const Holder> holders,
                                     Instant now) {
  if (const auto waiting = findBest(
          holders,
          [](const Holder &it) { return it.IsIncomplete && it.AwaitsRoom; },
          isLarger)) {
    return Choice{*waiting, Relief::Refuse};
  }
  if (const auto stalled = findBest(
          holders,
          [&](const Holder &it) { return it.Bytes > 0 && hasStalled(it, now); },
          isOlder)) {
    return Choice{*stalled, Relief::TimeOut};
  }
  const auto largest = findBest(
      holders, [](const Holder &it) { return it.IsIncomplete && it.Bytes > 0; },
      isLarger);
  return largest ? std::optional<Choice>({*largest, Relief::Refuse})
                 : std::nullopt;
}

std::optional<Choice> chooseForLarge(std::span<const Holder> holders,
                                     Instant now) {
  if (const auto stalled =
          chooseLargestStalled(holders, now, Relief::TimeOut)) {
    return stalled;
  }
  const auto slowest = findSlowest(holders, now);
  return slowest ? std::optional<Choice>({*slowest, Relief::TimeOut})
                 : std::nullopt;
}

std::optional<Choice> chooseForResponses(std::span<const Holder> holders,
                                         Instant now) {
  return chooseLargestStalled(holders, now, Relief::Close);
}

std::optional<Choice> chooseForConnection(std::span<const Holder> holders,
                                          Instant now) {
  auto found = findBest(
      holders, [&](const Holder &it) { return hasStalled(it, now); }, isOlder);
  if (!found) {
    found = findBest(
        holders,
        [&](const Holder &it) {
          return it.IsIdle && now - it.LastProgressAt >= MinIdleTime;
        },
        isOlder);
  }
  if (!found) {
    found = findSlowest(holders, now);
  }
  return found ? std::optional<Choice>({*found, Relief::Close}) : std::nullopt;
}

} // namespace zinniarail::http
