#include "daemon/Node.h"

#include <csignal>
#include <memory>
#include <random>

#include <ev.h>

#include "platform/Platform.h"
#include "proxy/Proxy.h"
#include "store/StoreTask.h"
#include "zinniarail/events/Events.h"

namespace zinniarail {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

constexpr double StopInterval = 0.05; // seconds

// What is left of the time for a stop to write the last answers.
constexpr Duration StopMargin = std::chrono::milliseconds{500};

struct LoopDelete {
  void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
};

std::uint64_t drawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

class Node {
public:
  explicit Node(const NodeSettings &settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  bool open();
  ExitCode run();

private:
  void takePicture(const store::Picture &picture);
  void answerReady(http::ExchangeId id);
  void answerResolve(http::ExchangeId id, const http::Request &request);
  void settle();
  void beginStop();
  void checkStop();
  bool isReady() const;

  template <auto Method, typename Watcher>
  static void on(struct ev_loop *, Watcher *it, int) {
    (static_cast<Node *>(it->data)->*Method)();
  }

  NodeSettings Options;
  std::unique_ptr<struct ev_loop, LoopDelete> Owned;
  struct ev_loop *Loop;
  ev_prepare BeforeWait{};
  ev_timer WakeTimer{};
  ev_timer StopTimer{};
  ev_signal Terminate{};
  ev_signal Reload{};
  http::ClientPool Pool;
  proxy::Proxy Core;
  http::Server Callers;
  http::Server Ready;
  http::Server Directory;
  store::StoreTask Store;
  std::shared_ptr<const Fleet> Current;
  bool Complete = false;
  bool Stopping = false;
  Instant StoppingSince{};
  ExitCode Code = ExitCode::Done;
};

proxy::ProxyContext makeContext(const NodeSettings &settings,
                                std::uint64_t seed) {
  return {settings.InstanceId,
          settings.FailureDomain,
          seed,
          {settings.RetryRatio, settings.ExtraRetries, settings.ColdOvershoot,
           settings.ColdSlack, settings.ProbesPerSecond},
          &platform::dialect()};
}

Node::Node(const NodeSettings &settings)
    : Options(settings), Owned(ev_loop_new(EVFLAG_AUTO)), Loop(Owned.get()),
      Pool(Loop,
           [this](http::CallId id, http::CallResult result) {
             Core.onCallEnded(id, std::move(result));
           }),
      Core(makeContext(settings,
                       settings.Seed == 0 ? drawSeed() : settings.Seed),
           {[this](http::ExchangeId id, http::Response response) {
              Callers.answer(id, std::move(response));
            },
            [this](http::Call call) { Pool.start(std::move(call)); },
            [this](http::CallId id) { Pool.cancel(id); },
            [this](const std::string &address) { Pool.closeIdle(address); },
            [](std::uint64_t) {}}),
      Callers(Loop,
              {[this](const http::Request &it) { return Core.mayOvertake(it); },
               [this](http::ExchangeId id, http::Request request) {
                 Core.onRequest(id, std::move(request));
               },
               [this](http::ExchangeId id) { Core.onCallerGone(id); }}),
      Ready(Loop, {[](const http::Request &) { return true; },
                   [this](http::ExchangeId id, const http::Request &) {
                     answerReady(id);
                   },
                   [](http::ExchangeId) {}}),
      Directory(Loop, {[](const http::Request &) { return true; },
                       [this](http::ExchangeId id, const http::Request &it) {
                         answerResolve(id, it);
                       },
                       [](http::ExchangeId) {}}),
      Store(Loop, settings.StoreAddress,
            Instance{settings.InstanceId, settings.FailureDomain,
                     settings.CallerAddress, settings.PeerAddress, "", false},
            settings.Seed == 0 ? drawSeed() : settings.Seed,
            [this](const store::Picture &it) { takePicture(it); }) {
  ev_prepare_init(&BeforeWait, (&on<&Node::settle, ev_prepare>));
  ev_timer_init(&WakeTimer, (&on<&Node::settle, ev_timer>), 0, 0);
  ev_timer_init(&StopTimer, (&on<&Node::checkStop, ev_timer>), StopInterval,
                StopInterval);
  ev_signal_init(&Terminate, (&on<&Node::beginStop, ev_signal>), SIGTERM);
  ev_signal_init(
      &Reload,
      [](struct ev_loop *, ev_signal *, int) {
        logEvent(EventId::SettingsKept, "SIGHUP");
      },
      SIGHUP);
  BeforeWait.data = WakeTimer.data = StopTimer.data = Terminate.data = this;
}

Node::~Node() {
  ev_prepare_stop(Loop, &BeforeWait);
  ev_timer_stop(Loop, &WakeTimer);
  ev_timer_stop(Loop, &StopTimer);
  ev_signal_stop(Loop, &Terminate);
  ev_signal_stop(Loop, &Reload);
}

bool Node::open() {
  const std::pair<http::Server *, const std::string *> ports[]{
      {&Callers, &Options.CallerAddress},
      {&Ready, &Options.ReadyAddress},
      {&Directory, &Options.DirectoryAddress}};
  for (const auto &[server, address] : ports) {
    if (!server->listen(*address)) {
      logEvent(EventId::PortUnusable, "cannot listen on " + *address);
      return false;
    }
  }
  return true;
}

ExitCode Node::run() {
  std::signal(SIGPIPE, SIG_IGN);
  ev_signal_start(Loop, &Terminate);
  ev_signal_start(Loop, &Reload);
  ev_prepare_start(Loop, &BeforeWait);
  if (!Options.FirstStart) {
    Store.distrustCheapReads();
  }
  Store.start();
  ev_run(Loop, 0);
  return Code;
}

void Node::takePicture(const store::Picture &picture) {
  auto fleet = std::make_shared<Fleet>();
  fleet->Config = picture.Config;
  fleet->Upstreams = picture.Upstreams;
  fleet->DomainsOut = picture.DomainsOut;
  fleet->Live = picture.Instances;
  fleet->Known = std::max<std::size_t>(picture.Instances.size(), 1);
  Complete = Complete || picture.Complete;
  Current = fleet;
  if (fleet->Config) {
    Callers.setLimits(fleet->Config->Limits);
  }
  Core.onFleet(std::move(fleet));
}

bool Node::isReady() const {
  return !Stopping && Complete && Current && Current->Config;
}

void Node::answerReady(http::ExchangeId id) {
  Ready.answer(id, {isReady() ? Ok : Unavailable, {}, {}});
}

void Node::answerResolve(http::ExchangeId id, const http::Request &request) {
  const auto question = platform::dialect().ReadResolve(request);
  if (!question) {
    return Directory.answer(id, {NotFound, {}, {}});
  }
  if (!isReady()) {
    return Directory.answer(id, {Unavailable, {}, {}});
  }
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const Instance &it : Current->Live) {
    all.push_back(it.CallerAddress);
    if (it.Domain == question->Domain) {
      near.push_back(it.CallerAddress);
    }
  }
  Directory.answer(
      id, platform::dialect().WriteResolved(near.size() >= 2 ? near : all,
                                            Options.ResolveLifetime));
}

void Node::settle() {
  ev_timer_stop(Loop, &WakeTimer);
  const Instant now = readClock();
  if (Core.nextWake() <= now) {
    Core.onWake();
  }
  const Instant next = Core.nextWake();
  if (next != Instant::max()) {
    const std::chrono::duration<double> left =
        std::max(next - readClock(), Duration{0});
    ev_now_update(Loop);
    ev_timer_set(&WakeTimer, left.count(), 0);
    ev_timer_start(Loop, &WakeTimer);
  }
}

void Node::beginStop() {
  if (Stopping) {
    return;
  }
  logEvent(EventId::StopBegan, Options.InstanceId);
  Stopping = true;
  StoppingSince = readClock();
  Callers.closeAfterAnswers();
  ev_timer_start(Loop, &StopTimer);
}

void Node::checkStop() {
  const Instant now = readClock();
  const Instant serveUntil = StoppingSince + Options.ResolveLifetime;
  const Instant giveUpAt = StoppingSince + Options.StopTimeout - StopMargin;
  if (now >= serveUntil) {
    Callers.stopListening();
    Callers.closeIdle();
  }
  if ((now >= serveUntil && Callers.openExchanges() == 0) || now >= giveUpAt) {
    ev_break(Loop, EVBREAK_ALL);
  }
}

} // namespace

ExitCode runNode(const NodeSettings &settings) {
  Node node(settings);
  if (!node.open()) {
    return ExitCode::Failed;
  }
  logEvent(EventId::Started, settings.InstanceId + " in " +
                                 settings.FailureDomain + ", callers at " +
                                 settings.CallerAddress);
  const ExitCode code = node.run();
  logEvent(EventId::Stopped, settings.InstanceId);
  return code;
}

} // namespace zinniarail
