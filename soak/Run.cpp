#include "soak/Run.h"

#include <csignal>

#include <algorithm>

#include <boost/json.hpp>

namespace zinniarail::soak {

namespace {

using namespace std::chrono_literals;
using standins::Outage;

constexpr double TickSeconds = 0.02;
constexpr Duration AskInterval = 200ms;  // between two questions for versions
constexpr Duration ReadyTime = 15s;      // until all instances serve
constexpr Duration RestartPause = 200ms; // as the platform starts what ended
constexpr Duration JudgeInterval = 2s;   // while it runs
constexpr Duration LastAnswersTime = 3s; // after the last request
constexpr Duration EvacuationTime = 7s;  // beyond the bound for it
constexpr Duration LinkDelay = 150ms;
constexpr Duration StoreDelay = 400ms;
constexpr double SlowFactor = 6;
constexpr double FaultShare = 0.4;
constexpr std::chrono::hours ClockStep{-1};

std::string moved(const std::string &service,
                  const std::vector<standins::ServiceKind> &services) {
  const auto it = std::find_if(
      services.begin(), services.end(),
      [&](const standins::ServiceKind &any) { return any.Name != service; });
  return it == services.end() ? service : it->Name;
}

} // namespace

Run::Run(struct ev_loop *loop, RunPlan plan)
    : Loop(loop), Plan(std::move(plan)), Deployed(loop, Plan.Deployment),
      Operators(loop, [this](http::CallId id, const http::CallResult &result) {
        const auto it = Asked.find(id);
        if (it == Asked.end()) {
          return;
        }
        const auto [instance, start] = it->second;
        Asked.erase(it);
        boost::json::error_code ec;
        const auto body = boost::json::parse(result.Response.Body, ec);
        if (ec || !body.is_object() || !body.get_object().contains("version")) {
          return;
        }
        const auto version = body.at("version").to_number<std::uint64_t>();
        Seen.Versions.push_back({instance, start, version});
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

void Run::turn(Duration time) {
  const Instant end = readClock() + time;
  while (readClock() < end && !Plan.IsStopped()) {
    ev_run(Loop, EVRUN_ONCE);
  }
}

RunResult Run::play() {
  Result.Fault = prepare();
  if (Result.Fault.empty()) {
    playTraffic();
  }
  return Result;
}

/// \returns why it can't be played; empty when all is ready.
std::string Run::prepare() {
  if (std::string fault = Deployed.start(); !fault.empty()) {
    return fault;
  }
  Processes.resize(Deployed.Instances.size());
  Ready.resize(Deployed.Instances.size());
  for (std::size_t n = 0; n < Deployed.Instances.size(); ++n) {
    Seen.InstanceOf[Deployed.Instances[n].CallerAddress] = n;
  }
  Seen.MovingPath = Plan.MovingPath;
  for (const standins::RouteKind &it : Plan.Deployment.Routes) {
    if (it.Path == Plan.MovingPath) {
      Seen.Moves.push_back({readClock(), Version, it.Service});
    }
  }
  StartedAt = Instant::max(); // No traffic yet.
  ev_timer_start(Loop, &Timer);
  if (!waitUntilReady()) {
    return Seen.Ends.empty() ? "the instances did not get ready"
                             : Seen.Ends.front().Instance +
                                   " ended before it was ready; are its "
                                   "addresses in use?";
  }
  return Plan.Planted ? plant(*Plan.Planted) : "";
}

/// \returns what is wrong; empty when the misdeed is in its place.
std::string Run::plant(Misdeed misdeed) {
  if (misdeed == Misdeed::EndByItself) {
    return ""; // See watchProcesses.
  }
  const std::string address =
      "127." + std::to_string(Plan.Deployment.Net) + ".63.1:8080";
  const bool moves = misdeed == Misdeed::IgnoreMove;
  const standins::Upstream &upstream =
      moves ? *Deployed.Upstreams.back() : *Deployed.Upstreams.front();
  Planted = std::make_unique<Rogue>(
      Loop, misdeed, Deployed.Instances[0].CallerAddress,
      upstream.Nature.Address,
      moves ? Plan.MovingPath : Plan.Deployment.Routes.front().Path);
  if (!Planted->listen(address)) {
    return "cannot listen on " + address;
  }
  Deployed.Detours[0] = address;
  return "";
}

void Run::playTraffic() {
  Deployed.startCallers();
  StartedAt = readClock();
  while (readClock() < StartedAt + Plan.Length && Result.Breaches.empty() &&
         !Plan.IsStopped()) {
    turn(JudgeInterval);
    collect();
    Result.Breaches = judge(Seen, Plan.Limits);
  }
  Deployed.endCallers();
  const Instant giveUp = readClock() + LastAnswersTime;
  while (Deployed.openRequests() > 0 && readClock() < giveUp) {
    turn(100ms);
  }
  collect();
  Result.Breaches = judge(Seen, Plan.Limits);
  Result.Callers = Deployed.tally();
  if (Plan.IsStopped()) {
    Result.Fault = "stopped by a signal";
  }
}

bool Run::waitUntilReady() {
  const Instant giveUp = readClock() + ReadyTime;
  while (readClock() < giveUp && Seen.Ends.empty() && !Plan.IsStopped() &&
         std::find(Ready.begin(), Ready.end(), false) != Ready.end()) {
    turn(100ms);
  }
  return std::find(Ready.begin(), Ready.end(), false) == Ready.end();
}

void Run::tick() {
  const Instant now = readClock();
  watchProcesses();
  if (now - AskedAt >= AskInterval) {
    AskedAt = now;
    askVersions();
  }
  std::vector<Later> due;
  std::vector<Later> rest;
  for (Later &it : Agenda) {
    (it.At <= now ? due : rest).push_back(std::move(it));
  }
  Agenda = std::move(rest);
  for (const Later &it : due) {
    it.What();
  }
  while (StartedAt != Instant::max() && Next < Plan.Schedule.size() &&
         StartedAt + Plan.Schedule[Next].At <= now) {
    begin(Plan.Schedule[Next++]);
  }
}

void Run::after(Duration time, std::function<void()> what) {
  Agenda.push_back({readClock() + time, std::move(what)});
}

std::size_t Run::note(std::size_t instance, Trouble kind) {
  auto &all = Seen.Troubles[instance];
  all.push_back({kind, {readClock(), Instant::max()}});
  return all.size() - 1;
}

void Run::over(std::size_t instance, std::size_t span) {
  Seen.Troubles[instance][span].second.To = readClock();
}

void Run::begin(const Entry &entry) {
  bool &active = Active[{entry.What, entry.Target}];
  if (active) {
    return; // One at a time of a kind on a target.
  }
  active = true;
  after(entry.For, [this, key = std::pair(entry.What, entry.Target)] {
    Active[key] = false;
  });
  ++Result.Played[entry.What];
  if (entry.What == Incident::ChangeConfiguration) {
    changeConfiguration();
  } else if (entry.What == Incident::Evacuate) {
    evacuate(entry);
  } else if (entry.What == Incident::DrainUpstream) {
    drain(entry.Target, entry.For);
  } else if (entry.What < Incident::CutFromStore) {
    onInstance(entry);
  } else if (entry.What < Incident::StoreGone) {
    onLink(entry);
  } else if (entry.What < Incident::CrashUpstream) {
    onStore(entry);
  } else {
    onUpstream(entry);
  }
}

void Run::onInstance(const Entry &entry) {
  const std::size_t n = entry.Target;
  standins::Process &child = Deployed.Instances[n].Child;
  ProcessState &state = Processes[n];
  if (!child.isRunning() || state.Asked) {
    return; // It ends already.
  }
  if (entry.What == Incident::ReloadInstance) {
    return child.signal(SIGHUP);
  }
  if (entry.What == Incident::PauseInstance) {
    child.signal(SIGSTOP);
    state.Paused = true;
    const std::size_t span = note(n, Trouble::Process);
    return after(entry.For, [this, n, span] {
      Processes[n].Paused = false;
      Deployed.Instances[n].Child.signal(SIGCONT);
      over(n, span);
    });
  }
  state.Asked = true;
  if (entry.What == Incident::StopInstance) {
    note(n, Trouble::Planned);
    child.signal(SIGTERM);
    state.StopBy = readClock() + Plan.Deployment.Bounds.StopTimeout;
  } else {
    note(n, Trouble::Process);
    child.signal(SIGKILL);
  }
}

void Run::onLink(const Entry &entry) {
  const std::size_t n = entry.Target;
  const bool toStore = entry.What < Incident::CutFromCallers;
  standins::Link &link = toStore ? *Deployed.Instances[n].ToStore
                                 : *Deployed.Instances[n].FromCallers;
  const std::size_t span = note(n, toStore ? Trouble::Store : Trouble::Callers);
  switch (entry.What) {
  case Incident::ResetStoreLink:
  case Incident::ResetCallerLink:
    link.reset();
    return over(n, span);
  case Incident::SilenceStoreLink:
    link.silence();
    return over(n, span);
  case Incident::DelayStoreLink:
  case Incident::DelayCallerLink:
    link.Faults.Delay = LinkDelay;
    break;
  case Incident::CutFromStoreOneWay:
    link.Faults.HoldBack = true;
    break;
  default:
    link.Faults.HoldBack = link.Faults.HoldThere = true;
  }
  after(entry.For, [this, &link, n, span] {
    link.Faults = {};
    over(n, span);
  });
}

void Run::onStore(const Entry &entry) {
  standins::Store &store = Deployed.TheStore;
  Seen.StoreTrouble.push_back({readClock(), Instant::max()});
  const std::size_t span = Seen.StoreTrouble.size() - 1;
  const auto end = [this, span] { Seen.StoreTrouble[span].To = readClock(); };
  switch (entry.What) {
  case Incident::StoreForgets:
    store.forgetHistory();
    return end();
  case Incident::StoreSlow:
    store.Faults.Delay = StoreDelay;
    return after(entry.For, [&store, end] {
      store.Faults.Delay = Duration{0};
      end();
    });
  case Incident::StoreLosesAnswers:
    store.Faults.LoseAnswers = FaultShare;
    return after(entry.For, [&store, end] {
      store.Faults.LoseAnswers = 0;
      end();
    });
  case Incident::StoreGone:
    store.Faults.Out = Outage::Unavailable;
    break;
  case Incident::StoreBusy:
    store.Faults.Out = Outage::TooMany;
    break;
  case Incident::StoreSilent:
    store.Faults.Out = Outage::Silence;
    break;
  default:
    store.Faults.Out = Outage::Garbage;
  }
  store.cutWatches();
  after(entry.For, [&store, end] {
    store.Faults.Out = Outage::None;
    end();
  });
}

void Run::onUpstream(const Entry &entry) {
  const std::size_t n = entry.Target;
  standins::UpstreamFaults &faults = Deployed.Upstreams[n]->Faults;
  standins::Link &link = *Deployed.UpstreamLinks[n];
  switch (entry.What) {
  case Incident::CrashUpstream:
  case Incident::CrashUpstreamSilently:
    return crash(n, entry.For, entry.What == Incident::CrashUpstreamSilently);
  case Incident::StepUpstreamClock:
    return stepClock(n);
  case Incident::ResetUpstreamLink:
    return link.reset();
  case Incident::SilenceUpstreamLink:
    return link.silence();
  case Incident::DelayUpstreamLink:
    link.Faults.Delay = LinkDelay;
    return after(entry.For, [&link] { link.Faults = {}; });
  case Incident::SlowUpstream:
    faults.Slow = SlowFactor;
    break;
  case Incident::FailingUpstream:
    faults.FailShare = FaultShare;
    break;
  case Incident::SheddingUpstream:
    faults.ShedShare = FaultShare;
    break;
  case Incident::LosingUpstream:
    faults.LoseShare = FaultShare;
    break;
  case Incident::CuttingUpstream:
    faults.CutShare = FaultShare;
    break;
  case Incident::DoublingUpstream:
    faults.ExtraShare = FaultShare;
    break;
  case Incident::HangingUpstream:
    faults.Silent = true;
    break;
  default:
    faults.HealthLies = true;
  }
  after(entry.For, [&faults] { faults = {}; });
}

void Run::changeConfiguration() {
  Version += 1 + Version % 3; // Versions rise in uneven steps.
  for (standins::RouteKind &it : Plan.Deployment.Routes) {
    if (it.Path == Plan.MovingPath) {
      it.Service = moved(it.Service, Plan.Deployment.Services);
      Seen.Moves.push_back({readClock(), Version, it.Service});
    }
  }
  Deployed.configure(Version, Plan.Deployment.Routes);
}

void Run::evacuate(const Entry &entry) {
  const std::string domain = Plan.Deployment.Domains[entry.Target];
  const bool isOut = std::any_of(
      Seen.DomainsOut.begin(), Seen.DomainsOut.end(), [&](const auto &it) {
        return it.first == domain && it.second.To == Instant::max();
      });
  const auto out = std::count_if(
      Seen.DomainsOut.begin(), Seen.DomainsOut.end(),
      [](const auto &it) { return it.second.To == Instant::max(); });
  const auto most = static_cast<long>(Plan.Deployment.Domains.size()) - 2;
  if (isOut || out > most) {
    return; // One at least serves.
  }
  Deployed.evacuate(domain, true);
  Seen.DomainsOut.push_back({domain, {readClock(), Instant::max()}});
  after(EvacuationTime, [this, domain, n = Seen.DomainsOut.size() - 1] {
    Deployed.evacuate(domain, false);
    Seen.DomainsOut[n].second.To = readClock();
  });
}

void Run::drain(std::size_t upstream, Duration time) {
  standins::Upstream &it = *Deployed.Upstreams[upstream];
  if (UpstreamBusy[upstream] || !it.isAlive()) {
    return;
  }
  UpstreamBusy[upstream] = true;
  Seen.LeavingSince[it.id()] = readClock();
  it.drain();
  // It serves on for the time that callers of it have, and then some.
  after(Plan.Limits.Drain + time, [this, upstream] {
    Deployed.Upstreams[upstream]->restart("again-" + std::to_string(++Lives));
    UpstreamBusy[upstream] = false;
  });
}

void Run::crash(std::size_t upstream, Duration time, bool silently) {
  if (UpstreamBusy[upstream]) {
    return;
  }
  UpstreamBusy[upstream] = true;
  Deployed.Upstreams[upstream]->crash(silently);
  after(time, [this, upstream] {
    Deployed.Upstreams[upstream]->restart("again-" + std::to_string(++Lives));
    UpstreamBusy[upstream] = false;
  });
}

// Under the id that it had, and as if it had started long ago.
void Run::stepClock(std::size_t upstream) {
  if (UpstreamBusy[upstream]) {
    return;
  }
  standins::Upstream &it = *Deployed.Upstreams[upstream];
  it.Faults.ClockAhead = ClockStep;
  it.restart(std::string(it.id()));
  it.Faults.ClockAhead = {};
}

void Run::watchProcesses() {
  const Instant now = readClock();
  for (std::size_t n = 0; n < Processes.size(); ++n) {
    standins::RunningInstance &it = Deployed.Instances[n];
    ProcessState &state = Processes[n];
    if (state.StartAt && now >= *state.StartAt) {
      state = {};
      Deployed.startInstance(n);
      for (auto &[kind, span] : Seen.Troubles[n]) {
        const bool ofProcess =
            kind == Trouble::Process || kind == Trouble::Planned;
        if (ofProcess && span.To == Instant::max()) {
          span.To = now;
        }
      }
    }
    if (!it.Child.isRunning()) {
      continue;
    }
    const bool overdue = state.StopBy && now > *state.StopBy && !state.Paused;
    if (overdue) {
      it.Child.signal(SIGKILL);
      Seen.Ends.push_back({it.Id, true, true, 0});
      state.StopBy.reset();
    }
    if (const auto code = it.Child.wait(Duration{0})) {
      if (!state.Asked) {
        Seen.Ends.push_back({it.Id, false, false, *code});
      }
      state.StopBy.reset();
      state.StartAt = now + RestartPause;
    }
  }
  const bool endsOne = Plan.Planted == Misdeed::EndByItself &&
                       StartedAt != Instant::max() && now > StartedAt + 1s &&
                       Seen.Ends.empty();
  if (endsOne) {
    Deployed.Instances[0].Child.signal(SIGKILL);
  }
}

void Run::askVersions() {
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
    Asked[call.Id] = {n, it.Starts};
    Operators.start(std::move(call));
  }
}

void Run::collect() {
  Seen.Requests.clear();
  for (const standins::Callers *it : Deployed.callers()) {
    Seen.Requests.insert(it->Records.begin(), it->Records.end());
  }
  Seen.Done = Deployed.Done;
  Seen.Probes.clear();
  for (const auto &it : Deployed.Upstreams) {
    Seen.Probes.push_back({it->id(), it->probes(), readClock() - StartedAt});
  }
}

} // namespace zinniarail::soak
