#include "daemon/Daemon.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>

#include <malloc.h>
#include <sys/resource.h>

#include <ev.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "daemon/StateChangeLog.h"
#include "fleet/PeerTask.h"
#include "fleet/StateExchange.h"
#include "operator/OperatorPort.h"
#include "platform/Platform.h"
#include "proxy/Proxy.h"
#include "quota/QuotaTask.h"
#include "rollout/RolloutTask.h"
#include "store/StoreTask.h"
#include "zinniarail/events/Events.h"

namespace zinniarail {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

constexpr double StopCheckSeconds = 0.05; // between calls of checkStop
constexpr double TickSeconds = 1;         // between calls of tick

// The requests that are open in an unfinished stop get their final answers this
// long before StopTimeout.
constexpr Duration StopMargin = std::chrono::milliseconds{500};

// How long an unfinished stop waits for these answers to be written. It ends
// before StopTimeout is over.
constexpr Duration FinalAnswersTime = std::chrono::milliseconds{200};

// Delay after the start before an instance may become the reader of the store.
constexpr Duration DiscoveryTime = std::chrono::milliseconds{25};

// DiscoveryTime for the first start of the whole system: instances that all
// start at once need longer to discover each other, and no caller is waiting
// for them yet.
constexpr Duration FirstStartDiscoveryTime = std::chrono::milliseconds{600};

// Election weight of an instance that may become the reader of the store, per
// core and per Mbit/s of its link. A thousandth of a core counts as much as a
// tenth of a Mbit/s: sending updates to followers uses CPU and link in about
// this ratio.
constexpr double WeightPerCore = 1000;
constexpr double WeightPerMbps = 10;
constexpr double MaxLinkWeight = 1000; // the link weight of 100 Mbit/s

// Larger blocks go back to the system when they are freed. Fixed, since glibc
// would raise it with each freed block and then keep them.
constexpr int MinMappedBlock = 512 << 10;

// Free bytes at the end of the heap that are kept, so that ordinary traffic
// makes no system calls for memory.
constexpr int KeptHeapBytes = 4 << 20;

// Descriptors that connections may take, in parts of DescriptorParts: those to
// the ports of the process, and those to upstreams. The rest is for the store
// and files.
constexpr std::size_t DescriptorParts = 64;
constexpr std::size_t CallerPart = 32;
constexpr std::size_t PeerPart = 8;
constexpr std::size_t DirectoryPart = 8;
constexpr std::size_t OperatorPart = 1;
constexpr std::size_t ReadyPart = 1;
constexpr std::size_t UpstreamPart = 12;

// A port has at least this many, and the rest at least MinReservedDescriptors.
constexpr std::size_t MinConnections = 8;
constexpr std::size_t MinReservedDescriptors = 64;

constexpr double BytesPerMb = 1e6;

// Customers with time series of their own; the dump lists all.
constexpr std::size_t MaxQuotaCustomers = 200;

struct LoopDeleter {
  void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
};

prometheus::Family<prometheus::Gauge> &
addGaugeFamily(prometheus::Registry &registry, const char *name,
               const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

std::uint64_t drawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

std::size_t descriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

// A port's connections: limited by descriptors and by half of the memory for
// small requests.
http::ServerShare shareOf(http::ByteBudget &budget, std::size_t part) {
  const std::size_t all = descriptorLimit();
  const std::size_t free = all - std::min(all, MinReservedDescriptors);
  const std::size_t most =
      std::min({all / DescriptorParts * part, free,
                budget.limit(http::HeldKind::Small) / 2 / http::IdleBytes});
  return {&budget, std::max(most, MinConnections)};
}

/// Owns the tasks of the process and connects them by their callbacks.
class Daemon {
public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Binds all ports.
  bool open();
  ExitCode run();

private:
  http::ServerHandlers callerHandlers();
  http::ServerHandlers readyHandlers();
  http::ServerHandlers directoryHandlers();
  proxy::ProxyCallbacks proxyCallbacks();
  fleet::PeerHandlers peerHandlers();
  store::StoreHandlers storeHandlers();
  quota::QuotaHandlers quotaHandlers();
  rollout::RolloutHandlers rolloutHandlers();

  OperatorHandlers operatorHandlers();
  std::string stateName() const;
  boost::json::object dump() const;
  void updateGauges();
  void updateQuotaGauges();
  void tick();
  void logMemory();

  void onDutyChanged(Duty duty);
  bool applyUpdate(const fleet::StateUpdate &update);
  void fillUpdate(fleet::StateUpdate &update, fleet::StatePart part) const;
  void onStoreChanged(platform::Kind kind);
  void onLiveMembersChanged();
  /// Takes an upstream that announced that it leaves out of use.
  /// \param source what told it, for the log.
  /// \returns whether this was not known.
  bool noteLeaving(const fleet::LeavingUpstream &upstream, const char *source);
  void updateRoutingSnapshot();
  /// Tells the credit engine which instances are on record.
  void updateQuotaFleet();
  std::vector<std::string> addressesForCallers() const;
  std::vector<proxy::RelayTarget> relayTargets() const;
  void handleResolveRequest(http::ExchangeId id, const http::Request &request);
  /// Passes a new routing snapshot to the proxy, runs the proxy's expired
  /// timers and schedules its next one. Called before each wait of the loop.
  void processPendingWork();
  void beginStop();
  /// When a stop that is not complete answers all open requests.
  Instant finalAnswersAt() const;
  /// Ends the loop when the stop is complete or takes too long.
  void checkStop();
  bool isReady() const;
  /// Time up to which LocalMirror is known to contain all changes.
  Instant stateCurrentAt() const;

  template <auto Method, typename Watcher>
  static void invoke(struct ev_loop *, Watcher *it, int) {
    (static_cast<Daemon *>(it->data)->*Method)();
  }

  Settings Options;
  std::unique_ptr<struct ev_loop, LoopDeleter> OwnedLoop;
  struct ev_loop *Loop;
  ev_prepare BeforePoll{};
  ev_timer ProxyTimer{};
  ev_timer StopTimer{};
  ev_timer TickTimer{};
  ev_signal TerminateSignal{};
  ev_signal HangupSignal{};
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Gauge> &StateAge;
  prometheus::Family<prometheus::Gauge> &StateCounts;
  prometheus::Family<prometheus::Gauge> &StoreCalls;
  prometheus::Family<prometheus::Gauge> &QuotaCounts;
  store::Mirror LocalMirror;
  StateChangeLog ChangeLog;
  http::ByteBudget Budget;
  /// For other instances and operators, which callers must not keep out.
  http::ByteBudget InternalBudget;
  std::size_t LoggedRefused = 0; ///< By both budgets, in the last event.
  std::size_t LoggedClosed = 0;
  http::ClientPool Pool;
  proxy::Proxy RequestProxy;
  http::Server CallerServer;
  http::Server ReadyServer;
  http::Server DirectoryServer;
  store::StoreTask Store;
  fleet::PeerTask Peers;
  quota::QuotaTask Quotas;
  std::shared_ptr<const Configuration> LimitsConfig; ///< Told to Quotas.
  rollout::RolloutTask Rollouts;
  OperatorPort Operators;
  Instant StateCurrentAt{};      ///< The last value of stateCurrentAt.
  bool SnapshotOutdated = false; ///< RequestProxy needs a new snapshot.
  bool HasUpstreamList = false;  ///< A complete list was received.
  bool Stopping = false;
  Instant StoppingSince{};
  ExitCode Code = ExitCode::Done;
};

Member describeSelf(const Settings &settings, std::uint64_t bootId) {
  Member self;
  self.Record = {settings.InstanceId,      settings.FailureDomain,
                 settings.CallerAddress,   settings.PeerAddress,
                 settings.OperatorAddress, false};
  self.BootId = bootId;
  self.ElectionWeight = static_cast<unsigned>(
      settings.Cores * WeightPerCore +
      std::min(settings.LinkMbps * WeightPerMbps, MaxLinkWeight));
  return self;
}

proxy::ProxyContext makeProxyContext(const Settings &settings) {
  return {settings.InstanceId,
          settings.FailureDomain,
          settings.Seed,
          {settings.RetryRatio, settings.ExtraRetries, settings.ColdOvershoot,
           settings.ColdSlack, settings.ProbesPerSecond},
          &platform::dialect(),
          settings.OrderByCost};
}

Settings withSeed(Settings settings) {
  if (settings.Seed == 0) {
    settings.Seed = drawSeed();
  }
  return settings;
}

Daemon::Daemon(Settings settings)
    : Options(withSeed(std::move(settings))),
      OwnedLoop(ev_loop_new(EVFLAG_AUTO)), Loop(OwnedLoop.get()),
      StateAge(
          addGaugeFamily(Registry, "zinniarail_belief_age_seconds",
                         "Since what is believed was last known to be so")),
      StateCounts(
          addGaugeFamily(Registry, "zinniarail_state",
                         "Counts of what this process knows and holds")),
      StoreCalls(
          addGaugeFamily(Registry, "zinniarail_store_calls",
                         "Calls to the platform's store since the start")),
      QuotaCounts(addGaugeFamily(
          Registry, "zinniarail_quota",
          "Requests of customers with a limit since the start, and the credit "
          "that this instance holds and has lent")),
      Budget(http::makeByteBudget(
          static_cast<std::size_t>(Options.MemoryMb * BytesPerMb))),
      InternalBudget(http::makeInternalByteBudget(
          static_cast<std::size_t>(Options.MemoryMb * BytesPerMb))),
      Pool(
          Loop,
          [this](http::CallId id, http::CallResult result) {
            RequestProxy.onCallEnded(id, std::move(result));
          },
          std::min(http::ClientPool::DefaultMaxHeldBytes,
                   Budget.limit(http::HeldKind::Response)),
          &Budget, [this] { return CallerServer.closeSlowReader(); }),
      RequestProxy(makeProxyContext(Options), proxyCallbacks(), Registry),
      CallerServer(Loop, callerHandlers(), shareOf(Budget, CallerPart)),
      ReadyServer(Loop, readyHandlers(), shareOf(InternalBudget, ReadyPart)),
      DirectoryServer(Loop, directoryHandlers(),
                      shareOf(Budget, DirectoryPart)),
      Store(Loop, Options.StoreAddress, LocalMirror, Options.PropagationLimit,
            Options.Seed, storeHandlers()),
      Peers(Loop, describeSelf(Options, drawSeed()), Options.Seeds,
            Options.FirstStart ? FirstStartDiscoveryTime : DiscoveryTime,
            Options.LinkMbps, peerHandlers(),
            shareOf(InternalBudget, PeerPart)),
      Quotas(Loop,
             {Options.InstanceId, Options.FailureDomain, drawSeed(),
              Options.FirstStart},
             {Options.QuotaWindow, Options.QuotaOvershoot, Options.QuotaSlack},
             Options.Seed, quotaHandlers()),
      Rollouts(Loop,
               {Options.FailureDomain,
                drawSeed(),
                {Options.ExposureShare, Options.ExposureSlack}},
               rolloutHandlers()),
      Operators(Loop, operatorHandlers(),
                shareOf(InternalBudget, OperatorPart)) {
  ReadyServer.setLimits(http::InternalLimits);
  DirectoryServer.setLimits(http::InternalLimits);
  Store.setHeartbeatInterval(Options.HeartbeatInterval);
  Pool.setMaxConnections(std::max(
      descriptorLimit() / DescriptorParts * UpstreamPart, MinConnections));
  if (Options.ExposureShare > 0) {
    Store.readRollouts();
  }
  ev_prepare_init(&BeforePoll,
                  (&invoke<&Daemon::processPendingWork, ev_prepare>));
  ev_timer_init(&ProxyTimer, (&invoke<&Daemon::processPendingWork, ev_timer>),
                0, 0);
  ev_timer_init(&StopTimer, (&invoke<&Daemon::checkStop, ev_timer>),
                StopCheckSeconds, StopCheckSeconds);
  ev_timer_init(&TickTimer, (&invoke<&Daemon::tick, ev_timer>), TickSeconds,
                TickSeconds);
  ev_signal_init(&TerminateSignal, (&invoke<&Daemon::beginStop, ev_signal>),
                 SIGTERM);
  ev_signal_init(
      &HangupSignal,
      [](struct ev_loop *, ev_signal *, int) {
        logEvent(EventId::SettingsKept, "SIGHUP");
      },
      SIGHUP);
  BeforePoll.data = ProxyTimer.data = StopTimer.data = TickTimer.data =
      TerminateSignal.data = this;
}

Daemon::~Daemon() {
  ev_prepare_stop(Loop, &BeforePoll);
  ev_timer_stop(Loop, &ProxyTimer);
  ev_timer_stop(Loop, &StopTimer);
  ev_timer_stop(Loop, &TickTimer);
  ev_signal_stop(Loop, &TerminateSignal);
  ev_signal_stop(Loop, &HangupSignal);
}

proxy::ProxyCallbacks Daemon::proxyCallbacks() {
  return {
      [this](http::ExchangeId id, http::Response response) {
        CallerServer.sendResponse(id, std::move(response));
      },
      [this](http::Call call) { Pool.start(std::move(call)); },
      [this](http::CallId id) { Pool.cancel(id); },
      [this](const std::string &id, std::uint64_t startedMs) {
        if (noteLeaving({id, startedMs}, "its response")) {
          Peers.reportLeaving({id, startedMs});
          // The response may also be what a queued request waits for.
          updateRoutingSnapshot();
        }
      },
      [this](const std::string &address) { Pool.closeIdle(address); },
      [this](const balance::CrashSuspect &it) { Peers.broadcastSuspected(it); },
      [this](std::uint64_t it) { Peers.broadcastQuarantined(it); },
      [this](std::uint64_t it) { Peers.broadcastCleared(it); },
      [this](const std::string &it) { Peers.broadcastLimitEnded(it); },
      [this] {
        return readClock() - stateCurrentAt() > Options.PropagationLimit;
      },
      [this](bool any, bool ofEachService) {
        Peers.setReach(any, ofEachService);
      },
      [this] { return relayTargets(); },
      [this](const std::string &customer, http::ExchangeId id) {
        return Quotas.take(customer, id);
      },
      [this](const std::string &customer, Instant endsAt) {
        Quotas.giveBack(customer, endsAt);
      },
      [this](http::ExchangeId id) { Quotas.forget(id); },
      [this](const std::string &service, const std::string &upstream,
             const std::string &route) {
        Rollouts.recordSent(service, upstream, route);
      },
      [this](const rollout::AnswerSeen &it) { Rollouts.recordAnswer(it); }};
}

rollout::RolloutHandlers Daemon::rolloutHandlers() {
  return {[this] { return Peers.duty() == Duty::Read; },
          [this](const std::string &service,
                 const std::function<bool(const std::string &)> &isOld) {
            return RequestProxy.countUnrepeatable(service, isOld);
          },
          [this](const rollout::Report &it) { Peers.sendRolloutReport(it); },
          [this](const rollout::StatusWrite &it, std::function<void()> done) {
            Store.writeRolloutStatus(it.Name, it.Changed, std::move(done));
          },
          [this] { SnapshotOutdated = true; }};
}

http::ServerHandlers Daemon::callerHandlers() {
  return {[this](const http::Request &it) {
            return RequestProxy.mayRunConcurrently(it);
          },
          [this](http::ExchangeId id, http::Request request) {
            RequestProxy.onRequest(id, std::move(request));
          },
          [this](http::ExchangeId id) { RequestProxy.onCallerGone(id); },
          [this](const http::Request &it) {
            return RequestProxy.refuseForMemory(it);
          }};
}

http::ServerHandlers Daemon::readyHandlers() {
  return {[](const http::Request &) { return true; },
          [this](http::ExchangeId id, const http::Request &request) {
            const bool isCheck = platform::dialect().IsReadinessCheck(request);
            const unsigned status = isReady() ? Ok : Unavailable;
            ReadyServer.sendResponse(id, {isCheck ? status : NotFound, {}, {}});
          },
          [](http::ExchangeId) {}};
}

http::ServerHandlers Daemon::directoryHandlers() {
  return {[](const http::Request &) { return true; },
          [this](http::ExchangeId id, const http::Request &it) {
            handleResolveRequest(id, it);
          },
          [](http::ExchangeId) {}};
}

fleet::PeerHandlers Daemon::peerHandlers() {
  return {
      [this](Duty duty) { onDutyChanged(duty); },
      [this](const fleet::StateUpdate &update) { return applyUpdate(update); },
      [this] { onLiveMembersChanged(); },
      [this](const balance::Event &notice) {
        RequestProxy.onQuarantineNotice(notice);
      },
      [this](fleet::StateUpdate &update, fleet::StatePart part) {
        fillUpdate(update, part);
      },
      [this](const fleet::LeavingUpstream &it) {
        noteLeaving(it, "another instance");
      },
      [this](std::size_t most) { return RequestProxy.latestQuarantines(most); },
      [this](const std::string &it) { RequestProxy.onLimitEnded(it); },
      [this](const std::string &from, const quota::Message &it) {
        Quotas.receive(from, it);
      },
      [this](const rollout::Report &it) { Rollouts.receive(it); },
      [this] { return Store.answeredSpans(); },
      [this](const std::vector<store::AnsweredSpanAge> &it) {
        Store.noteAnsweredSpans(it);
      }};
}

quota::QuotaHandlers Daemon::quotaHandlers() {
  return {[this](const std::string &instance, const quota::Message &it) {
            Peers.sendCreditMessage(instance, it);
          },
          [this](std::uint64_t request, const quota::Decision &it) {
            RequestProxy.onCreditDecided(request, it);
          }};
}

store::StoreHandlers Daemon::storeHandlers() {
  return {[this](platform::Kind kind) { onStoreChanged(kind); },
          [this](bool healthy) {
            HasUpstreamList = HasUpstreamList || healthy;
            Peers.setStoreHealthy(healthy);
          },
          [this] { Peers.askWhenStoreAnswered(); }};
}

OperatorHandlers Daemon::operatorHandlers() {
  return {
      Options.InstanceId,
      [this] { return stateName(); },
      [this] { return LocalMirror.Config ? LocalMirror.Config->Version : 0; },
      [this] { return dump(); },
      [this] { updateGauges(); },
      [this] { beginStop(); },
      &Registry};
}

std::string Daemon::stateName() const {
  if (Stopping) {
    return "stopping";
  }
  if (!LocalMirror.Config) {
    return "no-configuration";
  }
  return HasUpstreamList ? "ready" : "no-upstreams-known";
}

boost::json::object Daemon::dump() const {
  const Instant now = readClock();
  return {{"instance", Options.InstanceId},      {"state", stateName()},
          {"proxy", RequestProxy.describe(now)}, {"store", Store.describe(now)},
          {"peers", Peers.describe(now)},        {"quotas", Quotas.describe()},
          {"rollouts", Rollouts.describe(now)}};
}

void Daemon::updateGauges() {
  const Instant now = readClock();
  RequestProxy.updateGauges();
  const auto age = [&](Instant then) {
    return std::chrono::duration<double>(now - then).count();
  };
  // The state is current as of the last read of the store that showed that no
  // change was missed, or while the reader that this instance follows reports
  // that the store answers it.
  StateAge.Add({{"of", "store"}}).Set(age(stateCurrentAt()));
  const auto set = [&](const char *what, std::size_t value) {
    StateCounts.Add({{"what", what}}).Set(static_cast<double>(value));
  };
  set("configuration-version",
      LocalMirror.Config ? LocalMirror.Config->Version : 0);
  set("upstreams", LocalMirror.Upstreams.Entries.size());
  set("domains-out", LocalMirror.EvacuatedDomains.size());
  set("instances-live", Peers.liveMembers().size());
  set("instances-known", Peers.fleetSize());
  set("reads-the-store", Peers.duty() == Duty::Read ? 1 : 0);
  set("followers-deferred", Peers.deferredFollowers());
  set("reaches-upstreams", RequestProxy.reachesUpstreams() ? 1 : 0);
  set("caller-connections", CallerServer.connections());
  set("upstream-connections", Pool.connections());
  set("calls-without-connection", Pool.waitingCalls());
  set("held-small-bytes", Budget.held(http::HeldKind::Small));
  set("held-large-bytes", Budget.held(http::HeldKind::Large));
  set("held-response-bytes", Budget.held(http::HeldKind::Response));
  set("held-internal-bytes", InternalBudget.held(http::HeldKind::Small) +
                                 InternalBudget.held(http::HeldKind::Large) +
                                 InternalBudget.held(http::HeldKind::Response));
  set("memory-refusals", Budget.Refused + InternalBudget.Refused);
  set("memory-closes", Budget.Closed + InternalBudget.Closed);
  set("log-lines-dropped", droppedLineCount());
  set("entries-unreadable", Store.unreadableEntries());
  set("configuration-errors", Store.documentErrors());
  updateQuotaGauges();
  set("rollouts-active", Rollouts.activeCount());
  for (const auto &[key, count] : Store.callCounts()) {
    StoreCalls
        .Add({{"call", key.first}, {"result", platform::nameOf(key.second)}})
        .Set(static_cast<double>(count));
  }
}

void Daemon::updateQuotaGauges() {
  std::size_t listed = 0;
  for (const auto &[name, it] : Quotas.status()) {
    const auto set = [&, &customer = name](const char *what, double value) {
      QuotaCounts.Add({{"customer", customer}, {"what", what}}).Set(value);
    };
    if (it.Asked == 0 && it.Lent == 0) {
      continue;
    }
    if (++listed > MaxQuotaCustomers) {
      break;
    }
    set("asked", static_cast<double>(it.Asked));
    set("admitted", static_cast<double>(it.Admitted));
    set("over-quota", static_cast<double>(it.OverQuota));
    set("unanswered", static_cast<double>(it.Unanswered));
    set("credit", it.Credit);
    set("lent", it.Lent);
  }
}

void Daemon::tick() {
  StateCurrentAt = stateCurrentAt();
  if (Peers.duty() == Duty::Read) {
    Store.setInstancesToRecord(Options.FailureDomain,
                               Peers.instancesInOwnDomain());
  } else if (applyDueChanges(LocalMirror, readClock())) {
    SnapshotOutdated = true;
  }
  for (http::Server *it : {&CallerServer, &DirectoryServer, &ReadyServer}) {
    it->relieve();
  }
  RequestProxy.logOmittedCount();
  Peers.logMessageCounts();
  logMemory();
  flushLog();
}

void Daemon::logMemory() {
  const std::size_t refused = Budget.Refused + InternalBudget.Refused;
  const std::size_t closed = Budget.Closed + InternalBudget.Closed;
  if (refused == LoggedRefused && closed == LoggedClosed) {
    return;
  }
  logEvent(EventId::MemoryShort,
           {{"refused", refused - LoggedRefused},
            {"closed", closed - LoggedClosed},
            {"small", Budget.held(http::HeldKind::Small)},
            {"large", Budget.held(http::HeldKind::Large)},
            {"responses", Budget.held(http::HeldKind::Response)}});
  LoggedRefused = refused;
  LoggedClosed = closed;
}

Instant Daemon::stateCurrentAt() const {
  if (Peers.duty() == Duty::Read) {
    return std::max(StateCurrentAt, Store.currentAt());
  }
  return Peers.isStateCurrent() ? readClock() : StateCurrentAt;
}

bool Daemon::open() {
  const std::pair<http::Server *, const std::string *> ports[]{
      {&CallerServer, &Options.CallerAddress},
      {&ReadyServer, &Options.ReadyAddress},
      {&DirectoryServer, &Options.DirectoryAddress}};
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
  ev_signal_start(Loop, &TerminateSignal);
  ev_signal_start(Loop, &HangupSignal);
  ev_prepare_start(Loop, &BeforePoll);
  ev_timer_start(Loop, &TickTimer);
  Peers.start();
  ev_run(Loop, 0);
  return Code;
}

void Daemon::onDutyChanged(Duty duty) {
  if (duty != Duty::Read) {
    return Store.stopReading();
  }
  if (!Options.FirstStart) {
    Store.avoidStaleReads();
  }
  Store.startReading(Peers.storeAnsweredUntil());
  onLiveMembersChanged();
}

bool Daemon::applyUpdate(const fleet::StateUpdate &update) {
  const bool isApplied = applyToMirror(LocalMirror, update, readClock());
  if (update.Upstreams) {
    HasUpstreamList = true;
    // A reader that has just started may not know which upstreams announced
    // that they leave.
    for (const auto &it :
         listLeavingUnknownTo(*update.Upstreams, LocalMirror)) {
      Peers.reportLeaving(it);
    }
  }
  if (update.Members) {
    updateQuotaFleet();
  }
  if (update.Rollouts) {
    Rollouts.applyOrders(LocalMirror.Rollouts);
  }
  SnapshotOutdated = true;
  return isApplied;
}

void Daemon::fillUpdate(fleet::StateUpdate &update,
                        fleet::StatePart part) const {
  if (part == fleet::StatePart::Members) {
    update.Members.emplace();
    update.Members->List.Items = Peers.membersForFollowers();
    update.Members->FleetSize = Peers.fleetSize();
    return;
  }
  fillFromMirror(update, part, LocalMirror, readClock());
}

void Daemon::onStoreChanged(platform::Kind kind) {
  switch (kind) {
  case platform::Kind::Configuration:
    if (LocalMirror.Config) {
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
    updateQuotaFleet();
    break;
  case platform::Kind::Rollouts:
    Peers.publish(fleet::StatePart::Rollouts);
    Rollouts.applyOrders(LocalMirror.Rollouts);
    break;
  }
  SnapshotOutdated = true;
}

void Daemon::onLiveMembersChanged() {
  ChangeLog.logMembershipChanges(Peers.liveMembers());
  Store.setElectionRank(Peers.electionRank());
  SnapshotOutdated = true;
}

bool Daemon::noteLeaving(const fleet::LeavingUpstream &upstream,
                         const char *source) {
  if (!markLeaving(LocalMirror.Upstreams, upstream.Id, upstream.StartedMs)) {
    return false;
  }
  logEvent(EventId::UpstreamLeaving,
           {{"upstream", upstream.Id}, {"source", source}});
  Peers.publish(fleet::StatePart::Upstreams);
  SnapshotOutdated = true;
  return true;
}

void Daemon::updateRoutingSnapshot() {
  SnapshotOutdated = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->Config = LocalMirror.Config;
  snapshot->Upstreams = listUpstreams(LocalMirror.Upstreams, readClock());
  for (const auto &[domain, it] : LocalMirror.EvacuatedDomains) {
    snapshot->EvacuatedDomains.insert(domain);
  }
  snapshot->FleetSize = std::max(Peers.fleetSize(), Peers.liveMembers().size());
  snapshot->InstanceIds = Peers.instanceIds();
  if (snapshot->Config) {
    CallerServer.setLimits(snapshot->Config->Limits);
    if (std::exchange(LimitsConfig, snapshot->Config) != snapshot->Config) {
      Quotas.setLimits(*snapshot->Config);
    }
  }
  Rollouts.setUpstreams(snapshot->Upstreams, snapshot->EvacuatedDomains);
  snapshot->Divisions = Rollouts.divisions();
  ChangeLog.logRoutingChanges(*snapshot);
  Peers.setHasSnapshot(HasUpstreamList && snapshot->Config != nullptr);
  RequestProxy.onRoutingSnapshot(std::move(snapshot));
}

bool Daemon::isReady() const {
  return !Stopping && HasUpstreamList && LocalMirror.Config;
}

std::vector<std::string> Daemon::addressesForCallers() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::vector<Member> &members, auto isUsable) {
    for (const Member &it : members) {
      const bool isSelf = it.Record.Id == Options.InstanceId;
      if (!it.Record.Leaving && (isSelf ? isReady() : isUsable(it))) {
        addresses.push_back(it.Record.CallerAddress);
      }
    }
  };
  add(Peers.readyMembers(), [](const Member &) { return true; });
  if (addresses.empty()) {
    // No instance reaches an upstream, as far as this one knows: callers need
    // the addresses nevertheless, for when one does again.
    add(Peers.liveMembers(), [](const Member &it) { return it.HasSnapshot; });
  }
  return addresses;
}

std::vector<proxy::RelayTarget> Daemon::relayTargets() const {
  std::vector<proxy::RelayTarget> targets;
  for (const Member &it : Peers.readyMembers()) {
    if (it.Record.Id != Options.InstanceId) {
      targets.push_back({it.Record.Id, it.Record.CallerAddress, false});
    }
  }
  for (const Member &it : Peers.readyOutsideMembers()) {
    targets.push_back({it.Record.Id, it.Record.CallerAddress, true});
  }
  return targets;
}

void Daemon::handleResolveRequest(http::ExchangeId id,
                                  const http::Request &request) {
  const auto resolveRequest = platform::dialect().ReadResolveRequest(request);
  if (!resolveRequest) {
    return DirectoryServer.sendResponse(id, {NotFound, {}, {}});
  }
  const std::vector<std::string> addresses = addressesForCallers();
  if (addresses.empty()) {
    return DirectoryServer.sendResponse(id, {Unavailable, {}, {}});
  }
  DirectoryServer.sendResponse(id, platform::dialect().WriteResolveResponse(
                                       addresses, Options.ResolveLifetime));
}

void Daemon::updateQuotaFleet() {
  const bool reads = Peers.duty() == Duty::Read;
  Quotas.setFleet(reads ? Store.recordedInstances() : Peers.knownInstances(),
                  Peers.fleetSize());
}

void Daemon::processPendingWork() {
  Quotas.setLender(Peers.reader());
  if (SnapshotOutdated) {
    updateRoutingSnapshot();
  }
  ev_timer_stop(Loop, &ProxyTimer);
  if (RequestProxy.nextTimer() <= readClock()) {
    RequestProxy.onTimer();
  }
  const Instant next = RequestProxy.nextTimer();
  if (next != Instant::max()) {
    const std::chrono::duration<double> left =
        std::max(next - readClock(), Duration{0});
    ev_now_update(Loop);
    ev_timer_set(&ProxyTimer, left.count(), 0);
    ev_timer_start(Loop, &ProxyTimer);
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
  CallerServer.closeAfterResponses();
  RequestProxy.stopAt(finalAnswersAt());
  ev_timer_start(Loop, &StopTimer);
}

Instant Daemon::finalAnswersAt() const {
  return StoppingSince + Options.StopTimeout - StopMargin;
}

void Daemon::checkStop() {
  const Instant now = readClock();
  // Until serveUntil, callers may use an address that they resolved before the
  // stop.
  const Instant serveUntil = StoppingSince + Options.ResolveLifetime;
  const Instant giveUpAt = finalAnswersAt() + FinalAnswersTime;
  if (now >= serveUntil) {
    CallerServer.stopListening();
    CallerServer.closeIdle();
  }
  const bool done = now >= serveUntil && CallerServer.openExchanges() == 0;
  if (done || now >= giveUpAt) {
    Code = done ? ExitCode::Done : ExitCode::Failed;
    ev_break(Loop, EVBREAK_ALL);
  }
}

} // namespace

ExitCode runDaemon(const Settings &settings) {
  mallopt(M_MMAP_THRESHOLD, MinMappedBlock);
  mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
  Daemon daemon(settings);
  if (!daemon.open()) {
    return ExitCode::Failed;
  }
  logEvent(EventId::Started, settings.InstanceId + " in failure domain " +
                                 settings.FailureDomain + ", caller address " +
                                 settings.CallerAddress);
  const ExitCode code = daemon.run();
  logEvent(code == ExitCode::Done ? EventId::Stopped : EventId::StopCutShort,
           settings.InstanceId);
  return code;
}

} // namespace zinniarail
