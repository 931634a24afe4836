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
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.005;
constexpr Duration ResolveTimeout = std::chrono::seconds{1};
// From when they begin until the first request: they ask where to go first.
constexpr Duration FirstPause = std::chrono::milliseconds{200};

constexpr std::size_t MostExamples = 5;

bool isPromise(unsigned status) {
  return status == TooMany || status == Unavailable;
}

} // namespace

Callers::Callers(struct ev_loop *loop, std::vector<std::string> directories,
                 std::string domain, std::uint64_t seed)
    : Loop(loop), Directories(std::move(directories)),
      Domain(std::move(domain)), Draws(seed),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        take(id, result);
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

void Callers::begin(const RequestKind &kind) {
  Streams.push_back({kind, readClock() + FirstPause});
}

void Callers::end() { Streams.clear(); }

void Callers::tick() {
  const Instant now = readClock();
  if (Resolving == 0 && now >= KeepUntil) {
    resolve();
  }
  for (Stream &it : Streams) {
    while (it.Next <= now) {
      std::exponential_distribution<double> gap(it.Kind.PerSecond);
      constexpr double microsPerSecond = 1e6;
      it.Next +=
          Duration(static_cast<Duration::rep>(gap(Draws) * microsPerSecond));
      ask(it);
    }
  }
  std::vector<http::CallId> late;
  for (auto &[id, it] : Requests) {
    if (it.Call == 0 && it.SendAt <= now) {
      send(it);
    } else if (now >= it.Deadline && it.Call != 0) {
      late.push_back(it.Call);
    }
  }
  for (const http::CallId it : late) {
    Pool.cancel(it); // The caller gives up and closes its connection.
  }
}

void Callers::resolve() {
  const std::string host = Streams.empty() ? "none" : Streams.front().Kind.Host;
  http::Call call;
  call.Id = Resolving = ++LastCall;
  call.Address = Directories[Directory % Directories.size()];
  call.Bytes = "GET /resolution?name=" + host + "&region=r&zone=" + Domain +
               " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
  call.ConnectTimeout = ResolveTimeout;
  Pool.start(std::move(call));
}

void Callers::takeResolved(const http::CallResult &result) {
  Resolving = 0;
  json::error_code ec;
  const json::value body = result.Outcome == http::CallOutcome::Answered
                               ? json::parse(result.Response.Body, ec)
                               : json::value(nullptr);
  const auto *object = body.if_object();
  const auto *list =
      object == nullptr ? nullptr : object->if_contains("addresses");
  const auto *keep = object == nullptr ? nullptr : object->if_contains("ttl");
  if (list == nullptr || !list->is_array() || list->get_array().empty() ||
      keep == nullptr) {
    ++Directory; // The next one, soon.
    KeepUntil = readClock() + std::chrono::milliseconds{100};
    return;
  }
  Directory = 0;
  Addresses.clear();
  Failed.clear();
  for (const json::value &it : list->get_array()) {
    Addresses.emplace_back(it.as_string().c_str());
  }
  KeepUntil = readClock() + parseDuration(keep->as_string().c_str())
                                    .value_or(std::chrono::seconds{1}) *
                                KeepTimes;
}

std::string Callers::connectAddress(const std::string &resolved) const {
  return ConnectTo ? ConnectTo(resolved) : resolved;
}

std::string Callers::pickAddress() {
  std::vector<std::string> some;
  for (const std::string &it : Addresses) {
    if (!Failed.contains(it)) {
      some.push_back(it);
    }
  }
  if (some.empty()) {
    some = Addresses;
  }
  return some.empty()
             ? ""
             : some[drawBelow(Draws, static_cast<std::uint32_t>(some.size()))];
}

void Callers::ask(const Stream &stream) {
  ++Tally.Asked;
  Request request;
  request.Kind = stream.Kind;
  request.AskedAt = readClock();
  request.Deadline = request.AskedAt + stream.Kind.Deadline;
  request.SendAt = request.AskedAt;
  const std::string key = Domain + "-" + std::to_string(Draws()) + "-" +
                          std::to_string(++LastRequest);
  request.Id = key;
  send(Requests.emplace(key, std::move(request)).first->second);
}

void Callers::send(Request &request) {
  using std::chrono::milliseconds;
  const Instant now = readClock();
  request.Address = pickAddress();
  const auto left =
      std::chrono::duration_cast<milliseconds>(request.Deadline - now);
  if (request.Address.empty() || left <= milliseconds{0}) {
    ++Tally.Unreached;
    Requests.erase(std::string(request.Id));
    return;
  }
  http::Request message{
      request.Kind.Method,
      request.Kind.Path + request.Id,
      {{"Host", request.Kind.Host},
       {"X-Request-Id", request.Id},
       {"X-Deadline-Milliseconds", std::to_string(left.count())}},
      request.Kind.Body};
  http::Call call;
  call.Id = request.Call = ++LastCall;
  call.Address = connectAddress(request.Address);
  call.Bytes = http::serializeRequest(message, {});
  call.ConnectTimeout = std::chrono::seconds{1};
  ByCall[call.Id] = request.Id;
  CallerRecord &record = Records[request.Id];
  record.Idempotent = request.Kind.Idempotent;
  record.SentAt = now;
  record.Instance = request.Address;
  record.Path = request.Kind.Path;
  Pool.start(std::move(call));
}

void Callers::take(http::CallId id, const http::CallResult &result) {
  if (id == Resolving) {
    return takeResolved(result);
  }
  const auto found = ByCall.find(id);
  if (found == ByCall.end()) {
    return;
  }
  const std::string key = found->second;
  ByCall.erase(found);
  finish(key, result);
}

// A refusal that promises that nothing ran is worth another try, under an id of
// its own, if there is time.
bool Callers::comeBack(Request &request, const http::CallResult &result) {
  const Instant now = readClock();
  const bool unreached = result.Outcome == http::CallOutcome::NotSent;
  const bool promised = result.Outcome == http::CallOutcome::Answered &&
                        isPromise(result.Response.Status);
  if (request.CameBack || (!unreached && !promised) || result.Cancelled) {
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
  Request again = request;
  again.CameBack = true;
  again.Call = 0;
  again.SendAt = now + wait;
  again.Id = request.Id + "r";
  const std::string key = again.Id;
  Requests.emplace(key, std::move(again));
  return true;
}

void Callers::finish(const std::string &key, const http::CallResult &result) {
  Request request = std::move(Requests.at(key));
  Requests.erase(key);
  CallerRecord &record = Records[key];
  record.EndedAt = readClock();
  if (result.Outcome == http::CallOutcome::NotSent && !result.Cancelled) {
    Failed.insert(request.Address);
  }
  if (result.Outcome == http::CallOutcome::Answered) {
    record.Status = result.Response.Status;
    record.SaidNotRun = isPromise(record.Status);
  } else {
    record.LostAnswer =
        result.Outcome == http::CallOutcome::Broken && !result.Cancelled;
  }
  if (comeBack(request, result)) {
    return;
  }
  if (result.Cancelled) {
    ++Tally.Late;
  } else if (result.Outcome == http::CallOutcome::NotSent) {
    ++Tally.Unreached;
  } else if (result.Outcome == http::CallOutcome::Broken) {
    ++Tally.Lost;
  } else if (isPromise(record.Status)) {
    ++Tally.Refused;
  } else if (record.Status != Ok) {
    ++Tally.Failed;
  } else {
    const std::string *echo =
        http::findHeader(result.Response.Fields, "X-Request-Id");
    const std::string *signature =
        http::findHeader(result.Response.Fields, "X-Response-Signature");
    const bool own = echo != nullptr && *echo == key && signature != nullptr &&
                     *signature == "s." + key &&
                     result.Response.Body.starts_with("answer to " + key + " ");
    record.WrongAnswer = !own;
    ++(own ? Tally.Served : Tally.Wrong);
    Tally.Times.push_back(record.EndedAt - request.AskedAt);
  }
}

Verdict judge(const std::vector<const Callers *> &callers,
              const Ledger &ledger) {
  Verdict out;
  const auto example = [&](const std::string &what, const std::string &id) {
    if (out.Examples.size() < MostExamples) {
      out.Examples.push_back(what + " " + id);
    }
  };
  for (const Callers *some : callers) {
    for (const auto &[id, it] : some->Records) {
      const auto found = ledger.Requests.find(id);
      const unsigned begun =
          found == ledger.Requests.end() ? 0 : found->second.Begun;
      if (!it.Idempotent && begun > 1) {
        ++out.RanTwice;
        example("ran twice:", id);
      }
      if (it.SaidNotRun && !it.Idempotent && begun > 0) {
        ++out.RefusedButRan;
        example("said not to have run:", id);
      }
      if (it.Status == Ok && begun == 0) {
        ++out.ServedNotRun;
        example("answered without a run:", id);
      }
    }
  }
  return out;
}

} // namespace zinniarail::standins
