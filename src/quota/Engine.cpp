#include "quota/State.h"

#include <algorithm>

#include <boost/json.hpp>

namespace zinniarail::quota {

namespace {

// An instance that was added is on record everywhere by then. Until then the
// others count on a smaller fleet, and its share would come on top of theirs.
constexpr Duration SettleTime = std::chrono::seconds{2};

// Time between two ticks while a request waits.
constexpr Duration WaitingTick = std::chrono::milliseconds{5};

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

Decision hold(Step step, const std::string &customer, CustomerPool &pool,
              std::uint64_t request) {
  pool.Held.push_back(request);
  step.State.Held[request] = {customer, step.Now};
  return {Decision::Kind::Held, Duration{0}};
}

} // namespace

void EngineDelete::operator()(Engine *engine) const { delete engine; }

EnginePtr makeEngine(Identity self, QuotaSettings settings, Random random,
                     Instant now) {
  EnginePtr out(new Engine{});
  out->Self = std::move(self);
  out->Settings = settings;
  out->Rng = random;
  out->Usable.UpdatedAt = out->StartedAt = now;
  return out;
}

void setLimits(Engine &engine, const std::map<std::string, CustomerLimit> &all,
               Instant now) {
  std::map<std::string, CustomerLimit> limited;
  for (const auto &[name, it] : all) {
    if (it.RatePerSecond > 0) {
      limited.emplace(name, it);
    }
  }
  advance(engine, now);
  applyLimits(engine, limited, now);
}

void setFleet(Engine &engine, std::vector<KnownInstance> recorded,
              std::size_t size, Instant now) {
  advance(engine, now);
  // All that are on record when it is first read were there before.
  // Of itself a follower can't tell: it may just have been added.
  const bool isFirst = engine.SettledAt.empty();
  std::map<std::string, Instant> settledAt;
  for (const KnownInstance &it : recorded) {
    const auto known = engine.SettledAt.find(it.Id);
    const bool wasBefore =
        isFirst && (it.Id != engine.Self.Id || isLender(engine) ||
                    engine.Self.IsFirstStart);
    settledAt[it.Id] = known != engine.SettledAt.end() ? known->second
                       : wasBefore                     ? now
                                                       : now + SettleTime;
  }
  engine.SettledAt = std::move(settledAt);
  engine.RecordedSize = std::max(size, recorded.size());
  engine.Fleet = std::move(recorded);
  updateFleetSize(engine, now);
}

void setLender(Engine &engine, const std::string &lender, Instant now) {
  if (engine.Lender == lender) {
    return;
  }
  advance(engine, now);
  if (isLender(engine)) {
    removeOthersShares(engine, now);
    engine.Askers.clear();
    engine.Waiting.clear();
    engine.OtherLenders.clear();
    for (auto &[name, it] : engine.Pools) {
      it.WaitingAsks = 0;
    }
  }
  engine.Lender = lender;
  engine.LenderTime = Instant::min();
  engine.LastAnswered = 0;
  for (auto &[name, it] : engine.Pools) {
    it.DeniedUntil = {};
  }
  engine.NextAskAt = engine.NextReportAt = engine.NextShortageAt = now;
}

Decision takeCredit(Engine &engine, const std::string &customer,
                    std::uint64_t request, Instant now, Actions &out) {
  const auto found = engine.Pools.find(customer);
  if (found == engine.Pools.end()) {
    return {};
  }
  advance(engine, now);
  const Step step{engine, now, out};
  CustomerPool &pool = found->second;
  ++pool.Counts.Asked;
  recordDemand(pool, 1, now);
  // Those that wait came first.
  const auto endsAt =
      pool.Held.empty() ? take(engine, pool, 1, now) : std::nullopt;
  if (endsAt) {
    ++pool.Counts.Admitted;
    return {Decision::Kind::Admitted, Duration{0}, *endsAt};
  }
  if (isLender(engine)) {
    if (!mayOthersHave(engine, customer, now)) {
      ++pool.Counts.OverQuota;
      return {Decision::Kind::Refused, recordRefusal(engine, pool, now)};
    }
    const Decision held = hold(step, customer, pool, request);
    reportShortage(step);
    return held;
  }
  if (engine.Lender.empty()) {
    ++pool.Counts.Unanswered;
    return {Decision::Kind::Refused,
            spreadOver(engine, NoLenderRetryAfter),
            {},
            true};
  }
  if (now < pool.DeniedUntil) {
    ++pool.Counts.OverQuota;
    return {Decision::Kind::Refused, spreadOver(engine, pool.DeniedRetryAfter)};
  }
  const Decision held = hold(step, customer, pool, request);
  askFor(step, customer, pool);
  return held;
}

void returnCredit(Engine &engine, const std::string &customer, Instant endsAt,
                  Instant now) {
  const auto found = engine.Pools.find(customer);
  if (found != engine.Pools.end() && now < endsAt) {
    addInHand(found->second, 1, endsAt);
  }
}

void forgetRequest(Engine &engine, std::uint64_t request) {
  const auto held = engine.Held.find(request);
  if (held == engine.Held.end()) {
    return;
  }
  if (const auto pool = engine.Pools.find(held->second.Customer);
      pool != engine.Pools.end()) {
    std::erase(pool->second.Held, request);
  }
  engine.Held.erase(held);
}

void handleMessage(Engine &engine, const std::string &from,
                   const Message &message, Instant now, Actions &out) {
  advance(engine, now);
  const Step step{engine, now, out};
  std::visit(
      Overloaded{[&](const Ask &it) { handleAsk(step, from, it); },
                 [&](const Answer &it) { handleAnswer(step, from, it); },
                 [&](const Report &it) { handleReport(step, from, it); },
                 [&](const Transfer &it) { handleTransfer(step, from, it); }},
      message);
}

void tick(Engine &engine, Instant now, Actions &out) {
  advance(engine, now);
  const Step step{engine, now, out};
  runAsker(step);
  if (isLender(engine)) {
    runLender(step);
  }
}

Instant nextTick(const Engine &engine) {
  if (engine.Pools.empty()) {
    return Instant::max();
  }
  const Instant last = engine.Usable.UpdatedAt;
  if (!engine.Held.empty() || !engine.Waiting.empty() ||
      !engine.Pending.empty()) {
    return last + WaitingTick;
  }
  if (isLender(engine)) {
    return engine.NextReportAt;
  }
  return engine.Lender.empty() ? last + MaxHoldTime : engine.NextAskAt;
}

std::map<std::string, CustomerStatus> statusOf(const Engine &engine) {
  std::map<std::string, CustomerStatus> out;
  for (const auto &[name, it] : engine.Pools) {
    CustomerStatus &status = out[name];
    status = it.Counts;
    status.Credit = it.Credit;
    for (const DatedCredit &dated : it.InHand) {
      status.Credit += dated.Credit;
    }
  }
  return out;
}

boost::json::object describe(const Engine &engine, Instant now) {
  boost::json::object customers;
  for (const auto &[name, it] : statusOf(engine)) {
    customers[name] = {
        {"asked", it.Asked},          {"admitted", it.Admitted},
        {"over-quota", it.OverQuota}, {"unanswered", it.Unanswered},
        {"credit", it.Credit},        {"lent", it.Lent}};
  }
  boost::json::array others;
  for (const auto &[id, it] : engine.OtherLenders) {
    others.push_back({{"id", id}, {"domain", it.Domain}});
  }
  return {{"lender", engine.Lender},
          {"fleet", engine.Usable.FleetSize},
          {"shares", engine.Usable.ByOwner.size()},
          {"share-lent", now < engine.LentUntil},
          {"held", engine.Held.size()},
          {"other-lenders", std::move(others)},
          {"customers", std::move(customers)}};
}

} // namespace zinniarail::quota
