#include "upstream/Upstream.h"

#include <chrono>
#include <random>

#include <boost/json.hpp>

namespace zinniarail::standins {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{64} << 20;

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Misdirected = 421;
constexpr unsigned ServerError = 500;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.002;

std::string headerValue(const http::Request &request, const char *name) {
  const std::string *it = http::findHeader(request.Fields, name);
  return it == nullptr ? "" : *it;
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Upstream::Upstream(struct ev_loop *loop, Store &registry,
                   ExecutionLog &executionLog, UpstreamConfig config,
                   std::string id, std::uint64_t seed)
    : Config(std::move(config)), Loop(loop), Registry(registry),
      Log(executionLog), Id(std::move(id)), Rng(seed) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Upstream *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
}

Upstream::~Upstream() { ev_timer_stop(Loop, &Timer); }

bool Upstream::start() {
  Server = std::make_unique<http::Server>(
      Loop,
      http::ServerHandlers{[](const http::Request &) { return true; },
                           [this](http::ExchangeId id, http::Request request) {
                             handleRequest(id, std::move(request));
                           },
                           [this](http::ExchangeId id) { cancelRequest(id); }});
  CallerLimits limits;
  limits.MaxBodyBytes = MaxBodyBytes;
  Server->setLimits(limits);
  if (!Server->listen(Config.Address)) {
    Server.reset();
    return false;
  }
  ColdUntil = readClock() + Config.Warmup;
  StartTimeMs = unixMilliseconds() + Faults.ClockOffset.count();
  ev_timer_start(Loop, &Timer);
  updateRegistration("ready");
  return true;
}

void Upstream::updateRegistration(const char *state) {
  const Duration warmupRemaining =
      isCold() ? ColdUntil - readClock() : Duration{0};
  Registry.put(
      "servers", Id,
      json::object{{"address", registeredAddress()},
                   {"born", StartTimeMs},
                   {"information",
                    {{"service", Config.Service},
                     {"version", Config.Version},
                     {"zone", Config.Domain},
                     {"slots", Config.Slots}}},
                   {"status",
                    {{"state", state},
                     {"sequence", ++Sequence},
                     {"warmup_remaining",
                      std::to_string(
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              warmupRemaining)
                              .count()) +
                          "ms"}}}});
}

void Upstream::crash(bool keepRegistration) {
  Server.reset();
  RunningRequests.clear();
  Queue.clear();
  BusySlots = 0;
  ev_timer_stop(Loop, &Timer);
  if (!keepRegistration) {
    deregister();
  }
}

bool Upstream::restart(const std::string &id) {
  if (isAlive()) {
    crash(false);
  }
  deregister();
  Id = id;
  return start();
}

void Upstream::drain() { updateRegistration("draining"); }

void Upstream::deregister() { Registry.remove("servers", Id); }

bool Upstream::shouldInjectFault(double fraction) {
  return fraction > 0 && drawFraction(Rng) < fraction;
}

bool Upstream::isCold() const { return readClock() < ColdUntil; }

std::string Upstream::loadReport() const {
  constexpr double normalSlowness = 100;
  return std::to_string(BusySlots) + "," + std::to_string(Queue.size()) + "," +
         std::to_string(Config.Slots) + "," +
         std::to_string(static_cast<int>(normalSlowness * Faults.Slowdown));
}

void Upstream::handleRequest(http::ExchangeId id, http::Request request) {
  if (Faults.Unresponsive) {
    return;
  }
  if (http::pathOf(request.Target) == "/health") {
    return handleHealthCheck(id);
  }
  const std::string expected = headerValue(request, "X-Expected-Instance");
  const std::string requestId = headerValue(request, "X-Request-Id");
  if (!expected.empty() && expected != Id) {
    return refuse(id, requestId, Misdirected);
  }
  if (requestId.empty()) {
    return refuse(id, requestId, BadRequest);
  }
  Log.Arrivals.push_back({requestId, Id, Config.Service, Config.Domain,
                          readClock(), isCold(),
                          headerValue(request, "X-Tenant"),
                          !headerValue(request, "X-Credential").empty()});
  if (shouldInjectFault(Faults.ShedFraction) || !Faults.RetryAfter.empty()) {
    return refuse(id, requestId, Unavailable);
  }
  startOrQueue({id, std::move(request), requestId, {}, false});
}

void Upstream::handleHealthCheck(http::ExchangeId id) {
  ++HealthChecks;
  if (Faults.FloodHealthChecks) {
    return Server->sendRawResponse(id, endlessBytes(), false);
  }
  if (Faults.RawHealthChecks) {
    return Server->sendRawResponse(id, rawBytes(Id), true);
  }
  const bool fails = Faults.FailHealthChecks || !Faults.RetryAfter.empty();
  http::Response response{
      fails ? Unavailable : Ok,
      {{"X-Instance-Id", Id}, {"X-Server-Load", loadReport()}},
      ""};
  if (!Faults.RetryAfter.empty()) {
    response.Fields.push_back({"Retry-After", Faults.RetryAfter});
  }
  if (isCold()) {
    const auto warmupRemaining = ColdUntil - readClock();
    response.Fields.push_back(
        {"X-Warmup-Milliseconds",
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            warmupRemaining)
                            .count())});
  }
  respond(id, std::move(response));
}

void Upstream::announce(http::Headers &fields) const {
  if (!Faults.RateLimit.empty()) {
    fields.push_back({"Server-Limit", Faults.RateLimit});
  }
  if (Faults.Leaving) {
    fields.push_back({"Server-Leaving", "1"});
  }
}

void Upstream::respond(http::ExchangeId id, http::Response response) {
  announce(response.Fields);
  Server->sendResponse(id, response);
}

void Upstream::refuse(http::ExchangeId id, const std::string &requestId,
                      unsigned status) {
  http::Response response{status,
                          {{"X-Not-Executed", "1"},
                           {"X-Instance-Id", Id},
                           {"X-Server-Load", loadReport()}},
                          ""};
  if (!requestId.empty()) {
    response.Fields.push_back({"X-Request-Id", requestId});
  }
  if (status == Unavailable && !Faults.RetryAfter.empty()) {
    response.Fields.push_back({"Retry-After", Faults.RetryAfter});
  }
  respond(id, std::move(response));
}

void Upstream::startOrQueue(ActiveRequest request) {
  if (BusySlots < Config.Slots) {
    return startRequest(std::move(request));
  }
  if (Queue.size() >= Config.QueueLimit) {
    return refuse(request.Exchange, request.RequestId, Unavailable);
  }
  Queue.push_back(std::move(request));
}

void Upstream::startRequest(ActiveRequest request) {
  ExecutionLog::RequestExecutions &executions = Log.Requests[request.RequestId];
  ++executions.TimesStarted;
  executions.LastUpstreamId = Id;
  executions.Service = Config.Service;
  executions.LastStartedAt = LastRequestStart = readClock();
  ++BusySlots;
  std::lognormal_distribution<double> factor(-Config.ServiceTimeSigma *
                                                 Config.ServiceTimeSigma / 2,
                                             Config.ServiceTimeSigma);
  const double serviceTime =
      static_cast<double>(Config.MeanServiceTime.count()) * factor(Rng) *
      Faults.Slowdown * (isCold() ? 2 : 1);
  request.FinishAt =
      LastRequestStart + Duration(static_cast<Duration::rep>(serviceTime));
  request.Started = true;
  RunningRequests.push_back(std::move(request));
}

void Upstream::tick() {
  const Instant now = readClock();
  for (auto it = RunningRequests.begin(); it != RunningRequests.end();) {
    const auto current = it++;
    if (current->FinishAt <= now) {
      const ActiveRequest request = std::move(*current);
      RunningRequests.erase(current);
      --BusySlots;
      finishRequest(request);
      if (!isAlive()) {
        return;
      }
    }
  }
  startQueued();
}

void Upstream::finishRequest(const ActiveRequest &request) {
  ++Log.Requests[request.RequestId].TimesFinished;
  if (!Faults.CrashOn.empty() &&
      request.Request.Target.find(Faults.CrashOn) != std::string::npos) {
    ++Log.Crashes;
    return crash(true);
  }
  if (!Faults.RawResponse.empty()) {
    return Server->sendRawResponse(request.Exchange,
                                   rawBytes(request.RequestId), true);
  }
  const bool hasError = shouldInjectFault(Faults.ErrorFraction);
  http::Response response{hasError ? ServerError : Ok,
                          {{"X-Request-Id", request.RequestId},
                           {"X-Response-Signature", "s." + request.RequestId},
                           {"X-Server-Load", loadReport()}},
                          "answer to " + request.RequestId + " by " + Id +
                              AnswerEnd};
  announce(response.Fields);
  const bool isHead = request.Request.Method == "HEAD";
  std::string bytes = http::serializeResponse(response, isHead, false);
  if (shouldInjectFault(Faults.LostResponseFraction)) {
    return Server->sendRawResponse(request.Exchange, "", true);
  }
  if (shouldInjectFault(Faults.TruncatedFraction)) {
    return Server->sendRawResponse(request.Exchange,
                                   bytes.substr(0, bytes.size() - 8), true);
  }
  if (Faults.IsEndless || !Faults.EndlessStart.empty()) {
    return Server->sendRawResponse(request.Exchange, endlessBytes(), false);
  }
  if (shouldInjectFault(Faults.DuplicatedFraction)) {
    bytes += bytes;
  }
  Server->sendRawResponse(request.Exchange, std::move(bytes), false);
}

std::string Upstream::endlessBytes() const {
  constexpr std::size_t length = std::size_t{256} << 10;
  std::string out = Faults.EndlessStart;
  while (out.size() < Faults.EndlessStart.size() + length) {
    out += Faults.EndlessPiece;
  }
  return out;
}

std::string Upstream::rawBytes(const std::string &requestId) const {
  constexpr std::string_view placeholder = "{id}";
  std::string out = Faults.RawResponse;
  std::size_t at = 0;
  while ((at = out.find(placeholder, at)) != std::string::npos) {
    out.replace(at, placeholder.size(), requestId);
    at += requestId.size();
  }
  return out;
}

void Upstream::startQueued() {
  while (BusySlots < Config.Slots && !Queue.empty()) {
    ActiveRequest request = std::move(Queue.front());
    Queue.pop_front();
    startRequest(std::move(request));
  }
}

// Drops a running or queued request whose connection closed.
void Upstream::cancelRequest(http::ExchangeId id) {
  BusySlots -= static_cast<unsigned>(RunningRequests.remove_if(
      [&](const ActiveRequest &it) { return it.Exchange == id; }));
  std::erase_if(Queue,
                [&](const ActiveRequest &it) { return it.Exchange == id; });
  if (isAlive()) {
    startQueued();
  }
}

} // namespace zinniarail::standins
