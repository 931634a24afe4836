/// \file
/// The state of the credit engine, and what its files use of each other.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zinniarail/quota/Quota.h"

namespace zinniarail::quota {

/// The shares that this instance may use now: its own unless it is lent, and
/// those that were lent to it. Credit flows in proportion to them.
struct Shares {
  struct Share {
    Instant EndsAt{};
    Instant FlowsFrom{}; ///< It has room for credit before.
  };
  std::size_t FleetSize = 0; ///< 0: unknown, no share can be used.
  std::map<std::string, Share> ByOwner;
  std::size_t FlowingCount = 0;          ///< Shares that credit flows from.
  Instant NextChangeAt = Instant::max(); ///< The first end or begin, or before.
  Instant UpdatedAt{};
  double FractionSeconds = 0; ///< Integral of the fraction over time.
  double Started = 0;     ///< Sum of the fractions that brought start credit.
  double StartedFull = 0; ///< Of these, the ones that started full.
};

/// Credit that must be used before it ends.
struct DatedCredit {
  Instant EndsAt{};
  double Credit = 0;
};

/// The credit of one customer at this instance.
struct CustomerPool {
  CustomerLimit Configured;
  PoolLimit Limit;
  double Credit = 0;
  // What Credit accounts for of the same members of Shares.
  double FractionSeconds = 0;
  double Started = 0;
  double StartedFull = 0;
  std::deque<DatedCredit> InHand; ///< Granted or given; the first ends first.
  double DemandPerSecond = 0;     ///< EWMA, as of DemandAt.
  Instant DemandAt{};
  double Refused = 0; ///< Decaying count of refused requests, as of RefusedAt.
  Instant RefusedAt{};
  std::deque<std::uint64_t> Held; ///< Requests that wait here; oldest first.
  std::size_t WaitingAsks = 0;    ///< Of other instances, here.
  std::uint64_t AheadAsk = 0;     ///< Pending ask for credit ahead; 0: none.
  // What the lender said last. Until DeniedUntil it isn't asked again.
  Instant DeniedUntil{};
  Duration DeniedRetryAfter{0};
  CustomerStatus Counts;
};

/// A request that waits for credit.
struct HeldRequest {
  std::string Customer;
  Instant Since{};
};

/// An ask of this instance that has no answer.
struct PendingAsk {
  std::string Lender;
  Ask Content;
  Instant FirstSentAt{};
  Instant LastSentAt{};
  unsigned TimesSent = 1;
};

/// Another instance that asks this one.
struct Asker {
  std::uint64_t BootId = 0;
  bool BroughtStartCredit = false;
  std::map<std::uint64_t, Answer> Answers; ///< The latest, by sequence.
};

/// An ask that waits for credit from other lenders.
struct WaitingAsk {
  std::string Asker;
  Ask Content;
  Instant Since{};
};

/// The lender of another failure domain.
struct OtherLender {
  std::string Domain;
  Instant HeardAt{};
  std::size_t FleetSize = 0;
  /// Customers of which it had no credit lately: until when it isn't asked.
  std::map<std::string, Instant> EmptyUntil;
  std::uint64_t LastTransfer = 0; ///< Sequence.
};

/// Retry-After where there is neither credit nor a lender: about the time until
/// there is one again.
constexpr Duration NoLenderRetryAfter = std::chrono::milliseconds{300};

struct Engine {
  Identity Self;
  QuotaSettings Settings;
  Random Rng;
  Instant StartedAt{};
  std::size_t RecordedSize = 0; ///< Of Fleet; Usable.FleetSize may be larger.
  Shares Usable;
  std::map<std::string, CustomerPool> Pools;
  std::vector<KnownInstance> Fleet;
  /// From when the share of an instance counts, by id.
  std::map<std::string, Instant> SettledAt;
  std::string Lender; ///< Of this failure domain; empty: unknown.

  // Towards the lender.
  std::string LentTo;
  Instant LentUntil{};
  EchoedTime LenderTime = Instant::min(); ///< Of Lender.
  std::uint64_t LastAnswered = 0;         ///< Sequence of the ask that told it.
  bool HasStartCredit = true;             ///< The own share still brings it.
  std::uint64_t NextSequence = 1;
  std::map<std::uint64_t, PendingAsk> Pending;
  std::map<std::uint64_t, HeldRequest> Held; ///< By request.
  Instant NextAskAt{};

  // As the lender.
  std::map<std::string, Asker> Askers;
  std::deque<WaitingAsk> Waiting;                  ///< Oldest first.
  std::map<std::string, OtherLender> OtherLenders; ///< By id.
  std::uint64_t NextTransfer = 1;
  Instant NextReportAt{};
  Instant NextShortageAt{}; ///< No report of a shortage before.
  unsigned Rotation = 0;    ///< Which lender is told next.
};

/// One step: the engine, the time, and where its actions go.
struct Step {
  Engine &State;
  Instant Now;
  Actions &Output;
};

/// A random time from \p least to twice that.
inline Duration spreadOver(Engine &engine, Duration least) {
  return least +
         std::chrono::duration_cast<Duration>(least * drawFraction(engine.Rng));
}

inline bool isLender(const Engine &engine) {
  return engine.Lender == engine.Self.Id;
}

// Pools.cpp
/// Lets credit flow until now, and ends the shares that are over.
void advance(Engine &engine, Instant now);
/// Adds a share, or prolongs it.
void setShare(Engine &engine, const std::string &owner, Shares::Share share,
              Instant now);
void removeShare(Engine &engine, const std::string &owner, Instant now);
/// Removes all shares but the own one.
void removeOthersShares(Engine &engine, Instant now);
void setFleetSize(Engine &engine, std::size_t size, Instant now);
/// Counts the start credit of one share.
void addStartCredit(Engine &engine, bool full);
/// Replaces the limits; credit beyond a lower one is gone.
void applyLimits(Engine &engine,
                 const std::map<std::string, CustomerLimit> &all, Instant now);
/// Credit for requests now: the pool's, and what is in hand.
double creditOf(Engine &engine, CustomerPool &pool, Instant now);
/// The part of it that is the pool's own.
double ownCreditOf(Engine &engine, CustomerPool &pool);
/// Takes credit, first what ends first.
/// \returns until when it may be used; none, and takes nothing, if there is
/// less.
std::optional<Instant> take(Engine &engine, CustomerPool &pool, double credit,
                            Instant now);
void addInHand(CustomerPool &pool, double credit, Instant endsAt);
void recordDemand(CustomerPool &pool, double requests, Instant now);
double demandOf(const CustomerPool &pool, Instant now);
/// Counts a refused request.
/// \returns when to come back: spreads those who were refused lately over the
/// time that their credit takes.
Duration recordRefusal(Engine &engine, CustomerPool &pool, Instant now);

// Lending.cpp
void handleAsk(Step step, const std::string &from, const Ask &ask);
void handleReport(Step step, const std::string &from, const Report &report);
void handleTransfer(Step step, const std::string &from,
                    const Transfer &transfer);
/// Answers the asks that have waited long enough, and reports to the other
/// lenders when due.
void runLender(Step step);
/// The fleet as this instance and the other lenders know it.
void updateFleetSize(Engine &engine, Instant now);
/// Whether another lender may have credit of a customer.
bool mayOthersHave(const Engine &engine, const std::string &customer,
                   Instant now);
/// Tells other lenders, one for each customer, what requests wait for.
void reportShortage(Step step);

// Asking.cpp
/// Refuses a request that is held.
void refuseHeld(Step step, std::uint64_t request, Duration retryAfter,
                bool isUnanswered = false);
void handleAnswer(Step step, const std::string &from, const Answer &answer);
/// Admits the requests that wait for a customer's credit, as far as it goes.
void admitHeld(Step step, CustomerPool &pool);
/// Asks the lender for the credit of one request, and more where demand is
/// high.
void askFor(Step step, const std::string &customer, CustomerPool &pool);
/// Lends the own share, sends asks again, and refuses what was held too long.
void runAsker(Step step);

} // namespace zinniarail::quota
