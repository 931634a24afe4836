/// \file
/// Watches what an engine is told and what it asks for, and names each promise
/// that it breaks.
#pragma once

#include <map>
#include <set>
#include <string>

#include "dispatch/Service.h"

namespace zinniarail::testing {

/// What the checker keeps of an attempt.
struct SeenAttempt {
  RequestId Request{};
  std::string Upstream;
  bool Sent = false;
  bool Cancelled = false;
  bool Ended = false;
  AttemptEnd End = AttemptEnd::NotSent;
  Instant Started{};
  std::uint64_t Life = 0; ///< The upstream's, as reported before.
};

/// What the checker keeps of a request.
struct SeenRequest {
  bool Idempotent = true;
  bool Granted = false;
  bool Answered = false;
  bool Gone = false;
  Instant Deadline{};
  std::uint64_t Fingerprint = 0;
  std::vector<AttemptId> Attempts;
};

/// What speaks against a fingerprint at one upstream.
struct SeenBreak {
  std::uint64_t Life = 0; ///< Before it; 0 when it can't be refuted.
  Instant Last{};
};

/// What the checker keeps of a fingerprint.
struct SeenFingerprint {
  std::map<std::string, SeenBreak> Breaks; ///< By upstream.
  bool Doubtful = false;                   ///< A break was not refuted in time.
};

/// What the checker keeps of an upstream.
struct SeenUpstream {
  Target Plan;
  unsigned InFlight = 0;
  unsigned SinceCold = 0; ///< In flight, of those started since it was cold.
  unsigned GoodSinceCold = 0;
  bool Cold = true;
  bool SaysCold = false;
  unsigned ColdReports = 0;
  bool MayTakeUp = false;  ///< A word or a probe said that it is warm.
  std::set<AttemptId> Old; ///< Started before it was cold.
  std::uint64_t Life = 0;  ///< As reported last.
  Instant ProbedAt{};
};

class Checker {
public:
  Checker(const ServicePlan &plan, Instant validUntil);

  void onPlan(const ServicePlan &plan);
  void onEvent(const Event &event, Instant now);
  void onAction(const Action &action, Instant now);
  /// To be called when all attempts have ended and all deadlines passed.
  void onEnd();

  Instant ValidUntil{};
  std::set<std::string> Broken; ///< Names of the promises that were broken.
  std::map<AttemptId, SeenAttempt> Attempts;
  std::map<RequestId, SeenRequest> Requests;
  std::map<std::string, SeenUpstream> Upstreams;
  std::map<std::uint64_t, SeenFingerprint> Fingerprints;

private:
  void require(bool holds, const char *promise) {
    if (!holds) {
      Broken.insert(promise);
    }
  }
  bool mayHaveRun(const SeenRequest &request, bool countLive) const;
  void turnCold(SeenUpstream &upstream);
  void checkTarget(const StartAttempt &start, Instant now);
  void checkBudgets(const StartAttempt &start, SeenRequest &request);
  void finish(RequestId id);
  void noteBreak(const SeenAttempt &attempt, Instant now);
  void noteLife(SeenUpstream &upstream, std::uint64_t life, Instant asked);
  void noteDoubts(Instant now);

  void see(const PeerWord &event);
  void see(const RequestArrived &event, Instant now);
  void see(const AttemptEnded &event, Instant now);
  void see(const StartAttempt &action, Instant now);
  void see(const Refuse &action, Instant now);
  void see(const Deliver &action, Instant now);
  void see(const ReleaseClaim &action, Instant now);
  void see(const SendProbe &action, Instant now);

  ServicePlan Plan;
  double Hedges = 0;
  double Retries = 0;
  double Probes = 0;
  Instant FirstProbe{};
};

} // namespace zinniarail::testing
