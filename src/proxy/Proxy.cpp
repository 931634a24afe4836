#include "proxy/Proxy.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/json.hpp>

#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// An attempt's number has room for this many of one service.
constexpr unsigned AttemptBits = 40;

// Probes are numbered from here on, apart from attempts.
constexpr http::CallId FirstProbe = http::CallId{1} << 62;

constexpr Duration ProbeTimeout = std::chrono::milliseconds{250};
constexpr Duration ConnectTimeout = std::chrono::milliseconds{150};

// Part of the health checks that the instances together may send that is used;
// the rest covers instances that are not known yet.
constexpr double ProbeShare = 0.9;

// A kept connection that rested longer may be forgotten by the upstream, which
// then leaves open whether a request ran; one that must not be repeated takes a
// new connection instead.
constexpr Duration SureRest = std::chrono::milliseconds{200};
constexpr Duration UsualRest = std::chrono::seconds{60};

// The wait that a caller is asked for while no configuration is known: about
// what an instance needs from its start until it knows one.
constexpr Duration UnknownPause = std::chrono::milliseconds{100};

// The longest deadline that is believed; an hour is no deadline.
constexpr std::int64_t MostDeadlineMs = 3'600'000;

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned Misdirected = 421;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

std::uint64_t fingerprintOf(const http::Request &request) {
  std::uint64_t digest = hashBytes(request.Method);
  digest = hashCombine(digest, hashBytes(request.Target));
  return hashCombine(digest, hashBytes(request.Body));
}

std::string printSeconds(Duration duration) {
  constexpr double microsPerSecond = 1e6;
  std::array<char, 32> text;
  const auto [end, ec] =
      std::to_chars(text.data(), text.data() + text.size(),
                    static_cast<double>(duration.count()) / microsPerSecond,
                    std::chars_format::fixed, 3);
  return {text.data(), ec == std::errc{} ? end : text.data()};
}

http::Response makeRefusal(const RequestEnd &end) {
  http::Response response{end.Status, {}, {}};
  response.Fields = {{"Content-Type", "application/json"},
                     {"X-Zinniarail-Outcome", nameOf(end.Outcome)},
                     {"X-Zinniarail-Reason", end.Reason}};
  // Only who has not run may come back for the same.
  if (end.RetryAfter > Duration{0} &&
      end.Outcome == balance::Execution::DidNotRun) {
    response.Fields.push_back({"Retry-After", printSeconds(end.RetryAfter)});
  }
  response.Body = boost::json::serialize(boost::json::object{
      {"error", end.Reason}, {"outcome", nameOf(end.Outcome)}});
  return response;
}

unsigned statusOf(balance::RefusalReason reason, balance::Execution truth) {
  if (truth == balance::Execution::DidNotRun) {
    return Unavailable;
  }
  return reason == balance::RefusalReason::DeadlinePassed ? GatewayTimeout
                                                          : BadGateway;
}

} // namespace

Proxy::Proxy(ProxyContext context, ProxyOutlets outlets,
             prometheus::Registry &registry)
    : Context(std::move(context)), Outlets(std::move(outlets)),
      Counts(registry), Draws(Context.Seed, hashBytes(Context.Self)) {}

void Proxy::onFleet(std::shared_ptr<const RoutingSnapshot> fleet) {
  Current = std::move(fleet);
  const Instant now = readClock();
  balance::Actions actions;
  for (auto &[name, entry] : Entries) {
    if (const ServiceConfig *it =
            Current->Config ? findService(*Current->Config, name) : nullptr) {
      entry->HealthPath = it->HealthPath;
    }
    std::map<std::string, std::string> addresses = addressesOf(name);
    for (const auto &[id, address] : entry->Addresses) {
      const auto kept = addresses.find(id);
      if (kept == addresses.end() || kept->second != address) {
        Outlets.Forget(address);
      }
    }
    entry->Addresses = std::move(addresses);
    actions.clear();
    balance::updatePlan(*entry->Engine, planOf(name), now, actions);
    for (balance::Action &it : actions) {
      perform(*entry, it);
    }
    note(*entry);
  }
  drain();
}

std::map<std::string, std::string>
Proxy::addressesOf(const std::string &service) const {
  std::map<std::string, std::string> addresses;
  for (const Upstream &it : Current->Upstreams) {
    if (it.Service == service) {
      addresses.emplace(it.Id, it.Address);
    }
  }
  return addresses;
}

balance::ServicePlan Proxy::planOf(const std::string &service) const {
  balance::ServicePlan plan;
  plan.Service = service;
  plan.Domain = Context.Domain;
  for (const Upstream &it : Current->Upstreams) {
    if (it.Service == service && !it.Draining &&
        !Current->EvacuatedDomains.contains(it.Domain)) {
      plan.Upstreams.push_back(
          {it.Id, it.Domain, it.Slots, it.WarmupRemaining, it.StartedMs});
    }
  }
  const SharedBounds &bounds = Context.Bounds;
  plan.Budget = {bounds.RetryRatio, bounds.ExtraRetries, Current->FleetSize};
  const ServiceConfig *config =
      Current->Config ? findService(*Current->Config, service) : nullptr;
  if (config != nullptr && config->WarmupPerSecond > 0) {
    plan.ColdUpstreams = {config->WarmupPerSecond * bounds.ColdOvershoot +
                              bounds.ColdSlack,
                          Current->FleetSize};
  }
  plan.ProbesPerSecond = bounds.ProbesPerSecond * ProbeShare /
                         static_cast<double>(Current->FleetSize);
  return plan;
}

Proxy::ServiceEntry &Proxy::entryOf(const std::string &service) {
  auto &entry = Entries[service];
  if (!entry) {
    entry = std::make_unique<ServiceEntry>();
    entry->Name = service;
    if (const ServiceConfig *it = findService(*Current->Config, service)) {
      entry->HealthPath = it->HealthPath;
    }
    entry->Addresses = addressesOf(service);
    const std::uint64_t first =
        (static_cast<std::uint64_t>(Entries.size()) << AttemptBits) + 1;
    entry->Engine = balance::makeEngine(
        planOf(service), Random(Context.Seed, hashBytes(service)), first,
        readClock());
  }
  return *entry;
}

const Route *Proxy::routeOf(const http::Request &request) const {
  const std::string *host = http::findHeader(request.Fields, "Host");
  if (!Current || !Current->Config || host == nullptr) {
    return nullptr;
  }
  const std::string_view name =
      std::string_view(*host).substr(0, host->find(':'));
  return findRoute(*Current->Config, name, http::pathOf(request.Target));
}

bool Proxy::mayOvertake(const http::Request &request) const {
  const Route *route = routeOf(request);
  return route == nullptr || route->Idempotent;
}

const std::string &Proxy::pickService(const Route &route) {
  unsigned all = 0;
  for (const Destination &it : route.Destinations) {
    all += it.Weight;
  }
  if (all == 0) {
    return route.Destinations.front().Service;
  }
  unsigned drawn = drawBelow(Draws, all);
  for (const Destination &it : route.Destinations) {
    if (drawn < it.Weight) {
      return it.Service;
    }
    drawn -= it.Weight;
  }
  return route.Destinations.back().Service;
}

std::optional<Instant> Proxy::deadlineOf(const http::Request &request,
                                         const Route &route,
                                         Instant now) const {
  const Instant limit = now + route.Timeout;
  const std::string *text =
      http::findHeader(request.Fields, Context.Names->Deadline);
  if (text == nullptr) {
    return limit;
  }
  std::int64_t ms = 0;
  const char *last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, ms);
  if (ec != std::errc{} || end != last || ms < 0 || ms > MostDeadlineMs) {
    return std::nullopt;
  }
  return std::min(limit, now + Duration(std::chrono::milliseconds{ms}));
}

void Proxy::onRequest(http::ExchangeId id, http::Request request) {
  const Instant now = readClock();
  if (!Current || !Current->Config) {
    return refuseUnplaced(id, request, Unavailable, "no-configuration",
                          UnknownPause);
  }
  const Route *route = routeOf(request);
  if (route == nullptr) {
    return refuseUnplaced(id, request, NotFound, "no-route", Duration{0});
  }
  const auto deadline = deadlineOf(request, *route, now);
  if (!deadline) {
    return refuseUnplaced(id, request, BadRequest, "bad-deadline", Duration{0});
  }
  ServiceEntry &entry = entryOf(pickService(*route));
  balance::RequestArrived event;
  event.Request = balance::RequestId{id};
  event.Policy = {route->Name, route->Idempotent, route->Priority,
                  route->MaxAttempts, route->TargetLatency};
  event.Fingerprint = fingerprintOf(request);
  event.Deadline = *deadline;
  const std::string *callerId =
      http::findHeader(request.Fields, Context.Names->RequestId);
  RequestRecord record{callerId == nullptr ? "" : *callerId,
                       entry.Name,
                       route->Name,
                       Current->Config->Version,
                       now,
                       route->TargetLatency,
                       *deadline - now,
                       {}};
  http::removeHopByHopHeaders(request.Fields);
  http::removeHeader(request.Fields, Context.Names->Deadline);
  http::removeHeader(request.Fields, Context.Names->ExpectedInstance);
  Open.emplace(id, OpenRequest{std::move(request), &entry, route->Idempotent,
                               std::move(record)});
  post(entry, std::move(event));
  drain();
}

void Proxy::onCallerGone(http::ExchangeId id) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  ServiceEntry &entry = *it->second.Entry;
  RequestEnd end;
  end.What = RequestEnd::How::Gone;
  const Instant now = readClock();
  Log.write(it->second.Record, end, now);
  Counts.noteEnd(it->second.Record, end, now);
  forget(id);
  post(entry, balance::CallerGone{balance::RequestId{id}});
  drain();
}

// Drops a request and its calls that are over; those that run are dropped as
// they end.
void Proxy::forget(http::ExchangeId id) {
  const auto it = Open.find(id);
  for (const AttemptRecord &attempt : it->second.Record.Attempts) {
    const auto call = Calls.find(attempt.Number);
    if (call != Calls.end() && call->second.Done) {
      Calls.erase(call);
    }
  }
  Open.erase(it);
}

void Proxy::onWord(const balance::Event &word) {
  if (const auto *it = std::get_if<balance::PeerQuarantined>(&word)) {
    logEvent(EventId::RequestsCondemned,
             {{"fingerprint", it->Fingerprint}, {"by", "another instance"}});
  }
  for (auto &[name, entry] : Entries) {
    post(*entry, word);
  }
  drain();
}

void Proxy::onWake() {
  const Instant now = readClock();
  while (!Wakes.empty() && Wakes.begin()->first <= now) {
    ServiceEntry *entry = Wakes.begin()->second;
    Wakes.erase(Wakes.begin());
    entry->Wake = Instant::max();
    post(*entry, balance::TimerExpired{});
  }
  drain();
}

Instant Proxy::nextWake() const {
  return Wakes.empty() ? Instant::max() : Wakes.begin()->first;
}

void Proxy::post(ServiceEntry &entry, balance::Event event) {
  Events.emplace_back(&entry, std::move(event));
}

void Proxy::drain() {
  if (Draining) {
    return; // The outer call goes on with what was posted.
  }
  Draining = true;
  balance::Actions actions;
  while (!Events.empty()) {
    const auto [entry, event] = std::move(Events.front());
    Events.pop_front();
    actions.clear();
    balance::handleEvent(*entry->Engine, event, readClock(), actions);
    for (balance::Action &it : actions) {
      perform(*entry, it);
    }
    note(*entry);
  }
  Draining = false;
}

void Proxy::note(ServiceEntry &entry) {
  const Instant wake = balance::nextTimer(*entry.Engine);
  if (wake == entry.Wake) {
    return;
  }
  Wakes.erase({entry.Wake, &entry});
  entry.Wake = wake;
  if (wake != Instant::max()) {
    Wakes.emplace(wake, &entry);
  }
}

void Proxy::perform(ServiceEntry &entry, balance::Action &action) {
  std::visit(
      Overloaded{
          [&](const balance::StartAttempt &it) { startAttempt(entry, it); },
          [&](const balance::CancelAttempt &it) {
            Outlets.Cancel(balance::numberOf(it.Attempt));
          },
          [&](const balance::Deliver &it) { deliver(it); },
          [&](const balance::Refuse &it) { refuse(it); },
          [&](const balance::SendProbe &it) { startProbe(entry, it.Upstream); },
          [&](const balance::BroadcastSuspected &it) {
            Outlets.TellSuspected(it.Suspect);
          },
          [&](const balance::BroadcastQuarantined &it) {
            logEvent(EventId::RequestsCondemned,
                     {{"service", entry.Name},
                      {"fingerprint", it.Fingerprint},
                      {"by", "this instance"}});
            Outlets.TellCondemned(it.Fingerprint);
          },
          [&](const balance::UpstreamStatusChanged &it) { notice(entry, it); },
          [&](const balance::RetryBudgetExhausted &) {
            logEvent(EventId::BudgetSpent, {{"service", entry.Name}});
          }},
      action);
}

void Proxy::notice(const ServiceEntry &entry,
                   const balance::UpstreamStatusChanged &it) {
  EventId id = EventId::UpstreamBack;
  if (it.NewStatus == balance::UpstreamStatusChanged::Status::Ejected) {
    id = EventId::UpstreamEjected;
    Counts.noteEjection(entry.Name);
  } else if (it.NewStatus == balance::UpstreamStatusChanged::Status::Cold) {
    id = EventId::UpstreamCold;
  }
  logEvent(id, {{"service", entry.Name},
                {"upstream", it.Upstream},
                {"why", it.Reason},
                {"for_ms", it.ExpectedDuration}});
}

void Proxy::startAttempt(ServiceEntry &entry,
                         const balance::StartAttempt &wanted) {
  const auto found = Open.find(balance::numberOf(wanted.Request));
  const auto address = entry.Addresses.find(wanted.Upstream);
  if (found == Open.end() || address == entry.Addresses.end()) {
    post(entry, balance::AttemptEnded{wanted.Attempt});
    return;
  }
  OpenRequest &request = found->second;
  const Instant now = readClock();
  const http::CallId id = balance::numberOf(wanted.Attempt);
  request.Record.Attempts.push_back(
      {id, wanted.Upstream, wanted.Reason, now, false, {}, 0, {}, {}});
  Counts.noteStart(entry.Name, wanted.Reason, now - request.Record.Arrived);
  Calls[id] = {&entry, found->first, wanted.Upstream, {}, false};
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto left = floor<milliseconds>(wanted.Deadline - now).count();
  const Dialect &names = *Context.Names;
  http::Call call;
  call.Id = id;
  call.Address = address->second;
  call.Bytes = http::serializeRequest(
      request.Content,
      {{names.Deadline, std::to_string(std::max<std::int64_t>(left, 1))},
       {names.ExpectedInstance, wanted.Upstream}});
  call.IsHead = request.Content.Method == "HEAD";
  if (const std::string *echo =
          http::findHeader(request.Content.Fields, names.RequestId)) {
    call.EchoHeader = names.RequestId;
    call.EchoValue = *echo;
  }
  call.MaxIdleTime = request.Idempotent ? UsualRest : SureRest;
  call.ConnectTimeout = ConnectTimeout;
  Outlets.Start(std::move(call));
}

void Proxy::startProbe(ServiceEntry &entry, const std::string &upstream) {
  const auto address = entry.Addresses.find(upstream);
  if (address == entry.Addresses.end()) {
    post(entry, balance::ProbeEnded{upstream});
    return;
  }
  Counts.noteProbe(entry.Name);
  const http::CallId id = FirstProbe + ++LastProbe;
  Calls[id] = {&entry, 0, upstream, {}, false};
  http::Call call;
  call.Id = id;
  call.Address = address->second;
  call.Bytes = "GET " + entry.HealthPath +
               " HTTP/1.1\r\nHost: " + address->second + "\r\n\r\n";
  call.ConnectTimeout = ProbeTimeout;
  Outlets.Start(std::move(call));
}

balance::AttemptEnded Proxy::judge(const http::CallResult &result) const {
  balance::AttemptEnded event;
  event.StaleKeepAlive = result.ReusedConnection && !result.ResponseStarted;
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
  event.Report = Context.Names->ReadLoad(response.Fields);
  const auto has = [&](const std::string &name) {
    return http::findHeader(response.Fields, name) != nullptr;
  };
  if (response.Status == Misdirected) {
    event.End = balance::AttemptEnd::Misdirected;
  } else if (has(Context.Names->NotExecuted)) {
    event.End = balance::AttemptEnd::RefusedUnrun;
  } else {
    const bool success =
        response.Status >= FirstSuccess && response.Status < FirstRedirect;
    // Callers ask for no encoding, and every success is signed: what differs
    // is not what the upstream made.
    const bool spoiled =
        has("Content-Encoding") || (success && !has(Context.Names->Signature));
    event.End =
        spoiled ? balance::AttemptEnd::Broken : balance::AttemptEnd::Answered;
    event.StaleKeepAlive = false;
  }
  return event;
}

void Proxy::onCallEnded(http::CallId id, http::CallResult result) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  if (it->second.Request == 0) {
    const UpstreamCall call = std::move(it->second);
    Calls.erase(it);
    endProbe(call, result);
  } else {
    it->second.Result = std::move(result);
    endAttempt(id, it->second);
  }
  drain();
}

void Proxy::endAttempt(http::CallId id, UpstreamCall &call) {
  balance::AttemptEnded event = judge(call.Result);
  event.Attempt = balance::AttemptId{id};
  Counts.noteAttempt(call.Entry->Name, event.End);
  post(*call.Entry, event);
  const auto request = Open.find(call.Request);
  if (request == Open.end()) {
    Calls.erase(id);
    return;
  }
  call.Done = true;
  for (AttemptRecord &it : request->second.Record.Attempts) {
    if (it.Number == id) {
      it.Over = true;
      it.End = event.End;
      it.Status = event.Status;
      it.Took = readClock() - it.Started;
      it.Error = call.Result.Error;
    }
  }
}

void Proxy::endProbe(const UpstreamCall &call, const http::CallResult &result) {
  balance::ProbeEnded event;
  event.Upstream = call.Upstream;
  if (result.Outcome == http::CallOutcome::Answered) {
    const http::Headers &fields = result.Response.Fields;
    const std::string *id = http::findHeader(fields, Context.Names->InstanceId);
    event.Reached = id == nullptr || *id == call.Upstream;
    event.Healthy = event.Reached && result.Response.Status >= FirstSuccess &&
                    result.Response.Status < FirstRedirect;
    event.Report = Context.Names->ReadLoad(fields);
    event.WarmupRemaining = Context.Names->ReadColdFor(fields);
  }
  post(*call.Entry, event);
}

void Proxy::deliver(const balance::Deliver &wanted) {
  const auto call = Calls.find(balance::numberOf(wanted.Attempt));
  if (call == Calls.end() || !call->second.Done) {
    return;
  }
  http::Response response = std::move(call->second.Result.Response);
  http::removeHopByHopHeaders(response.Fields);
  RequestEnd end;
  end.Status = response.Status;
  finish(balance::numberOf(wanted.Request), std::move(response), end);
}

void Proxy::refuse(const balance::Refuse &wanted) {
  RequestEnd end;
  end.What = RequestEnd::How::Refused;
  end.Status = statusOf(wanted.Reason, wanted.Outcome);
  end.Reason = balance::nameOf(wanted.Reason);
  end.Outcome = wanted.Outcome;
  end.RetryAfter = wanted.RetryAfter;
  end.Seen = &wanted.Upstreams;
  finish(balance::numberOf(wanted.Request), makeRefusal(end), end);
}

// A request that no engine was told of.
void Proxy::refuseUnplaced(http::ExchangeId id, const http::Request &request,
                           unsigned status, const char *reason,
                           Duration retryAfter) {
  const std::string *callerId =
      http::findHeader(request.Fields, Context.Names->RequestId);
  RequestRecord record;
  record.Id = callerId == nullptr ? "" : *callerId;
  record.Version = Current && Current->Config ? Current->Config->Version : 0;
  record.Arrived = readClock();
  RequestEnd end;
  end.What = RequestEnd::How::Refused;
  end.Status = status;
  end.Reason = reason;
  end.Outcome = balance::Execution::DidNotRun;
  end.RetryAfter = retryAfter;
  Log.write(record, end, record.Arrived);
  Counts.noteEnd(record, end, record.Arrived);
  http::Response response = makeRefusal(end);
  if (callerId != nullptr) {
    response.Fields.push_back({Context.Names->RequestId, *callerId});
  }
  Outlets.Answer(id, std::move(response));
}

void Proxy::finish(http::ExchangeId id, http::Response response,
                   const RequestEnd &end) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  const RequestRecord &record = it->second.Record;
  const std::string &name = Context.Names->RequestId;
  if (!record.Id.empty() &&
      http::findHeader(response.Fields, name) == nullptr) {
    response.Fields.push_back({name, record.Id});
  }
  const Instant now = readClock();
  Log.write(record, end, now);
  Counts.noteEnd(record, end, now);
  forget(id);
  Outlets.Answer(id, std::move(response));
}

void Proxy::tellLeftOut() { Log.tellLeftOut(readClock()); }

void Proxy::measure() {
  for (const auto &[name, entry] : Entries) {
    Counts.show(name, balance::openRequests(*entry->Engine),
                balance::waitingRequests(*entry->Engine),
                balance::retryTokens(*entry->Engine));
  }
}

boost::json::object Proxy::describe(Instant now) const {
  boost::json::array services;
  for (const auto &[name, entry] : Entries) {
    services.push_back(balance::describe(*entry->Engine, now));
  }
  return {
      {"open", Open.size()},
      {"version", Current && Current->Config ? Current->Config->Version : 0},
      {"services", std::move(services)}};
}

} // namespace zinniarail::proxy
