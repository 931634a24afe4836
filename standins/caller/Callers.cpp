#include "caller/Callers.h"

#include <algorithm>
#include <cstdlib>
#include <random>

#include <boost/json.hpp>

#include "zinniarail/core/DurationText.h"

namespace zinniarail::standins {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.005;
constexpr Duration ResolveTimeout = std::chrono::seconds{1};
// Delay from startSending to the first request, in which the addresses are
// resolved.
constexpr Duration StartDelay = std::chrono::milliseconds{200};

constexpr std::size_t MaxExamples = 5;

bool isRefusal(unsigned status) {
  return status == TooManyRequests || status == Unavailable;
}

} // namespace

Callers::Callers(struct ev_loop *loop, std::vector<std::string> directories,
                 std::string domain, std::uint64_t seed)
    : Loop(loop), Directories(std::move(directories)),
      Domain(std::move(domain)), Rng(seed),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        handleResult(id, result);
      }) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Callers *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
  ev_timer_start(Loop, &Timer);
}

Callers::~Callers() { ev_timer_stop(Loop, &Timer); }

void Callers::startSending(const RequestKind &kind) {
  Streams.push_back({kind, readClock() + StartDelay});
}

void Callers::stopSending() { Streams.clear(); }

void Callers::tick() {
  const Instant now = readClock();
  if (ResolutionCall == 0 && now >= NextResolutionAt) {
    resolve();
  }
  for (Stream &it : Streams) {
    while (it.NextAt <= now) {
      std::exponential_distribution<double> gap(it.Kind.PerSecond);
      constexpr double microsPerSecond = 1e6;
      it.NextAt +=
          Duration(static_cast<Duration::rep>(gap(Rng) * microsPerSecond));
      issueRequest(it);
    }
  }
  std::vector<std::string> due; // sendRequest may erase from Requests.
  std::vector<http::CallId> timedOut;
  for (const auto &[id, it] : Requests) {
    if (it.ActiveCall == 0 && it.SendAt <= now) {
      due.push_back(id);
    } else if (now >= it.Deadline && it.ActiveCall != 0) {
      timedOut.push_back(it.ActiveCall);
    }
  }
  for (const std::string &id : due) {
    sendRequest(Requests.at(id));
  }
  for (const http::CallId it : timedOut) {
    Pool.cancel(it); // The caller gives up and closes its connection.
  }
}

void Callers::resolve() {
  const std::string host = Streams.empty() ? "none" : Streams.front().Kind.Host;
  http::Call call;
  call.Id = ResolutionCall = ++LastCallId;
  call.Address = Directories[DirectoryIndex % Directories.size()];
  call.Bytes = "GET /resolution?name=" + host + "&region=r&zone=" + Domain +
               " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
  call.ConnectTimeout = ResolveTimeout;
  Pool.start(std::move(call));
}

void Callers::handleResolution(const http::CallResult &result) {
  ResolutionCall = 0;
  json::error_code ec;
  const json::value body = result.Outcome == http::CallOutcome::Answered
                               ? json::parse(result.Response.Body, ec)
                               : json::value(nullptr);
  const auto *object = body.if_object();
  const auto *addresses =
      object == nullptr ? nullptr : object->if_contains("addresses");
  const auto *ttl = object == nullptr ? nullptr : object->if_contains("ttl");
  if (addresses == nullptr || !addresses->is_array() ||
      addresses->get_array().empty() || ttl == nullptr) {
    ++DirectoryIndex; // Tries the next directory after 100 ms.
    NextResolutionAt = readClock() + std::chrono::milliseconds{100};
    return;
  }
  DirectoryIndex = 0;
  Addresses.clear();
  FailedAddresses.clear();
  for (const json::value &it : addresses->get_array()) {
    Addresses.emplace_back(it.as_string().c_str());
  }
  NextResolutionAt = readClock() + parseDuration(ttl->as_string().c_str())
                                           .value_or(std::chrono::seconds{1}) *
                                       TtlFactor;
}

std::string Callers::connectAddress(const std::string &resolved) const {
  return TranslateAddress ? TranslateAddress(resolved) : resolved;
}

std::string Callers::pickAddress() {
  std::vector<std::string> candidates;
  for (const std::string &it : Addresses) {
    if (!FailedAddresses.contains(it)) {
      candidates.push_back(it);
    }
  }
  if (candidates.empty()) {
    candidates = Addresses;
  }
  return candidates.empty()
             ? ""
             : candidates[drawBelow(
                   Rng, static_cast<std::uint32_t>(candidates.size()))];
}

void Callers::issueRequest(const Stream &stream) {
  ++Tally.Issued;
  Request request;
  request.Kind = stream.Kind;
  request.IssuedAt = readClock();
  request.Deadline = request.IssuedAt + stream.Kind.Deadline;
  request.SendAt = request.IssuedAt;
  const std::string requestId = Domain + "-" + std::to_string(Rng()) + "-" +
                                std::to_string(++LastRequestNumber);
  request.Id = requestId;
  sendRequest(Requests.emplace(requestId, std::move(request)).first->second);
}

void Callers::sendRequest(Request &request) {
  using std::chrono::milliseconds;
  const Instant now = readClock();
  request.Address = pickAddress();
  const auto timeLeft =
      std::chrono::duration_cast<milliseconds>(request.Deadline - now);
  if (request.Address.empty() || timeLeft <= milliseconds{0}) {
    ++Tally.NotSent;
    Requests.erase(std::string(request.Id));
    return;
  }
  http::Request httpRequest{
      request.Kind.Method,
      request.Kind.Path + request.Id,
      {{"Host", request.Kind.Host},
       {"X-Request-Id", request.Id},
       {"X-Deadline-Milliseconds", std::to_string(timeLeft.count())}},
      request.Kind.Body};
  if (!request.Kind.ApiKey.empty()) {
    httpRequest.Fields.push_back({"X-Credential", request.Kind.ApiKey});
  }
  if (!request.Kind.ClaimedCustomer.empty()) {
    httpRequest.Fields.push_back({"X-Tenant", request.Kind.ClaimedCustomer});
  }
  http::Call call;
  call.Id = request.ActiveCall = ++LastCallId;
  call.Address = connectAddress(request.Address);
  call.Bytes = http::serializeRequest(httpRequest, {});
  call.ConnectTimeout = std::chrono::seconds{1};
  RequestIdByCall[call.Id] = request.Id;
  CallerRecord &record = Records[request.Id];
  record.Idempotent = request.Kind.Idempotent;
  record.SentAt = now;
  record.InstanceAddress = request.Address;
  record.Path = request.Kind.Path;
  record.Customer = request.Kind.Customer;
  Pool.start(std::move(call));
}

void Callers::handleResult(http::CallId id, const http::CallResult &result) {
  if (id == ResolutionCall) {
    return handleResolution(result);
  }
  const auto found = RequestIdByCall.find(id);
  if (found == RequestIdByCall.end()) {
    return;
  }
  const std::string requestId = found->second;
  RequestIdByCall.erase(found);
  finishRequest(requestId, result);
}

/// Schedules one retry, under its own request ID, of a request that was not
/// sent or was refused. The retry waits as long as Retry-After says (10 ms
/// without it), but at most a third of the time left until the deadline.
/// \returns whether a retry was scheduled.
bool Callers::scheduleRetry(Request &request, const http::CallResult &result) {
  const Instant now = readClock();
  const bool notSent = result.Outcome == http::CallOutcome::NotSent;
  const bool refused = result.Outcome == http::CallOutcome::Answered &&
                       isRefusal(result.Response.Status);
  if (request.IsRetry || (!notSent && !refused) || result.Cancelled) {
    return false;
  }
  Duration wait = std::chrono::milliseconds{10};
  if (const std::string *text =
          http::findHeader(result.Response.Fields, "Retry-After")) {
    constexpr double microsPerSecond = 1e6;
    wait = Duration(static_cast<Duration::rep>(
        std::strtod(text->c_str(), nullptr) * microsPerSecond));
  }
  wait = std::min(wait, (request.Deadline - now) / 3);
  if (wait <= Duration{0}) {
    return false;
  }
  Request retry = request;
  retry.IsRetry = true;
  retry.ActiveCall = 0;
  retry.SendAt = now + wait;
  retry.Id = request.Id + "r";
  const std::string requestId = retry.Id;
  Requests.emplace(requestId, std::move(retry));
  return true;
}

void Callers::finishRequest(const std::string &requestId,
                            const http::CallResult &result) {
  Request request = std::move(Requests.at(requestId));
  Requests.erase(requestId);
  CallerRecord &record = Records[requestId];
  record.EndedAt = readClock();
  if (result.Outcome == http::CallOutcome::NotSent && !result.Cancelled) {
    FailedAddresses.insert(request.Address);
  }
  if (result.Outcome == http::CallOutcome::Answered) {
    record.Status = result.Response.Status;
    record.ReportedNotRun = isRefusal(record.Status);
  } else {
    record.ResponseLost =
        result.Outcome == http::CallOutcome::Broken && !result.Cancelled;
  }
  if (scheduleRetry(request, result)) {
    return;
  }
  if (result.Cancelled) {
    ++Tally.TimedOut;
  } else if (result.Outcome == http::CallOutcome::NotSent) {
    ++Tally.NotSent;
  } else if (result.Outcome == http::CallOutcome::Broken) {
    ++Tally.ConnectionLost;
  } else if (isRefusal(record.Status)) {
    ++Tally.Refused;
  } else if (record.Status != Ok) {
    ++Tally.Failed;
  } else {
    const std::string *echoedId =
        http::findHeader(result.Response.Fields, "X-Request-Id");
    const std::string *signature =
        http::findHeader(result.Response.Fields, "X-Response-Signature");
    const bool matches =
        echoedId != nullptr && *echoedId == requestId && signature != nullptr &&
        *signature == "s." + requestId &&
        result.Response.Body.starts_with("answer to " + requestId + " ") &&
        result.Response.Body.ends_with(AnswerEnd);
    record.MismatchedResponse = !matches;
    ++(matches ? Tally.Served : Tally.Mismatched);
    Tally.Latencies.push_back(record.EndedAt - request.IssuedAt);
  }
}

ExecutionViolations checkExecutions(const std::vector<const Callers *> &callers,
                                    const ExecutionLog &executionLog) {
  ExecutionViolations violations;
  const auto addExample = [&](const std::string &what, const std::string &id) {
    if (violations.Examples.size() < MaxExamples) {
      violations.Examples.push_back(what + " " + id);
    }
  };
  for (const Callers *group : callers) {
    for (const auto &[id, it] : group->Records) {
      const auto found = executionLog.Requests.find(id);
      const unsigned timesStarted =
          found == executionLog.Requests.end() ? 0 : found->second.TimesStarted;
      if (!it.Idempotent && timesStarted > 1) {
        ++violations.RanTwice;
        addExample("ran twice:", id);
      }
      if (it.ReportedNotRun && !it.Idempotent && timesStarted > 0) {
        ++violations.RefusedButRan;
        addExample("reported as not run, but ran:", id);
      }
      if (it.Status == Ok && timesStarted == 0) {
        ++violations.ServedWithoutRun;
        addExample("answered without a run:", id);
      }
    }
  }
  return violations;
}

} // namespace zinniarail::standins
