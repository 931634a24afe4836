#include "proxy/Proxy.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/json.hpp>

#include "proxy/Refusal.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// An attempt id is the service's number, shifted left by this many bits, plus
// the attempt's number within the service.
constexpr unsigned AttemptNumberBits = 40;

// Call ids of health checks lie above this value, and call ids of attempts lie
// below it; Relay.cpp and Reach.cpp have ids further above.
constexpr http::CallId ProbeIdBase = http::CallId{1} << 62;

constexpr Duration ProbeConnectTimeout = std::chrono::milliseconds{250};
constexpr Duration ConnectTimeout = std::chrono::milliseconds{150};

// A health check may wait for a slot, as requests do. One that has no complete
// response by then would keep its upstream from being checked again.
constexpr Duration ProbeTimeout = std::chrono::seconds{3};

// The fraction of the fleet's health-check rate that the known instances share;
// the rest is reserved for instances that are not known yet.
constexpr double UsedProbeFraction = 0.9;

// A keep-alive connection that was idle for longer than this is not reused; the
// request gets a new one. An upstream may drop an idle connection without
// notice, and it is then unknown whether a request sent on it ran, so requests
// that must not run twice have the shorter limit, MaxIdleTimeNonIdempotent.
constexpr Duration MaxIdleTimeNonIdempotent = std::chrono::milliseconds{200};
constexpr Duration MaxIdleTimeIdempotent = std::chrono::seconds{60};

// Retry-After while no configuration is known: about the time that an instance
// needs from its start until it has one.
constexpr Duration NoConfigurationRetryAfter = std::chrono::milliseconds{100};

// Retry-After for a request that matches no route while a newer configuration
// may have one: another instance may know it already.
constexpr Duration OutdatedStateRetryAfter = std::chrono::milliseconds{100};

// The longest deadline accepted, one hour; a longer one is rejected as invalid.
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;
constexpr unsigned Misdirected = 421;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

// The host in a request's Host header, without the port; empty if there is
// none.
std::string_view hostOf(const http::Request &request) {
  const std::string *host = http::findHeader(request.Fields, "Host");
  return host == nullptr ? std::string_view{}
                         : std::string_view(*host).substr(0, host->find(':'));
}

std::uint64_t fingerprintOf(const http::Request &request) {
  std::uint64_t digest = hashBytes(request.Method);
  digest = hashCombine(digest, hashBytes(hostOf(request)));
  digest = hashCombine(digest, hashBytes(request.Target));
  return hashCombine(digest, hashBytes(request.Body));
}

} // namespace

Proxy::Proxy(ProxyContext context, ProxyCallbacks callbacks,
             prometheus::Registry &registry)
    : Context(std::move(context)), Callbacks(std::move(callbacks)),
      RequestMetrics(registry),
      Rng(Context.Seed, hashBytes(Context.InstanceId)) {}

void Proxy::onRoutingSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  Snapshot = std::move(snapshot);
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
  for (const Upstream &it : Snapshot->Upstreams) {
    if (it.Service == service && !it.Draining &&
        !Snapshot->EvacuatedDomains.contains(it.Domain)) {
      plan.Upstreams.push_back(
          {it.Id, it.Domain, it.Slots, it.WarmupRemaining, it.StartedMs});
    }
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

const Route *Proxy::routeOf(const http::Request &request) const {
  const std::string_view host = hostOf(request);
  if (!Snapshot || !Snapshot->Config || host.empty()) {
    return nullptr;
  }
  return findRoute(*Snapshot->Config, host, http::pathOf(request.Target));
}

bool Proxy::mayRunConcurrently(const http::Request &request) const {
  const Route *route = routeOf(request);
  return route == nullptr || route->Idempotent;
}

const std::string &Proxy::pickService(const Route &route) {
  unsigned totalWeight = 0;
  for (const Destination &it : route.Destinations) {
    totalWeight += it.Weight;
  }
  if (totalWeight == 0) {
    return route.Destinations.front().Service;
  }
  unsigned draw = drawBelow(Rng, totalWeight);
  for (const Destination &it : route.Destinations) {
    if (draw < it.Weight) {
      return it.Service;
    }
    draw -= it.Weight;
  }
  return route.Destinations.back().Service;
}

std::optional<Instant> Proxy::deadlineOf(const http::Request &request,
                                         const Route &route,
                                         Instant now) const {
  const Instant limit = now + route.Timeout;
  const std::string *text =
      http::findHeader(request.Fields, Context.PlatformDialect->Deadline);
  if (text == nullptr) {
    return limit;
  }
  std::int64_t ms = 0;
  const char *last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, ms);
  if (ec != std::errc{} || end != last || ms < 0 || ms > MaxDeadlineMs) {
    return std::nullopt;
  }
  return std::min(limit, now + Duration(std::chrono::milliseconds{ms}));
}

// Its caller may have seen the effect of the version of the instance that
// relays it, and would go back to an older one here.
bool Proxy::isRelayOfAnotherVersion(const http::Request &request) const {
  if (http::findHeader(request.Fields, RelayedHeader) == nullptr) {
    return false;
  }
  const std::string *version = http::findHeader(request.Fields, VersionHeader);
  return version != nullptr &&
         *version != std::to_string(Snapshot->Config->Version);
}

void Proxy::onRequest(http::ExchangeId id, http::Request request) {
  const Instant now = readClock();
  if (!Snapshot || !Snapshot->Config) {
    return refuseUndispatched(id, request, Unavailable, "no-configuration",
                              NoConfigurationRetryAfter);
  }
  if (isRelayOfAnotherVersion(request)) {
    return refuseUndispatched(id, request, Unavailable, VersionMismatch,
                              OutdatedStateRetryAfter);
  }
  const Route *route = routeOf(request);
  if (route == nullptr && Callbacks.IsStateOutdated()) {
    return refuseUndispatched(id, request, Unavailable, "state-outdated",
                              OutdatedStateRetryAfter);
  }
  if (route == nullptr) {
    return refuseUndispatched(id, request, NotFound, "no-route", Duration{0});
  }
  const auto deadline = deadlineOf(request, *route, now);
  if (!deadline) {
    return refuseUndispatched(id, request, BadRequest, "bad-deadline",
                              Duration{0});
  }
  ServiceEntry &entry = getOrCreateEntry(pickService(*route));
  balance::RequestArrived event;
  event.Request = balance::RequestId{id};
  event.Policy = {route->Name, route->Idempotent, route->Priority,
                  route->MaxAttempts, route->TargetLatency};
  event.Fingerprint = fingerprintOf(request);
  event.Deadline = *deadline;
  const std::string *callerId =
      http::findHeader(request.Fields, Context.PlatformDialect->RequestId);
  RequestRecord record{callerId == nullptr ? "" : *callerId,
                       entry.Name,
                       route->Name,
                       event.Fingerprint,
                       Snapshot->Config->Version,
                       now,
                       route->TargetLatency,
                       *deadline - now,
                       {}};
  http::removeHopByHopHeaders(request.Fields);
  http::removeHeader(request.Fields, Context.PlatformDialect->Deadline);
  http::removeHeader(request.Fields, Context.PlatformDialect->ExpectedInstance);
  const bool wasRelayed =
      http::findHeader(request.Fields, RelayedHeader) != nullptr;
  http::removeHeader(request.Fields, RelayedHeader);
  http::removeHeader(request.Fields, VersionHeader);
  OpenRequests.emplace(id, OpenRequest{std::move(request), &entry,
                                       route->Idempotent, wasRelayed,
                                       std::move(record), std::nullopt});
  postEvent(entry, std::move(event));
  processEvents();
}

void Proxy::onCallerGone(http::ExchangeId id) {
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

void Proxy::startAttempt(ServiceEntry &entry,
                         const balance::StartAttempt &action) {
  const auto found = OpenRequests.find(balance::numberOf(action.Request));
  const auto target = entry.Targets.find(action.Upstream);
  if (found == OpenRequests.end() || target == entry.Targets.end()) {
    postEvent(entry, balance::AttemptEnded{action.Attempt});
    return;
  }
  OpenRequest &request = found->second;
  const Instant now = readClock();
  const http::CallId id = balance::numberOf(action.Attempt);
  request.Record.Attempts.push_back(
      {id, action.Upstream, action.Reason, now, false, {}, 0, {}, {}});
  RequestMetrics.recordAttemptStart(entry.Name, action.Reason,
                                    now - request.Record.ArrivedAt);
  Calls[id] = {&entry, found->first, action.Upstream, target->second.StartedMs};
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto remainingMs = floor<milliseconds>(action.Deadline - now).count();
  const Dialect &dialect = *Context.PlatformDialect;
  http::Call call;
  call.Id = id;
  call.Address = target->second.Address;
  call.Bytes = http::serializeRequest(
      request.Content,
      {{dialect.Deadline,
        std::to_string(std::max<std::int64_t>(remainingMs, 1))},
       {dialect.ExpectedInstance, action.Upstream}});
  call.IsHead = request.Content.Method == "HEAD";
  call.MaxIdleTime =
      request.Idempotent ? MaxIdleTimeIdempotent : MaxIdleTimeNonIdempotent;
  call.NewConnection = action.NewConnection;
  identifyCall(call, request.Content);
  call.ConnectTimeout = ConnectTimeout;
  recordCallStart(entry, balance::CallPurpose::Request);
  Callbacks.StartCall(std::move(call));
}

// Sets how the response to a request's call is told from late responses to
// earlier calls on its connection. Those to requests without an id look alike.
void Proxy::identifyCall(http::Call &call, const http::Request &request) const {
  call.EchoHeader = Context.PlatformDialect->RequestId;
  const std::string *id = http::findHeader(request.Fields, call.EchoHeader);
  if (id == nullptr || id->empty()) {
    call.NewConnection = true;
  } else {
    call.EchoValue = *id;
  }
}

void Proxy::startProbe(ServiceEntry &entry, const balance::SendProbe &action) {
  const auto target = entry.Targets.find(action.Upstream);
  if (target == entry.Targets.end()) {
    postEvent(entry, balance::ProbeEnded{action.Upstream});
    return;
  }
  RequestMetrics.recordProbe(entry.Name);
  const http::CallId id = ProbeIdBase + ++LastProbeNumber;
  Calls[id] = {&entry, 0, action.Upstream, target->second.StartedMs};
  recordCallStart(entry, balance::CallPurpose::HealthCheck);
  http::Call call =
      makeHealthCheck(id, target->second.Address, entry.HealthPath);
  call.NewConnection = action.NewConnection;
  call.ConnectTimeout = ProbeConnectTimeout;
  call.Timeout = ProbeTimeout;
  Callbacks.StartCall(std::move(call));
}

http::Call Proxy::makeHealthCheck(http::CallId id, const std::string &address,
                                  const std::string &path) const {
  http::Call call;
  call.Id = id;
  call.Address = address;
  call.Bytes = "GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
  call.EchoHeader = Context.PlatformDialect->RequestId; // It sends no id.
  return call;
}

balance::AttemptEnded
Proxy::classifyResult(const http::CallResult &result) const {
  balance::AttemptEnded event;
  event.StaleKeepAlive = http::mayBeStale(result);
  switch (result.Outcome) {
  case http::CallOutcome::NotSent:
    event.End = balance::AttemptEnd::NotSent;
    return event;
  case http::CallOutcome::Broken:
    event.End = balance::AttemptEnd::Broken;
    return event;
  case http::CallOutcome::Answered:
    break;
  }
  const http::Response &response = result.Response;
  event.Status = response.Status;
  event.Report = Context.PlatformDialect->ReadLoad(response.Fields);
  event.RateLimit = Context.PlatformDialect->ReadRateLimit(response.Fields);
  const auto has = [&](const std::string &name) {
    return http::findHeader(response.Fields, name) != nullptr;
  };
  if (response.Status == Misdirected) {
    event.End = balance::AttemptEnd::Misdirected;
  } else if (has(Context.PlatformDialect->NotExecuted)) {
    event.End = balance::AttemptEnd::RefusedUnrun;
  } else {
    const bool success =
        response.Status >= FirstSuccess && response.Status < FirstRedirect;
    // Callers request no content encoding and upstreams sign every successful
    // response, so an encoded or unsigned response was altered on its way.
    const bool altered = has("Content-Encoding") ||
                         (success && !has(Context.PlatformDialect->Signature));
    event.End =
        altered ? balance::AttemptEnd::Broken : balance::AttemptEnd::Answered;
    event.StaleKeepAlive = false;
  }
  return event;
}

void Proxy::onCallEnded(http::CallId id, http::CallResult result) {
  if (ReachCheckCalls.contains(id)) {
    return endReachCheckCall(id, result);
  }
  if (RelayCalls.contains(id)) {
    return onRelayEnded(id, result);
  }
  const auto known = Calls.find(id);
  if (known == Calls.end()) {
    return;
  }
  recordCallEnd(known->second, result);
  reportIfLeaving(known->second, result); // May add calls.
  const auto it = Calls.find(id);
  if (it->second.Request == 0) {
    const UpstreamCall call = std::move(it->second);
    Calls.erase(it);
    endProbe(call, result);
  } else {
    it->second.Result = std::move(result);
    endAttempt(id, it->second);
  }
  processEvents();
  advanceReach();
}

// A response with another upstream's id, or 421, came from the upstream that
// has the address now.
void Proxy::reportIfLeaving(const UpstreamCall &call,
                            const http::CallResult &result) {
  const Dialect &dialect = *Context.PlatformDialect;
  const http::Response &response = result.Response;
  const std::string *leaving =
      http::findHeader(response.Fields, dialect.Leaving);
  const std::string *id = http::findHeader(response.Fields, dialect.InstanceId);
  const bool isOther =
      response.Status == Misdirected || (id != nullptr && *id != call.Upstream);
  if (result.Outcome == http::CallOutcome::Answered && leaving != nullptr &&
      *leaving == dialect.LeavingValue && !isOther) {
    Callbacks.UpstreamLeaving(call.Upstream, call.StartedMs);
  }
}

// How long an upstream that responded 503 wants no requests; none if it did not
// say.
std::optional<Duration> Proxy::retryAfterOf(const http::Response &response,
                                            const std::string &upstream) {
  const std::string *text = http::findHeader(response.Fields, "Retry-After");
  if (response.Status != Unavailable || text == nullptr) {
    return std::nullopt;
  }
  const auto time = http::parseRetryAfter(*text);
  const Instant now = readClock();
  if (!time && now >= RetryAfterLoggedAt + std::chrono::seconds{1}) {
    RetryAfterLoggedAt = now;
    logEvent(EventId::RetryAfterUnreadable,
             {{"upstream", upstream}, {"value", *text}});
  }
  return time;
}

void Proxy::endAttempt(http::CallId id, UpstreamCall &call) {
  balance::AttemptEnded event = classifyResult(call.Result);
  event.RetryAfter = retryAfterOf(call.Result.Response, call.Upstream);
  event.Attempt = balance::AttemptId{id};
  RequestMetrics.recordAttemptEnd(call.Entry->Name, event.End);
  postEvent(*call.Entry, event);
  const auto request = OpenRequests.find(call.Request);
  if (request == OpenRequests.end()) {
    Calls.erase(id);
    return;
  }
  call.HasEnded = true;
  for (AttemptRecord &it : request->second.Record.Attempts) {
    if (it.Id == id) {
      it.HasEnded = true;
      it.End = event.End;
      it.Status = event.Status;
      it.Elapsed = readClock() - it.StartedAt;
      it.Error = call.Result.Error;
      it.ReusedConnection = call.Result.ReusedConnection;
      it.StrayResponses = call.Result.StrayResponses;
    }
  }
}

void Proxy::endProbe(const UpstreamCall &call, const http::CallResult &result) {
  balance::ProbeEnded event;
  event.Upstream = call.Upstream;
  event.Gone =
      result.Outcome == http::CallOutcome::NotSent && result.OpenedConnection;
  if (result.Outcome == http::CallOutcome::Answered) {
    const http::Headers &fields = result.Response.Fields;
    const std::string *id =
        http::findHeader(fields, Context.PlatformDialect->InstanceId);
    event.Reached = id == nullptr || *id == call.Upstream;
    event.Gone = !event.Reached;
    event.Healthy = event.Reached && result.Response.Status >= FirstSuccess &&
                    result.Response.Status < FirstRedirect;
    event.Report = Context.PlatformDialect->ReadLoad(fields);
    event.RateLimit = Context.PlatformDialect->ReadRateLimit(fields);
    event.RetryAfter = event.Reached
                           ? retryAfterOf(result.Response, call.Upstream)
                           : std::nullopt;
    event.WarmupRemaining =
        Context.PlatformDialect->ReadRemainingWarmup(fields);
  }
  postEvent(*call.Entry, event);
}

void Proxy::deliver(const balance::Deliver &action) {
  const auto call = Calls.find(balance::numberOf(action.Attempt));
  if (call == Calls.end() || !call->second.HasEnded) {
    return;
  }
  http::Response response = std::move(call->second.Result.Response);
  http::removeHopByHopHeaders(response.Fields);
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

// Refuses a request before it is passed to an engine.
void Proxy::refuseUndispatched(http::ExchangeId id,
                               const http::Request &request, unsigned status,
                               const char *reason, Duration retryAfter) {
  const std::string *callerId =
      http::findHeader(request.Fields, Context.PlatformDialect->RequestId);
  RequestRecord record;
  record.Id = callerId == nullptr ? "" : *callerId;
  record.ConfigVersion =
      Snapshot && Snapshot->Config ? Snapshot->Config->Version : 0;
  record.ArrivedAt = readClock();
  RequestEnd end;
  end.Kind = RequestEnd::EndKind::Refused;
  end.Status = status;
  end.Reason = reason;
  end.Outcome = balance::Execution::DidNotRun;
  end.RetryAfter = retryAfter;
  Log.write(record, end, record.ArrivedAt);
  RequestMetrics.recordRequestEnd(record, end, record.ArrivedAt);
  http::Response response = makeRefusal(end);
  if (callerId != nullptr) {
    response.Fields.push_back({Context.PlatformDialect->RequestId, *callerId});
  }
  Callbacks.SendResponse(id, std::move(response));
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
