// Requests that wait for credit, and what is asked of the lender for them.
#include "quota/State.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniarail::quota {

namespace {

// Time between two asks that renew the loan of the own share.
constexpr Duration AskInterval = std::chrono::milliseconds{200};

// An ask without an answer is sent again after this time.
constexpr Duration ResendInterval = std::chrono::milliseconds{20};

// Credit for the demand of this time is asked for ahead.
constexpr Duration AheadTime = std::chrono::milliseconds{150};

// After a denial the lender isn't asked for this customer's credit for this
// time, so that a customer far over its limit doesn't load it.
constexpr Duration DenialTime = std::chrono::milliseconds{40};

// From when the own share may flow: what the process before this one lent may
// still be in use.
Instant ownShareFlowsFrom(const Engine &engine) {
  return engine.Self.IsFirstStart ? engine.StartedAt
                                  : engine.StartedAt + LeaseTime;
}

// Sends an ask. Where it can be, the own share is lent with it: not to a second
// lender before the loan to the first is over, and not before that lender has
// told its time.
// \returns its sequence.
std::uint64_t send(Step step, std::vector<Amount> wanted) {
  Engine &engine = step.State;
  Ask ask;
  ask.Sequence = engine.NextSequence++;
  ask.BootId = engine.Self.BootId;
  const bool mayLend =
      engine.LentTo == engine.Lender || step.Now >= engine.LentUntil;
  if (mayLend && engine.LenderTime != Instant::min()) {
    ask.LentFrom = engine.LenderTime;
    ask.FlowsAfter =
        std::max(Duration{0}, ownShareFlowsFrom(engine) - step.Now);
    ask.BringsStartCredit = std::exchange(engine.HasStartCredit, false);
    ask.StartsFull = engine.Self.IsFirstStart;
    engine.LentTo = engine.Lender;
    engine.LentUntil = step.Now + LeaseTime;
    removeShare(engine, engine.Self.Id, step.Now);
  }
  ask.Wanted = std::move(wanted);
  engine.NextAskAt = step.Now + AskInterval;
  if (!ask.Wanted.empty()) {
    engine.Pending[ask.Sequence] = {engine.Lender, ask, step.Now, step.Now};
  }
  const std::uint64_t sequence = ask.Sequence;
  step.Output.emplace_back(SendMessage{engine.Lender, std::move(ask)});
  return sequence;
}

// Sends the asks without an answer again, and forgets those that are over.
void resend(Step step) {
  Engine &engine = step.State;
  std::erase_if(engine.Pending, [&](const auto &it) {
    return step.Now - it.second.FirstSentAt >= MaxHoldTime ||
           it.second.Lender != engine.Lender;
  });
  for (auto &[sequence, it] : engine.Pending) {
    if (step.Now - it.LastSentAt >= ResendInterval) {
      it.LastSentAt = step.Now;
      step.Output.emplace_back(SendMessage{it.Lender, it.Content});
    }
  }
}

} // namespace

void refuseHeld(Step step, std::uint64_t request, Duration retryAfter,
                bool isUnanswered) {
  const auto held = step.State.Held.find(request);
  if (held == step.State.Held.end()) {
    return;
  }
  if (const auto pool = step.State.Pools.find(held->second.Customer);
      pool != step.State.Pools.end()) {
    std::erase(pool->second.Held, request);
  }
  step.State.Held.erase(held);
  step.Output.emplace_back(RefuseHeld{request, retryAfter, isUnanswered});
}

void admitHeld(Step step, CustomerPool &pool) {
  while (!pool.Held.empty()) {
    const auto endsAt = take(step.State, pool, 1, step.Now);
    if (!endsAt) {
      return;
    }
    const std::uint64_t request = pool.Held.front();
    pool.Held.pop_front();
    step.State.Held.erase(request);
    ++pool.Counts.Admitted;
    step.Output.emplace_back(AdmitHeld{request, *endsAt});
  }
}

void askFor(Step step, const std::string &customer, CustomerPool &pool) {
  // Not ahead twice: credit that isn't used is lost.
  const double ahead =
      step.State.Pending.contains(pool.AheadAsk)
          ? 0
          : std::floor(demandOf(pool, step.Now) *
                       std::chrono::duration<double>(AheadTime).count());
  const std::uint64_t sequence = send(step, {{customer, 1 + ahead}});
  if (ahead > 0) {
    pool.AheadAsk = sequence;
  }
}

void handleAnswer(Step step, const std::string &from, const Answer &answer) {
  Engine &engine = step.State;
  if (from == engine.Lender && answer.Sequence >= engine.LastAnswered) {
    if (engine.LenderTime == Instant::min()) {
      engine.NextAskAt = step.Now; // Now the share can be lent.
    }
    engine.LastAnswered = answer.Sequence;
    engine.LenderTime = answer.SentAt;
  }
  const auto pending = engine.Pending.find(answer.Sequence);
  if (pending == engine.Pending.end() || pending->second.Lender != from) {
    return; // It carries no credit, or a second copy of it.
  }
  const Instant endsAt = pending->second.FirstSentAt + GrantLifetime;
  engine.Pending.erase(pending);
  for (const Amount &it : answer.Granted) {
    const auto found = engine.Pools.find(it.Customer);
    if (found == engine.Pools.end()) {
      continue;
    }
    CustomerPool &pool = found->second;
    if (it.Credit > 0 && step.Now < endsAt) {
      pool.DeniedUntil = {};
      addInHand(pool, it.Credit, endsAt);
    } else if (it.Credit <= 0) {
      pool.DeniedUntil = step.Now + DenialTime;
      pool.DeniedRetryAfter = answer.RetryAfter;
      if (!pool.Held.empty()) {
        ++pool.Counts.OverQuota;
        refuseHeld(step, pool.Held.front(), answer.RetryAfter);
      }
    }
    admitHeld(step, pool);
  }
}

namespace {

void refuseOverdue(Step step) {
  std::vector<std::uint64_t> overdue;
  for (const auto &[id, it] : step.State.Held) {
    if (step.Now - it.Since >= MaxHoldTime) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    const auto pool = step.State.Pools.find(step.State.Held.at(id).Customer);
    Duration retryAfter = spreadOver(step.State, NoLenderRetryAfter);
    const bool isUnanswered = !isLender(step.State);
    if (pool != step.State.Pools.end() && !isUnanswered) {
      ++pool->second.Counts.OverQuota;
      retryAfter = recordRefusal(step.State, pool->second, step.Now);
    } else if (pool != step.State.Pools.end()) {
      ++pool->second.Counts.Unanswered;
    }
    refuseHeld(step, id, retryAfter, isUnanswered);
  }
}

void useOwnShare(Step step) {
  Engine &engine = step.State;
  const auto settled = engine.SettledAt.find(engine.Self.Id);
  if (settled == engine.SettledAt.end() || settled->second > step.Now ||
      step.Now < engine.LentUntil ||
      engine.Usable.ByOwner.contains(engine.Self.Id)) {
    return;
  }
  setShare(engine, engine.Self.Id, {Instant::max(), ownShareFlowsFrom(engine)},
           step.Now);
  if (isLender(engine) && std::exchange(engine.HasStartCredit, false)) {
    addStartCredit(engine, engine.Self.IsFirstStart);
  }
}

} // namespace

void runAsker(Step step) {
  Engine &engine = step.State;
  if (!engine.Lender.empty() && !isLender(engine)) {
    resend(step);
    if (step.Now >= engine.NextAskAt) {
      send(step, {});
    }
  }
  useOwnShare(step);
  refuseOverdue(step);
}

} // namespace zinniarail::quota
