// Calls to upstreams: attempts and health checks, and what their results mean.
#include "proxy/Proxy.h"

#include <algorithm>

#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// Call ids of health checks lie above this value, and call ids of attempts lie
// below it; Relay.cpp and Reach.cpp have ids further above.
constexpr http::CallId ProbeIdBase = http::CallId{1} << 62;

constexpr Duration ProbeConnectTimeout = std::chrono::milliseconds{250};
constexpr Duration ConnectTimeout = std::chrono::milliseconds{150};

// A health check may wait for a slot, as requests do. One that has no complete
// response by then would keep its upstream from being checked again.
constexpr Duration ProbeTimeout = std::chrono::seconds{3};

// A keep-alive connection that was idle for longer than this is not reused; the
// request gets a new one. An upstream may drop an idle connection without
// notice, and it is then unknown whether a request sent on it ran, so requests
// that must not run twice have the shorter limit, MaxIdleTimeNonIdempotent.
constexpr Duration MaxIdleTimeNonIdempotent = std::chrono::milliseconds{200};
constexpr Duration MaxIdleTimeIdempotent = std::chrono::seconds{60};

constexpr unsigned Unavailable = 503;
constexpr unsigned Misdirected = 421;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerError = 500;

} // namespace

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
  Calls[id] = {&entry,
               found->first,
               action.Upstream,
               target->second.StartedMs,
               {},
               false,
               request.Record.Route,
               now,
               action.Reason.IsCold};
  if (Callbacks.RequestSent) {
    Callbacks.RequestSent(entry.Name, action.Upstream, request.Record.Route);
  }
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto remainingMs = floor<milliseconds>(action.Deadline - now).count();
  const Dialect &dialect = *Context.PlatformDialect;
  http::Call call;
  call.Id = id;
  call.Address = target->second.Address;
  http::setRequest(call, request.Content,
                   {{dialect.Deadline,
                     std::to_string(std::max<std::int64_t>(remainingMs, 1))},
                    {dialect.ExpectedInstance, action.Upstream}});
  call.IsHead = request.Content->Method == "HEAD";
  call.MaxIdleTime =
      request.Idempotent ? MaxIdleTimeIdempotent : MaxIdleTimeNonIdempotent;
  call.NewConnection = action.NewConnection;
  identifyCall(call, *request.Content);
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
  const bool success =
      response.Status >= FirstSuccess && response.Status < FirstRedirect;
  const bool saysUnrun = has(Context.PlatformDialect->NotExecuted);
  if (response.Status == Misdirected) {
    event.End = balance::AttemptEnd::Misdirected;
  } else if (saysUnrun && success) {
    event.End = balance::AttemptEnd::Broken; // It contradicts itself.
  } else if (saysUnrun) {
    event.End = balance::AttemptEnd::RefusedUnrun;
  } else {
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
    return onRelayEnded(id, std::move(result));
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
  reportAnswer(call, event);
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

void Proxy::reportAnswer(const UpstreamCall &call,
                         const balance::AttemptEnded &event) const {
  if (!Callbacks.AnswerReceived) {
    return;
  }
  rollout::AnswerQuality quality = rollout::AnswerQuality::Unrun;
  if (event.End == balance::AttemptEnd::Answered) {
    quality = event.Status >= FirstServerError ? rollout::AnswerQuality::Failed
                                               : rollout::AnswerQuality::Good;
  } else if (call.Result.Cancelled) {
    quality = rollout::AnswerQuality::CutOff;
  } else if (event.End == balance::AttemptEnd::Broken) {
    quality = rollout::AnswerQuality::Failed;
  }
  Callbacks.AnswerReceived({call.Entry->Name, call.Upstream, call.Route,
                            quality, readClock() - call.SentAt, call.IsCold});
}

std::size_t Proxy::countUnrepeatable(
    const std::string &service,
    const std::function<bool(const std::string &upstream)> &isSelected) const {
  std::size_t count = 0;
  for (const auto &[id, it] : Calls) {
    if (it.Request == 0 || it.HasEnded || it.Entry->Name != service ||
        !isSelected(it.Upstream)) {
      continue;
    }
    // A call whose caller has gone goes on only if it must not run again.
    const auto request = OpenRequests.find(it.Request);
    count +=
        request == OpenRequests.end() || !request->second.Idempotent ? 1 : 0;
  }
  return count;
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

} // namespace zinniarail::proxy
