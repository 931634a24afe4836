#include "proxy/Proxy.h"

#include <algorithm>

#include <boost/json.hpp>

#include "proxy/Refusal.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// An attempt id is the service's number, shifted left by this many bits, plus
// the attempt's number within the service.
constexpr unsigned AttemptNumberBits = 40;

// The fraction of the fleet's health-check rate that the known instances share;
// the rest is reserved for instances that are not known yet.
constexpr double UsedProbeFraction = 0.9;

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace

Proxy::Proxy(ProxyContext context, ProxyCallbacks callbacks,
             prometheus::Registry &registry)
    : Context(std::move(context)), Callbacks(std::move(callbacks)),
      RequestMetrics(registry),
      Rng(Context.Seed, hashBytes(Context.InstanceId)) {}

void Proxy::onRoutingSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  const bool hasNewConfig =
      snapshot->Config && (!Snapshot || Snapshot->Config != snapshot->Config);
  Snapshot = std::move(snapshot);
  if (hasNewConfig) {
    updateCustomers(*Snapshot->Config);
  }
  for (auto &[name, entry] : Services) {
    if (const ServiceConfig *it =
            Snapshot->Config ? findService(*Snapshot->Config, name) : nullptr) {
      entry->HealthPath = it->HealthPath;
    }
    std::map<std::string, Target> targets = targetsOf(name);
    for (const auto &[id, it] : entry->Targets) {
      const auto found = targets.find(id);
      if (found == targets.end() || found->second.Address != it.Address) {
        Callbacks.CloseIdleConnections(it.Address);
      }
    }
    entry->Targets = std::move(targets);
    applyPlan(*entry);
  }
  processEvents();
}

void Proxy::applyPlan(ServiceEntry &entry) {
  balance::Actions actions;
  balance::updatePlan(*entry.Engine, makePlan(entry.Name), readClock(),
                      actions);
  for (balance::Action &it : actions) {
    performAction(entry, it);
  }
  updateTimer(entry);
}

void Proxy::stopAt(Instant when) {
  StopsAt = when;
  for (auto &[name, entry] : Services) {
    applyPlan(*entry);
  }
  for (auto &[id, it] : OpenRequests) {
    if (it.RelayState && it.RelayState->EndsAt > when) {
      RelayDeadlines.erase({it.RelayState->EndsAt, id});
      it.RelayState->EndsAt = when;
      RelayDeadlines.emplace(when, id);
    }
  }
  processEvents();
}

std::map<std::string, Proxy::Target>
Proxy::targetsOf(const std::string &service) const {
  std::map<std::string, Target> targets;
  for (const Upstream &it : Snapshot->Upstreams) {
    if (it.Service == service) {
      targets.emplace(it.Id, Target{it.Address, it.StartedMs});
    }
  }
  return targets;
}

balance::ServicePlan Proxy::makePlan(const std::string &service) const {
  balance::ServicePlan plan;
  plan.Service = service;
  plan.Domain = Context.Domain;
  plan.Instance = Context.InstanceId;
  plan.Instances = Snapshot->InstanceIds;
  std::vector<const Upstream *> inService;
  for (const Upstream &it : Snapshot->Upstreams) {
    if (it.Service == service && !it.Draining &&
        !Snapshot->EvacuatedDomains.contains(it.Domain)) {
      inService.push_back(&it);
    }
  }
  const auto division = Snapshot->Divisions.find(service);
  const bool isDivided = division != Snapshot->Divisions.end();
  if (isDivided) {
    inService = rollout::selectUpstreams(inService, division->second);
  }
  bool hasTarget = false;
  bool hasOthers = false;
  for (const Upstream *it : inService) {
    const bool isTarget = isDivided && it->Version == division->second.Target;
    (isTarget ? hasTarget : hasOthers) = true;
    plan.Upstreams.push_back({it->Id, it->Domain, it->Slots,
                              it->WarmupRemaining, it->StartedMs, isTarget});
  }
  if (hasTarget && hasOthers) {
    plan.TargetShare = division->second.Share;
  }
  const FleetLimits &limits = Context.Limits;
  plan.Budget = {limits.RetryRatio, limits.ExtraRetries, Snapshot->FleetSize};
  const ServiceConfig *config =
      Snapshot->Config ? findService(*Snapshot->Config, service) : nullptr;
  if (config != nullptr && config->WarmupPerSecond > 0) {
    plan.ColdUpstreams = {config->WarmupPerSecond * limits.ColdOvershoot +
                              limits.ColdSlack,
                          Snapshot->FleetSize};
  }
  plan.ProbesPerSecond = limits.ProbesPerSecond * UsedProbeFraction /
                         static_cast<double>(Snapshot->FleetSize);
  plan.StopsAt = StopsAt;
  // Customers share the room, which needs an order among their requests.
  plan.OrdersByCost = Context.OrdersByCost || !Customers.ByName.empty();
  return plan;
}

Proxy::ServiceEntry &Proxy::getOrCreateEntry(const std::string &service) {
  auto &entry = Services[service];
  if (!entry) {
    entry = std::make_unique<ServiceEntry>();
    entry->Name = service;
    entry->Reach.Service = service;
    if (const ServiceConfig *it = findService(*Snapshot->Config, service)) {
      entry->HealthPath = it->HealthPath;
    }
    entry->Targets = targetsOf(service);
    const std::uint64_t firstAttempt =
        (static_cast<std::uint64_t>(Services.size()) << AttemptNumberBits) + 1;
    entry->Engine = balance::makeEngine(
        makePlan(service), Random(Context.Seed, hashBytes(service)),
        firstAttempt, readClock(), CrashQuarantine);
    if (!AllServices.Applied) {
      postEvent(*entry, balance::ReachChanged{false});
    }
  }
  return *entry;
}

void Proxy::onCallerGone(http::ExchangeId id) {
  if (HeldRequests.erase(id) > 0) {
    return Callbacks.ForgetHeld(id);
  }
  const auto it = OpenRequests.find(id);
  if (it == OpenRequests.end()) {
    return;
  }
  ServiceEntry &entry = *it->second.Entry;
  RequestEnd end;
  end.Kind = RequestEnd::EndKind::CallerGone;
  const Instant now = readClock();
  Log.write(it->second.Record, end, now);
  RequestMetrics.recordRequestEnd(it->second.Record, end, now);
  if (it->second.RelayState && it->second.Idempotent) {
    Callbacks.CancelCall(it->second.RelayState->Call);
  }
  eraseRequest(id);
  postEvent(entry, balance::CallerGone{balance::RequestId{id}});
  processEvents();
}

// Erases a request and its calls that have ended; a call still in flight is
// erased when it ends.
void Proxy::eraseRequest(http::ExchangeId id) {
  const auto it = OpenRequests.find(id);
  for (const AttemptRecord &attempt : it->second.Record.Attempts) {
    const auto call = Calls.find(attempt.Id);
    if (call != Calls.end() && call->second.HasEnded) {
      Calls.erase(call);
    }
  }
  if (it->second.RelayState) {
    RelayDeadlines.erase({it->second.RelayState->EndsAt, id});
  }
  OpenRequests.erase(it);
}

void Proxy::onQuarantineNotice(const balance::Event &notice) {
  if (!balance::applyNotice(*CrashQuarantine, notice, readClock())) {
    return;
  }
  if (const auto *it = std::get_if<balance::PeerQuarantined>(&notice)) {
    logEvent(EventId::RequestsCondemned,
             {{"fingerprint", it->Fingerprint}, {"by", "another instance"}});
  }
  for (auto &[name, entry] : Services) { // Queued requests may be refused now.
    postEvent(*entry, balance::TimerExpired{});
  }
  processEvents();
}

void Proxy::onLimitEnded(const std::string &upstream) {
  for (auto &[name, entry] : Services) {
    if (entry->Targets.contains(upstream)) {
      postEvent(*entry, balance::PeerLimitEnded{upstream});
    }
  }
  processEvents();
}

std::vector<balance::PeerQuarantined>
Proxy::latestQuarantines(std::size_t most) const {
  return balance::latestQuarantines(*CrashQuarantine, most, readClock());
}

void Proxy::onTimer() {
  const Instant now = readClock();
  while (!Timers.empty() && Timers.begin()->first <= now) {
    ServiceEntry *entry = Timers.begin()->second;
    Timers.erase(Timers.begin());
    entry->NextTimer = Instant::max();
    postEvent(*entry, balance::TimerExpired{});
  }
  processEvents();
  expireRelays();
  advanceReach();
}

Instant Proxy::nextTimer() const {
  Instant next = nextReachTime();
  if (!Timers.empty()) {
    next = std::min(next, Timers.begin()->first);
  }
  if (!RelayDeadlines.empty()) {
    next = std::min(next, RelayDeadlines.begin()->first);
  }
  return next;
}

void Proxy::postEvent(ServiceEntry &entry, balance::Event event) {
  PendingEvents.emplace_back(&entry, std::move(event));
}

void Proxy::processEvents() {
  if (IsProcessingEvents) {
    return; // The outer call also processes the newly posted events.
  }
  IsProcessingEvents = true;
  balance::Actions actions;
  while (!PendingEvents.empty()) {
    const auto [entry, event] = std::move(PendingEvents.front());
    PendingEvents.pop_front();
    actions.clear();
    balance::handleEvent(*entry->Engine, event, readClock(), actions);
    for (balance::Action &it : actions) {
      performAction(*entry, it);
    }
    updateTimer(*entry);
  }
  IsProcessingEvents = false;
}

void Proxy::updateTimer(ServiceEntry &entry) {
  const Instant next = balance::nextTimer(*entry.Engine);
  if (next == entry.NextTimer) {
    return;
  }
  Timers.erase({entry.NextTimer, &entry});
  entry.NextTimer = next;
  if (next != Instant::max()) {
    Timers.emplace(next, &entry);
  }
}

void Proxy::performAction(ServiceEntry &entry, balance::Action &action) {
  std::visit(
      Overloaded{
          [&](const balance::StartAttempt &it) { startAttempt(entry, it); },
          [&](const balance::CancelAttempt &it) {
            Callbacks.CancelCall(balance::numberOf(it.Attempt));
          },
          [&](const balance::Deliver &it) { deliver(it); },
          [&](const balance::Refuse &it) { refuse(it); },
          [&](const balance::SendProbe &it) { startProbe(entry, it); },
          [&](const balance::BroadcastSuspected &it) {
            Callbacks.BroadcastSuspected(it.Suspect);
          },
          [&](const balance::BroadcastQuarantined &it) {
            logEvent(EventId::RequestsCondemned,
                     {{"service", entry.Name},
                      {"fingerprint", it.Fingerprint},
                      {"by", "this instance"}});
            Callbacks.BroadcastQuarantined(it.Fingerprint);
          },
          [&](const balance::BroadcastCleared &it) {
            Callbacks.BroadcastCleared(it.Fingerprint);
          },
          [&](const balance::BroadcastLimitEnded &it) {
            Callbacks.BroadcastLimitEnded(it.Upstream);
          },
          [&](const balance::CrashChecked &it) {
            logEvent(EventId::CrashChecked,
                     {{"service", entry.Name},
                      {"upstream", it.Suspect.Upstream},
                      {"fingerprint", it.Suspect.Fingerprint},
                      {"ran_ms", it.RanFor},
                      {"stale", it.StaleKeepAlive ? "maybe" : "no"},
                      {"verdict", balance::nameOf(it.Result)}});
          },
          [&](const balance::UpstreamStatusChanged &it) {
            reportStatusChange(entry, it);
          },
          [&](const balance::RetryBudgetExhausted &) {
            logEvent(EventId::BudgetSpent, {{"service", entry.Name}});
          }},
      action);
}

void Proxy::reportStatusChange(const ServiceEntry &entry,
                               const balance::UpstreamStatusChanged &change) {
  EventId id = EventId::UpstreamBack;
  if (change.NewStatus == balance::UpstreamStatusChanged::Status::Ejected) {
    id = EventId::UpstreamEjected;
    RequestMetrics.recordEjection(entry.Name);
  } else if (change.NewStatus == balance::UpstreamStatusChanged::Status::Cold) {
    id = EventId::UpstreamCold;
  } else if (change.NewStatus ==
             balance::UpstreamStatusChanged::Status::Refusing) {
    id = EventId::UpstreamRefusing;
  } else if (change.NewStatus ==
                 balance::UpstreamStatusChanged::Status::Limited ||
             change.NewStatus ==
                 balance::UpstreamStatusChanged::Status::Unlimited) {
    id = EventId::UpstreamLimited;
  }
  logEvent(id, {{"service", entry.Name},
                {"upstream", change.Upstream},
                {"why", change.Reason},
                {"for_ms", change.ExpectedDuration}});
}

void Proxy::deliver(const balance::Deliver &action) {
  const auto call = Calls.find(balance::numberOf(action.Attempt));
  if (call == Calls.end() || !call->second.HasEnded) {
    return;
  }
  http::Response response = std::move(call->second.Result.Response);
  http::removeHopByHopHeaders(response.Fields);
  // Another instance would take them for what this one says.
  http::removeHeader(response.Fields, OutcomeHeader);
  http::removeHeader(response.Fields, ReasonHeader);
  RequestEnd end;
  end.Status = response.Status;
  finishRequest(balance::numberOf(action.Request), std::move(response), end);
}

void Proxy::refuse(const balance::Refuse &action) {
  if (beginRelay(action)) {
    return;
  }
  RequestEnd end;
  end.Kind = RequestEnd::EndKind::Refused;
  end.Status = statusOf(action.Reason, action.Outcome);
  end.Reason = balance::nameOf(action.Reason);
  end.Outcome = action.Outcome;
  end.RetryAfter = action.RetryAfter;
  end.Upstreams = &action.Upstreams;
  finishRequest(balance::numberOf(action.Request), makeRefusal(end), end);
}

void Proxy::finishRequest(http::ExchangeId id, http::Response response,
                          const RequestEnd &end) {
  const auto it = OpenRequests.find(id);
  if (it == OpenRequests.end()) {
    return;
  }
  const RequestRecord &record = it->second.Record;
  const std::string &name = Context.PlatformDialect->RequestId;
  if (!record.Id.empty() &&
      http::findHeader(response.Fields, name) == nullptr) {
    response.Fields.push_back({name, record.Id});
  }
  const Instant now = readClock();
  Log.write(record, end, now);
  RequestMetrics.recordRequestEnd(record, end, now);
  returnCreditOf(it->second, end);
  eraseRequest(id);
  Callbacks.SendResponse(id, std::move(response));
}

void Proxy::logOmittedCount() { Log.logOmittedCount(readClock()); }

void Proxy::updateGauges() {
  for (const auto &[name, entry] : Services) {
    RequestMetrics.setGauges(name, balance::openRequests(*entry->Engine),
                             balance::waitingRequests(*entry->Engine),
                             balance::retryTokens(*entry->Engine));
  }
}

boost::json::object Proxy::describe(Instant now) const {
  boost::json::array services;
  for (const auto &[name, entry] : Services) {
    services.push_back(balance::describe(*entry->Engine, now));
  }
  return {
      {"open", OpenRequests.size()},
      {"version", Snapshot && Snapshot->Config ? Snapshot->Config->Version : 0},
      {"services", std::move(services)}};
}

} // namespace zinniarail::proxy
