// Requests that this instance can't place, since it reaches no upstream, and
// relays to an instance that does.
#include "proxy/Proxy.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "proxy/Refusal.h"

namespace zinniarail::proxy {

namespace {

// Call ids of relays lie above this value and below those of reach checks.
constexpr http::CallId RelayIdBase = http::CallId{5} << 60;

// Instances that one request is relayed to at most.
constexpr std::size_t MaxRelays = 4;

// How long an instance that did not serve a relay gets no others.
constexpr Duration PassOverTime = std::chrono::seconds{1};

// The other instance gets this much less time, so that its answer is back
// before the deadline.
constexpr Duration RelayMargin = std::chrono::milliseconds{5};

// Retry-After of a request that no instance took.
constexpr Duration RelayRetryAfter = std::chrono::milliseconds{300};

constexpr Duration RelayConnectTimeout = std::chrono::milliseconds{150};

// As for upstreams: whether a request ran is unknown if its connection breaks.
constexpr Duration MaxIdleTimeNonIdempotent = std::chrono::milliseconds{200};
constexpr Duration MaxIdleTimeIdempotent = std::chrono::seconds{20};

bool hasValue(const http::Response &response, const char *name,
              std::string_view value) {
  const std::string *it = http::findHeader(response.Fields, name);
  return it != nullptr && *it == value;
}

// Whether another instance refused a request that a third one may serve.
bool isPassedOver(const http::Response &response) {
  return hasValue(response, OutcomeHeader, "did-not-run") &&
         (hasValue(response, ReasonHeader, "unreachable") ||
          hasValue(response, ReasonHeader, VersionMismatch) ||
          hasValue(response, ReasonHeader, "no-configuration"));
}

// Whether a response tells callers that the request did not run, and is no
// refusal of the other instance, which says so in a field of its own.
bool isForeignPromise(const http::Response &response) {
  constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
  return std::ranges::find(promises, response.Status) != promises.end() &&
         !hasValue(response, OutcomeHeader, "did-not-run");
}

} // namespace

// Relays a request that the engine gave up since no upstream can be reached.
// \returns false if it must be refused instead.
bool Proxy::beginRelay(const balance::Refuse &action) {
  const http::ExchangeId id = balance::numberOf(action.Request);
  const auto it = OpenRequests.find(id);
  if (action.Reason != balance::RefusalReason::Unreachable ||
      it == OpenRequests.end() || it->second.WasRelayed) {
    return false;
  }
  OpenRequest &request = it->second;
  const bool mayHaveRun = action.Outcome != balance::Execution::DidNotRun;
  if (mayHaveRun && !request.Idempotent) {
    return false;
  }
  Relay &relay = request.RelayState.emplace();
  relay.MayHaveRun = mayHaveRun;
  relay.EndsAt =
      std::min(request.Record.ArrivedAt + request.Record.TimeAllowed, StopsAt);
  if (!relayToNext(id, request)) {
    request.RelayState.reset();
    return false;
  }
  RelayDeadlines.emplace(relay.EndsAt, id);
  return true;
}

// The instances that may get the request next: those of other failure domains
// only if there is none else.
std::vector<RelayTarget> Proxy::relayTargets(const ServiceEntry &entry,
                                             const Relay &relay) const {
  const Instant now = readClock();
  std::vector<RelayTarget> targets = Callbacks.RelayTargets();
  std::erase_if(targets, [&](const RelayTarget &it) {
    const auto found = entry.NoRelaysUntil.find(it.InstanceId);
    return relay.TriedInstances.contains(it.InstanceId) ||
           (found != entry.NoRelaysUntil.end() && now < found->second);
  });
  const bool hasInside =
      std::any_of(targets.begin(), targets.end(),
                  [](const RelayTarget &it) { return !it.IsOutside; });
  std::erase_if(targets, [&](const RelayTarget &it) {
    return hasInside && it.IsOutside;
  });
  return targets;
}

// \returns false if there is no further instance or too little time.
bool Proxy::relayToNext(http::ExchangeId id, OpenRequest &request) {
  Relay &relay = *request.RelayState;
  const std::vector<RelayTarget> targets = relayTargets(*request.Entry, relay);
  const Instant now = readClock();
  const auto leftMs = std::chrono::floor<std::chrono::milliseconds>(
      relay.EndsAt - now - RelayMargin);
  if (targets.empty() || relay.TriedInstances.size() >= MaxRelays ||
      leftMs.count() < 1) {
    return false;
  }
  const RelayTarget &target =
      targets[drawBelow(Rng, static_cast<std::uint32_t>(targets.size()))];
  relay.TriedInstances.insert(target.InstanceId);
  relay.Target = target.InstanceId;
  relay.Call = RelayIdBase + ++LastRelayNumber;
  RelayCalls.emplace(relay.Call, id);
  balance::PlacementReason reason;
  reason.Knowledge = balance::PlacementReason::LoadKnowledge::Unreported;
  request.Record.Attempts.push_back({relay.Call,
                                     "instance " + target.InstanceId,
                                     reason,
                                     now,
                                     false,
                                     {},
                                     0,
                                     {},
                                     {}});
  http::Call call;
  call.Id = relay.Call;
  call.Address = target.CallerAddress;
  http::Headers extra = relayFields(request);
  extra.push_back(
      {Context.PlatformDialect->Deadline, std::to_string(leftMs.count())});
  http::setRequest(call, request.Content, extra);
  call.IsHead = request.Content->Method == "HEAD";
  identifyCall(call, *request.Content);
  call.MaxIdleTime =
      request.Idempotent ? MaxIdleTimeIdempotent : MaxIdleTimeNonIdempotent;
  call.ConnectTimeout = RelayConnectTimeout;
  Callbacks.StartCall(std::move(call));
  return true;
}

void Proxy::onRelayEnded(http::CallId id, http::CallResult result) {
  const http::ExchangeId exchange = RelayCalls.extract(id).mapped();
  const auto found = OpenRequests.find(exchange);
  if (found == OpenRequests.end()) {
    return;
  }
  OpenRequest &request = found->second;
  const balance::AttemptEnded end = classifyResult(result);
  AttemptRecord &record = request.Record.Attempts.back();
  record.HasEnded = true;
  record.End = end.End;
  record.Status = end.Status;
  record.Elapsed = readClock() - record.StartedAt;
  record.Error = result.Error;
  record.ReusedConnection = result.ReusedConnection;
  record.StrayResponses = result.StrayResponses;
  RequestMetrics.recordRelay(request.Entry->Name, end.End);
  if (relayAgain(exchange, request, end, result.Response)) {
    return;
  }
  if (end.End == balance::AttemptEnd::NotSent ||
      end.End == balance::AttemptEnd::Broken) {
    return refuseRelayed(exchange, *request.RelayState);
  }
  deliverRelayed(exchange, request, std::move(result.Response));
}

// Relays a request once more, if the last instance did not serve it and it may
// be sent again.
bool Proxy::relayAgain(http::ExchangeId id, OpenRequest &request,
                       const balance::AttemptEnded &end,
                       const http::Response &response) {
  Relay &relay = *request.RelayState;
  const bool broken = end.End == balance::AttemptEnd::Broken;
  relay.MayHaveRun = relay.MayHaveRun || broken;
  const bool passedOver =
      end.End == balance::AttemptEnd::NotSent || isPassedOver(response);
  const bool willMatchSoon = hasValue(response, ReasonHeader, VersionMismatch);
  if (passedOver && !relay.TimedOut && !willMatchSoon) {
    request.Entry->NoRelaysUntil[relay.Target] = readClock() + PassOverTime;
  }
  const bool mayRepeat = broken ? request.Idempotent : passedOver;
  return mayRepeat && !relay.TimedOut && relayToNext(id, request);
}

void Proxy::deliverRelayed(http::ExchangeId id, OpenRequest &request,
                           http::Response response) {
  Relay &relay = *request.RelayState;
  if (!request.Idempotent && isForeignPromise(response)) {
    relay.MayHaveRun = true;
    return refuseRelayed(id, relay);
  }
  if (relay.MayHaveRun && hasValue(response, OutcomeHeader, "did-not-run")) {
    return refuseRelayed(id, relay); // It is only true of the last relay.
  }
  http::removeHopByHopHeaders(response.Fields);
  RequestEnd end;
  end.Status = response.Status;
  finishRequest(id, std::move(response), end);
}

void Proxy::refuseRelayed(http::ExchangeId id, const Relay &relay) {
  auto reason = balance::RefusalReason::Unreachable;
  if (relay.TimedOut) {
    reason = relay.EndsAt < StopsAt ? balance::RefusalReason::DeadlinePassed
                                    : balance::RefusalReason::Stopping;
  }
  RequestEnd end;
  end.Kind = RequestEnd::EndKind::Refused;
  end.Reason = balance::nameOf(reason);
  end.Outcome = relay.MayHaveRun ? balance::Execution::Unknown
                                 : balance::Execution::DidNotRun;
  end.Status = statusOf(reason, end.Outcome);
  end.RetryAfter = relay.TimedOut ? Duration{0} : RelayRetryAfter;
  finishRequest(id, makeRefusal(end), end);
}

// Cancels the relays of requests whose deadline has passed; the results say
// whether the requests were sent.
void Proxy::expireRelays() {
  const Instant now = readClock();
  while (!RelayDeadlines.empty() && RelayDeadlines.begin()->first <= now) {
    const http::ExchangeId id = RelayDeadlines.begin()->second;
    RelayDeadlines.erase(RelayDeadlines.begin());
    Relay &relay = *OpenRequests.at(id).RelayState;
    relay.TimedOut = true;
    Callbacks.CancelCall(relay.Call);
  }
}

} // namespace zinniarail::proxy
