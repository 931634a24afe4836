#include "caller-standin/Callers.h"

#include <charconv>
#include <sys/timerfd.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "common/Digest.h"

namespace zinniarail::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ResolveRetry{50};
constexpr std::chrono::milliseconds LossPause{20}; // before sending again
constexpr std::chrono::seconds ResolvePatience{20};

std::uint64_t toNumber(const std::string &text) {
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

/// \returns the digest that an upstream's answer bears, or "".
std::string digestOf(const Reply &reply) {
  boost::system::error_code ec;
  const auto body = json::parse(reply.Body, ec);
  if (ec || !body.is_object()) {
    return "";
  }
  const auto *it = body.as_object().if_contains("digest");
  return it != nullptr && it->is_string() ? it->as_string().c_str() : "";
}

/// Whether it is said or plain that the request did not run.
bool surelyUnrun(const Reply &reply) {
  if (!reply.isWhole()) {
    return !reply.MayHaveArrived;
  }
  return reply.header("x-zinniarail-outcome") == "did-not-run" ||
         reply.header("x-not-run") == "1";
}

std::string reasonOf(const Reply &reply) {
  if (!reply.isWhole()) {
    return "connection";
  }
  const auto reason = reply.header("x-zinniarail-reason");
  return reason.empty() ? "upstream-" + std::to_string(reply.Status) : reason;
}

} // namespace

struct Callers::Request {
  Instant Born{};
  bool Order = false;
  bool Marked = false;
  std::string Method;
  std::string Target;
  std::string Body;
  std::string Key;
  std::string Address; ///< Of the last send.
  unsigned RefusalRetries = 0;
  unsigned LossRetries = 0;
  bool MayHaveRun = false;
};

Callers::Callers(struct ev_loop *loop, CallerSettings settings)
    : Loop(loop), Settings(std::move(settings)), Client(loop),
      Draws(Settings.Seed), Addresses(Settings.Direct), Sound(Addresses),
      ResolveTimer(loop), ArrivalClock(timerfd_create(
                              CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  ev_io_init(
      &ArrivalWatch,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<Callers *>(it->data)->arriveAll();
      },
      ArrivalClock, EV_READ);
  ArrivalWatch.data = this;
}

Callers::~Callers() {
  ev_io_stop(Loop, &ArrivalWatch);
  close(ArrivalClock);
}

void Callers::start() {
  if (Settings.WindowEdges.size() > 1) {
    Counts.Windows.resize(Settings.WindowEdges.size() - 1);
  }
  Begin = readClock();
  if (!Addresses.empty()) {
    beginArrivals();
    return;
  }
  resolve();
}

void Callers::resolve() {
  if (!Begun && readClock() - Begin > ResolvePatience) {
    ev_break(Loop, EVBREAK_ALL);
    return;
  }
  const auto &instance =
      Settings.Instances[NextInstance++ % Settings.Instances.size()];
  Call call;
  call.Url =
      "http://" + instance + "/.zinniarail/resolve?service=" + Settings.Service;
  call.Timeout = std::chrono::seconds{1};
  Client.start(std::move(call), [this](const Reply &it) { resolved(it); });
}

void Callers::resolved(const Reply &reply) {
  Duration again = ResolveRetry;
  boost::system::error_code ec;
  const auto body = json::parse(reply.Body, ec);
  if (reply.isWhole() && reply.Status == 200 && !ec) {
    std::vector<std::string> addresses;
    for (const auto &it : body.at("addresses").as_array()) {
      addresses.emplace_back(it.at("address").as_string());
    }
    Addresses = Settings.SpreadAll ? Settings.Instances : addresses;
    Sound = Addresses;
    again = std::chrono::milliseconds{body.at("keepMs").to_number<int>()};
  }
  if (!Addresses.empty() && !Begun) {
    beginArrivals();
  }
  if (!Begun || Arriving || Open > 0) {
    ResolveTimer.start(again, [this] { resolve(); });
  }
}

void Callers::beginArrivals() {
  Begun = true;
  Arriving = true;
  Begin = readClock();
  NextArrival = Begin + drawGap(Begin);
  ev_io_start(Loop, &ArrivalWatch);
  armArrivals();
}

Duration Callers::drawGap(Instant at) {
  const auto period = (at - Begin) / Settings.ShiftPeriod;
  const double swing =
      period % 2 == 0 ? 1 + Settings.ShiftShare : 1 - Settings.ShiftShare;
  std::exponential_distribution<double> gap(Settings.Rate * swing);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(Draws)));
}

void Callers::armArrivals() {
  const auto since = NextArrival.time_since_epoch();
  const auto whole = std::chrono::floor<std::chrono::seconds>(since);
  itimerspec spec{};
  spec.it_value.tv_sec = whole.count();
  spec.it_value.tv_nsec =
      std::chrono::duration_cast<std::chrono::nanoseconds>(since - whole)
          .count() +
      1; // zero would disarm it
  timerfd_settime(ArrivalClock, TFD_TIMER_ABSTIME, &spec, nullptr);
}

void Callers::arriveAll() {
  std::uint64_t expirations = 0;
  if (read(ArrivalClock, &expirations, sizeof expirations) < 0) {
    return;
  }
  const auto now = readClock();
  while (NextArrival <= now && NextArrival < Begin + Settings.Length) {
    const bool marked =
        MarkedSent < Settings.Marked &&
        NextArrival - Begin >=
            Settings.Length * (2 * MarkedSent + 1) / (2 * Settings.Marked);
    arrive(NextArrival, marked);
    NextArrival += drawGap(NextArrival);
  }
  if (NextArrival < Begin + Settings.Length) {
    armArrivals();
    return;
  }
  Arriving = false;
  ev_io_stop(Loop, &ArrivalWatch);
  finishIfDone();
}

void Callers::arrive(Instant at, bool marked) {
  if (Open >= Settings.MaxOpen) {
    ++Counts.Skipped;
    return;
  }
  const auto id = std::to_string(NextId++);
  auto request = std::make_shared<Request>();
  request->Born = at;
  request->Marked = marked;
  request->Order = !marked && drawShare(Draws) < Settings.OrdersShare;
  request->Method = request->Order ? "POST" : "GET";
  request->Target = "/" + Settings.Service +
                    (request->Order ? "/orders?n=" : "/records?n=") +
                    (marked ? "marked" : id);
  if (request->Order) {
    request->Body = id + std::string(Settings.BodyBytes, '.');
    request->Key = Settings.KeyPrefix + "-" + id;
  }
  MarkedSent += marked ? 1 : 0;
  ++Open;
  ++Counts.Sent;
  send(request);
}

/// Picks at random, another one than last time where there is one.
const std::string &Callers::pickAddress(const std::string &besides) {
  const auto &among = Sound.empty() ? Addresses : Sound;
  const auto n = static_cast<std::uint32_t>(among.size());
  const auto i = drawBelow(Draws, n);
  return among[i] == besides ? among[(i + 1) % n] : among[i];
}

void Callers::send(const RequestPtr &request) {
  ++Counts.Sends;
  request->Address = pickAddress(request->Address);
  Call call;
  call.Method = request->Method;
  call.Url = "http://" + request->Address + request->Target;
  call.Body = request->Body;
  call.Timeout = Settings.Timeout;
  if (request->Order) {
    call.Headers.push_back("Idempotency-Key: " + request->Key);
  }
  if (request->Marked) {
    call.Headers.emplace_back("X-Crash: 1");
  }
  if (Settings.Deadline > Duration::zero()) {
    call.Headers.push_back(
        "X-Deadline-Ms: " +
        std::to_string(Settings.Deadline / std::chrono::milliseconds{1}));
  }
  Client.start(std::move(call), [this, request](const Reply &reply) {
    answered(request, reply);
  });
}

void Callers::answered(const RequestPtr &request, const Reply &reply) {
  if (!reply.isWhole()) {
    std::erase(Sound, request->Address);
  }
  if (reply.isWhole() && reply.Status == 200) {
    served(request, reply);
  } else {
    notServed(request, reply);
  }
}

void Callers::served(const RequestPtr &request, const Reply &reply) {
  if (digestOf(reply) !=
      digestRequest(request->Method, request->Target, request->Body)) {
    end(request, "wrong", OrderEnd::Unknown);
    return;
  }
  if (!request->Marked && request->Born >= Begin + Settings.WarmUp) {
    record(request->Order ? Counts.Orders : Counts.Reads,
           readClock() - request->Born);
  }
  end(request, "served", OrderEnd::Served);
}

void Callers::notServed(const RequestPtr &request, const Reply &reply) {
  const bool unrun = surelyUnrun(reply);
  const std::string reason = reasonOf(reply);
  if (!unrun && reason != "key-in-use") {
    request->MayHaveRun = true;
  }
  const bool refused = reply.isWhole() && unrun;
  if (refused) {
    const std::chrono::milliseconds after{
        toNumber(reply.header("x-zinniarail-retry-after-ms"))};
    const bool comesBack = reply.Status == 502 || reply.Status == 503;
    if (comesBack && sendAgain(request, request->RefusalRetries,
                               Settings.RefusalRetries, after)) {
      return;
    }
  } else if (reply.Status != 500 && reason != "key-in-use" &&
             sendAgain(request, request->LossRetries, Settings.LossRetries,
                       LossPause)) {
    return;
  }
  if (!reply.isWhole()) {
    end(request, "lost", OrderEnd::Unknown);
  } else if (request->Order && (request->MayHaveRun || !unrun)) {
    end(request, "unknown", OrderEnd::Unknown);
  } else {
    end(request, reason, unrun ? OrderEnd::DidNotRun : OrderEnd::Unknown);
  }
}

/// \returns false when the request has come back often enough.
bool Callers::sendAgain(const RequestPtr &request, unsigned &used,
                        unsigned limit, Duration after) {
  if (used >= limit) {
    return false;
  }
  ++used;
  auto timer = std::make_shared<Timer>(Loop);
  timer->start(after, [this, timer, request] { send(request); });
  return true;
}

/// \returns nothing when it arrived outside of all windows.
Window *Callers::windowOf(const Request &request) {
  const auto &edges = Settings.WindowEdges;
  const auto past =
      std::upper_bound(edges.begin(), edges.end(), request.Born - Begin);
  return request.Marked || past == edges.begin() || past == edges.end()
             ? nullptr
             : &Counts.Windows[past - edges.begin() - 1];
}

void Callers::end(const RequestPtr &request, const std::string &how,
                  OrderEnd order) {
  --Open;
  if (request->Marked) {
    ++Counts.Marked[how];
  } else if (how == "served") {
    ++Counts.Served;
  } else if (how == "unknown") {
    ++Counts.Unknown;
  } else if (how == "wrong") {
    ++Counts.Wrong;
  } else if (how == "lost") {
    ++Counts.Lost;
  } else {
    ++Counts.Refused[how];
  }
  if (auto *it = windowOf(*request); it != nullptr) {
    ++it->Sent;
    ++(how == "served" ? it->Served : it->Others[how]);
    if (how == "served") {
      record(request->Order ? it->Orders : it->Reads,
             readClock() - request->Born);
    }
  }
  if (request->Order) {
    Counts.OrderEnds[request->Key] = order;
  }
  finishIfDone();
}

void Callers::finishIfDone() {
  if (!Arriving && Open == 0) {
    ResolveTimer.stop();
    fetchKeys(0);
  }
}

/// Asks the upstreams one after the other which keys they ran.
void Callers::fetchKeys(std::size_t index) {
  if (index >= Settings.UpstreamControls.size()) {
    if (index > 0) {
      verifyOrders(Counts, Runs);
    }
    ev_break(Loop, EVBREAK_ALL);
    return;
  }
  Call call;
  call.Url = "http://" + Settings.UpstreamControls[index] + "/control/keys";
  Client.start(std::move(call), [this, index](const Reply &reply) {
    boost::system::error_code ec;
    const auto body = json::parse(reply.Body, ec);
    if (!ec && body.is_object()) {
      for (const auto &it : body.as_object()) {
        Runs[it.key()] += it.value().to_number<unsigned>();
      }
    }
    fetchKeys(index + 1);
  });
}

} // namespace zinniarail::standins
