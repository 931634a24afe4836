/// \file
/// Overview of the quarantine module: finds requests that crash the upstreams
/// that run them, and tells them apart from harmless requests that were in
/// flight at the same time. A broken connection or response can be recorded as
/// a presumed crash, which a later report from the same incarnation of the
/// upstream refutes. No I/O and no clock: each service's engine owns one
/// Quarantine and passes the current time in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// Thresholds, time limits and memory bounds.
struct QuarantineLimits {
  /// How many different upstreams must crash before a request is quarantined;
  /// one more while as many others crash without it.
  unsigned MinCrashedUpstreams = 2;
  /// How long a crash counts as one of those others.
  Duration CrashMemory = std::chrono::seconds{10};
  /// How long a suspicion or a quarantine lasts after the last evidence.
  Duration Lifetime = std::chrono::minutes{5};
  /// How long a request is held at most while its crashes may still be refuted.
  /// This is long enough to probe an upstream that is still running.
  Duration HoldTime = std::chrono::seconds{1};
  /// How long a request is held at most after another instance reported a hold.
  /// It must last until that instance has decided on a quarantine.
  Duration PeerHoldTime = std::chrono::milliseconds{1500};
  /// Maximum number of suspect fingerprints; those that expire first are
  /// evicted.
  std::size_t MaxSuspects = 1024;
  /// Maximum number of quarantined fingerprints, and of those that other
  /// instances hold; those that expire first are evicted.
  std::size_t MaxQuarantined = 1024;
};

/// A crash of one upstream while a fingerprint was in flight there.
struct Evidence {
  /// The incarnation that the upstream reported before the crash; 0 when the
  /// crash is certain or can't be refuted.
  std::uint64_t Incarnation = 0;
  /// Time of the last request failure that belongs to this crash.
  Instant LastFailure{};
  Instant Started{};        ///< When the request was sent to the upstream.
  bool OnlyRequest = false; ///< No other request was in flight.
  /// No other suspect was in flight. Reset when another crash of this
  /// fingerprint is refuted, because it may have been suspect only for that.
  bool OnlySuspect = false;
};

/// The evidence against one fingerprint.
struct Suspicion {
  std::map<std::string, Evidence> Upstreams; ///< By upstream id.
  /// End of the hold. The fingerprint is quarantined then, unless so many of
  /// its crashes are refuted before that the evidence no longer suffices.
  /// Instant::max() when it is not held.
  Instant HeldUntil = Instant::max();
  Instant ExpiresAt{};
};

/// A crash or a presumed crash.
struct Crash {
  std::string Upstream;
  /// The upstream's incarnation as known when the failed attempt started; 0
  /// when unknown.
  std::uint64_t Incarnation = 0;
};

/// A request that was sent to an upstream which crashed, and got no response.
struct InFlightRequest {
  std::uint64_t Fingerprint = 0;
  Instant Started{};  ///< When it was sent to the upstream.
  Instant LastSeen{}; ///< When its connection broke.
  /// It certainly arrived before the crash. One that may not have becomes
  /// suspect, but this crash alone identifies it in no case.
  bool Arrived = true;
};

/// Fingerprints whose handling a crash changed, to be reported to the other
/// instances.
struct CrashOutcome {
  std::vector<std::uint64_t> Quarantined;
  std::vector<std::uint64_t> Held;
};

/// The suspect, held and quarantined fingerprints of one service.
struct Quarantine {
  std::map<std::uint64_t, Suspicion> Suspects;
  std::map<std::uint64_t, Instant> Quarantined; ///< Expiry by fingerprint.
  std::map<std::string, Instant> CrashedAt;     ///< Last crash by upstream id.
  /// Fingerprints that other instances hold, with the time at which the hold
  /// expires on this instance.
  std::map<std::uint64_t, Instant> HeldByPeers;
  /// The earliest expiry of a hold; Instant::max() when nothing is held.
  Instant NextHoldExpiry = Instant::max();
};

/// How requests with a given fingerprint are handled.
enum class Handling : std::uint8_t {
  Normal,
  /// Send to an upstream only while no other suspect is in flight there, so
  /// that the next crash identifies the request that caused it. It is not
  /// hedged.
  Isolate,
  Hold,   ///< Refuse immediately; whether to quarantine is decided soon.
  Refuse, ///< Refuse immediately as quarantined.
};

/// Determines how to handle a request.
Handling chooseHandling(const Quarantine &quarantine, std::uint64_t fingerprint,
                        Instant now);

/// \returns how long requests with this fingerprint will still be refused as
/// quarantined or held; zero when it is neither.
Duration remainingRefusal(const Quarantine &quarantine,
                          std::uint64_t fingerprint, Instant now);

/// Records the crash of an upstream. Call it once per crash, with all requests
/// that were in flight there. A fingerprint is quarantined when it was in
/// flight at the crashes of enough different upstreams one after the other, and
/// at one of them as the only request or the only previous suspect. Crashes of
/// upstreams on which it was in flight at the same time count once: they may
/// have a common cause. While any of these crashes may still be refuted it is
/// held instead; held requests are refused as well.
CrashOutcome recordCrash(Quarantine &quarantine, const QuarantineLimits &limits,
                         const Crash &crash,
                         std::span<const InFlightRequest> inFlight,
                         Instant now);

/// Makes a fingerprint suspect without evidence: it is isolated, so that the
/// next crash counts.
void recordSuspicion(Quarantine &quarantine, const QuarantineLimits &limits,
                     std::uint64_t fingerprint, Instant now);

/// Records a further request failure that belongs to a crash recorded before.
/// Only a report requested after this failure can refute the crash.
void recordFurtherFailure(Quarantine &quarantine, const std::string &upstream,
                          Instant now);

/// Processes the incarnation that an upstream reports. The incarnation from
/// before a crash refutes the crash, a different one confirms it. Crashes whose
/// last failure is not earlier than \p requestedAt are left as they are.
/// \param incarnation as reported; 0 proves nothing.
/// \param requestedAt when the request or probe that returned it was started.
/// \returns the fingerprints that this quarantined.
std::vector<std::uint64_t> recordIncarnation(Quarantine &quarantine,
                                             const QuarantineLimits &limits,
                                             const std::string &upstream,
                                             std::uint64_t incarnation,
                                             Instant requestedAt, Instant now);

/// Quarantines the fingerprints whose hold has expired. To be called at
/// NextHoldExpiry.
/// \returns these fingerprints.
std::vector<std::uint64_t>
quarantineExpiredHolds(Quarantine &quarantine, const QuarantineLimits &limits,
                       Instant now);

/// \returns the upstreams with a crash that some hold depends on and that may
/// still be refuted, each with the time of the last failure there.
std::map<std::string, Instant> upstreamsToProbe(const Quarantine &quarantine);

/// Records that a request got a complete response, which clears it of
/// suspicion. A held or quarantined fingerprint stays so, because a late
/// response to an earlier request does not prove it harmless.
/// \returns whether it was suspect.
bool recordCompletion(Quarantine &quarantine, std::uint64_t fingerprint);

/// Records that another instance quarantined a fingerprint. A quarantine that
/// is known already stays as it is, so that repeated notices do not prolong it.
/// \param remaining how much longer it lasts.
/// \returns whether it was not known.
bool recordPeerQuarantine(Quarantine &quarantine,
                          const QuarantineLimits &limits,
                          std::uint64_t fingerprint, Duration remaining,
                          Instant now);

/// Records that another instance holds a fingerprint. It is refused here only
/// until that instance's decision is due, even if the decision never arrives.
void recordPeerHold(Quarantine &quarantine, const QuarantineLimits &limits,
                    std::uint64_t fingerprint, Instant now);

/// Records that another instance saw a fingerprint in flight at a crash. It is
/// isolated here from now on; such reports alone never quarantine it.
void recordPeerSuspicion(Quarantine &quarantine, const QuarantineLimits &limits,
                         const InFlightRequest &request, const Crash &crash,
                         Instant now);

} // namespace zinniarail
