// The lender of a failure domain: its answers, and what lenders give each
// other.
#include "quota/State.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniarail::quota {

namespace {

// Time between two reports to all other lenders, and between two of a shortage:
// a report and its answer take two ways between failure domains.
constexpr Duration ReportInterval = std::chrono::milliseconds{100};
constexpr Duration ShortageInterval = std::chrono::milliseconds{6};

// How long an ask waits for credit of other lenders.
constexpr Duration MaxWaitForOthers = std::chrono::milliseconds{50};

// A lender that had no credit of a customer isn't asked for this time.
constexpr Duration EmptyTime = std::chrono::milliseconds{50};

// A lender that was not heard from for this long is looked for again.
constexpr Duration OtherLenderTimeout = std::chrono::milliseconds{700};

// A lender keeps credit for the demand of this time.
constexpr Duration KeptDemand = std::chrono::milliseconds{200};

// Less is not worth a message.
constexpr double MinTransfer = 0.05;

// Customers in one report, the neediest; a datagram has to hold them.
constexpr std::size_t MaxReportedCustomers = 40;

// Answers that are kept for asks that are sent again.
constexpr std::size_t MaxKeptAnswers = 64;

// Credit that the demand of the next moments takes; whole, since a customer of
// few requests had better leave it where it can be asked for.
double neededOf(const CustomerPool &pool, Instant now) {
  return std::floor(demandOf(pool, now) *
                    std::chrono::duration<double>(KeptDemand).count());
}

std::size_t waitingFor(const CustomerPool &pool) {
  return pool.WaitingAsks + pool.Held.size();
}

CustomerReport shortageOf(Engine &engine, const std::string &customer,
                          CustomerPool &pool, Instant now) {
  const auto waiting = static_cast<double>(waitingFor(pool));
  return {customer, waiting + neededOf(pool, now) - creditOf(engine, pool, now),
          waiting > 0};
}

void answer(Step step, const std::string &asker, const Ask &ask,
            std::vector<Amount> granted, Duration retryAfter) {
  Answer out{ask.Sequence, step.Now, std::move(granted), retryAfter};
  Asker &known = step.State.Askers[asker];
  known.Answers[ask.Sequence] = out;
  while (known.Answers.size() > MaxKeptAnswers) {
    known.Answers.erase(known.Answers.begin());
  }
  step.Output.emplace_back(SendMessage{asker, std::move(out)});
}

// Grants whole requests.
// \returns false if there is no credit for one.
bool grant(Step step, const std::string &asker, const Ask &ask) {
  const Amount &wanted = ask.Wanted.front();
  const auto found = step.State.Pools.find(wanted.Customer);
  if (found == step.State.Pools.end()) {
    // A limit that this instance doesn't know, or no longer.
    answer(step, asker, ask, {wanted}, Duration{0});
    return true;
  }
  CustomerPool &pool = found->second;
  constexpr double tolerance = 1e-9;
  const double most =
      std::floor(creditOf(step.State, pool, step.Now) + tolerance);
  const double credit = std::min(std::floor(wanted.Credit), most);
  if (credit < 1 || !take(step.State, pool, credit, step.Now)) {
    return false;
  }
  pool.Counts.Lent += credit;
  answer(step, asker, ask, {{wanted.Customer, credit}}, Duration{0});
  return true;
}

void deny(Step step, const std::string &asker, const Ask &ask) {
  const std::string &customer = ask.Wanted.front().Customer;
  const auto found = step.State.Pools.find(customer);
  const Duration retryAfter =
      found == step.State.Pools.end()
          ? Duration{0}
          : recordRefusal(step.State, found->second, step.Now);
  answer(step, asker, ask, {{customer, 0}}, retryAfter);
}

void stopWaiting(Engine &engine, const WaitingAsk &ask) {
  const auto pool = engine.Pools.find(ask.Content.Wanted.front().Customer);
  if (pool != engine.Pools.end() && pool->second.WaitingAsks > 0) {
    --pool->second.WaitingAsks;
  }
}

void serveWaiting(Step step) {
  std::erase_if(step.State.Waiting, [&](const WaitingAsk &it) {
    const bool done = grant(step, it.Asker, it.Content);
    if (done) {
      stopWaiting(step.State, it);
    }
    return done;
  });
  for (auto &[name, it] : step.State.Pools) {
    if (!it.Held.empty()) {
      admitHeld(step, it);
    }
  }
}

Report makeReport(const Engine &engine, Instant now,
                  std::vector<CustomerReport> lines) {
  std::sort(lines.begin(), lines.end(), [](const auto &a, const auto &b) {
    return std::make_pair(a.IsWaiting, a.Wanted) >
           std::make_pair(b.IsWaiting, b.Wanted);
  });
  if (lines.size() > MaxReportedCustomers) {
    lines.resize(MaxReportedCustomers);
  }
  return {engine.Self.Id, engine.Self.Domain, now,
          static_cast<std::uint32_t>(engine.RecordedSize), std::move(lines)};
}

// Sends a report to the other lenders, and to an instance of each failure
// domain whose lender is not known: it passes the report on.
void sendReport(Step step) {
  Engine &engine = step.State;
  std::vector<CustomerReport> lines;
  for (auto &[name, it] : engine.Pools) {
    CustomerReport line = shortageOf(engine, name, it, step.Now);
    if (!line.IsWaiting && line.Wanted >= 1) {
      lines.push_back(std::move(line));
    }
  }
  const Report report = makeReport(engine, step.Now, std::move(lines));
  std::map<std::string, std::vector<const KnownInstance *>> unknown;
  for (const KnownInstance &it : engine.Fleet) {
    if (it.Domain != engine.Self.Domain) {
      unknown[it.Domain].push_back(&it);
    }
  }
  for (const auto &[id, it] : engine.OtherLenders) {
    unknown.erase(it.Domain);
    step.Output.emplace_back(SendMessage{id, report});
  }
  for (const auto &[domain, instances] : unknown) {
    const std::uint32_t n =
        drawBelow(engine.Rng, static_cast<std::uint32_t>(instances.size()));
    step.Output.emplace_back(SendMessage{instances[n]->Id, report});
  }
}

// What this lender gives of a customer's credit.
double amountFor(Engine &engine, CustomerPool &pool, const CustomerReport &line,
                 Instant now) {
  const double own = ownCreditOf(engine, pool);
  const double kept = neededOf(pool, now);
  if (line.IsWaiting) {
    return std::min(line.Wanted, own - kept);
  }
  // All lenders get this report; credit that is given twice is lost.
  const auto givers =
      static_cast<double>(std::max<std::size_t>(1, engine.OtherLenders.size()));
  return std::min(line.Wanted / givers, own - 2 * kept);
}

bool mayHave(const OtherLender &lender, const std::string &customer,
             Instant now) {
  const auto empty = lender.EmptyUntil.find(customer);
  return now - lender.HeardAt < OtherLenderTimeout &&
         (empty == lender.EmptyUntil.end() || empty->second <= now);
}

// The other lender to tell of a customer's shortage next; empty: none.
std::string pickLender(Engine &engine, const std::string &customer,
                       Instant now) {
  std::vector<const std::string *> able;
  for (const auto &[id, it] : engine.OtherLenders) {
    if (mayHave(it, customer, now)) {
      able.push_back(&id);
    }
  }
  return able.empty() ? "" : *able[engine.Rotation % able.size()];
}

// Denies the asks that waited long enough, or for which no lender has credit.
void denyHopeless(Step step) {
  Engine &engine = step.State;
  std::erase_if(engine.Waiting, [&](const WaitingAsk &it) {
    const bool isOver =
        step.Now - it.Since >= MaxWaitForOthers ||
        !mayOthersHave(engine, it.Content.Wanted.front().Customer, step.Now);
    if (isOver) {
      stopWaiting(engine, it);
      deny(step, it.Asker, it.Content);
    }
    return isOver;
  });
  for (auto &[name, it] : engine.Pools) {
    while (!it.Held.empty() && !mayOthersHave(engine, name, step.Now)) {
      ++it.Counts.OverQuota;
      refuseHeld(step, it.Held.front(), recordRefusal(engine, it, step.Now));
    }
  }
}

void addShareOf(Step step, const std::string &from, const Ask &ask,
                Asker &asker) {
  Engine &engine = step.State;
  const auto settled = engine.SettledAt.find(from);
  const bool isDated =
      ask.LentFrom != Instant::min() && ask.LentFrom <= step.Now;
  const bool isOwned =
      settled != engine.SettledAt.end() && settled->second <= step.Now;
  if (!isDated || !isOwned || ask.LentFrom + LeaseTime <= step.Now) {
    return;
  }
  setShare(engine, from, {ask.LentFrom + LeaseTime, step.Now + ask.FlowsAfter},
           step.Now);
  if (ask.BringsStartCredit && !asker.BroughtStartCredit) {
    asker.BroughtStartCredit = true;
    addStartCredit(engine, ask.StartsFull);
  }
}

} // namespace

void updateFleetSize(Engine &engine, Instant now) {
  std::size_t size = engine.RecordedSize;
  for (const auto &[id, it] : engine.OtherLenders) {
    size = size == 0 ? 0 : std::max(size, it.FleetSize);
  }
  setFleetSize(engine, size, now);
}

bool mayOthersHave(const Engine &engine, const std::string &customer,
                   Instant now) {
  return std::any_of(
      engine.OtherLenders.begin(), engine.OtherLenders.end(),
      [&](const auto &it) { return mayHave(it.second, customer, now); });
}

void reportShortage(Step step) {
  Engine &engine = step.State;
  if (step.Now < engine.NextShortageAt) {
    return;
  }
  engine.NextShortageAt = step.Now + ShortageInterval;
  ++engine.Rotation;
  std::map<std::string, std::vector<CustomerReport>> byLender;
  for (auto &[name, it] : engine.Pools) {
    if (waitingFor(it) == 0) {
      continue;
    }
    CustomerReport line = shortageOf(engine, name, it, step.Now);
    const std::string lender = pickLender(engine, name, step.Now);
    if (!lender.empty() && line.Wanted > 0) {
      byLender[lender].push_back(std::move(line));
    }
  }
  for (auto &[id, lines] : byLender) {
    step.Output.emplace_back(
        SendMessage{id, makeReport(engine, step.Now, std::move(lines))});
  }
}

void handleAsk(Step step, const std::string &from, const Ask &ask) {
  Engine &engine = step.State;
  if (!isLender(engine)) {
    return; // The sender soon learns who lends.
  }
  Asker &asker = engine.Askers[from];
  if (asker.BootId != ask.BootId) {
    asker = {};
    asker.BootId = ask.BootId;
  }
  if (const auto kept = asker.Answers.find(ask.Sequence);
      kept != asker.Answers.end()) {
    Answer again = kept->second;
    again.SentAt = step.Now;
    step.Output.emplace_back(SendMessage{from, std::move(again)});
    return;
  }
  addShareOf(step, from, ask, asker);
  if (ask.Wanted.empty()) {
    return answer(step, from, ask, {}, Duration{0});
  }
  if (engine.Pools.empty()) {
    return; // The limits aren't known yet; the ask is sent again.
  }
  const std::string &customer = ask.Wanted.front().Customer;
  const bool isWaiting = std::any_of(
      engine.Waiting.begin(), engine.Waiting.end(), [&](const WaitingAsk &it) {
        return it.Asker == from && it.Content.Sequence == ask.Sequence;
      });
  if (isWaiting) {
    return;
  }
  const auto pool = engine.Pools.find(customer);
  if (pool != engine.Pools.end()) {
    recordDemand(pool->second, 1, step.Now);
  }
  if (grant(step, from, ask)) {
    return;
  }
  if (!mayOthersHave(engine, customer, step.Now)) {
    return deny(step, from, ask);
  }
  engine.Waiting.push_back({from, ask, step.Now});
  ++pool->second.WaitingAsks;
  reportShortage(step);
}

void handleReport(Step step, const std::string &from, const Report &report) {
  Engine &engine = step.State;
  if (!isLender(engine)) {
    if (!engine.Lender.empty() && from == report.Lender) {
      step.Output.emplace_back(SendMessage{engine.Lender, report});
    }
    return;
  }
  if (report.Lender == engine.Self.Id) {
    return;
  }
  const bool isNew = !engine.OtherLenders.contains(report.Lender);
  OtherLender &other = engine.OtherLenders[report.Lender];
  other.Domain = report.Domain;
  other.HeardAt = step.Now;
  if (std::exchange(other.FleetSize, report.FleetSize) != report.FleetSize) {
    updateFleetSize(engine, step.Now);
  }
  Transfer transfer{report.SentAt, 0, {}};
  for (const CustomerReport &it : report.Customers) {
    const auto pool = engine.Pools.find(it.Customer);
    double credit = pool == engine.Pools.end()
                        ? 0
                        : amountFor(engine, pool->second, it, step.Now);
    if (credit < MinTransfer) {
      credit = 0;
    }
    if (credit > 0) {
      pool->second.Credit -= credit;
      pool->second.Counts.Lent += credit;
    }
    if (credit > 0 || it.IsWaiting) {
      transfer.Given.push_back({it.Customer, credit});
    }
  }
  if (!transfer.Given.empty()) {
    transfer.Sequence = engine.NextTransfer++;
    step.Output.emplace_back(SendMessage{report.Lender, std::move(transfer)});
  }
  if (isNew) { // So that it knows this one as well.
    engine.NextReportAt = step.Now;
  }
}

void handleTransfer(Step step, const std::string &from,
                    const Transfer &transfer) {
  Engine &engine = step.State;
  const auto other = engine.OtherLenders.find(from);
  const Instant endsAt = transfer.ReportedAt + TransferLifetime;
  if (!isLender(engine) || other == engine.OtherLenders.end() ||
      transfer.Sequence <= other->second.LastTransfer || endsAt <= step.Now ||
      transfer.ReportedAt > step.Now) {
    return; // Late, or a second copy: the credit is lost.
  }
  other->second.LastTransfer = transfer.Sequence;
  for (const Amount &it : transfer.Given) {
    if (it.Credit <= 0) {
      other->second.EmptyUntil[it.Customer] = step.Now + EmptyTime;
    } else if (const auto pool = engine.Pools.find(it.Customer);
               pool != engine.Pools.end()) {
      addInHand(pool->second, it.Credit, endsAt);
    }
  }
  serveWaiting(step);
  denyHopeless(step);
  reportShortage(step);
}

void runLender(Step step) {
  Engine &engine = step.State;
  serveWaiting(step);
  denyHopeless(step);
  reportShortage(step);
  const std::size_t gone = std::erase_if(engine.OtherLenders, [&](auto &it) {
    return step.Now - it.second.HeardAt >= OtherLenderTimeout;
  });
  if (gone > 0) {
    updateFleetSize(engine, step.Now);
  }
  if (engine.NextReportAt <= step.Now) {
    engine.NextReportAt = step.Now + ReportInterval;
    sendReport(step);
  }
}

} // namespace zinniarail::quota
