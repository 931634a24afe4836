/// \file
/// Plays a random schedule of events against an engine: callers, claims,
/// upstreams, probes, words, plans and time, in any order that the contract of
/// Messages.h permits.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "dispatch/Checker.h"

namespace zinniarail::testing {

/// Changes what an engine asks for before it is done, to see the checker
/// notice.
using Tamper = std::function<void(Actions &, const Checker &)>;

class Schedule {
public:
  explicit Schedule(const Tamper &tamper = {});

  /// Takes one step; each number is one.
  void step(std::uint32_t draw);

  /// Lets everything come to its end.
  void finish();

  Checker Watch;

private:
  void tell(const Event &event);
  void act();
  void arrive(std::uint32_t draw);
  void decideClaim(std::uint32_t draw);
  void send(std::uint32_t draw);
  void end(std::uint32_t draw);
  void endAs(AttemptId attempt, AttemptEnd end, std::uint32_t draw);
  void crash(std::uint32_t draw);
  void endProbe(std::uint32_t draw);
  void leave(std::uint32_t draw);
  void word(std::uint32_t draw);
  void changePlan(std::uint32_t draw);
  void advance(Duration by);

  Service Engine;
  Tamper Change;
  ServicePlan Plan;
  std::uint64_t NextRequest = 1;
  std::vector<RequestId> Claims;
  std::vector<AttemptId> Live;
  std::vector<std::string> Probes;
  std::map<std::string, std::uint64_t> Lives; ///< By upstream, from 0.
};

} // namespace zinniarail::testing
