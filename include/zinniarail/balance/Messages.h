/// \file
/// What a service's engine is told (events) and what it asks for (actions).
/// The engine decides; the proxy turns sockets into events and actions into
/// sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// A caller's request, unique in its process.
enum class RequestId : std::uint64_t {};

/// One try of a request on one upstream, unique in its process.
enum class AttemptId : std::uint64_t {};

inline std::uint64_t numberOf(RequestId id) {
  return static_cast<std::uint64_t>(id);
}
inline std::uint64_t numberOf(AttemptId id) {
  return static_cast<std::uint64_t>(id);
}

/// What an upstream says of its load, with a response.
struct LoadReport {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// How long work takes there now, beside its usual time.
  double Slowness = 1;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Answered,     ///< A whole response to this very request.
  NotSent,      ///< No byte can have left.
  RefusedUnrun, ///< The upstream said that it did not run the request.
  Misdirected,  ///< Another upstream has the address; it ran nothing.
  Broken,       ///< A byte may have left and no whole response came back.
};

/// What is known of whether a request ran.
enum class Truth : std::uint8_t { Ran, DidNotRun, Unknown };

/// Why a request got no upstream's response.
enum class RefusalReason : std::uint8_t {
  NoUpstream,     ///< None in service.
  Overloaded,     ///< All are busy for longer than it can wait.
  DeadlinePassed, ///< It ran out of time.
  Quarantined,    ///< Its like crashed upstreams.
  UpstreamFailed, ///< Every permitted try failed.
};

/// Stable names, as callers and logs see them.
const char *nameOf(RefusalReason reason);
const char *nameOf(Truth truth);
const char *nameOf(AttemptEnd end);

/// The route's rules for one request.
struct Rules {
  std::string Route;       ///< Requests of one route take alike long.
  bool Idempotent = false; ///< May run more than once.
  unsigned Priority = 1;   ///< 0 is the most urgent.
  unsigned MaxAttempts = 1;
  Duration Target = std::chrono::seconds{1}; ///< Latency worth aiming at.
};

// Events.

/// A caller's whole request is here.
struct RequestArrived {
  RequestId Request{};
  Rules Treatment;
  std::uint64_t Fingerprint = 0; ///< Alike for requests that are alike.
  Instant Deadline{};            ///< The caller's or the route's, the nearer.
};
/// An attempt is over.
struct AttemptEnded {
  AttemptId Attempt{};
  AttemptEnd End = AttemptEnd::NotSent;
  unsigned Status = 0; ///< Where there was a response.
  std::optional<LoadReport> Report;
  /// The connection was kept from before and died without a byte: the upstream
  /// may merely have forgotten it.
  bool KeptAndSilent = false;
};
/// A health check is over.
struct ProbeEnded {
  std::string Upstream;
  bool Reached = false; ///< A response of this very upstream came.
  bool Healthy = false; ///< And it was a good one.
  std::optional<LoadReport> Report;
  Duration ColdFor{0}; ///< As it said; zero when it is warm.
};
/// The caller went away before its answer.
struct CallerGone {
  RequestId Request{};
};
/// A request that was in flight where an upstream crashed.
struct Suspect {
  std::uint64_t Fingerprint = 0;
  std::string Upstream;
};
/// Another instance saw an upstream crash with requests like this in flight.
struct Suspected {
  Suspect Which;
};
/// Another instance found that requests like this crash upstreams.
struct Condemned {
  std::uint64_t Fingerprint = 0;
};
/// The time that nextWake gave has come.
struct Woken {};

using Event = std::variant<RequestArrived, AttemptEnded, ProbeEnded, CallerGone,
                           Suspected, Condemned, Woken>;

// Actions.

/// Why a request goes to an upstream now.
struct Choice {
  enum class Grounds : std::uint8_t {
    Known,      ///< A fresh report showed room and a good time.
    Guessed,    ///< By what was known, which may be old.
    Unreported, ///< The service tells nothing of its load.
  };
  Grounds By = Grounds::Known;
  bool Hedge = false;                   ///< Beside a try that takes long.
  bool Repeat = false;                  ///< After a try that came to nothing.
  bool Cold = false;                    ///< The upstream is cold.
  Duration ReportAge = Duration::max(); ///< max: there was no report.
  double Busy = 0;                      ///< Requests expected to be there.
  double Slowness = 1;                  ///< Expected, beside the usual time.
  Duration Expected{0};                 ///< Time that it is expected to take.
};

/// Send the request to an upstream.
struct StartAttempt {
  AttemptId Attempt{};
  RequestId Request{};
  std::string Upstream;
  Instant Deadline{};
  Choice Why;
};
/// Cancel an attempt; its AttemptEnded still follows.
struct CancelAttempt {
  AttemptId Attempt{};
};
/// Give the caller this attempt's response.
struct Deliver {
  RequestId Request{};
  AttemptId Attempt{};
};
/// What was known of the upstreams when a request was refused.
struct Situation {
  unsigned InService = 0;
  unsigned Ejected = 0;
  unsigned Cold = 0; ///< And had their share for now.
  unsigned Full = 0;
  unsigned Slow = 0;
  unsigned Unknown = 0;    ///< Without a fresh report.
  std::size_t Waiting = 0; ///< Requests, this one included.
  double RetryTokens = 0;
};

/// Give the caller its final answer.
struct Refuse {
  RequestId Request{};
  RefusalReason Reason{};
  Truth Outcome{};
  Duration RetryAfter{0}; ///< Zero: coming back does not help.
  Situation Seen;
};
/// Check an upstream's health; ProbeEnded follows.
struct SendProbe {
  std::string Upstream;
};
/// Tell the other instances of a request that may have crashed an upstream.
struct TellSuspected {
  Suspect Which;
};
/// Tell the other instances that requests like this crash upstreams.
struct TellCondemned {
  std::uint64_t Fingerprint = 0;
};

/// Something is believed of an upstream from now on; for the log.
struct Noticed {
  enum class What : std::uint8_t { Ejected, Back, Cold };
  std::string Upstream;
  What Now{};
  std::string Why;
  Duration For{0}; ///< At least, or about.
};
/// A repeat was not sent, since the budget is spent; for the log.
struct BudgetEmpty {};

using Action =
    std::variant<StartAttempt, CancelAttempt, Deliver, Refuse, SendProbe,
                 TellSuspected, TellCondemned, Noticed, BudgetEmpty>;
using Actions = std::vector<Action>;

const char *nameOf(Choice::Grounds grounds);
const char *nameOf(Noticed::What what);

} // namespace zinniarail::balance
