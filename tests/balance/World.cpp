#include "World.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace zinniarail::balance {

namespace {

constexpr unsigned Domains = 4;
constexpr Duration NearWay = std::chrono::microseconds{300};
constexpr Duration FarWay = std::chrono::microseconds{700};
constexpr Duration ProbeTimeout = std::chrono::milliseconds{250};
constexpr Duration ConnectTimeout = std::chrono::milliseconds{150};

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

std::string domainOf(std::size_t n) {
  return std::string(1, static_cast<char>('a' + n % Domains));
}

Duration scaled(Duration it, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(it.count()) * factor));
}

} // namespace

World::World(std::size_t instances, UpstreamKind upstreams, std::uint64_t seed)
    : Nature(upstreams), Draws(seed) {
  Plan.Service = "s";
  Plan.Budget = {0.2, 56, instances};
  Plan.ProbesPerSecond = 54.0 / static_cast<double>(instances);
  for (unsigned n = 0; n < Nature.Count; ++n) {
    SimulatedUpstream it;
    it.Plan = {"u" + std::to_string(n), domainOf(n), Nature.Slots, {}, 1};
    Upstreams.push_back(it);
  }
  for (std::size_t n = 0; n < instances; ++n) {
    Instances.push_back(
        {makeEngine(planFor(n), Random(seed, n), (n + 1) << 40U, Clock),
         Instant::max()});
  }
  redraw();
}

World::~World() = default;

ServicePlan World::planFor(std::size_t instance) const {
  ServicePlan plan = Plan;
  plan.Domain = domainOf(instance);
  plan.Targets.clear();
  for (const SimulatedUpstream &it : Upstreams) {
    plan.Targets.push_back(it.Plan);
  }
  return plan;
}

void World::replan() {
  for (std::size_t n = 0; n < Instances.size(); ++n) {
    Actions actions;
    balance::replan(*Instances[n].Brain, planFor(n), Clock, actions);
    perform(n, actions);
    setWake(n);
  }
}

void World::post(Instant when, std::function<void()> what) {
  Agenda.push({when, ++Order, std::move(what)});
}

void World::at(Duration later, std::function<void()> what) {
  post(Clock + later, std::move(what));
}

void World::run(Duration time) {
  const Instant end = Clock + time;
  while (!Agenda.empty() && Agenda.top().When <= end) {
    const Later next = Agenda.top();
    Agenda.pop();
    Clock = std::max(Clock, next.When);
    next.What();
  }
  Clock = end;
}

// Slowness is drawn anew for each upstream at random moments.
void World::redraw() {
  if (Nature.NoiseShare <= 0) {
    return;
  }
  for (SimulatedUpstream &it : Upstreams) {
    it.Noisy = drawShare(Draws) < Nature.NoiseShare;
  }
  for (std::size_t n = 0; n < Upstreams.size(); ++n) {
    // Each has a rhythm of its own.
    const auto schedule = [this, n](const auto &self) -> void {
      std::exponential_distribution<double> gap(1.0);
      post(Clock + scaled(Nature.NoisePeriod, gap(Draws)), [this, n, self] {
        Upstreams[n].Noisy = drawShare(Draws) < Nature.NoiseShare;
        self(self);
      });
    };
    schedule(schedule);
  }
}

void World::load(const Kind &kind, Duration time, std::size_t from,
                 std::size_t count) {
  const std::size_t among = count == 0 ? Instances.size() : count;
  const Instant end = Clock + time;
  std::exponential_distribution<double> gap(kind.PerSecond);
  constexpr double microsPerSecond = 1e6;
  Instant when = Clock;
  while (true) {
    when += Duration(static_cast<Duration::rep>(gap(Draws) * microsPerSecond));
    if (when >= end) {
      return;
    }
    const std::size_t instance =
        from + drawBelow(Draws, static_cast<std::uint32_t>(among));
    post(when, [this, kind, instance] { ask(kind, instance); });
  }
}

std::uint64_t World::ask(const Kind &kind, std::size_t instance,
                         std::uint64_t fingerprint, bool poison) {
  const std::uint64_t id = ++LastRequest;
  SimulatedRequest &it = Requests[id];
  it.Instance = instance;
  it.KindName = kind.Name;
  it.Arrived = Clock;
  it.Target = kind.Treatment.Target;
  it.Idempotent = kind.Treatment.Idempotent;
  it.Poison = poison;
  it.Fingerprint = fingerprint == 0 ? id : fingerprint;
  RequestArrived event;
  event.Request = RequestId{id};
  event.Treatment = kind.Treatment;
  event.Treatment.Route = kind.Name;
  event.Fingerprint = it.Fingerprint;
  event.Deadline = Clock + kind.Deadline;
  // The work is the request's own, wherever it runs.
  std::lognormal_distribution<double> work(-kind.Spread * kind.Spread / 2,
                                           kind.Spread);
  WorkOf[id] = scaled(kind.Work, work(Draws));
  tell(instance, event);
  return id;
}

void World::leave(std::uint64_t request) {
  tell(Requests.at(request).Instance, CallerGone{RequestId{request}});
}

void World::tell(std::size_t instance, const Event &event) {
  Actions actions;
  handle(*Instances[instance].Brain, event, Clock, actions);
  perform(instance, actions);
  setWake(instance);
}

void World::setWake(std::size_t instance) {
  const Instant wake = nextWake(*Instances[instance].Brain);
  Instance &it = Instances[instance];
  if (wake == it.Wake || wake == Instant::max()) {
    it.Wake = wake;
    return;
  }
  it.Wake = wake;
  post(std::max(wake, Clock), [this, instance, wake] {
    if (Instances[instance].Wake == wake) {
      Instances[instance].Wake = Instant::max();
      tell(instance, Woken{});
    }
  });
}

void World::perform(std::size_t instance, const Actions &actions) {
  for (const Action &action : actions) {
    std::visit(
        Overloaded{[&](const StartAttempt &it) { startAttempt(instance, it); },
                   [&](const CancelAttempt &it) {
                     const auto attempt = Attempts.at(numberOf(it.Attempt));
                     if (!attempt->Over) {
                       answer(attempt, AttemptEnd::Broken, 0);
                     }
                   },
                   [&](const Deliver &it) {
                     SimulatedRequest &request =
                         Requests.at(numberOf(it.Request));
                     request.AnsweredAt = Clock;
                     request.Success = true;
                   },
                   [&](const Refuse &it) {
                     SimulatedRequest &request =
                         Requests.at(numberOf(it.Request));
                     request.AnsweredAt = Clock;
                     request.RefusedAs = it.Outcome;
                     request.RetryAfter = it.RetryAfter;
                   },
                   [&](const SendProbe &it) { probe(instance, it.Upstream); },
                   [](const Noticed &) {}, [](const BudgetEmpty &) {},
                   [&](const TellSuspected &it) {
                     const Suspected word{it.Which};
                     post(Clock + FarWay, [this, instance, word] {
                       for (std::size_t n = 0; n < Instances.size(); ++n) {
                         if (n != instance) {
                           tell(n, word);
                         }
                       }
                     });
                   },
                   [&](const TellCondemned &it) {
                     ++Condemnations;
                     const Condemned word{it.Fingerprint};
                     post(Clock + FarWay, [this, instance, word] {
                       for (std::size_t n = 0; n < Instances.size(); ++n) {
                         if (n != instance) {
                           tell(n, word);
                         }
                       }
                     });
                   }},
        action);
  }
}

std::size_t World::indexOf(const std::string &id) const {
  const auto it = std::find_if(
      Upstreams.begin(), Upstreams.end(),
      [&](const SimulatedUpstream &any) { return any.Plan.Id == id; });
  return static_cast<std::size_t>(it - Upstreams.begin());
}

Duration World::way(std::size_t instance, const SimulatedUpstream &it) const {
  return domainOf(instance) == it.Plan.Domain ? NearWay : FarWay;
}

LoadReport World::reportOf(const SimulatedUpstream &it) const {
  return {it.Running, static_cast<unsigned>(it.Waiting.size()), it.Plan.Slots,
          it.Noisy ? Nature.NoiseFactor : 1};
}

void World::probe(std::size_t instance, const std::string &id) {
  const std::size_t n = indexOf(id);
  if (n == Upstreams.size()) {
    return;
  }
  const Duration there = way(instance, Upstreams[n]);
  post(Clock + there, [this, instance, n, there, id] {
    SimulatedUpstream &it = Upstreams[n];
    ++it.Probes;
    ProbeEnded event;
    event.Upstream = id;
    event.Reached = it.Alive && !it.Silent;
    event.Healthy = event.Reached && !it.SaysIll;
    if (event.Reached && Nature.TellsLoad) {
      event.Report = reportOf(it);
    }
    event.ColdFor = std::max(it.ColdUntil - Clock, Duration{0});
    const Duration back = it.Silent ? ProbeTimeout : there;
    post(Clock + back, [this, instance, event] { tell(instance, event); });
  });
}

void World::startAttempt(std::size_t instance, const StartAttempt &wanted) {
  auto attempt = std::make_shared<Running>();
  attempt->Instance = instance;
  attempt->Request = numberOf(wanted.Request);
  attempt->Upstream = indexOf(wanted.Upstream);
  attempt->Attempt = wanted.Attempt;
  Attempts[numberOf(wanted.Attempt)] = attempt;
  post(Clock + way(instance, Upstreams[attempt->Upstream]),
       [this, attempt] { arrive(attempt); });
}

void World::arrive(const std::shared_ptr<Running> &attempt) {
  if (attempt->Over) {
    return;
  }
  SimulatedUpstream &it = Upstreams[attempt->Upstream];
  if (!it.Alive) {
    return answer(attempt, AttemptEnd::NotSent, 0);
  }
  SimulatedRequest &request = Requests.at(attempt->Request);
  ++it.Arrivals;
  if (++ArrivalsOf[attempt->Request] > 1) {
    ++Repeats;
  }
  if (Clock < it.ColdUntil) {
    ++it.ColdArrivals;
    ++it.ColdPerSecond[(Clock - start()) / std::chrono::seconds{1}];
  }
  if (it.Silent) {
    return;
  }
  if (drawShare(Draws) < it.ShedShare) {
    return answer(attempt, AttemptEnd::RefusedUnrun, 503);
  }
  if (request.Poison) {
    ++request.Runs;
    ++it.Runs;
    kill(attempt->Upstream);
    return at(std::chrono::seconds{2},
              [this, n = attempt->Upstream] { Upstreams[n].Alive = true; });
  }
  if (it.Running < it.Plan.Slots) {
    return begin(attempt);
  }
  if (it.Waiting.size() >= Nature.QueueLimit) {
    return answer(attempt, AttemptEnd::RefusedUnrun, 503);
  }
  it.Waiting.emplace_back([this, attempt] {
    if (attempt->Over) {
      next(attempt->Upstream);
    } else {
      begin(attempt);
    }
  });
}

void World::begin(const std::shared_ptr<Running> &attempt) {
  SimulatedUpstream &it = Upstreams[attempt->Upstream];
  ++it.Running;
  ++it.Runs;
  ++Requests.at(attempt->Request).Runs;
  attempt->Begun = true;
  double factor = it.Slow * (it.Noisy ? Nature.NoiseFactor : 1);
  factor *= Clock < it.ColdUntil ? Nature.ColdFactor : 1;
  factor *= it.Running == it.Plan.Slots ? Nature.LastSlotFactor : 1;
  post(Clock + scaled(WorkOf.at(attempt->Request), factor),
       [this, attempt, life = Lives[attempt->Upstream]] {
         if (life == Lives[attempt->Upstream]) {
           finish(attempt);
         }
       });
}

void World::finish(const std::shared_ptr<Running> &attempt) {
  if (!attempt->Begun) {
    return; // Cancelled: its slot is free already.
  }
  SimulatedUpstream &it = Upstreams[attempt->Upstream];
  attempt->Begun = false;
  --it.Running;
  if (!attempt->Over) {
    const bool failed = drawShare(Draws) < it.FailShare;
    answer(attempt, AttemptEnd::Answered, failed ? 500 : 200);
  }
  next(attempt->Upstream);
}

void World::next(std::size_t upstream) {
  SimulatedUpstream &it = Upstreams[upstream];
  if (it.Running < it.Plan.Slots && !it.Waiting.empty()) {
    const auto begin = std::move(it.Waiting.front());
    it.Waiting.pop_front();
    begin();
  }
}

// The end of an attempt as its instance hears of it.
void World::answer(const std::shared_ptr<Running> &attempt, AttemptEnd end,
                   unsigned status) {
  const bool cancelled = end == AttemptEnd::Broken && status == 0;
  attempt->Over = true;
  AttemptEnded event;
  event.Attempt = attempt->Attempt;
  event.End = end;
  event.Status = status;
  const SimulatedUpstream &it = Upstreams[attempt->Upstream];
  const bool told =
      end == AttemptEnd::Answered || end == AttemptEnd::RefusedUnrun;
  if (told && Nature.TellsLoad) {
    event.Report = reportOf(it);
  }
  const Duration back = way(attempt->Instance, it);
  post(Clock + (cancelled ? Duration{0} : back),
       [this, attempt, event] { tell(attempt->Instance, event); });
  if (cancelled && attempt->Begun) { // Its upstream drops it.
    post(Clock + back, [this, attempt] {
      if (attempt->Begun) {
        attempt->Begun = false;
        --Upstreams[attempt->Upstream].Running;
        next(attempt->Upstream);
      }
    });
  }
}

void World::kill(std::size_t upstream) {
  SimulatedUpstream &it = Upstreams[upstream];
  it.Alive = false;
  it.Running = 0;
  it.Waiting.clear();
  ++Lives[upstream];
  for (const auto &entry : Attempts) {
    const auto &attempt = entry.second;
    if (attempt->Upstream == upstream && !attempt->Over) {
      attempt->Begun = false;
      attempt->Over = true;
      AttemptEnded event;
      event.Attempt = attempt->Attempt;
      event.End = AttemptEnd::Broken;
      post(Clock + way(attempt->Instance, it),
           [this, attempt, event] { tell(attempt->Instance, event); });
    }
  }
}

Tally World::tally(Duration from, Duration to, const std::string &kind) const {
  Tally out;
  for (const auto &[id, it] : Requests) {
    const Duration when = it.Arrived - start();
    if (when < from || when >= to || (!kind.empty() && it.KindName != kind)) {
      continue;
    }
    ++out.Asked;
    if (it.Success) {
      const bool inTime = *it.AnsweredAt - it.Arrived <= it.Target;
      ++(inTime ? out.InTime : out.Late);
    } else if (it.RefusedAs == Truth::DidNotRun) {
      ++out.Refused;
    } else {
      ++out.Failed;
    }
  }
  return out;
}

} // namespace zinniarail::balance
