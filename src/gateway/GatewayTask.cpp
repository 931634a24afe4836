#include "zinniarail/gateway/GatewayTask.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <mutex>
#include <optional>
#include <random>

#include <ev.h>

#include "gateway/CallerServer.h"
#include "gateway/Dispatcher.h"
#include "gateway/Stop.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::gateway {

namespace {

constexpr double MeasureInterval = 0.25; // seconds
constexpr double StopInterval = 0.02;    // seconds

double secondsUntil(Instant at, Instant now) {
  const std::chrono::duration<double> left = at - now;
  return std::max(left.count(), 0.0);
}

// Each caller and each upstream connection is a descriptor.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

std::uint64_t drawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

struct GatewayTask::Running {
  Running(const Settings &settings, Outboxes outboxes,
          prometheus::Registry &registry);
  ~Running();

  void takeMessages();
  void take(ViewChanged &message);
  void take(ClaimAnswer &message);
  void take(WordArrived &message);
  void take(ClaimsHandedOver &message);
  void take(StopWanted &message);
  void take(DumpWanted &message);
  void take(TraceWanted &message);
  void logView(const View &next);
  void beginStop();
  void checkStop();
  void settle();
  void wakeEngines();
  void measure();
  DispatcherOutlets outlets();

  /// The callback of a watcher of this object.
  template <auto Method, typename Watcher>
  static void on(struct ev_loop *, Watcher *it, int) {
    (static_cast<Running *>(it->data)->*Method)();
  }

  struct LoopDelete {
    void operator()(struct ev_loop *loop) const { ev_loop_destroy(loop); }
  };

  Settings Options;
  Outboxes Out;
  std::unique_ptr<struct ev_loop, LoopDelete> OwnedLoop;
  struct ev_loop *Loop;
  GatewayMetrics Metrics;
  ev_async Wake{};
  ev_prepare BeforeWait{};
  ev_timer WakeTimer{};
  ev_timer MeasureTimer{};
  ev_timer StopTimer{};
  ev_signal Terminate{};
  ev_signal Interrupt{};
  Inbox Box;
  UpstreamClient Client;
  Dispatcher Core;
  std::unique_ptr<CallerServer> Server;
  std::optional<StopState> Stop;
  Instant LastArrival{};
  bool ViewLapsed = false; ///< And it was logged.
  ExitCode Result = ExitCode::Done;
  mutable std::mutex StatusMutex;
  Status Shown;
};

GatewayTask::Running::Running(const Settings &settings, Outboxes outboxes,
                              prometheus::Registry &registry)
    : Options(settings), Out(std::move(outboxes)),
      OwnedLoop(ev_loop_new(EVFLAG_AUTO)), Loop(OwnedLoop.get()),
      Metrics(registry), Box([this] { ev_async_send(Loop, &Wake); }),
      Client(Loop, {[this](std::uint64_t id) { Core.onCallSent(id); },
                    [this](std::uint64_t id, CallEnd end) {
                      Core.onCallEnded(id, std::move(end));
                    }}),
      Core({settings.InstanceId, settings.Policy,
            settings.Seed == 0 ? drawSeed() : settings.Seed,
            settings.TraceBytes},
           Metrics, outlets()) {
  ev_async_init(&Wake, (&on<&Running::takeMessages, ev_async>));
  ev_prepare_init(&BeforeWait, (&on<&Running::settle, ev_prepare>));
  ev_timer_init(&WakeTimer, (&on<&Running::wakeEngines, ev_timer>), 0, 0);
  ev_timer_init(&MeasureTimer, (&on<&Running::measure, ev_timer>),
                MeasureInterval, MeasureInterval);
  ev_timer_init(&StopTimer, (&on<&Running::checkStop, ev_timer>), StopInterval,
                StopInterval);
  ev_signal_init(&Terminate, (&on<&Running::beginStop, ev_signal>), SIGTERM);
  ev_signal_init(&Interrupt, (&on<&Running::beginStop, ev_signal>), SIGINT);
  Wake.data = BeforeWait.data = WakeTimer.data = MeasureTimer.data =
      StopTimer.data = Terminate.data = Interrupt.data = this;
  ev_async_start(Loop, &Wake);
}

GatewayTask::Running::~Running() {
  Server.reset();
  ev_async_stop(Loop, &Wake);
  ev_prepare_stop(Loop, &BeforeWait);
  ev_timer_stop(Loop, &WakeTimer);
  ev_timer_stop(Loop, &MeasureTimer);
  ev_timer_stop(Loop, &StopTimer);
  ev_signal_stop(Loop, &Terminate);
  ev_signal_stop(Loop, &Interrupt);
}

DispatcherOutlets GatewayTask::Running::outlets() {
  DispatcherOutlets out;
  out.Answer = [this](std::uint64_t request, Answer answer) {
    Server->answer(request, std::move(answer));
  };
  out.Start = [this](UpstreamCall call, Instant now) {
    Client.start(std::move(call), now);
  };
  out.Cancel = [this](std::uint64_t call) { Client.cancel(call); };
  out.SeekClaim = [this](const std::string &service, RequestId request,
                         const std::string &key, Instant deadline) {
    Out.Peers(peers::ClaimWanted{service, request, key, deadline});
  };
  out.ReleaseClaim = [this](const std::string &service, RequestId request) {
    Out.Peers(peers::ClaimReleased{service, request});
  };
  out.TellHomes = [this](const std::string &service, const PeerWord &word) {
    Out.Peers(peers::WordForHomes{service, word});
  };
  return out;
}

void GatewayTask::Running::takeMessages() {
  for (Message &message : Box.take()) {
    std::visit([this](auto &it) { take(it); }, message);
  }
}

void GatewayTask::Running::take(ViewChanged &message) {
  logView(*message.Current);
  {
    const std::lock_guard lock(StatusMutex);
    Shown.Current = message.Current;
  }
  Core.onView(std::move(message.Current));
}

void GatewayTask::Running::logView(const View &next) {
  const View *last = Core.view();
  const std::string what = "version " + std::to_string(next.Version) + ", " +
                           std::to_string(next.Instances.size()) + " instances";
  if (last == nullptr || last->Version != next.Version ||
      last->Instances != next.Instances) {
    logEvent(EventId::ViewInForce, what);
  } else {
    logEvent(EventId::ViewConfirmed, what);
  }
  if (ViewLapsed && readClock() < next.ValidUntil) {
    ViewLapsed = false;
    logEvent(EventId::ViewValidAgain, what);
  }
}

void GatewayTask::Running::take(ClaimAnswer &message) {
  Core.onClaim(message.Service, message.Decision);
}

void GatewayTask::Running::take(WordArrived &message) {
  Core.onWord(message.Service, message.Word);
}

void GatewayTask::Running::take(ClaimsHandedOver &) {
  if (Stop) {
    Stop->ClaimsHandedOver = true;
  }
}

void GatewayTask::Running::take(StopWanted &) { beginStop(); }

void GatewayTask::Running::take(DumpWanted &message) {
  boost::json::object dump = Core.describe(readClock());
  dump["callerConnections"] = Server->connections();
  dump["unanswered"] = Server->openRequests();
  dump["answerBytes"] = Server->answerBytes();
  dump["upstreamConnections"] = Client.connections();
  dump["stopping"] = Stop.has_value();
  message.Answer(std::move(dump));
}

void GatewayTask::Running::take(TraceWanted &message) {
  message.Answer(Core.traceOf(message.Service));
}

void GatewayTask::Running::beginStop() {
  if (Stop) {
    return;
  }
  {
    const std::lock_guard lock(StatusMutex);
    Shown.Stopping = true;
  }
  const Instant now = readClock();
  const Duration lifetime = Core.view() == nullptr
                                ? Duration{0}
                                : Core.view()->Intent->ResolveLifetime;
  Stop = StopState{.ServeUntil = now + serveTime(lifetime, Options.PeerTimeout),
                   .GiveUpAt = now + Options.StopTimeout};
  logEvent(EventId::StopBegan, Options.InstanceId);
  Server->closeAfterAnswers();
  Out.Control(control::StopBegun{});
  Out.Peers(peers::StopBegun{});
  ev_timer_start(Loop, &StopTimer);
}

void GatewayTask::Running::checkStop() {
  Stop->LastArrival = LastArrival;
  const std::size_t open = Server->openRequests();
  switch (decideStop(*Stop, open, readClock())) {
  case StopStep::Wait:
    return;
  case StopStep::GiveUp:
    Result = open == 0 ? ExitCode::Done : ExitCode::Failed;
    break;
  case StopStep::Done:
    break;
  }
  ev_break(Loop, EVBREAK_ALL);
}

// Each side may give the other work, so both run until neither has any.
void GatewayTask::Running::settle() {
  bool worked = true;
  while (worked) {
    worked = Client.run();
    worked = Server->run() || worked;
  }
  ev_timer_stop(Loop, &WakeTimer);
  const Instant wake = Core.nextWake();
  if (wake != Instant::max()) {
    ev_now_update(Loop);
    ev_timer_set(&WakeTimer, secondsUntil(wake, readClock()), 0);
    ev_timer_start(Loop, &WakeTimer);
  }
}

void GatewayTask::Running::wakeEngines() { Core.onWake(); }

void GatewayTask::Running::measure() {
  const Instant now = readClock();
  Core.measure(now);
  if (!ViewLapsed && Core.view() != nullptr && !Core.isReady(now)) {
    ViewLapsed = true;
    logEvent(EventId::ViewExpired,
             "version " + std::to_string(Core.view()->Version));
  }
  Metrics.Callers.Set(static_cast<double>(Server->connections()));
}

GatewayTask::GatewayTask(const Settings &settings, Outboxes outboxes,
                         prometheus::Registry &registry)
    : Core(std::make_unique<Running>(settings, std::move(outboxes), registry)) {
}

GatewayTask::~GatewayTask() = default;

Result<void, GatewayError> GatewayTask::open() {
  raiseDescriptorLimit();
  const std::string &address = Core->Options.CallerAddress;
  Core->Server = std::make_unique<CallerServer>(
      Core->Loop, address,
      CallerHandlers{
          [this](std::uint64_t id, std::shared_ptr<Request> it) {
            Core->LastArrival = readClock();
            Core->Core.onRequest(id, std::move(it));
          },
          [this](std::uint64_t id) { Core->Core.onCallerGone(id); }});
  if (!Core->Server->isOpen()) {
    return GatewayError{"cannot listen on " + address};
  }
  return outcome::success();
}

void GatewayTask::stopOnSignals() {
  ev_signal_start(Core->Loop, &Core->Terminate);
  ev_signal_start(Core->Loop, &Core->Interrupt);
}

ExitCode GatewayTask::run() {
  std::signal(SIGPIPE, SIG_IGN);
  ev_prepare_start(Core->Loop, &Core->BeforeWait);
  ev_timer_start(Core->Loop, &Core->MeasureTimer);
  ev_run(Core->Loop, 0);
  return Core->Result;
}

Inbox &GatewayTask::inbox() { return Core->Box; }

Status GatewayTask::status() const {
  const std::lock_guard lock(Core->StatusMutex);
  return Core->Shown;
}

} // namespace zinniarail::gateway
