#include "quota/QuotaTask.h"

#include <algorithm>
#include <utility>

#include "zinniarail/events/Events.h"

namespace zinniarail::quota {

QuotaTask::QuotaTask(struct ev_loop *loop, Identity self,
                     QuotaSettings settings, std::uint64_t seed,
                     QuotaHandlers handlers)
    : Loop(loop), Handlers(std::move(handlers)),
      State(makeEngine(std::move(self), settings, Random(seed),
                       readBootClock())) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<QuotaTask *>(it->data)->onTimer();
      },
      0, 0);
  Timer.data = this;
}

QuotaTask::~QuotaTask() { ev_timer_stop(Loop, &Timer); }

void QuotaTask::setLimits(const Configuration &config) {
  std::map<std::string, CustomerLimit> limits;
  for (const Customer &it : config.Customers) {
    limits[it.Name] = {it.RatePerSecond, it.Burst};
  }
  const bool wasActive = isActive();
  quota::setLimits(*State, limits, readBootClock());
  setTimer();
  if (!wasActive && isActive()) {
    logLender();
  }
}

void QuotaTask::setFleet(const std::vector<Instance> &recorded,
                         std::size_t size) {
  std::vector<KnownInstance> all;
  all.reserve(recorded.size());
  for (const Instance &it : recorded) {
    all.push_back({it.Id, it.Domain});
  }
  quota::setFleet(*State, std::move(all), size, readBootClock());
  setTimer();
}

void QuotaTask::setLender(const std::string &lender) {
  if (lender == Lender) {
    return;
  }
  Lender = lender;
  quota::setLender(*State, lender, readBootClock());
  setTimer();
  if (isActive()) {
    logLender();
  }
}

bool QuotaTask::isActive() const { return nextTick(*State) != Instant::max(); }

void QuotaTask::logLender() const {
  logEvent(EventId::CreditLenderChanged, Lender.empty() ? "none" : Lender);
}

Decision QuotaTask::take(const std::string &customer, std::uint64_t request) {
  Actions actions;
  const Decision out =
      takeCredit(*State, customer, request, readBootClock(), actions);
  perform(std::move(actions));
  setTimer();
  return out;
}

void QuotaTask::giveBack(const std::string &customer, Instant endsAt) {
  returnCredit(*State, customer, endsAt, readBootClock());
}

void QuotaTask::forget(std::uint64_t request) {
  forgetRequest(*State, request);
}

void QuotaTask::receive(const std::string &from, const Message &message) {
  Actions actions;
  handleMessage(*State, from, message, readBootClock(), actions);
  perform(std::move(actions));
  tellDecisions();
  setTimer();
}

boost::json::object QuotaTask::describe() const {
  return quota::describe(*State, readBootClock());
}

void QuotaTask::onTimer() {
  TimerAt = Instant::max();
  Actions actions;
  tick(*State, readBootClock(), actions);
  perform(std::move(actions));
  tellDecisions();
  setTimer();
}

void QuotaTask::perform(Actions &&actions) {
  for (Action &it : actions) {
    if (const auto *message = std::get_if<SendMessage>(&it)) {
      Handlers.Send(message->Instance, message->Content);
    } else if (const auto *admitted = std::get_if<AdmitHeld>(&it)) {
      Decisions.emplace_back(admitted->Request,
                             Decision{Decision::Kind::Admitted, Duration{0},
                                      admitted->CreditEndsAt});
    } else {
      const auto &refused = std::get<RefuseHeld>(it);
      Decisions.emplace_back(
          refused.Request, Decision{Decision::Kind::Refused, refused.RetryAfter,
                                    Instant{}, refused.IsUnanswered});
    }
  }
}

// A decision may lead to new requests, and these to further ones.
void QuotaTask::tellDecisions() {
  while (!Decisions.empty()) {
    for (const auto &[request, it] : std::exchange(Decisions, {})) {
      Handlers.Decided(request, it);
    }
  }
}

void QuotaTask::setTimer() {
  const Instant now = readBootClock();
  const Instant next = Decisions.empty() ? nextTick(*State) : now;
  if (next == Instant::max() || TimerAt <= next) {
    return;
  }
  TimerAt = next;
  const std::chrono::duration<double> left = std::max(next - now, Duration{0});
  ev_now_update(Loop);
  ev_timer_stop(Loop, &Timer);
  ev_timer_set(&Timer, left.count(), 0);
  ev_timer_start(Loop, &Timer);
}

} // namespace zinniarail::quota
