/// \file
/// A service's instances and upstreams in simulated time: engines, and slots
/// with a queue behind them. Small on purpose, and no cluster simulator.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "RoutingCase.h"

namespace zinniarail::bench {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
constexpr Duration OneWay = 500us;
constexpr double MeanServiceMicros = 10'000;
constexpr unsigned UpstreamQueue = 32;   // Beyond it an upstream refuses.
constexpr unsigned WarmAfter = 40;       // Answers of a cold upstream.
constexpr double SlowFactor = 4;         // A noisy neighbour's.
constexpr double ColdOverloadFactor = 8; // Beyond one request when cold.
constexpr Duration FailFastTime = 300us;

struct Work {
  AttemptId Attempt;
  unsigned Engine = 0;
  double Left = 0; // Microseconds of service.
  Instant Began{};
};

struct Upstream {
  std::deque<Work> Queue;
  std::unordered_map<std::uint64_t, Work> Running;
  bool Slow = false;
  bool Failing = false;
  bool Cold = false;
  unsigned Answers = 0;
  std::uint64_t Incarnation = 1;
  unsigned MostWhileCold = 0;
};

struct Figures {
  std::vector<double> Millis;
  std::uint64_t Requests = 0, Delivered = 0, Errors = 0, Refused = 0;
  std::uint64_t Attempts = 0, Probes = 0;
  double BusyMicros = 0, WastedMicros = 0;
  unsigned MostWhileCold = 0;
};

class World {
public:
  World(const Scenario &scenario, const Variant &variant, std::uint64_t seed,
        Duration length);
  Figures run();

private:
  using Step = std::function<void()>;
  struct Entry {
    Instant At;
    std::uint64_t Order;
    Step Do;
    bool operator<(const Entry &it) const {
      return std::tie(At, Order) > std::tie(it.At, it.Order);
    }
  };

  void at(Instant when, Step step) {
    Agenda.push({when, NextOrder++, std::move(step)});
  }
  static double exponential(Random &draws, double mean) {
    return -mean * std::log(1 - drawShare(draws));
  }
  void arrive();
  void toggleNoise(unsigned u);
  void startFault();
  void tell(unsigned engine, const Event &event);
  void act(unsigned engine, const Actions &actions);
  void start(unsigned engine, const StartAttempt &start);
  void deliver(const Deliver &answer);
  void spread(unsigned engine, const PeerWord &word);
  void probe(unsigned engine, const std::string &upstream);
  void wakeLater(unsigned engine);
  void receive(unsigned u, Work work);
  void begin(unsigned u);
  void complete(unsigned u, AttemptId id);
  void cancel(unsigned engine, AttemptId id);
  void end(const Work &work, AttemptEnd how, unsigned status, unsigned u);
  LoadReport reportOf(const Upstream &it);

  Scenario Case;
  Random Draws;
  Random NoiseDraws; // Apart, so that each policy sees the same noise.
  Instant Now = Start;
  Instant Until;
  std::priority_queue<Entry> Agenda;
  std::uint64_t NextOrder = 0;
  std::uint64_t NextRequest = 1;
  std::vector<ServiceStatePtr> Engines;
  std::vector<Instant> Wakes;
  std::vector<Upstream> Fleet;
  std::map<std::string, unsigned> Index;
  std::unordered_map<std::uint64_t, Instant> Arrived;
  std::unordered_map<std::uint64_t, unsigned> Places; // Attempt to upstream.
  std::unordered_map<std::uint64_t, unsigned> Statuses;
  Figures Result;
};

inline World::World(const Scenario &scenario, const Variant &variant,
                    std::uint64_t seed, Duration length)
    : Case(scenario), Draws(seed), NoiseDraws(seed, 1), Until(Start + length),
      Fleet(Upstreams) {
  const ServiceSpec spec = makeSpec(variant.HedgeShare);
  const View view = makeView(spec);
  for (unsigned u = 0; u < Upstreams; ++u) {
    Index[spec.Upstreams[u].Id] = u;
    Fleet[u].Cold = scenario.What == Fault::ColdAll;
  }
  std::vector<Instance> feeders = view.Instances;
  if (variant.Policy == RoutingPolicy::Homes) {
    feeders = placeService(view, spec, spec.Homes).Ranked;
  }
  for (const Instance &it : feeders) {
    auto plan = planService(view, spec, it.Id, variant.Policy);
    const std::uint64_t first = (Engines.size() + 1) << 40U;
    Engines.push_back(makeService(std::move(plan), Start + 24h,
                                  Random(seed, Engines.size()), first));
    Wakes.push_back(Instant::max());
  }
}

inline void World::tell(unsigned engine, const Event &event) {
  Actions actions;
  handle(*Engines[engine], event, Now, actions);
  act(engine, actions);
  wakeLater(engine);
}

inline void World::wakeLater(unsigned engine) {
  const Instant when = nextWake(*Engines[engine]);
  if (when >= Wakes[engine]) {
    return;
  }
  const Instant due = std::max(when, Now);
  Wakes[engine] = when;
  at(due, [=, this] {
    if (Wakes[engine] <= Now) {
      Wakes[engine] = Instant::max();
      tell(engine, Woken{});
    }
  });
}

inline void World::start(unsigned engine, const StartAttempt &start) {
  const unsigned u = Index.at(start.Upstream);
  Places[static_cast<std::uint64_t>(start.Attempt)] = u;
  ++Result.Attempts;
  const double micros = exponential(Draws, MeanServiceMicros);
  const Work work{start.Attempt, engine, micros, {}};
  at(Now, [=, this] { tell(engine, AttemptSent{work.Attempt}); });
  at(Now + OneWay, [=, this] { receive(u, work); });
}

inline void World::deliver(const Deliver &answer) {
  const auto id = static_cast<std::uint64_t>(answer.Request);
  const std::chrono::duration<double, std::milli> took = Now - Arrived.at(id);
  Arrived.erase(id);
  if (Statuses[static_cast<std::uint64_t>(answer.Attempt)] >= 500) {
    ++Result.Errors;
    return;
  }
  ++Result.Delivered;
  Result.Millis.push_back(took.count());
}

inline void World::spread(unsigned engine, const PeerWord &word) {
  for (unsigned n = 0; n < Engines.size(); ++n) {
    if (n != engine) {
      at(Now + OneWay, [=, this] { tell(n, word); });
    }
  }
}

inline void World::probe(unsigned engine, const std::string &upstream) {
  ++Result.Probes;
  at(Now + 2 * OneWay, [=, this] {
    const auto report = reportOf(Fleet[Index.at(upstream)]);
    tell(engine, ProbeEnded{upstream, true, report});
  });
}

inline void World::act(unsigned engine, const Actions &actions) {
  for (const Action &action : actions) {
    if (const auto *it = std::get_if<StartAttempt>(&action)) {
      start(engine, *it);
    } else if (const auto *it = std::get_if<CancelAttempt>(&action)) {
      const AttemptId id = it->Attempt;
      at(Now + OneWay, [=, this] { cancel(engine, id); });
    } else if (const auto *it = std::get_if<Deliver>(&action)) {
      deliver(*it);
    } else if (const auto *it = std::get_if<Refuse>(&action)) {
      ++Result.Refused;
      Arrived.erase(static_cast<std::uint64_t>(it->Request));
    } else if (const auto *it = std::get_if<TellHomes>(&action)) {
      spread(engine, it->Word);
    } else if (const auto *it = std::get_if<SendProbe>(&action)) {
      probe(engine, it->Upstream);
    }
  }
}

inline LoadReport World::reportOf(const Upstream &it) {
  LoadReport report;
  report.InFlight = static_cast<unsigned>(it.Running.size());
  report.Queued = static_cast<unsigned>(it.Queue.size());
  report.Incarnation = it.Incarnation;
  report.Cold = it.Cold;
  if (Case.What == Fault::LyingReports) {
    report.InFlight = drawBelow(Draws, Slots + 1);
    report.Queued = drawBelow(Draws, 2 * Slots);
  }
  return report;
}

inline void World::receive(unsigned u, Work work) {
  Upstream &it = Fleet[u];
  if (it.Failing) {
    at(Now + FailFastTime + OneWay,
       [=, this] { end(work, AttemptEnd::Answered, 500, u); });
    return;
  }
  if (it.Queue.size() >= UpstreamQueue) {
    at(Now + OneWay,
       [=, this] { end(work, AttemptEnd::RefusedUnrun, 503, u); });
    return;
  }
  it.Queue.push_back(work);
  begin(u);
}

inline void World::begin(unsigned u) {
  Upstream &it = Fleet[u];
  while (!it.Queue.empty() && it.Running.size() < Slots) {
    Work work = it.Queue.front();
    it.Queue.pop_front();
    work.Began = Now;
    const auto inFlight = static_cast<unsigned>(it.Running.size()) + 1;
    double micros = work.Left * (it.Slow ? SlowFactor : 1);
    if (it.Cold) {
      it.MostWhileCold = std::max(it.MostWhileCold, inFlight);
      micros *= inFlight > 1 ? ColdOverloadFactor : 2;
    }
    it.Running[static_cast<std::uint64_t>(work.Attempt)] = work;
    const AttemptId id = work.Attempt;
    at(Now + Duration(static_cast<Duration::rep>(micros)),
       [=, this] { complete(u, id); });
  }
}

inline void World::complete(unsigned u, AttemptId id) {
  Upstream &it = Fleet[u];
  const auto at = it.Running.find(static_cast<std::uint64_t>(id));
  if (at == it.Running.end()) {
    return;
  }
  const Work work = at->second;
  it.Running.erase(at);
  Result.BusyMicros += static_cast<double>((Now - work.Began).count());
  if (it.Cold && ++it.Answers >= WarmAfter) {
    it.Cold = false;
  }
  this->at(Now + OneWay,
           [=, this] { end(work, AttemptEnd::Answered, 200, u); });
  begin(u);
}

inline void World::cancel(unsigned engine, AttemptId id) {
  const auto number = static_cast<std::uint64_t>(id);
  const unsigned u = Places[number];
  Upstream &it = Fleet[u];
  Work work{id, engine, 0, Now};
  if (const auto at = it.Running.find(number); at != it.Running.end()) {
    work = at->second;
    const auto micros = static_cast<double>((Now - work.Began).count());
    Result.BusyMicros += micros;
    Result.WastedMicros += micros;
    it.Running.erase(at);
  }
  std::erase_if(it.Queue, [=](const Work &any) { return any.Attempt == id; });
  end(work, AttemptEnd::Broken, 0, u);
  begin(u);
}

inline void World::end(const Work &work, AttemptEnd how, unsigned status,
                       unsigned u) {
  Statuses[static_cast<std::uint64_t>(work.Attempt)] = status;
  AttemptEnded event{work.Attempt, how, status, false, {}};
  if (how == AttemptEnd::Answered) {
    event.HasReport = true;
    event.Report = reportOf(Fleet[u]);
  }
  tell(work.Engine, event);
  Statuses.erase(static_cast<std::uint64_t>(work.Attempt));
}

inline void World::arrive() {
  const double mean = MeanServiceMicros / (Upstreams * Slots * Case.Load);
  at(Now + Duration(static_cast<Duration::rep>(exponential(Draws, mean))),
     [this] {
       if (Now < Until) {
         arrive();
       }
     });
  const std::uint64_t id = NextRequest++;
  const auto engine =
      drawBelow(Draws, static_cast<std::uint32_t>(Engines.size()));
  Arrived[id] = Now;
  ++Result.Requests;
  tell(engine, RequestArrived{RequestId{id}, "read", "", id, Now + 1s, true});
}

// Slow for a tenth of the time, half a second at a time.
inline void World::toggleNoise(unsigned u) {
  Fleet[u].Slow = !Fleet[u].Slow;
  const double mean = Fleet[u].Slow ? 500'000 : 4'500'000;
  at(Now + Duration(static_cast<Duration::rep>(exponential(NoiseDraws, mean))),
     [=, this] { toggleNoise(u); });
}

inline void World::startFault() {
  if (Case.What == Fault::Noise || Case.What == Fault::LyingReports) {
    for (unsigned u = 0; u < Upstreams; ++u) {
      at(Now + Duration(static_cast<Duration::rep>(
                   exponential(NoiseDraws, 4'500'000))),
         [=, this] { toggleNoise(u); });
    }
  }
  if (Case.What == Fault::FailFast) {
    at(Start + 2s, [this] { Fleet[3].Failing = true; });
  }
  if (Case.What == Fault::ColdOne) {
    at(Start + 2s, [this] {
      Fleet[3].Cold = true;
      ++Fleet[3].Incarnation;
    });
  }
}

inline Figures World::run() {
  startFault();
  arrive();
  while (!Agenda.empty() && Agenda.top().At < Until) {
    const Entry next = Agenda.top();
    Agenda.pop();
    Now = next.At;
    next.Do();
  }
  for (const Upstream &it : Fleet) {
    Result.MostWhileCold = std::max(Result.MostWhileCold, it.MostWhileCold);
  }
  return std::move(Result);
}

} // namespace zinniarail::bench
