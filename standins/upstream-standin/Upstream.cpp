#include "upstream-standin/Upstream.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "common/Digest.h"

namespace zinniarail::standins {

namespace json = boost::json;

namespace {

constexpr double FallenFactor = 20;  // of service times after an overload
constexpr std::size_t ShortBy = 100; // bytes that a short answer lacks
// Time for a first word of being cold to reach the senders.
constexpr std::chrono::milliseconds NoticeTime{50};

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Instant readDeadline(const std::string &header, Instant now) {
  std::uint32_t ms = 0;
  const char *end = header.data() + header.size();
  const auto [rest, ec] = std::from_chars(header.data(), end, ms);
  if (header.empty() || ec != std::errc{} || rest != end) {
    return Instant::max();
  }
  return now + std::chrono::milliseconds{ms};
}

} // namespace

/// A request on its way through the upstream. Headers are copied, since they
/// are gone once the peer is.
struct Upstream::Run {
  ExchangePtr Caller;
  std::string Attempt;
  std::string Key;
  bool Crashes = false;
  Instant Deadline = Instant::max();
  std::unique_ptr<Timer> Work;
};

Upstream::Upstream(struct ev_loop *loop, UpstreamSettings settings,
                   Ledger &ledger)
    : Loop(loop), Settings(std::move(settings)), Shared(ledger),
      Draws(Settings.Seed), Incarnation(Settings.Incarnation),
      Cold(Settings.StartCold), Restart(loop),
      Server(
          loop, Settings.Address, [this](const ExchangePtr &it) { handle(it); },
          Settings.Connections) {}

void Upstream::handle(const ExchangePtr &caller) {
  Counts.MaxConnections = std::max(Counts.MaxConnections, Server.connections());
  const auto path = caller->path();
  if (path != "/.load" && path != "/.health") {
    handleRequest(caller);
    return;
  }
  const bool probe = path == "/.load";
  ++(probe ? Counts.Probes : Counts.HealthChecks);
  if (Faults.Freeze) {
    caller->onGone([caller] {}); // holds it, unanswered
    return;
  }
  const unsigned truth = Faults.Draining || Fallen ? 503 : 200;
  const unsigned health =
      Faults.HealthStatus == 0 ? truth : Faults.HealthStatus;
  caller->answer(withReport(caller, {probe ? 200 : health, {}, ""}));
}

void Upstream::handleRequest(const ExchangePtr &caller) {
  ++Counts.Arrived;
  Shared.Targets.insert(hashBytes(caller->Target));
  if (draw(Faults.CloseBeforeShare)) {
    caller->abort();
    return;
  }
  if (Faults.Draining) {
    shed(caller);
    return;
  }
  if (draw(Faults.FailShare)) {
    ++Counts.Failed;
    caller->answer(withReport(caller, {500, {}, "failed\n"}));
    return;
  }
  auto run = std::make_shared<Run>();
  run->Caller = caller;
  run->Attempt = caller->header("X-Attempt-Id");
  run->Key = caller->header("Idempotency-Key");
  run->Crashes = caller->header("X-Crash") == "1";
  run->Deadline = readDeadline(caller->header("X-Deadline-Ms"), readClock());
  caller->onGone([this, run] { cancel(run); });
  countArrival();
  place(run);
}

/// Counts accepted work and, while cold, whether it is more than is borne.
void Upstream::countArrival() {
  Counts.NewWorkAtMs = unixMs();
  const unsigned now = inFlight() + 1;
  Counts.MaxInFlight = std::max(Counts.MaxInFlight, now);
  if (!Cold || now <= Settings.ColdLimit) {
    return;
  }
  ++Counts.ColdOverloads;
  if (ColdTold != Instant{} && readClock() - ColdTold > NoticeTime) {
    ++Counts.ColdOverloadsTold;
  }
  Fallen = true;
  ColdDone = 0;
}

void Upstream::place(const RunPtr &run) {
  if (Faults.Freeze) {
    Held.push_back(run);
  } else if (Running.size() < Settings.Slots) {
    start(run);
  } else if (Queue.size() < Settings.QueueLimit) {
    Queue.push_back(run);
  } else {
    shed(run->Caller);
  }
}

void Upstream::shed(const ExchangePtr &caller) {
  ++Counts.Sheds;
  caller->answer(withReport(caller, {503, {{"X-Not-Run", "1"}}, "not run\n"}));
}

void Upstream::start(const RunPtr &run) {
  if (readClock() >= run->Deadline) {
    ++Counts.DeadlineMissed;
    run->Caller->answer(withReport(
        run->Caller, {503, {{"X-Not-Run", "1"}}, "deadline passed\n"}));
    return;
  }
  ++Counts.Runs;
  if (!run->Key.empty()) {
    ++Shared.KeyRuns[run->Key];
  }
  Running.push_back(run);
  const auto length = drawServiceTime();
  if (length == Duration::zero()) {
    finish(run);
    return;
  }
  run->Work = std::make_unique<Timer>(Loop);
  run->Work->start(length, [this, run] { finish(run); });
}

void Upstream::finish(const RunPtr &run) {
  if (Faults.Freeze) {
    Ended.push_back(run);
    return;
  }
  if (run->Crashes) {
    crash();
    return;
  }
  removeRunning(run);
  ++Counts.Finished;
  if (Cold && !Fallen && ++ColdDone >= Settings.WarmAfter) {
    Cold = false;
  }
  reply(run);
  startQueued();
}

void Upstream::reply(const RunPtr &run) {
  if (draw(Faults.CloseAfterShare)) {
    run->Caller->abort();
    return;
  }
  const auto &caller = run->Caller;
  Answer answer{200, {{"Content-Type", "application/json"}}, ""};
  answer.Body = json::serialize(json::object{
      {"upstream", Settings.Id},
      {"incarnation", Incarnation},
      {"digest", digestRequest(caller->Method, caller->Target, caller->Body)}});
  answer = withReport(caller, std::move(answer));
  if (draw(Faults.CrossedShare) && !LastBody.empty()) {
    answer.Body = LastBody;
    for (auto &[name, value] : answer.Headers) {
      value = name == "X-Attempt-Id" ? LastAttempt : value;
    }
  } else {
    LastAttempt = run->Attempt;
    LastBody = answer.Body;
  }
  if (draw(Faults.ShortShare)) {
    answer.MissingBytes = ShortBy;
  }
  if (!draw(Faults.LateShare)) {
    caller->answer(std::move(answer));
    return;
  }
  auto late = std::make_shared<Timer>(Loop);
  late->start(Faults.LateBy, [late, caller, answer = std::move(answer)] {
    caller->answer(answer);
  });
}

void Upstream::startQueued() {
  while (!Queue.empty() && Running.size() < Settings.Slots) {
    const auto next = Queue.front();
    Queue.pop_front();
    start(next);
  }
  if (inFlight() == 0) {
    Fallen = false;
  }
}

void Upstream::removeRunning(const RunPtr &run) {
  run->Work.reset();
  Running.remove(run);
}

/// The peer closed: what waits is dropped, what runs gives its slot back.
void Upstream::cancel(const RunPtr &run) {
  ++Counts.Cancelled;
  removeRunning(run);
  std::erase(Queue, run);
  std::erase(Held, run);
  std::erase(Ended, run);
  startQueued();
}

void Upstream::crash() {
  ++Counts.Crashes;
  ++Incarnation;
  const auto running = std::exchange(Running, {});
  for (const auto &it : running) {
    it->Caller->onGone(nullptr);
    it->Work.reset();
  }
  for (auto *waiting : {&Queue, &Held}) {
    for (const auto &it : *waiting) {
      it->Caller->onGone(nullptr);
    }
    waiting->clear();
  }
  Ended.clear();
  Server.refuse();
  Server.closeConnections();
  turnCold();
  Restart.start(Faults.CrashDown, [this] {
    if (!Faults.Refuse) {
      Server.listen();
    }
  });
}

void Upstream::turnCold() {
  Cold = true;
  Fallen = false;
  ColdDone = 0;
  ColdTold = {};
}

/// Goes on where a freeze began.
void Upstream::thaw() {
  for (const auto &it : std::exchange(Ended, {})) {
    finish(it);
  }
  while (!Held.empty()) { // one by one: the rest still count as in flight
    const auto next = Held.front();
    Held.pop_front();
    place(next);
  }
}

void Upstream::change(const json::object &change) {
  apply(Faults, change);
  if (change.contains("turnCold")) {
    turnCold();
  }
  if (change.contains("turnWarm")) {
    Cold = false;
    Fallen = false;
  }
  if (change.contains("crash")) {
    crash();
  }
  if (!Faults.Freeze) {
    thaw();
  }
  if (Faults.Refuse) {
    Server.refuse();
    Server.closeConnections();
  } else if (!Restart.isActive()) {
    Server.listen();
  }
}

bool Upstream::draw(double share) {
  return share > 0 && drawShare(Draws) < share;
}

Duration Upstream::drawServiceTime() {
  const auto &times = Settings.Times;
  double factor =
      Faults.DelayFactor * noiseFactor(Noise, Faults, readClock(), Draws);
  if (Cold) {
    factor *= Fallen ? FallenFactor : Settings.ColdFactor;
  }
  if (times.Shape == ServiceTimes::Shapes::Exponential) {
    factor *= std::exponential_distribution<double>(1.0)(Draws);
  } else if (times.Shape == ServiceTimes::Shapes::LogNormal) {
    const double mu = -times.Sigma * times.Sigma / 2; // a mean of 1
    factor *= std::lognormal_distribution<double>(mu, times.Sigma)(Draws);
  }
  return std::chrono::duration_cast<Duration>(times.Mean * factor);
}

unsigned Upstream::inFlight() const {
  return static_cast<unsigned>(Running.size() + Queue.size() + Held.size());
}

const char *Upstream::state() const {
  if (Faults.Draining) {
    return "draining";
  }
  return Cold ? "cold" : "warm";
}

std::string Upstream::loadReport() {
  const auto now = readClock();
  if (!LastReport.empty() && now - LastReportAt < Faults.ReportLag) {
    return LastReport;
  }
  std::size_t running = Running.size();
  std::size_t queued = Queue.size() + Held.size();
  if (Faults.LieLoad == "zero") {
    running = queued = 0;
  } else if (Faults.LieLoad == "full") {
    running = Settings.Slots;
    queued = Settings.QueueLimit;
  } else if (Faults.LieLoad == "random") {
    running = drawBelow(Draws, Settings.Slots + 1);
    queued = drawBelow(Draws, Settings.QueueLimit + 1);
  }
  const std::string said = Faults.LieState.empty() ? state() : Faults.LieState;
  if (Cold && said == "cold" && ColdTold == Instant{}) {
    ColdTold = now;
  }
  LastReportAt = now;
  LastReport = "inflight=" + std::to_string(running) +
               ";queued=" + std::to_string(queued) +
               ";incarnation=" + std::to_string(Incarnation) + ";state=" + said;
  return LastReport;
}

Answer Upstream::withReport(const ExchangePtr &caller, Answer answer) {
  if (auto attempt = caller->header("X-Attempt-Id"); !attempt.empty()) {
    answer.Headers.emplace_back("X-Attempt-Id", std::move(attempt));
  }
  answer.Headers.emplace_back("X-Load", loadReport());
  return answer;
}

json::object Upstream::describe() const {
  return {{"state", state()},
          {"incarnation", Incarnation},
          {"inFlight", inFlight()},
          {"connections", Server.connections()},
          {"accepted", Server.accepted()},
          {"overConnectionLimit", Server.overLimit()},
          {"arrived", Counts.Arrived},
          {"runs", Counts.Runs},
          {"finished", Counts.Finished},
          {"sheds", Counts.Sheds},
          {"failed", Counts.Failed},
          {"cancelled", Counts.Cancelled},
          {"deadlineMissed", Counts.DeadlineMissed},
          {"coldOverloads", Counts.ColdOverloads},
          {"coldOverloadsTold", Counts.ColdOverloadsTold},
          {"crashes", Counts.Crashes},
          {"probes", Counts.Probes},
          {"healthChecks", Counts.HealthChecks},
          {"maxInFlight", Counts.MaxInFlight},
          {"maxConnections", Counts.MaxConnections},
          {"newWorkAtMs", Counts.NewWorkAtMs}};
}

} // namespace zinniarail::standins
