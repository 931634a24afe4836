// Shares, the credit that flows from them, and what is taken of it.
#include "quota/State.h"

#include <algorithm>
#include <cmath>

namespace zinniarail::quota {

namespace {

// Time over which demand is averaged, and refused requests are counted.
constexpr Duration DemandTime = std::chrono::seconds{1};
constexpr Duration RefusedTime = std::chrono::seconds{2};

// Retry-After while it is not known how fast credit comes.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds{500};

// The shortest Retry-After: two round trips to the lender.
constexpr Duration MinRetryAfter = std::chrono::milliseconds{20};

double secondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double fractionOf(const Shares &shares, std::size_t count) {
  return shares.FleetSize == 0
             ? 0
             : std::min(1.0, static_cast<double>(count) /
                                 static_cast<double>(shares.FleetSize));
}

double fractionOf(const Shares &shares) {
  return fractionOf(shares, shares.ByOwner.size());
}

double decayed(double value, Instant since, Instant now, Duration time) {
  const Duration passed = std::max(now - since, Duration{0});
  return value * std::exp(-secondsOf(passed) / secondsOf(time));
}

void flowUntil(Shares &shares, Instant when) {
  if (when > shares.UpdatedAt) {
    shares.FractionSeconds += fractionOf(shares, shares.FlowingCount) *
                              secondsOf(when - shares.UpdatedAt);
    shares.UpdatedAt = when;
  }
}

void clamp(const Shares &shares, CustomerPool &pool) {
  pool.Credit = std::min(pool.Credit, fractionOf(shares) * pool.Limit.Capacity);
}

void settle(const Shares &shares, CustomerPool &pool) {
  pool.Credit += pool.Limit.RatePerSecond *
                     (shares.FractionSeconds - pool.FractionSeconds) +
                 pool.Limit.StartCredit * (shares.Started - pool.Started) +
                 pool.Limit.Capacity * (shares.StartedFull - pool.StartedFull);
  pool.FractionSeconds = shares.FractionSeconds;
  pool.Started = shares.Started;
  pool.StartedFull = shares.StartedFull;
  clamp(shares, pool);
}

// Finds which shares flow at UpdatedAt, and when that changes.
void updateFlow(Shares &shares) {
  shares.FlowingCount = 0;
  shares.NextChangeAt = Instant::max();
  for (const auto &[owner, it] : shares.ByOwner) {
    const bool flows = it.FlowsFrom <= shares.UpdatedAt;
    shares.FlowingCount += flows ? 1 : 0;
    shares.NextChangeAt =
        std::min(shares.NextChangeAt,
                 flows ? it.EndsAt : std::min(it.EndsAt, it.FlowsFrom));
  }
}

// Changes the shares at a moment; what goes beyond the new capacity is gone.
template <typename Change>
void changeShares(Engine &engine, Instant when, Change change) {
  Shares &shares = engine.Usable;
  flowUntil(shares, when);
  for (auto &[name, it] : engine.Pools) {
    settle(shares, it);
  }
  change(shares);
  updateFlow(shares);
  for (auto &[name, it] : engine.Pools) {
    clamp(shares, it);
  }
}

void dropEnded(CustomerPool &pool, Instant now) {
  std::erase_if(pool.InHand, [&](const auto &it) { return it.EndsAt <= now; });
}

} // namespace

void advance(Engine &engine, Instant now) {
  Shares &shares = engine.Usable;
  if (shares.NextChangeAt <= now) {
    updateFlow(shares); // Shares may have been prolonged.
  }
  while (shares.NextChangeAt <= now) {
    changeShares(engine, shares.NextChangeAt, [&](Shares &it) {
      std::erase_if(it.ByOwner, [&](const auto &share) {
        return share.second.EndsAt <= it.UpdatedAt;
      });
    });
  }
  flowUntil(shares, now);
}

void setShare(Engine &engine, const std::string &owner, Shares::Share share,
              Instant now) {
  const auto known = engine.Usable.ByOwner.find(owner);
  if (known != engine.Usable.ByOwner.end()) {
    known->second.EndsAt = std::max(known->second.EndsAt, share.EndsAt);
    return;
  }
  changeShares(engine, now,
               [&](Shares &it) { it.ByOwner.emplace(owner, share); });
}

void removeShare(Engine &engine, const std::string &owner, Instant now) {
  if (engine.Usable.ByOwner.contains(owner)) {
    changeShares(engine, now, [&](Shares &it) { it.ByOwner.erase(owner); });
  }
}

void removeOthersShares(Engine &engine, Instant now) {
  changeShares(engine, now, [&](Shares &shares) {
    std::erase_if(shares.ByOwner,
                  [&](const auto &it) { return it.first != engine.Self.Id; });
  });
}

void setFleetSize(Engine &engine, std::size_t size, Instant now) {
  if (engine.Usable.FleetSize != size) {
    changeShares(engine, now, [&](Shares &it) { it.FleetSize = size; });
  }
}

void addStartCredit(Engine &engine, bool full) {
  Shares &shares = engine.Usable;
  if (shares.FleetSize > 0) {
    (full ? shares.StartedFull : shares.Started) +=
        1 / static_cast<double>(shares.FleetSize);
  }
}

void applyLimits(Engine &engine,
                 const std::map<std::string, CustomerLimit> &all, Instant now) {
  flowUntil(engine.Usable, now);
  for (const auto &[name, limit] : all) {
    const auto [at, isNew] = engine.Pools.try_emplace(name);
    CustomerPool &pool = at->second;
    if (!isNew && pool.Configured == limit) {
      continue;
    }
    if (isNew) {
      // A limit that is new has admitted what it had until now.
      pool.FractionSeconds = engine.Usable.FractionSeconds;
      pool.Started = pool.StartedFull = 0;
    } else {
      settle(engine.Usable, pool);
    }
    pool.Configured = limit;
    pool.Limit = derivePoolLimit(limit, engine.Settings);
    clamp(engine.Usable, pool);
  }
  std::erase_if(engine.Pools, [&](const auto &it) {
    return !all.contains(it.first) && it.second.Held.empty();
  });
}

double ownCreditOf(Engine &engine, CustomerPool &pool) {
  settle(engine.Usable, pool);
  return pool.Credit;
}

double creditOf(Engine &engine, CustomerPool &pool, Instant now) {
  dropEnded(pool, now);
  double sum = ownCreditOf(engine, pool);
  for (const DatedCredit &it : pool.InHand) {
    sum += it.Credit;
  }
  return sum;
}

std::optional<Instant> take(Engine &engine, CustomerPool &pool, double credit,
                            Instant now) {
  // Sums of parts may miss a whole request by a rounding error.
  constexpr double tolerance = 1e-9;
  if (creditOf(engine, pool, now) + tolerance < credit) {
    return std::nullopt;
  }
  Instant endsAt = now + GrantLifetime + TransferLifetime;
  while (credit > 0 && !pool.InHand.empty()) {
    DatedCredit &first = pool.InHand.front();
    endsAt = std::min(endsAt, first.EndsAt);
    const double part = std::min(credit, first.Credit);
    first.Credit -= part;
    credit -= part;
    if (first.Credit <= 0) {
      pool.InHand.pop_front();
    }
  }
  pool.Credit -= credit;
  return endsAt;
}

void addInHand(CustomerPool &pool, double credit, Instant endsAt) {
  const auto at = std::upper_bound(
      pool.InHand.begin(), pool.InHand.end(), endsAt,
      [](Instant when, const auto &it) { return when < it.EndsAt; });
  pool.InHand.insert(at, {endsAt, credit});
}

void recordDemand(CustomerPool &pool, double requests, Instant now) {
  pool.DemandPerSecond = demandOf(pool, now) + requests / secondsOf(DemandTime);
  pool.DemandAt = now;
}

double demandOf(const CustomerPool &pool, Instant now) {
  return decayed(pool.DemandPerSecond, pool.DemandAt, now, DemandTime);
}

Duration recordRefusal(Engine &engine, CustomerPool &pool, Instant now) {
  pool.Refused = decayed(pool.Refused, pool.RefusedAt, now, RefusedTime) + 1;
  pool.RefusedAt = now;
  // All instances of the fleet refuse; this one sees a part of them, and gets
  // a part of the credit.
  const double rate = pool.Limit.RatePerSecond *
                      (isLender(engine) ? fractionOf(engine.Usable) : 1);
  if (rate <= 0) {
    return DefaultRetryAfter;
  }
  const double next = 1 / rate;
  const double all =
      std::min(pool.Refused / rate, secondsOf(engine.Settings.Window));
  const double seconds = next + drawFraction(engine.Rng) * all;
  return std::max(MinRetryAfter, std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(seconds)));
}

} // namespace zinniarail::quota
