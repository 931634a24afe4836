#include "soak/Run.h"

#include <csignal>

#include <algorithm>

#include <boost/json.hpp>

namespace zinniarail::soak {

namespace {

using namespace std::chrono_literals;
using standins::OutageMode;

constexpr double TickSeconds = 0.02;
constexpr Duration VersionRequestInterval = 200ms;
constexpr Duration ReadyTimeout = 15s;   // for all instances together
constexpr Duration RestartDelay = 200ms; // from a process's exit
constexpr Duration CheckInterval = 2s;   // during traffic
constexpr Duration LastResponsesTimeout = 3s;
constexpr Duration EvacuationTime = 7s; // longer than Bounds::MaxEvacuationTime
constexpr Duration LinkDelay = 150ms;
constexpr Duration StoreDelay = 400ms;
constexpr double SlowFactor = 6;
constexpr double FaultProbability = 0.4;
constexpr std::chrono::hours ClockStep{-1}; // added to an upstream's start time

// Returns a service other than the given one, or the same if there is no other.
std::string otherService(const std::string &service,
                         const std::vector<standins::ServiceSpec> &services) {
  const auto it = std::find_if(services.begin(), services.end(),
                               [&](const standins::ServiceSpec &candidate) {
                                 return candidate.Name != service;
                               });
  return it == services.end() ? service : it->Name;
}

} // namespace

Run::Run(struct ev_loop *loop, RunPlan plan)
    : Loop(loop), Plan(std::move(plan)), Deployed(loop, Plan.Deployment),
      OperatorClient(loop, [this](http::CallId id,
                                  const http::CallResult &result) {
        const auto it = PendingVersionCalls.find(id);
        if (it == PendingVersionCalls.end()) {
          return;
        }
        const auto [instance, incarnation] = it->second;
        PendingVersionCalls.erase(it);
        boost::json::error_code ec;
        const auto body = boost::json::parse(result.Response.Body, ec);
        if (ec || !body.is_object() || !body.get_object().contains("version")) {
          return;
        }
        const auto version = body.at("version").to_number<std::uint64_t>();
        Recorded.VersionReports.push_back({instance, incarnation, version});
        Ready[instance] = Ready[instance] || version > 0;
      }) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Run *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
}

Run::~Run() { ev_timer_stop(Loop, &Timer); }

// Runs the event loop for a while, or until the run is to stop.
void Run::runLoop(Duration duration) {
  const Instant end = readClock() + duration;
  while (readClock() < end && !Plan.ShouldStop()) {
    ev_run(Loop, EVRUN_ONCE);
  }
}

RunResult Run::execute() {
  Result.Error = prepare();
  if (Result.Error.empty()) {
    runTraffic();
  }
  return Result;
}

/// Starts the deployment and waits until its instances are ready.
/// \returns what failed; empty when traffic can start.
std::string Run::prepare() {
  if (std::string error = Deployed.start(); !error.empty()) {
    return error;
  }
  Processes.resize(Deployed.Instances.size());
  Ready.resize(Deployed.Instances.size());
  for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
    Recorded.InstanceByAddress[Deployed.Instances[n].CallerAddress] = n;
  }
  Recorded.MovingPath = Plan.MovingPath;
  for (const standins::RouteSpec &it : Plan.Deployment.Routes) {
    if (it.Path == Plan.MovingPath) {
      Recorded.RouteMoves.push_back({readClock(), Version, it.Service});
    }
  }
  StartedAt = Instant::max(); // No traffic yet, so no incidents start.
  ev_timer_start(Loop, &Timer);
  if (!waitUntilReady()) {
    return Recorded.ProcessExits.empty()
               ? "the instances did not become ready"
               : Recorded.ProcessExits.front().Instance +
                     " exited during startup; check its log and whether its "
                     "addresses are in use";
  }
  return Plan.InjectedMisbehaviour
             ? injectMisbehaviour(*Plan.InjectedMisbehaviour)
             : "";
}

/// Puts the misbehaving proxy between the callers and the first instance.
/// \returns an error; empty when the proxy is in place or not needed.
std::string Run::injectMisbehaviour(Misbehaviour misbehaviour) {
  if (misbehaviour == Misbehaviour::EndByItself) {
    return ""; // No proxy needed: superviseProcesses kills.
  }
  const std::string address =
      "127." + std::to_string(Plan.Deployment.Net) + ".63.1:8080";
  const bool ignoresMove = misbehaviour == Misbehaviour::IgnoreMove;
  const standins::Upstream &upstream =
      ignoresMove ? *Deployed.Upstreams.back() : *Deployed.Upstreams.front();
  std::map<std::string, std::string> customerByKey;
  for (const standins::CustomerSpec &it : Plan.Deployment.Customers) {
    customerByKey.emplace(it.Keys.front(), it.Name);
  }
  Proxy = std::make_unique<MisbehavingProxy>(
      Loop, misbehaviour, Deployed.Instances[0].CallerAddress,
      upstream.Config.Address,
      ignoresMove ? Plan.MovingPath : Plan.Deployment.Routes.front().Path,
      std::move(customerByKey));
  if (!Proxy->listen(address)) {
    return "cannot listen on " + address;
  }
  Deployed.AddressOverrides[0] = address;
  return "";
}

void Run::runTraffic() {
  Deployed.startCallers();
  StartedAt = readClock();
  while (readClock() < StartedAt + Plan.Length && Result.Violations.empty() &&
         !Plan.ShouldStop()) {
    runLoop(CheckInterval);
    collectRecords();
    Result.Violations = checkGuarantees(Recorded, Plan.Limits);
  }
  Deployed.stopCallers();
  const Instant deadline = readClock() + LastResponsesTimeout;
  while (Deployed.openRequests() > 0 && readClock() < deadline) {
    runLoop(100ms);
  }
  collectRecords();
  Result.Violations = checkGuarantees(Recorded, Plan.Limits);
  Result.Callers = Deployed.tally();
  if (Plan.ShouldStop()) {
    Result.Error = "stopped by a signal";
  }
}

bool Run::waitUntilReady() {
  const Instant deadline = readClock() + ReadyTimeout;
  while (readClock() < deadline && Recorded.ProcessExits.empty() &&
         !Plan.ShouldStop() &&
         std::find(Ready.begin(), Ready.end(), false) != Ready.end()) {
    runLoop(100ms);
  }
  return std::find(Ready.begin(), Ready.end(), false) == Ready.end();
}

void Run::tick() {
  const Instant now = readClock();
  superviseProcesses();
  if (now - VersionsRequestedAt >= VersionRequestInterval) {
    VersionsRequestedAt = now;
    requestVersions();
  }
  std::vector<TimedAction> due;
  std::vector<TimedAction> pending;
  for (TimedAction &it : TimedActions) {
    (it.DueAt <= now ? due : pending).push_back(std::move(it));
  }
  TimedActions = std::move(pending);
  for (const TimedAction &it : due) {
    it.Action();
  }
  while (StartedAt != Instant::max() && NextIncident < Plan.Schedule.size() &&
         StartedAt + Plan.Schedule[NextIncident].StartOffset <= now) {
    startIncident(Plan.Schedule[NextIncident++]);
  }
}

void Run::runAfter(Duration delay, std::function<void()> action) {
  TimedActions.push_back({readClock() + delay, std::move(action)});
}

std::size_t Run::beginDisruption(std::size_t instance, Disruption kind) {
  auto &all = Recorded.Disruptions[instance];
  all.push_back({kind, {readClock(), Instant::max()}});
  return all.size() - 1;
}

void Run::endDisruption(std::size_t instance, std::size_t index) {
  Recorded.Disruptions[instance][index].second.To = readClock();
}

void Run::startIncident(const ScheduledIncident &incident) {
  bool &active = ActiveIncidents[{incident.Kind, incident.Target}];
  if (active) {
    return; // The same incident is still active on this target.
  }
  active = true;
  runAfter(incident.ActiveTime,
           [this, key = std::pair(incident.Kind, incident.Target)] {
             ActiveIncidents[key] = false;
           });
  ++Result.IncidentCounts[incident.Kind];
  if (incident.Kind == Incident::ChangeConfiguration) {
    changeConfiguration();
  } else if (incident.Kind == Incident::Evacuate) {
    evacuateDomain(incident);
  } else if (incident.Kind == Incident::DrainUpstream) {
    drainUpstream(incident.Target, incident.ActiveTime);
  } else if (incident.Kind < Incident::CutFromStore) {
    disruptInstance(incident);
  } else if (incident.Kind < Incident::StoreGone) {
    disruptLink(incident);
  } else if (incident.Kind < Incident::CrashUpstream) {
    disruptStore(incident);
  } else {
    disruptUpstream(incident);
  }
}

void Run::disruptInstance(const ScheduledIncident &incident) {
  const std::size_t n = incident.Target;
  standins::Process &child = Deployed.Instances[n].Child;
  ProcessState &state = Processes[n];
  if (!child.isRunning() || state.ExitRequested) {
    return; // It is exiting or waiting for its restart.
  }
  if (incident.Kind == Incident::ReloadInstance) {
    return child.signal(SIGHUP);
  }
  if (incident.Kind == Incident::PauseInstance) {
    child.signal(SIGSTOP);
    state.Paused = true;
    const std::size_t span = beginDisruption(n, Disruption::ProcessFault);
    return runAfter(incident.ActiveTime, [this, n, span] {
      Processes[n].Paused = false;
      Deployed.Instances[n].Child.signal(SIGCONT);
      endDisruption(n, span);
    });
  }
  state.ExitRequested = true;
  if (incident.Kind == Incident::StopInstance) {
    beginDisruption(n, Disruption::PlannedRestart);
    child.signal(SIGTERM);
    state.StopDeadline = readClock() + Plan.Deployment.Settings.StopTimeout;
  } else {
    beginDisruption(n, Disruption::ProcessFault);
    child.signal(SIGKILL);
  }
}

void Run::disruptLink(const ScheduledIncident &incident) {
  const std::size_t n = incident.Target;
  const bool toStore = incident.Kind < Incident::CutFromCallers;
  standins::Link &link = toStore ? *Deployed.Instances[n].StoreLink
                                 : *Deployed.Instances[n].CallerLink;
  const std::size_t span = beginDisruption(n, toStore ? Disruption::StoreLink
                                                      : Disruption::CallerLink);
  switch (incident.Kind) {
  case Incident::ResetStoreLink:
  case Incident::ResetCallerLink:
    link.reset();
    return endDisruption(n, span);
  case Incident::SilenceStoreLink:
    link.blackhole();
    return endDisruption(n, span);
  case Incident::DelayStoreLink:
  case Incident::DelayCallerLink:
    link.Faults.Delay = LinkDelay;
    break;
  case Incident::CutFromStoreOneWay:
    link.Faults.HoldToClient = true;
    break;
  default:
    link.Faults.HoldToClient = link.Faults.HoldToTarget = true;
  }
  runAfter(incident.ActiveTime, [this, &link, n, span] {
    link.Faults = {};
    endDisruption(n, span);
  });
}

void Run::disruptStore(const ScheduledIncident &incident) {
  standins::Store &store = Deployed.TheStore;
  Recorded.StoreDisruptions.push_back({readClock(), Instant::max()});
  const std::size_t span = Recorded.StoreDisruptions.size() - 1;
  const auto end = [this, span] {
    Recorded.StoreDisruptions[span].To = readClock();
  };
  switch (incident.Kind) {
  case Incident::StoreForgets:
    store.compactHistory();
    return end();
  case Incident::StoreSlow:
    store.Faults.Delay = StoreDelay;
    return runAfter(incident.ActiveTime, [&store, end] {
      store.Faults.Delay = Duration{0};
      end();
    });
  case Incident::StoreLosesAnswers:
    store.Faults.LostResponseFraction = FaultProbability;
    return runAfter(incident.ActiveTime, [&store, end] {
      store.Faults.LostResponseFraction = 0;
      end();
    });
  case Incident::StoreGone:
    store.Faults.ActiveOutage = OutageMode::Unavailable;
    break;
  case Incident::StoreBusy:
    store.Faults.ActiveOutage = OutageMode::TooManyRequests;
    break;
  case Incident::StoreSilent:
    store.Faults.ActiveOutage = OutageMode::NoResponse;
    break;
  default:
    store.Faults.ActiveOutage = OutageMode::Garbage;
  }
  store.disconnectWatches();
  runAfter(incident.ActiveTime, [&store, end] {
    store.Faults.ActiveOutage = OutageMode::None;
    end();
  });
}

void Run::disruptUpstream(const ScheduledIncident &incident) {
  const std::size_t n = incident.Target;
  standins::UpstreamFaults &faults = Deployed.Upstreams[n]->Faults;
  standins::Link &link = *Deployed.UpstreamLinks[n];
  switch (incident.Kind) {
  case Incident::CrashUpstream:
  case Incident::CrashUpstreamSilently:
    return crashUpstream(n, incident.ActiveTime,
                         incident.Kind == Incident::CrashUpstreamSilently);
  case Incident::StepUpstreamClock:
    return stepUpstreamClock(n);
  case Incident::ResetUpstreamLink:
    return link.reset();
  case Incident::SilenceUpstreamLink:
    return link.blackhole();
  case Incident::DelayUpstreamLink:
    link.Faults.Delay = LinkDelay;
    return runAfter(incident.ActiveTime, [&link] { link.Faults = {}; });
  case Incident::SlowUpstream:
    faults.Slowdown = SlowFactor;
    break;
  case Incident::FailingUpstream:
    faults.ErrorFraction = FaultProbability;
    break;
  case Incident::SheddingUpstream:
    faults.ShedFraction = FaultProbability;
    break;
  case Incident::LosingUpstream:
    faults.LostResponseFraction = FaultProbability;
    break;
  case Incident::CuttingUpstream:
    faults.TruncatedFraction = FaultProbability;
    link.Faults.CutUploads = true;
    runAfter(incident.ActiveTime, [&link] { link.Faults.CutUploads = false; });
    break;
  case Incident::DoublingUpstream:
    faults.DuplicatedFraction = FaultProbability;
    break;
  case Incident::HangingUpstream:
    faults.Unresponsive = true;
    break;
  default:
    faults.FailHealthChecks = true;
  }
  runAfter(incident.ActiveTime, [&faults] { faults = {}; });
}

void Run::changeConfiguration() {
  Version += 1 + Version % 3; // Versions may skip numbers.
  for (standins::RouteSpec &it : Plan.Deployment.Routes) {
    if (it.Path == Plan.MovingPath) {
      it.Service = otherService(it.Service, Plan.Deployment.Services);
      Recorded.RouteMoves.push_back({readClock(), Version, it.Service});
    }
  }
  Deployed.writeConfiguration(Version, Plan.Deployment.Routes);
}

void Run::evacuateDomain(const ScheduledIncident &incident) {
  const std::string domain = Plan.Deployment.Domains[incident.Target];
  const bool isEvacuated =
      std::any_of(Recorded.Evacuations.begin(), Recorded.Evacuations.end(),
                  [&](const auto &it) {
                    return it.first == domain && it.second.To == Instant::max();
                  });
  const auto evacuatedCount = std::count_if(
      Recorded.Evacuations.begin(), Recorded.Evacuations.end(),
      [](const auto &it) { return it.second.To == Instant::max(); });
  const auto maxAlreadyEvacuated =
      static_cast<long>(Plan.Deployment.Domains.size()) - 2;
  if (isEvacuated || evacuatedCount > maxAlreadyEvacuated) {
    return; // At least one failure domain stays in service.
  }
  Deployed.setEvacuated(domain, true);
  Recorded.Evacuations.push_back({domain, {readClock(), Instant::max()}});
  runAfter(EvacuationTime, [this, domain, n = Recorded.Evacuations.size() - 1] {
    Deployed.setEvacuated(domain, false);
    Recorded.Evacuations[n].second.To = readClock();
  });
}

void Run::drainUpstream(std::size_t upstream, Duration extraTime) {
  standins::Upstream &it = *Deployed.Upstreams[upstream];
  if (RestartPending[upstream] || !it.isAlive()) {
    return;
  }
  RestartPending[upstream] = true;
  Recorded.DrainingSince[it.id()] = readClock();
  it.drain();
  // The upstream keeps serving for the time within which instances must stop
  // using it, and for extraTime after that, so that late requests are recorded.
  runAfter(Plan.Limits.MaxDrainTime + extraTime, [this, upstream] {
    Deployed.Upstreams[upstream]->restart("again-" +
                                          std::to_string(++UpstreamRestarts));
    RestartPending[upstream] = false;
  });
}

void Run::crashUpstream(std::size_t upstream, Duration downTime,
                        bool keepRegistration) {
  if (RestartPending[upstream]) {
    return;
  }
  RestartPending[upstream] = true;
  Deployed.Upstreams[upstream]->crash(keepRegistration);
  runAfter(downTime, [this, upstream] {
    Deployed.Upstreams[upstream]->restart("again-" +
                                          std::to_string(++UpstreamRestarts));
    RestartPending[upstream] = false;
  });
}

// Restarts the upstream under the same id, with a registered start time that
// lies in the past.
void Run::stepUpstreamClock(std::size_t upstream) {
  if (RestartPending[upstream]) {
    return;
  }
  standins::Upstream &it = *Deployed.Upstreams[upstream];
  it.Faults.ClockOffset = ClockStep;
  it.restart(std::string(it.id()));
  it.Faults.ClockOffset = {};
}

void Run::superviseProcesses() {
  const Instant now = readClock();
  for (std::size_t n = 0; n < Processes.size(); ++n) {
    standins::RunningInstance &it = Deployed.Instances[n];
    ProcessState &state = Processes[n];
    if (state.RestartAt && now >= *state.RestartAt) {
      state = {};
      Deployed.startInstance(n);
      for (auto &[kind, span] : Recorded.Disruptions[n]) {
        const bool isProcessDisruption = kind == Disruption::ProcessFault ||
                                         kind == Disruption::PlannedRestart;
        if (isProcessDisruption && span.To == Instant::max()) {
          span.To = now;
        }
      }
    }
    if (!it.Child.isRunning()) {
      continue;
    }
    const bool timedOut =
        state.StopDeadline && now > *state.StopDeadline && !state.Paused;
    if (timedOut) {
      it.Child.signal(SIGKILL);
      Recorded.ProcessExits.push_back({it.Id, true, true, 0});
      state.StopDeadline.reset();
    }
    if (const auto code = it.Child.wait(Duration{0})) {
      if (!state.ExitRequested) {
        Recorded.ProcessExits.push_back({it.Id, false, false, *code});
      }
      state.StopDeadline.reset();
      state.RestartAt = now + RestartDelay;
    }
  }
  const bool shouldKill =
      Plan.InjectedMisbehaviour == Misbehaviour::EndByItself &&
      StartedAt != Instant::max() && now > StartedAt + 1s &&
      Recorded.ProcessExits.empty();
  if (shouldKill) {
    Deployed.Instances[0].Child.signal(SIGKILL);
  }
}

void Run::requestVersions() {
  for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
    const standins::RunningInstance &it = Deployed.Instances[n];
    if (!it.Child.isRunning() || Processes[n].Paused) {
      continue;
    }
    http::Call call;
    call.Id = ++LastCall;
    call.Address = it.OperatorAddress;
    call.Bytes = "GET /version-in-force HTTP/1.1\r\nHost: o\r\n"
                 "Connection: close\r\n\r\n";
    PendingVersionCalls[call.Id] = {n, it.StartCount};
    OperatorClient.start(std::move(call));
  }
}

void Run::collectRecords() {
  Recorded.Requests.clear();
  for (const standins::Callers *it : Deployed.callers()) {
    Recorded.Requests.insert(it->Records.begin(), it->Records.end());
  }
  Recorded.Executions = Deployed.Executions;
  Recorded.ProbeCounts.clear();
  for (const auto &it : Deployed.Upstreams) {
    Recorded.ProbeCounts.push_back(
        {it->id(), it->healthChecks(), readClock() - StartedAt});
  }
}

} // namespace zinniarail::soak
