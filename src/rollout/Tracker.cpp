#include "zinniarail/rollout/Tracker.h"

#include <algorithm>
#include <set>

namespace zinniarail::rollout {

namespace {

// An instance that has not reported for so long no longer holds up the end of a
// roll-out.
constexpr Duration FreshTime = std::chrono::milliseconds{1000};

// How much later than the reader before it a reader decides.
constexpr Duration TurnDelay = std::chrono::milliseconds{300};

// How long only the target is used after its roll-out was completed: the
// registrations of the old upstreams, which stop at once, expire meanwhile.
constexpr Duration CompletedTime = std::chrono::seconds{10};

// A service that has had no other upstreams than the target's for so long after
// a roll-back was moved without an order.
constexpr Duration RolledBackTime = std::chrono::seconds{60};

bool isFinal(const Order &it) {
  return it.State == Phase::Completed || it.State == Phase::RolledBack;
}

double shareOf(const TrackedOrder &it) {
  switch (it.Current.State) {
  case Phase::Running:
    return it.IsSuspended ? 0 : it.Current.Share;
  case Phase::Completed:
    return 1;
  case Phase::Ordered:
  case Phase::RolledBack:
    break;
  }
  return 0;
}

TrackedOrder *findOrder(Tracker &tracker, const OrderKey &key) {
  for (auto &[name, it] : tracker.Tracked) {
    if (keyOf(it.Current) == key) {
      return &it;
    }
  }
  return nullptr;
}

TrackedOrder *findActive(Tracker &tracker, const std::string &service) {
  for (auto &[name, it] : tracker.Tracked) {
    if (it.Current.Service == service && !isFinal(it.Current)) {
      return &it;
    }
  }
  return nullptr;
}

const Tracker::KnownUpstream *findUpstream(const Tracker &tracker,
                                           const std::string &service,
                                           const std::string &upstream) {
  const auto all = tracker.Upstreams.find(service);
  if (all == tracker.Upstreams.end()) {
    return nullptr;
  }
  const auto it = all->second.find(upstream);
  return it == all->second.end() ? nullptr : &it->second;
}

// The counts to add to; null if they are none of an order's.
VersionCounts *findCounts(Tracker &tracker, TrackedOrder *order,
                          const std::string &upstream,
                          const std::string &route) {
  const auto *known =
      order == nullptr
          ? nullptr
          : findUpstream(tracker, order->Current.Service, upstream);
  if (known == nullptr) {
    return nullptr;
  }
  RouteCounts &counts = order->Own.Routes[route];
  return known->Version == order->Current.Target ? &counts.Target : &counts.Old;
}

// Adds what was received; what is not fresh counts for the past only.
void addReceived(Evidence &sum, const TrackedOrder::Received &it, Instant now) {
  Evidence seen = it.Seen;
  if (now - it.At > FreshTime) {
    seen.OpenOld = 0;
    seen.Share = 1;
  }
  add(sum, seen);
}

Evidence ownDomain(const TrackedOrder &order, Instant now) {
  Evidence sum = order.Own;
  for (const auto &[bootId, it] : order.Followers) {
    addReceived(sum, it, now);
  }
  return sum;
}

// The old version's counts on a route, of the fleet if these are known.
const VersionCounts &usualTimes(const TrackedOrder &order,
                                const std::string &route) {
  const VersionCounts &own = order.Own.Routes.at(route).Old;
  if (!order.Fleet) {
    return own;
  }
  const auto fleet = order.Fleet->Seen.Routes.find(route);
  return fleet != order.Fleet->Seen.Routes.end() &&
                 fleet->second.Old.Good > own.Good
             ? fleet->second.Old
             : own;
}

std::uint64_t sentOf(const Evidence &it) {
  const RouteCounts total = totalOf(it);
  return total.Old.Sent + total.Target.Sent;
}

// A domain's reader may have changed: the new one lacks what was counted by
// instances that have ended, so the larger sum holds.
std::map<std::string, TrackedOrder::Received>
otherDomains(const Tracker &tracker, const TrackedOrder &order) {
  std::map<std::string, TrackedOrder::Received> best;
  for (const auto &[key, it] : order.Domains) {
    if (key.first == tracker.Context.Domain) {
      continue;
    }
    const auto [at, isNew] = best.try_emplace(key.first, it);
    TrackedOrder::Received &known = at->second;
    if (isNew) {
      continue;
    }
    const TrackedOrder::Received &newest = known.At < it.At ? it : known;
    const TrackedOrder::Received &larger =
        sentOf(known.Seen) < sentOf(it.Seen) ? it : known;
    TrackedOrder::Received merged = newest;
    merged.Seen.Routes = larger.Seen.Routes;
    known = merged;
  }
  return best;
}

Evidence fleetEvidence(const Tracker &tracker, const TrackedOrder &order,
                       Instant now) {
  Evidence sum = ownDomain(order, now);
  for (const auto &[domain, it] : otherDomains(tracker, order)) {
    addReceived(sum, it, now);
  }
  return sum;
}

// The number of fresh domains whose readers decide before this one.
std::size_t turnOf(const Tracker &tracker, const TrackedOrder &order,
                   Instant now) {
  std::set<std::string> before;
  for (const auto &[key, it] : order.Domains) {
    if (key.first < tracker.Context.Domain && now - it.At <= FreshTime) {
      before.insert(key.first);
    }
  }
  return before.size();
}

Situation situationOf(const Tracker &tracker, TrackedOrder &order,
                      Instant now) {
  Situation out;
  out.Current = order.Current;
  out.Elapsed = now - order.BeganAt;
  out.Counted =
      order.Current.State == Phase::Ordered ? now - order.SeenAt : out.Elapsed;
  out.Seen = fleetEvidence(tracker, order, now);
  const bool isSettled = out.Seen.Share >= 1 && out.Seen.OpenOld == 0;
  order.SettledSince =
      isSettled ? std::min(order.SettledSince, now) : Instant::max();
  out.Settled = isSettled ? now - order.SettledSince : Duration{0};
  const auto all = tracker.Upstreams.find(order.Current.Service);
  if (all != tracker.Upstreams.end()) {
    for (const auto &[id, it] : all->second) {
      (it.Version == order.Current.Target ? out.TargetSlots : out.OldSlots) +=
          it.Slots;
    }
  }
  return out;
}

bool hasOldUpstream(const Tracker &tracker, const Order &order) {
  const auto all = tracker.Upstreams.find(order.Service);
  return all == tracker.Upstreams.end() ||
         std::any_of(
             all->second.begin(), all->second.end(),
             [&](const auto &it) { return it.second.Version != order.Target; });
}

void replace(TrackedOrder &tracked, const Order &order, Instant now) {
  const Instant beganAt = now - order.Elapsed;
  if (keyOf(tracked.Current) != keyOf(order) || tracked.SeenAt == Instant{}) {
    tracked = {};
    tracked.SeenAt = now;
    tracked.BeganAt = beganAt;
  }
  tracked.BeganAt = std::min(tracked.BeganAt, beganAt);
  if (tracked.Current.State != order.State ||
      tracked.Current.Share != order.Share) {
    tracked.SettledSince = Instant::max();
    tracked.StepDueSince = Instant::max();
  }
  tracked.Current = order;
  tracked.EndedAt =
      isFinal(order) ? std::min(tracked.EndedAt, now) : Instant::max();
}

} // namespace

void applyOrders(Tracker &tracker, const Orders &orders, Instant now) {
  std::erase_if(tracker.Tracked,
                [&](const auto &it) { return !orders.contains(it.first); });
  for (const auto &[name, order] : orders) {
    TrackedOrder &tracked = tracker.Tracked[name];
    if (tracked.SeenAt == Instant{} || tracked.Current != order) {
      replace(tracked, order, now);
    }
  }
}

void recordSent(Tracker &tracker, const std::string &service,
                const std::string &upstream, const std::string &route) {
  if (auto *counts =
          findCounts(tracker, findActive(tracker, service), upstream, route)) {
    ++counts->Sent;
  }
}

void recordAnswer(Tracker &tracker, const AnswerSeen &answer) {
  TrackedOrder *order = findActive(tracker, answer.Service);
  VersionCounts *counts =
      findCounts(tracker, order, answer.Upstream, answer.Route);
  if (counts == nullptr || answer.Quality == AnswerQuality::Unrun) {
    return;
  }
  const auto slow =
      isSlow(usualTimes(*order, answer.Route), answer.Took, answer.IsCold);
  if (answer.Quality == AnswerQuality::CutOff && !slow.value_or(false)) {
    return;
  }
  ++counts->Ended;
  if (answer.Quality == AnswerQuality::Failed) {
    ++counts->Failed;
    return; // A failure may take any time.
  }
  if (slow) {
    ++counts->Timed;
    counts->Slow += *slow ? 1 : 0;
  }
  if (answer.Quality == AnswerQuality::Good && !answer.IsCold) {
    ++counts->Good;
    counts->GoodMicros += static_cast<std::uint64_t>(answer.Took.count());
  }
}

bool isActive(const Tracker &tracker) {
  return std::any_of(
      tracker.Tracked.begin(), tracker.Tracked.end(),
      [](const auto &it) { return !isFinal(it.second.Current); });
}

bool isOld(const Tracker &tracker, const OrderKey &order,
           const std::string &upstream) {
  const auto *known = findUpstream(tracker, order.Service, upstream);
  return known == nullptr || known->Version != order.Target;
}

std::vector<Report> makeReports(Tracker &tracker, bool isReader,
                                const OpenCounter &countOpen, Instant now) {
  std::vector<Report> reports;
  ++tracker.Sequence;
  const TrackerContext &self = tracker.Context;
  for (auto &[name, order] : tracker.Tracked) {
    if (isFinal(order.Current)) {
      continue;
    }
    const OrderKey key = keyOf(order.Current);
    order.Own.OpenOld = countOpen(key);
    order.Own.Share = shareOf(order);
    const auto add = [&](ReportScope scope, Evidence seen) {
      reports.push_back({key, scope, self.Domain, self.BootId, tracker.Sequence,
                         std::move(seen)});
    };
    if (!isReader) {
      add(ReportScope::Instance, order.Own);
      continue;
    }
    order.Fleet = {fleetEvidence(tracker, order, now), tracker.Sequence, now};
    add(ReportScope::Fleet, order.Fleet->Seen);
    add(ReportScope::Domain, ownDomain(order, now));
    for (const auto &[from, it] : order.Domains) {
      if (from.first != self.Domain && now - it.At <= FreshTime) {
        reports.push_back({key, ReportScope::Domain, from.first, from.second,
                           it.Sequence, it.Seen});
      }
    }
  }
  return reports;
}

void receive(Tracker &tracker, const Report &report, Instant now) {
  TrackedOrder *order = findOrder(tracker, report.Of);
  if (order == nullptr || report.BootId == tracker.Context.BootId) {
    return;
  }
  TrackedOrder::Received *known = nullptr;
  switch (report.Scope) {
  case ReportScope::Instance:
    known = &order->Followers[report.BootId];
    break;
  case ReportScope::Domain:
    known = &order->Domains[{report.Domain, report.BootId}];
    break;
  case ReportScope::Fleet:
    order->Fleet = {report.Seen, report.Sequence, now};
    return;
  }
  if (known->Sequence < report.Sequence) {
    *known = {report.Seen, report.Sequence, now};
  }
}

bool suspendFaulty(Tracker &tracker, bool isReader, Instant now) {
  bool any = false;
  for (auto &[name, order] : tracker.Tracked) {
    if (order.IsSuspended || isFinal(order.Current)) {
      continue;
    }
    const bool isLed = order.Fleet && now - order.Fleet->At <= FreshTime;
    const auto fault = findFault(isReader ? fleetEvidence(tracker, order, now)
                                 : isLed  ? order.Fleet->Seen
                                          : order.Own);
    if (fault) {
      order.IsSuspended = any = true;
      order.Fault = describe(*fault);
    }
  }
  return any;
}

std::vector<StatusWrite> decide(Tracker &tracker, Instant now) {
  std::vector<StatusWrite> writes;
  for (auto &[name, order] : tracker.Tracked) {
    const Situation situation = situationOf(tracker, order, now);
    const auto step = nextStep(situation, tracker.Context.Limits);
    if (!step) {
      order.StepDueSince = Instant::max();
      continue;
    }
    order.StepDueSince = std::min(order.StepDueSince, now);
    const Duration turn =
        TurnDelay * static_cast<Duration::rep>(turnOf(tracker, order, now));
    if (step->State != Phase::RolledBack && now - order.StepDueSince < turn) {
      continue;
    }
    StatusWrite write{name, order.Current, step->Why};
    write.Changed.State = step->State;
    write.Changed.Share = step->Share;
    write.Changed.Elapsed = situation.Elapsed;
    writes.push_back(std::move(write));
  }
  return writes;
}

Divisions divisionsOf(const Tracker &tracker, Instant now) {
  Divisions out;
  for (const auto &[name, it] : tracker.Tracked) {
    const Order &order = it.Current;
    const bool isOver =
        (order.State == Phase::Completed &&
         now - it.EndedAt >= CompletedTime) ||
        (order.State == Phase::RolledBack &&
         now - it.EndedAt >= RolledBackTime && !hasOldUpstream(tracker, order));
    if (!isOver) {
      out[order.Service] = {order.Target, shareOf(it)};
    }
  }
  return out;
}

} // namespace zinniarail::rollout
