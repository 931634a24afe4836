#include "rollout/RolloutTask.h"

#include <algorithm>

#include <boost/json.hpp>

#include "zinniarail/events/Events.h"

namespace zinniarail::rollout {

namespace {

// Between two reports and decisions: three of them lie between an answer and
// the verdict of another failure domain's reader.
constexpr double TickSeconds = 0.15;

// Between two writes of one status.
constexpr Duration WriteInterval = std::chrono::milliseconds{100};

void logChange(const Order &it) {
  logEvent(EventId::RolloutChanged, {{"service", it.Service},
                                     {"target", it.Target},
                                     {"state", nameOf(it.State)},
                                     {"share", it.Share},
                                     {"elapsed_ms", it.Elapsed}});
}

} // namespace

RolloutTask::RolloutTask(struct ev_loop *loop, TrackerContext context,
                         RolloutHandlers handlers)
    : Loop(loop), Handlers(std::move(handlers)) {
  State.Context = std::move(context);
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<RolloutTask *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
}

RolloutTask::~RolloutTask() { ev_timer_stop(Loop, &Timer); }

void RolloutTask::applyOrders(const Orders &orders) {
  for (const auto &[name, it] : orders) {
    const auto known = State.Tracked.find(name);
    if (known == State.Tracked.end() || known->second.Current != it) {
      logChange(it);
    }
  }
  const Instant now = readClock();
  rollout::applyOrders(State, orders, now);
  notifyIfDivisionsChanged(now);
  if (!orders.empty() && ev_is_active(&Timer) == 0) {
    ev_timer_set(&Timer, TickSeconds, TickSeconds);
    ev_timer_start(Loop, &Timer);
  }
}

void RolloutTask::setUpstreams(const std::vector<Upstream> &upstreams,
                               const std::set<std::string> &evacuatedDomains) {
  State.Upstreams.clear();
  if (State.Tracked.empty()) {
    return;
  }
  for (const Upstream &it : upstreams) {
    const bool inService =
        !it.Draining && !evacuatedDomains.contains(it.Domain);
    State.Upstreams[it.Service][it.Id] = {it.Version, inService ? it.Slots : 0};
  }
}

void RolloutTask::receive(const Report &report) {
  rollout::receive(State, report, readClock());
  suspendFaulty();
}

std::size_t RolloutTask::activeCount() const {
  return static_cast<std::size_t>(std::count_if(
      State.Tracked.begin(), State.Tracked.end(), [](const auto &it) {
        const Phase phase = it.second.Current.State;
        return phase == Phase::Ordered || phase == Phase::Running;
      }));
}

void RolloutTask::tick() {
  const Instant now = readClock();
  const bool isReader = Handlers.IsReader();
  suspendFaulty();
  const auto countOpen = [&](const OrderKey &key) -> std::uint64_t {
    return Handlers.CountOpen(key.Service, [&](const std::string &it) {
      return isOld(State, key, it);
    });
  };
  for (const Report &it : makeReports(State, isReader, countOpen, now)) {
    Handlers.Send(it);
  }
  if (isReader) {
    writeDueSteps(now);
  }
  notifyIfDivisionsChanged(now);
  const bool isWaiting = std::any_of(
      State.Tracked.begin(), State.Tracked.end(), [&](const auto &it) {
        return it.second.Current.State == Phase::Completed &&
               LastDivisions.contains(it.second.Current.Service);
      });
  if (!isActive(State) && !isWaiting) {
    ev_timer_stop(Loop, &Timer);
  }
}

void RolloutTask::suspendFaulty() {
  const Instant now = readClock();
  if (!rollout::suspendFaulty(State, Handlers.IsReader(), now)) {
    return;
  }
  for (const auto &[name, it] : State.Tracked) {
    if (it.IsSuspended) {
      logEvent(EventId::RolloutSuspended, {{"service", it.Current.Service},
                                           {"target", it.Current.Target},
                                           {"why", it.Fault}});
    }
  }
  notifyIfDivisionsChanged(now);
}

void RolloutTask::writeDueSteps(Instant now) {
  for (const StatusWrite &it : decide(State, now)) {
    PendingWrite &pending = Writes[it.Name];
    if (pending.InFlight || now < pending.NextAt) {
      continue;
    }
    pending.InFlight = true;
    logEvent(EventId::RolloutDecided, {{"service", it.Changed.Service},
                                       {"target", it.Changed.Target},
                                       {"state", nameOf(it.Changed.State)},
                                       {"share", it.Changed.Share},
                                       {"why", it.Why}});
    Handlers.Write(it, [this, name = it.Name] {
      Writes[name] = {false, readClock() + WriteInterval};
    });
  }
}

void RolloutTask::notifyIfDivisionsChanged(Instant now) {
  Divisions current = divisionsOf(State, now);
  if (current != LastDivisions) {
    LastDivisions = std::move(current);
    Handlers.DivisionsChanged();
  }
}

boost::json::array RolloutTask::describe(Instant now) const {
  boost::json::array all;
  for (const auto &[name, it] : State.Tracked) {
    const RouteCounts own = totalOf(it.Own);
    all.push_back(
        {{"service", it.Current.Service},
         {"target", it.Current.Target},
         {"state", nameOf(it.Current.State)},
         {"share", it.Current.Share},
         {"elapsedMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - it.BeganAt)
                           .count()},
         {"suspended", it.IsSuspended},
         {"fault", it.Fault},
         {"ownToOld", own.Old.Sent},
         {"ownToTarget", own.Target.Sent},
         {"ownTargetFailed", own.Target.Failed},
         {"ownTargetSlow", own.Target.Slow}});
  }
  return all;
}

} // namespace zinniarail::rollout
