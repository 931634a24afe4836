#include <algorithm>

#include "trace/Fields.h"

namespace zinniarail::trace {

namespace {

void tell(ServiceState &state, Step &step) {
  if (const auto *it = std::get_if<Event>(&step.Told)) {
    handle(state, *it, step.At, step.Asked);
  } else if (const auto *it = std::get_if<Replanned>(&step.Told)) {
    replan(state, it->Plan, step.At, step.Asked);
  } else {
    confirmView(state, std::get<ViewConfirmed>(step.Told).ValidUntil);
  }
}

std::string nameOf(RequestId id) {
  return std::to_string(static_cast<std::uint64_t>(id));
}

} // namespace

Trace replayTrace(const Trace &trace) {
  const Header &start = trace.Start;
  const ServiceStatePtr state =
      makeService(start.Plan, start.ValidUntil,
                  Random(start.Seed, start.Stream), start.FirstAttempt);
  Trace out = trace;
  for (Step &it : out.Steps) {
    it.Asked.clear();
    tell(*state, it);
  }
  return out;
}

std::optional<Difference> compareTraces(const Trace &recorded,
                                        const Trace &replayed) {
  const std::size_t steps =
      std::max(recorded.Steps.size(), replayed.Steps.size());
  const auto lineOf = [](const Trace &trace, std::size_t n) {
    return n < trace.Steps.size() ? writeStep(trace.Steps[n], trace.Start.At)
                                  : std::string();
  };
  for (std::size_t n = 0; n < steps; ++n) {
    std::string before = lineOf(recorded, n);
    std::string now = lineOf(replayed, n);
    if (before != now) {
      return Difference{n + 2, std::move(before), std::move(now)};
    }
  }
  return std::nullopt;
}

std::map<std::string, std::string> endsOf(const Trace &trace) {
  std::map<std::string, std::string> ends;
  for (const Step &step : trace.Steps) {
    if (const auto *event = std::get_if<Event>(&step.Told)) {
      if (const auto *it = std::get_if<RequestArrived>(event)) {
        ends[nameOf(it->Request)] = "open";
      } else if (const auto *it = std::get_if<CallerGone>(event)) {
        ends[nameOf(it->Request)] = "gone";
      }
    }
    for (const Action &action : step.Asked) {
      if (const auto *it = std::get_if<Deliver>(&action)) {
        ends[nameOf(it->Request)] = "delivered";
      } else if (const auto *it = std::get_if<Refuse>(&action)) {
        ends[nameOf(it->Request)] =
            std::string(zinniarail::nameOf(it->Reason)) + " " +
            zinniarail::nameOf(it->Outcome);
      }
    }
  }
  return ends;
}

} // namespace zinniarail::trace
