/// \file
/// A small service with its engine, for tests of the dispatch slice.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniarail/dispatch/Engine.h"

namespace zinniarail::testing {

using namespace std::chrono_literals;

constexpr Instant Start{1h};

/// A plan of one home that has the whole of each upstream.
inline ServicePlan makePlan(unsigned upstreams, unsigned slots = 4,
                            bool ramps = true) {
  ServicePlan plan;
  plan.Spec.Name = "orders";
  plan.Spec.Classes = {
      {.Name = "read", .Priority = 1, .Idempotent = true},
      {.Name = "write", .Priority = 0, .Idempotent = false},
      {.Name = "sheet", .Priority = 2, .Idempotent = true},
  };
  for (unsigned n = 0; n < upstreams; ++n) {
    Target target;
    target.Spec.Id = "u" + std::to_string(n);
    target.Spec.Slots = slots;
    target.Share = {slots, target.Spec.Connections, ramps};
    plan.Targets.push_back(target);
  }
  return plan;
}

/// An engine and what it asked for last.
struct Service {
  ServiceStatePtr State;
  Instant Now = Start;
  Actions Out;

  explicit Service(ServicePlan plan, Instant validUntil = Start + 1h)
      : State(makeService(std::move(plan), validUntil, Random(7), 1)) {}

  Actions &tell(const Event &event) {
    Out.clear();
    handle(*State, event, Now, Out);
    return Out;
  }

  Actions &arrive(std::uint64_t id, const std::string &type,
                  Duration patience = 1s) {
    return tell(RequestArrived{RequestId{id}, type, "k" + std::to_string(id),
                               id, Now + patience, true});
  }

  /// Serves reads one after the other, which warms upstreams.
  void serve(std::uint64_t firstId, unsigned requests) {
    for (unsigned n = 0; n < requests; ++n) {
      arrive(firstId + n, "read");
      const auto attempt = find<StartAttempt>();
      Now += 5ms;
      if (attempt) {
        tell(AttemptEnded{attempt->Attempt, AttemptEnd::Answered, 200});
      }
    }
  }

  /// The first action of a type that was asked for last.
  template <typename Wanted> std::optional<Wanted> find() const {
    for (const Action &it : Out) {
      if (const auto *wanted = std::get_if<Wanted>(&it)) {
        return *wanted;
      }
    }
    return std::nullopt;
  }

  template <typename Wanted> std::size_t count() const {
    std::size_t n = 0;
    for (const Action &it : Out) {
      n += std::holds_alternative<Wanted>(it) ? 1 : 0;
    }
    return n;
  }
};

} // namespace zinniarail::testing
