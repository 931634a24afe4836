/// \file
/// What a service's engine is told (events) and what it asks for (actions).
/// The engine decides; the gateway turns sockets into events and actions into
/// sockets.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/load/Load.h"

namespace zinniarail {

/// A caller's request, unique in its process.
enum class RequestId : std::uint64_t {};

/// One try of a request on one upstream, unique in its process.
enum class AttemptId : std::uint64_t {};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Answered,     ///< A whole answer, to this very request.
  NotSent,      ///< No byte can have left: no connection, or cancelled before.
  RefusedUnrun, ///< The upstream said that it did not run the request.
  Broken, ///< A byte may have left and no whole answer of its own came back.
};

/// What is known of whether a request ran.
enum class Truth : std::uint8_t { Ran, DidNotRun, Unknown };

/// Why a request got no upstream's answer.
enum class RefusalReason : std::uint8_t {
  UnknownService,
  NoUpstream,       ///< None in service.
  Overloaded,       ///< Queue full, or shed for a better class.
  DeadlinePassed,   ///< Given up, or would not be served in time.
  ViewExpired,      ///< This instance cannot prove that its view is current.
  KeyMissing,       ///< Not idempotent, and no idempotency key.
  KeyInUse,         ///< The key was claimed before; that send may have run.
  ClaimUnavailable, ///< Nobody could vouch for the key.
  Quarantined,      ///< Its like crashed upstreams.
  UpstreamFailed,   ///< Every permitted try failed.
  Stopping,         ///< This instance is about to go.
  Held,             ///< Its like may have crashed upstreams; a verdict is near.
};

/// What the claim task found out about an idempotency key.
enum class ClaimVerdict : std::uint8_t {
  Granted,     ///< Nobody ran it in the window, and nobody else will.
  Taken,       ///< Claimed before; whether it ran is for the first send.
  Unavailable, ///< Nobody could vouch; nothing was dispatched.
};

// Events.

/// A caller's whole request is here.
struct RequestArrived {
  RequestId Request;
  std::string Class;             ///< Name of the class that matched.
  std::string Key;               ///< Idempotency key; may be empty.
  std::uint64_t Fingerprint = 0; ///< Alike for requests that are alike.
  Instant Deadline{};            ///< The caller's or the class's, the nearer.
  /// Whether the method itself is idempotent; counts when no class matched.
  bool IdempotentMethod = true;
};
/// The claim task answered.
struct ClaimDecided {
  RequestId Request;
  ClaimVerdict Verdict;
};
/// From here on a byte of this attempt may have left. Told before the first
/// byte is handed to the socket, never after.
struct AttemptSent {
  AttemptId Attempt;
};
/// An attempt is over. Status and report only where an answer came.
struct AttemptEnded {
  AttemptId Attempt;
  AttemptEnd End;
  unsigned Status = 0;
  bool HasReport = false;
  LoadReport Report;
};
/// A probe is over.
struct ProbeEnded {
  std::string Upstream;
  bool Reached = false;
  LoadReport Report;
};
/// The caller went away before its answer.
struct CallerGone {
  RequestId Request;
};
/// A word from another home of the service.
struct PeerWord {
  enum class Kind : std::uint8_t {
    UpstreamCold,
    UpstreamWarm,
    Quarantine, ///< The fingerprint is condemned.
    Suspect,    ///< The fingerprint was in flight when the upstream crashed.
    /// Likewise, and it is to be refused until a verdict: Quarantine, or none.
    Held,
  };
  Kind What;
  std::string Upstream;
  std::uint64_t Incarnation = 0; ///< Before the crash, where it is of one.
  std::uint64_t Fingerprint = 0;
  std::uint64_t HomesDigest = 0; ///< Of the sender's homes.
};
/// The time that nextWake gave has come.
struct Woken {};
/// The instance starts to stop: nothing new after this, running work ends.
struct StopBegun {};

using Event =
    std::variant<RequestArrived, ClaimDecided, AttemptSent, AttemptEnded,
                 ProbeEnded, CallerGone, PeerWord, Woken, StopBegun>;

// Actions.

/// Ask the claim task about the key of a non-idempotent request.
struct SeekClaim {
  RequestId Request;
  std::string Key;
};
/// Give a granted key back: its request did not run and never will, so that
/// the caller's next send of the key may run.
struct ReleaseClaim {
  RequestId Request;
  std::string Key;
};
/// Send the request to an upstream; give up on it at the deadline.
struct StartAttempt {
  AttemptId Attempt;
  RequestId Request;
  std::string Upstream;
  Instant Deadline{};
  bool Hedge = false;
};
/// Cancel an attempt, before the actions behind this one: no byte of it may
/// leave afterwards. Its AttemptEnded still follows.
struct CancelAttempt {
  AttemptId Attempt;
};
/// Give the caller this attempt's whole answer.
struct Deliver {
  RequestId Request;
  AttemptId Attempt;
};
/// Give the caller its final answer, at once.
struct Refuse {
  RequestId Request;
  RefusalReason Reason;
  Truth Outcome;
  Duration RetryAfter{};
};
/// Open connections to an upstream ahead of need.
struct OpenConnections {
  std::string Upstream;
  unsigned Count = 0;
};
/// Ask an upstream for its load.
struct SendProbe {
  std::string Upstream;
};
/// Tell the service's other homes.
struct TellHomes {
  PeerWord Word;
};

using Action =
    std::variant<SeekClaim, StartAttempt, CancelAttempt, Deliver, Refuse,
                 OpenConnections, SendProbe, TellHomes, ReleaseClaim>;
using Actions = std::vector<Action>;

/// A refusal's stable name, as callers and logs see it.
const char *nameOf(RefusalReason reason);

/// "ran", "did-not-run" or "unknown".
const char *nameOf(Truth truth);

} // namespace zinniarail
