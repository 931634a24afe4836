#include "upstream/Upstream.h"

#include <chrono>
#include <random>

#include <boost/json.hpp>

namespace zinniarail::standins {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Misdirected = 421;
constexpr unsigned ServerError = 500;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.002;

std::string headerOf(const http::Request &request, const char *name) {
  const std::string *it = http::findHeader(request.Fields, name);
  return it == nullptr ? "" : *it;
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Upstream::Upstream(struct ev_loop *loop, Store &registry, Ledger &ledger,
                   UpstreamNature nature, std::string id, std::uint64_t seed)
    : Nature(std::move(nature)), Loop(loop), Registry(registry), Done(ledger),
      Id(std::move(id)), Draws(seed) {
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
                             serve(id, std::move(request));
                           },
                           [this](http::ExchangeId id) { cancel(id); }});
  if (!Server->listen(Nature.Address)) {
    Server.reset();
    return false;
  }
  ColdUntil = readClock() + Nature.Warmup;
  BornMs = unixMilliseconds() + Faults.ClockAhead.count();
  ev_timer_start(Loop, &Timer);
  publish("ready");
  return true;
}

void Upstream::publish(const char *state) {
  const Duration cold = isCold() ? ColdUntil - readClock() : Duration{0};
  Registry.put(
      "servers", Id,
      json::object{
          {"address", registeredAddress()},
          {"born", BornMs},
          {"information",
           {{"service", Nature.Service},
            {"version", "v1"},
            {"zone", Nature.Domain},
            {"slots", Nature.Slots}}},
          {"status",
           {{"state", state},
            {"sequence", ++Sequence},
            {"warmup_remaining",
             std::to_string(
                 std::chrono::duration_cast<std::chrono::milliseconds>(cold)
                     .count()) +
                 "ms"}}}});
}

void Upstream::crash(bool silently) {
  Server.reset();
  Runs.clear();
  Waiting.clear();
  Running = 0;
  ev_timer_stop(Loop, &Timer);
  if (!silently) {
    leave();
  }
}

bool Upstream::restart(const std::string &id) {
  if (isAlive()) {
    crash(false);
  }
  leave();
  Id = id;
  return start();
}

void Upstream::drain() { publish("draining"); }

void Upstream::leave() { Registry.remove("servers", Id); }

bool Upstream::draw(double share) {
  return share > 0 && drawFraction(Draws) < share;
}

bool Upstream::isCold() const { return readClock() < ColdUntil; }

std::string Upstream::load() const {
  constexpr double usual = 100;
  return std::to_string(Running) + "," + std::to_string(Waiting.size()) + "," +
         std::to_string(Nature.Slots) + "," +
         std::to_string(static_cast<int>(usual * Faults.Slow));
}

void Upstream::serve(http::ExchangeId id, http::Request request) {
  if (Faults.Silent) {
    return;
  }
  if (http::pathOf(request.Target) == "/health") {
    return answerHealth(id);
  }
  const std::string expected = headerOf(request, "X-Expected-Instance");
  if (!expected.empty() && expected != Id) {
    return refuse(id, Misdirected);
  }
  const std::string requestId = headerOf(request, "X-Request-Id");
  if (requestId.empty()) {
    return refuse(id, BadRequest);
  }
  Done.Arrivals.push_back(
      {requestId, Id, Nature.Service, Nature.Domain, readClock(), isCold()});
  if (draw(Faults.ShedShare)) {
    return refuse(id, Unavailable);
  }
  place({id, std::move(request), requestId, {}, false});
}

void Upstream::answerHealth(http::ExchangeId id) {
  ++Probes;
  http::Response response{Faults.HealthLies ? Unavailable : Ok,
                          {{"X-Instance-Id", Id}, {"X-Server-Load", load()}},
                          ""};
  if (isCold()) {
    const auto left = ColdUntil - readClock();
    response.Fields.push_back(
        {"X-Warmup-Milliseconds",
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(left)
                 .count())});
  }
  Server->sendResponse(id, response);
}

void Upstream::refuse(http::ExchangeId id, unsigned status) {
  Server->sendResponse(id, {status,
                            {{"X-Not-Executed", "1"},
                             {"X-Instance-Id", Id},
                             {"X-Server-Load", load()}},
                            ""});
}

void Upstream::place(Run run) {
  if (Running < Nature.Slots) {
    return begin(std::move(run));
  }
  if (Waiting.size() >= Nature.QueueLimit) {
    return refuse(run.Exchange, Unavailable);
  }
  Waiting.push_back(std::move(run));
}

void Upstream::begin(Run run) {
  Ledger::Entry &entry = Done.Requests[run.RequestId];
  ++entry.Begun;
  entry.LastBy = Id;
  entry.Service = Nature.Service;
  entry.BegunAt = LastBegun = readClock();
  ++Running;
  std::lognormal_distribution<double> factor(-Nature.Spread * Nature.Spread / 2,
                                             Nature.Spread);
  const double work = static_cast<double>(Nature.Work.count()) * factor(Draws) *
                      Faults.Slow * (isCold() ? 2 : 1);
  run.Ends = LastBegun + Duration(static_cast<Duration::rep>(work));
  run.Begun = true;
  Runs.push_back(std::move(run));
}

void Upstream::tick() {
  const Instant now = readClock();
  for (auto it = Runs.begin(); it != Runs.end();) {
    const auto due = it++;
    if (due->Ends <= now) {
      const Run run = std::move(*due);
      Runs.erase(due);
      --Running;
      finish(run);
      if (!isAlive()) {
        return;
      }
    }
  }
  startWaiting();
}

void Upstream::finish(const Run &run) {
  ++Done.Requests[run.RequestId].Finished;
  const bool fails = draw(Faults.FailShare);
  http::Response response{fails ? ServerError : Ok,
                          {{"X-Request-Id", run.RequestId},
                           {"X-Response-Signature", "s." + run.RequestId},
                           {"X-Server-Load", load()}},
                          "answer to " + run.RequestId + " by " + Id};
  const bool toHead = run.Request.Method == "HEAD";
  std::string bytes = http::serializeResponse(response, toHead, false);
  if (draw(Faults.LoseShare)) {
    return Server->sendRawResponse(run.Exchange, "", true);
  }
  if (draw(Faults.CutShare)) {
    return Server->sendRawResponse(run.Exchange,
                                   bytes.substr(0, bytes.size() - 8), true);
  }
  if (draw(Faults.ExtraShare)) {
    bytes += bytes;
  }
  Server->sendRawResponse(run.Exchange, std::move(bytes), false);
}

void Upstream::startWaiting() {
  while (Running < Nature.Slots && !Waiting.empty()) {
    Run run = std::move(Waiting.front());
    Waiting.pop_front();
    begin(std::move(run));
  }
}

// Work whose connection closed is dropped.
void Upstream::cancel(http::ExchangeId id) {
  Running -= static_cast<unsigned>(
      Runs.remove_if([&](const Run &it) { return it.Exchange == id; }));
  std::erase_if(Waiting, [&](const Run &it) { return it.Exchange == id; });
  if (isAlive()) {
    startWaiting();
  }
}

} // namespace zinniarail::standins
