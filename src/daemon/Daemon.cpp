#include "daemon/Daemon.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>

#include <ev.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "daemon/BeliefLog.h"
#include "fleet/PeerTask.h"
#include "operator/OperatorPort.h"
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
constexpr double TickSeconds = 1;     // between two looks at what is to be told

// What is left of the time for a stop to write the last answers.
constexpr Duration StopMargin = std::chrono::milliseconds{500};

// How long an instance listens for others before it reads the store for itself.
// Where all start at once they need longer to hear of each other, and nobody
// waits for them yet.
constexpr Duration SettleTime = std::chrono::milliseconds{25};
constexpr Duration FirstSettleTime = std::chrono::milliseconds{600};

// What reads for others should have: thousandths of a core count like tenths of
// a Mbit/s, which is about what an instance needs of each to pass on changes.
constexpr double WeightPerCore = 1000;
constexpr double WeightPerMbps = 10;
constexpr double MostWeightOfLink = 1000;

struct LoopDelete {
  void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
};

prometheus::Family<prometheus::Gauge> &
addGauges(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

std::uint64_t drawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

/// The tasks of one process, and what they tell each other.
class Daemon {
public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  bool open();
  ExitCode run();

private:
  http::ServerHandlers callerHandlers();
  http::ServerHandlers readyHandlers();
  http::ServerHandlers directoryHandlers();
  proxy::ProxyOutlets proxyOutlets();
  fleet::PeerHandlers peerHandlers();
  store::StoreHandlers storeHandlers();

  OperatorSources operatorSources();
  std::string stateName() const;
  boost::json::object dump() const;
  void measure();
  void tick();

  void takeDuty(Duty duty);
  void takeNews(const fleet::StateUpdate &news);
  void fillNews(fleet::StateUpdate &news, fleet::StatePart part) const;
  void takeStoreChange(platform::Kind kind);
  void takeLive();
  void refresh();
  void answerResolve(http::ExchangeId id, const http::Request &request);
  void settle();
  void beginStop();
  void checkStop();
  bool isReady() const;

  template <auto Method, typename Watcher>
  static void on(struct ev_loop *, Watcher *it, int) {
    (static_cast<Daemon *>(it->data)->*Method)();
  }

  Settings Options;
  std::unique_ptr<struct ev_loop, LoopDelete> Owned;
  struct ev_loop *Loop;
  ev_prepare BeforeWait{};
  ev_timer WakeTimer{};
  ev_timer StopTimer{};
  ev_timer SecondTimer{};
  ev_signal Terminate{};
  ev_signal Reload{};
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Gauge> &BeliefAge;
  prometheus::Family<prometheus::Gauge> &Numbers;
  prometheus::Family<prometheus::Gauge> &StoreCalls;
  store::Mirror Known;
  BeliefLog Beliefs;
  http::ClientPool Pool;
  proxy::Proxy Core;
  http::Server Callers;
  http::Server Ready;
  http::Server Directory;
  store::StoreTask Store;
  fleet::PeerTask Peers;
  OperatorPort Operators;
  Instant ConfirmedAt{}; ///< When what is known of the store was last current.
  bool Changed = false;  ///< What the proxy is to be told.
  bool Complete = false; ///< Upstreams were heard of once at least.
  bool Stopping = false;
  Instant StoppingSince{};
  ExitCode Code = ExitCode::Done;
};

Member describeSelf(const Settings &settings, std::uint64_t boot) {
  Member self;
  self.Record = {settings.InstanceId,      settings.FailureDomain,
                 settings.CallerAddress,   settings.PeerAddress,
                 settings.OperatorAddress, false};
  self.BootId = boot;
  self.ElectionWeight = static_cast<unsigned>(
      settings.Cores * WeightPerCore +
      std::min(settings.LinkMbps * WeightPerMbps, MostWeightOfLink));
  return self;
}

proxy::ProxyContext makeContext(const Settings &settings) {
  return {settings.InstanceId,
          settings.FailureDomain,
          settings.Seed,
          {settings.RetryRatio, settings.ExtraRetries, settings.ColdOvershoot,
           settings.ColdSlack, settings.ProbesPerSecond},
          &platform::dialect()};
}

Settings withSeed(Settings settings) {
  if (settings.Seed == 0) {
    settings.Seed = drawSeed();
  }
  return settings;
}

Daemon::Daemon(Settings settings)
    : Options(withSeed(std::move(settings))), Owned(ev_loop_new(EVFLAG_AUTO)),
      Loop(Owned.get()),
      BeliefAge(addGauges(Registry, "zinniarail_belief_age_seconds",
                          "Since what is believed was last known to be so")),
      Numbers(addGauges(Registry, "zinniarail_state",
                        "Counts of what this process knows and holds")),
      StoreCalls(addGauges(Registry, "zinniarail_store_calls",
                           "Calls to the platform's store since the start")),
      Pool(Loop,
           [this](http::CallId id, http::CallResult result) {
             Core.onCallEnded(id, std::move(result));
           }),
      Core(makeContext(Options), proxyOutlets(), Registry),
      Callers(Loop, callerHandlers()), Ready(Loop, readyHandlers()),
      Directory(Loop, directoryHandlers()),
      Store(Loop, Options.StoreAddress, Known, Options.Seed, storeHandlers()),
      Peers(Loop, describeSelf(Options, drawSeed()), Options.Seeds,
            Options.FirstStart ? FirstSettleTime : SettleTime, Options.LinkMbps,
            peerHandlers()),
      Operators(Loop, operatorSources()) {
  ev_prepare_init(&BeforeWait, (&on<&Daemon::settle, ev_prepare>));
  ev_timer_init(&WakeTimer, (&on<&Daemon::settle, ev_timer>), 0, 0);
  ev_timer_init(&StopTimer, (&on<&Daemon::checkStop, ev_timer>), StopInterval,
                StopInterval);
  ev_timer_init(&SecondTimer, (&on<&Daemon::tick, ev_timer>), TickSeconds,
                TickSeconds);
  ev_signal_init(&Terminate, (&on<&Daemon::beginStop, ev_signal>), SIGTERM);
  ev_signal_init(
      &Reload,
      [](struct ev_loop *, ev_signal *, int) {
        logEvent(EventId::SettingsKept, "SIGHUP");
      },
      SIGHUP);
  BeforeWait.data = WakeTimer.data = StopTimer.data = SecondTimer.data =
      Terminate.data = this;
}

Daemon::~Daemon() {
  ev_prepare_stop(Loop, &BeforeWait);
  ev_timer_stop(Loop, &WakeTimer);
  ev_timer_stop(Loop, &StopTimer);
  ev_timer_stop(Loop, &SecondTimer);
  ev_signal_stop(Loop, &Terminate);
  ev_signal_stop(Loop, &Reload);
}

proxy::ProxyOutlets Daemon::proxyOutlets() {
  return {
      [this](http::ExchangeId id, const http::Response &response) {
        Callers.sendResponse(id, response);
      },
      [this](http::Call call) { Pool.start(std::move(call)); },
      [this](http::CallId id) { Pool.cancel(id); },
      [this](const std::string &address) { Pool.closeIdle(address); },
      [this](const balance::CrashSuspect &it) { Peers.broadcastSuspected(it); },
      [this](std::uint64_t it) { Peers.broadcastQuarantined(it); }};
}

http::ServerHandlers Daemon::callerHandlers() {
  return {[this](const http::Request &it) { return Core.mayOvertake(it); },
          [this](http::ExchangeId id, http::Request request) {
            Core.onRequest(id, std::move(request));
          },
          [this](http::ExchangeId id) { Core.onCallerGone(id); }};
}

http::ServerHandlers Daemon::readyHandlers() {
  return {[](const http::Request &) { return true; },
          [this](http::ExchangeId id, const http::Request &request) {
            const bool asked = platform::dialect().IsReadyQuestion(request);
            const unsigned status = isReady() ? Ok : Unavailable;
            Ready.sendResponse(id, {asked ? status : NotFound, {}, {}});
          },
          [](http::ExchangeId) {}};
}

http::ServerHandlers Daemon::directoryHandlers() {
  return {[](const http::Request &) { return true; },
          [this](http::ExchangeId id, const http::Request &it) {
            answerResolve(id, it);
          },
          [](http::ExchangeId) {}};
}

fleet::PeerHandlers Daemon::peerHandlers() {
  return {[this](Duty duty) { takeDuty(duty); },
          [this](const fleet::StateUpdate &news) { takeNews(news); },
          [this] { takeLive(); },
          [this](const balance::Event &word) { Core.onWord(word); },
          [this](fleet::StateUpdate &news, fleet::StatePart part) {
            fillNews(news, part);
          }};
}

store::StoreHandlers Daemon::storeHandlers() {
  return {[this](platform::Kind kind) { takeStoreChange(kind); },
          [this](bool healthy) {
            Complete = Complete || healthy;
            Peers.setStoreHealthy(healthy);
          }};
}

OperatorSources Daemon::operatorSources() {
  return {Options.InstanceId,
          [this] { return stateName(); },
          [this] { return Known.Config ? Known.Config->Version : 0; },
          [this] { return dump(); },
          [this] { measure(); },
          [this] { beginStop(); },
          &Registry};
}

std::string Daemon::stateName() const {
  if (Stopping) {
    return "stopping";
  }
  if (!Known.Config) {
    return "no-configuration";
  }
  return Complete ? "ready" : "no-upstreams-known";
}

boost::json::object Daemon::dump() const {
  const Instant now = readClock();
  return {{"instance", Options.InstanceId},
          {"state", stateName()},
          {"proxy", Core.describe(now)},
          {"store", Store.describe(now)},
          {"peers", Peers.describe(now)}};
}

void Daemon::measure() {
  const Instant now = readClock();
  Core.measure();
  const auto age = [&](Instant then) {
    return std::chrono::duration<double>(now - then).count();
  };
  // While it reads, the store answers every half second; while it follows, the
  // reader does so for it.
  BeliefAge.Add({{"of", "store"}}).Set(age(ConfirmedAt));
  const auto set = [&](const char *what, std::size_t value) {
    Numbers.Add({{"what", what}}).Set(static_cast<double>(value));
  };
  set("configuration-version", Known.Config ? Known.Config->Version : 0);
  set("upstreams", Known.Upstreams.Entries.size());
  set("domains-out", Known.EvacuatedDomains.size());
  set("instances-live", Peers.liveMembers().size());
  set("instances-known", Peers.fleetSize());
  set("reads-the-store", Peers.duty() == Duty::Read ? 1 : 0);
  set("caller-connections", Callers.connections());
  set("upstream-connections", Pool.connections());
  set("log-lines-dropped", droppedLineCount());
  for (const auto &[key, count] : Store.callCounts()) {
    StoreCalls
        .Add({{"call", key.first}, {"result", platform::nameOf(key.second)}})
        .Set(static_cast<double>(count));
  }
}

void Daemon::tick() {
  if (Peers.isStateCurrent()) {
    ConfirmedAt = readClock();
  }
  if (Peers.duty() == Duty::Read) {
    Store.setInstancesToRecord(Options.FailureDomain,
                               Peers.instancesInOwnDomain());
  }
  Core.tellLeftOut();
  Peers.logUnreadableMessages();
  flushLog();
}

bool Daemon::open() {
  const std::pair<http::Server *, const std::string *> ports[]{
      {&Callers, &Options.CallerAddress},
      {&Ready, &Options.ReadyAddress},
      {&Directory, &Options.DirectoryAddress}};
  if (!Operators.listen(Options.OperatorAddress)) {
    logEvent(EventId::PortUnusable,
             "cannot listen on " + Options.OperatorAddress);
    return false;
  }
  for (const auto &[server, address] : ports) {
    if (!server->listen(*address)) {
      logEvent(EventId::PortUnusable, "cannot listen on " + *address);
      return false;
    }
  }
  if (!Peers.open()) {
    logEvent(EventId::PortUnusable, "cannot listen on " + Options.PeerAddress);
    return false;
  }
  return true;
}

ExitCode Daemon::run() {
  std::signal(SIGPIPE, SIG_IGN);
  ev_signal_start(Loop, &Terminate);
  ev_signal_start(Loop, &Reload);
  ev_prepare_start(Loop, &BeforeWait);
  ev_timer_start(Loop, &SecondTimer);
  Peers.start();
  ev_run(Loop, 0);
  return Code;
}

void Daemon::takeDuty(Duty duty) {
  if (duty != Duty::Read) {
    return Store.stopReading();
  }
  if (!Options.FirstStart) {
    Store.avoidStaleReads();
  }
  Store.startReading();
  takeLive();
}

void Daemon::takeNews(const fleet::StateUpdate &news) {
  const Instant now = readClock();
  if (news.Config) {
    if (auto config = fleet::decodeConfiguration(*news.Config)) {
      updateConfiguration(Known, std::move(config));
    }
  }
  if (news.Upstreams) {
    const auto &[change, asOf] = *news.Upstreams;
    if (change.IsComplete) {
      replaceUpstreams(Known, change.Items, asOf, now);
    } else {
      updateUpstreams(Known, change.Items, change.RemovedIds, asOf, now);
    }
    Complete = true;
  }
  if (news.EvacuatedDomains) {
    replaceEvacuatedDomains(Known, news.EvacuatedDomains->RevisionByName,
                            news.EvacuatedDomains->StoreRevision);
  }
  Changed = true;
}

void Daemon::fillNews(fleet::StateUpdate &news, fleet::StatePart part) const {
  const Instant now = readClock();
  switch (part) {
  case fleet::StatePart::Configuration:
    news.Config = std::make_shared<const std::string>(
        fleet::encodeConfiguration(*Known.Config));
    return;
  case fleet::StatePart::Upstreams:
    news.Upstreams.emplace();
    news.Upstreams->StoreRevision = Known.UpstreamsAsOf;
    for (const auto &[id, it] : Known.Upstreams.Entries) {
      news.Upstreams->List.Items.push_back(
          {currentUpstream(it, now), it.Revision});
    }
    return;
  case fleet::StatePart::EvacuatedDomains:
    news.EvacuatedDomains = {Known.EvacuatedDomains, Known.EvacuationsAsOf};
    return;
  case fleet::StatePart::Members:
    news.Members.emplace();
    news.Members->List.Items = Peers.liveMembers();
    news.Members->FleetSize = Peers.fleetSize();
    return;
  }
}

void Daemon::takeStoreChange(platform::Kind kind) {
  switch (kind) {
  case platform::Kind::Configuration:
    if (Known.Config) {
      Peers.publish(fleet::StatePart::Configuration);
    }
    break;
  case platform::Kind::Upstreams:
    Peers.publish(fleet::StatePart::Upstreams);
    break;
  case platform::Kind::Evacuations:
    Peers.publish(fleet::StatePart::EvacuatedDomains);
    break;
  case platform::Kind::Instances:
    Peers.addRecordedInstances(Store.recordedInstances());
    break;
  }
  Changed = true;
}

void Daemon::takeLive() {
  Beliefs.noteLive(Peers.liveMembers());
  Store.setElectionRank(Peers.electionRank());
  Changed = true;
}

void Daemon::refresh() {
  Changed = false;
  auto fleet = std::make_shared<RoutingSnapshot>();
  fleet->Config = Known.Config;
  fleet->Upstreams = listUpstreams(Known.Upstreams, readClock());
  for (const auto &[domain, revision] : Known.EvacuatedDomains) {
    fleet->EvacuatedDomains.insert(domain);
  }
  fleet->FleetSize = std::max(Peers.fleetSize(), Peers.liveMembers().size());
  if (fleet->Config) {
    Callers.setLimits(fleet->Config->Limits);
  }
  Beliefs.noteFleet(*fleet);
  Peers.setHasSnapshot(Complete && fleet->Config != nullptr);
  Core.onFleet(std::move(fleet));
}

bool Daemon::isReady() const { return !Stopping && Complete && Known.Config; }

void Daemon::answerResolve(http::ExchangeId id, const http::Request &request) {
  const auto question = platform::dialect().ReadResolve(request);
  if (!question) {
    return Directory.sendResponse(id, {NotFound, {}, {}});
  }
  std::vector<std::string> addresses;
  for (const Member &it : Peers.liveMembers()) {
    const bool isSelf = it.Record.Id == Options.InstanceId;
    if (!it.Record.Leaving && (isSelf ? isReady() : it.Ready)) {
      addresses.push_back(it.Record.CallerAddress);
    }
  }
  if (addresses.empty()) {
    return Directory.sendResponse(id, {Unavailable, {}, {}});
  }
  Directory.sendResponse(id, platform::dialect().WriteResolved(
                                 addresses, Options.ResolveLifetime));
}

void Daemon::settle() {
  if (Changed) {
    refresh();
  }
  ev_timer_stop(Loop, &WakeTimer);
  if (Core.nextWake() <= readClock()) {
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

void Daemon::beginStop() {
  if (Stopping) {
    return;
  }
  logEvent(EventId::StopBegan, Options.InstanceId);
  Stopping = true;
  StoppingSince = readClock();
  Peers.announceLeaving();
  Callers.closeAfterResponses();
  ev_timer_start(Loop, &StopTimer);
}

void Daemon::checkStop() {
  const Instant now = readClock();
  const Instant serveUntil = StoppingSince + Options.ResolveLifetime;
  const Instant giveUpAt = StoppingSince + Options.StopTimeout - StopMargin;
  if (now >= serveUntil) {
    Callers.stopListening();
    Callers.closeIdle();
  }
  const bool done = now >= serveUntil && Callers.openExchanges() == 0;
  if (done || now >= giveUpAt) {
    Code = done ? ExitCode::Done : ExitCode::Failed;
    ev_break(Loop, EVBREAK_ALL);
  }
}

} // namespace

ExitCode runDaemon(const Settings &settings) {
  Daemon daemon(settings);
  if (!daemon.open()) {
    return ExitCode::Failed;
  }
  logEvent(EventId::Started, settings.InstanceId + " in " +
                                 settings.FailureDomain + ", callers at " +
                                 settings.CallerAddress);
  const ExitCode code = daemon.run();
  logEvent(code == ExitCode::Done ? EventId::Stopped : EventId::StopCutShort,
           settings.InstanceId);
  return code;
}

} // namespace zinniarail
