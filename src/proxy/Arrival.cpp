// Arrival of requests: their route, service, deadline, and refusals before an
// engine has them.
#include "proxy/Proxy.h"

#include <algorithm>
#include <charconv>

#include "proxy/Refusal.h"
#include "zinniarail/core/Hash.h"

namespace zinniarail::proxy {

namespace {

// Retry-After while no configuration is known: about the time that an instance
// needs from its start until it has one.
constexpr Duration NoConfigurationRetryAfter = std::chrono::milliseconds{100};

// Retry-After for a request that matches no route while a newer configuration
// may have one: another instance may know it already.
constexpr Duration OutdatedStateRetryAfter = std::chrono::milliseconds{100};

// Retry-After while the configuration does not tell where a request goes:
// operators have to write another one.
constexpr Duration UnreadableRetryAfter = std::chrono::seconds{1};

// Retry-After while requests hold too much memory: others end meanwhile.
constexpr Duration MemoryRetryAfter = std::chrono::milliseconds{300};

// The longest deadline accepted, one hour; a longer one is rejected as invalid.
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

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
  if (route->Destinations.empty()) {
    return refuseUndispatched(id, request, Unavailable, "route-unreadable",
                              UnreadableRetryAfter);
  }
  const auto deadline = deadlineOf(request, *route, now);
  if (!deadline) {
    return refuseUndispatched(id, request, BadRequest, "bad-deadline",
                              Duration{0});
  }
  const Identity caller = identifyCaller(request, *route);
  if (!caller.IsAllowed && caller.IsUnclear) {
    return refuseUndispatched(id, request, Unavailable, "key-unclear",
                              UnreadableRetryAfter);
  }
  if (!caller.IsAllowed && Callbacks.IsStateOutdated()) {
    return refuseUndispatched(id, request, Unavailable, "state-outdated",
                              OutdatedStateRetryAfter);
  }
  if (!caller.IsAllowed) {
    return refuseUndispatched(id, request, Unauthorized, "unknown-key",
                              Duration{0});
  }
  admit(id,
        {std::move(request), Snapshot->Config, route,
         caller.Holder == nullptr ? "" : caller.Holder->Name, now, *deadline},
        caller);
}

// Passes a request to the engine of its service.
void Proxy::dispatch(http::ExchangeId id, http::Request request,
                     const Route &route, const Admission &admission,
                     Instant arrivedAt, Instant deadline) {
  const Customer *customer = admission.For;
  ServiceEntry &entry = getOrCreateEntry(pickService(route));
  balance::RequestArrived event;
  event.Request = balance::RequestId{id};
  event.Policy.Route = route.Name;
  event.Policy.Idempotent = route.Idempotent;
  event.Policy.Priority = route.Priority;
  event.Policy.MaxAttempts = route.MaxAttempts;
  event.Policy.LatencyTarget = route.TargetLatency;
  if (customer != nullptr) {
    event.Policy.Customer = customer->Name;
    event.Policy.Priority = customer->Priority.value_or(route.Priority);
    event.Policy.CustomerWeight =
        customer->RatePerSecond > 0 ? customer->RatePerSecond : 1;
  }
  event.Fingerprint = fingerprintOf(request);
  event.Deadline = deadline;
  event.Connection = request.Connection;
  const std::string *callerId =
      http::findHeader(request.Fields, Context.PlatformDialect->RequestId);
  RequestRecord record{callerId == nullptr ? "" : *callerId,
                       entry.Name,
                       route.Name,
                       event.Fingerprint,
                       Snapshot->Config->Version,
                       arrivedAt,
                       route.TargetLatency,
                       deadline - arrivedAt,
                       {}};
  record.Customer = event.Policy.Customer;
  const bool wasRelayed =
      http::findHeader(request.Fields, RelayedHeader) != nullptr;
  prepareFields(request.Fields, customer);
  OpenRequests.emplace(
      id, OpenRequest{std::make_shared<const http::Request>(std::move(request)),
                      &entry, route.Idempotent, wasRelayed, std::move(record),
                      std::nullopt, admission.CreditEndsAt});
  postEvent(entry, std::move(event));
  processEvents();
}

// Refuses a request before it is passed to an engine.
void Proxy::refuseUndispatched(http::ExchangeId id,
                               const http::Request &request, unsigned status,
                               const char *reason, Duration retryAfter,
                               const std::string &customer) {
  Callbacks.SendResponse(id, makeUndispatchedRefusal(request, status, reason,
                                                     retryAfter, customer));
}

http::Response Proxy::refuseForMemory(const http::Request &request) {
  return makeUndispatchedRefusal(request, Unavailable, "memory-short",
                                 MemoryRetryAfter, {});
}

http::Response Proxy::makeUndispatchedRefusal(const http::Request &request,
                                              unsigned status,
                                              const char *reason,
                                              Duration retryAfter,
                                              const std::string &customer) {
  const std::string *callerId =
      http::findHeader(request.Fields, Context.PlatformDialect->RequestId);
  RequestRecord record;
  record.Id = callerId == nullptr ? "" : *callerId;
  record.ConfigVersion =
      Snapshot && Snapshot->Config ? Snapshot->Config->Version : 0;
  record.ArrivedAt = readClock();
  record.Customer = customer;
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
  return response;
}

} // namespace zinniarail::proxy
