/// \file
/// Plays one request to a step of its life, lets faults happen there, plays on
/// and says how the request ended.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/Checker.h"
#include "dispatch/Service.h"

namespace zinniarail::testing {

/// Where in its life a request is when a fault happens.
enum class LifeStep : std::uint8_t {
  Claiming,   ///< Its key is being claimed.
  Queued,     ///< It waits for an upstream.
  Dispatched, ///< An upstream is chosen, no byte has left.
  Sent,       ///< Bytes may have left.
  Hedged,     ///< A second attempt is sent beside the first.
  Answered,   ///< The caller has its answer.
};

enum class Fault : std::uint8_t {
  UpstreamCrashes,
  UpstreamRefuses,
  UpstreamFailsFast,
  UpstreamFreezes,
  UpstreamTurnsCold,
  UpstreamLeaves,
  DomainOut,
  AllDomainsOut,
  AnswerShortOrCrossed,
  AnswerLate,
  InstancePaused,
  InstanceStops,
  ClaimUnavailable,
  ClaimTaken,
  CallerGone,
  RequestQuarantined,
};

const char *nameOf(LifeStep step);
const char *nameOf(Fault fault);

/// One request in a service with three upstreams of two slots, all warm.
class LifePlay {
public:
  /// Brings the request to the step.
  LifePlay(LifeStep step, bool idempotent);

  /// Whether the fault can meet a request at the step at all.
  static bool applies(Fault fault, LifeStep step);

  /// How many attempts of the request have been sent.
  unsigned sent() const;

  void inject(Fault fault);

  /// Lets everything come to its end: claims are granted, attempts are sent
  /// and answered unless a fault forbids.
  /// \returns "delivered", "gone", or "REASON, TRUTH" of the refusal.
  std::string finish();

  /// Promises that were broken on the way.
  const std::set<std::string> &broken() const { return Watch.Broken; }

private:
  void tell(const Event &event);
  void replan();
  void end(AttemptId id, AttemptEnd how, unsigned status = 200,
           LoadReport report = {});
  void endAllOn(const std::string &upstream, AttemptEnd sentEnd);
  void sendAll();
  void answerAll();
  std::string upstreamOfRequest() const;
  std::vector<AttemptId> live(const std::string &upstream) const;

  Service Engine;
  ServicePlan Plan;
  Checker Watch;
  bool Idempotent;
  std::set<std::string> Frozen;
  std::string Outcome = "no answer";
};

} // namespace zinniarail::testing
