/// \file
/// Overview of the quarantine module: finds requests that crash the upstreams
/// that run them, from which requests were in flight at each crash, and tells
/// them from the innocent ones beside them. A connection or an answer that
/// breaks is presumed a crash until a later report of the upstream in the same
/// life refutes it. Pure; a service's engine owns one Quarantine and passes
/// the time in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// Limits and thresholds.
struct QuarantineLimits {
  /// Crashes of different upstreams before a request may be refused.
  unsigned Crashes = 2;
  /// How long suspicion and quarantine last after the last evidence.
  Duration Lifetime = std::chrono::minutes{5};
  /// How long a request may be held while its crashes may yet be refuted. An
  /// upstream that lives can be asked within it.
  Duration Hold = std::chrono::seconds{1};
  /// Likewise by another home's word, until whose verdict it must last.
  Duration HeardHold = std::chrono::milliseconds{1500};
  std::size_t Suspects = 1024; ///< Fingerprints kept, the oldest go first.
  /// Likewise, of those condemned and of those held elsewhere.
  std::size_t Refused = 1024;
};

/// One upstream's crash with a fingerprint in flight.
struct Evidence {
  /// The upstream's life before it, as reported; 0 when the crash is certain
  /// or can't be refuted.
  std::uint64_t Life = 0;
  Instant Broke{};    ///< The last that broke with it.
  bool Alone = false; ///< Nothing else was in flight.
  /// Nothing else that was suspected was in flight. It says nothing any more
  /// when the suspicion rested on something that was refuted.
  bool OnlySuspect = false;
};

/// What speaks against one fingerprint.
struct Suspicion {
  std::map<std::string, Evidence> Upstreams;
  /// It is condemned then; Instant::max() while too little speaks against it.
  Instant HeldUntil = Instant::max();
  Instant Expires{};
};

/// A crash, or what is presumed to be one.
struct Crash {
  std::string Upstream;
  /// The upstream's life as it was known when the broken attempt started; 0
  /// when it was not.
  std::uint64_t Life = 0;
};

/// What became of fingerprints, to be told to the service's other homes.
struct Verdicts {
  std::vector<std::uint64_t> Condemned;
  std::vector<std::uint64_t> Held;
};

/// All that is known of one service's dangerous requests.
struct Quarantine {
  std::map<std::uint64_t, Suspicion> Suspects;
  std::map<std::uint64_t, Instant> Refused; ///< Condemned, until when.
  /// Held by other homes, until when at the latest.
  std::map<std::uint64_t, Instant> HeldElsewhere;
  /// No held request is to be condemned sooner; Instant::max() when none is
  /// held.
  Instant NextVerdict = Instant::max();
};

/// How a request with some fingerprint may be handled.
enum class Handling : std::uint8_t {
  Normal,
  /// Send it to an upstream only while no other suspect is in flight there,
  /// so that the next crash tells which of them it was. No hedges.
  Isolate,
  Hold,   ///< Refuse at once as held: a verdict is near.
  Refuse, ///< Refuse at once as quarantined.
};

/// Tells how to handle a request.
Handling judge(const Quarantine &quarantine, std::uint64_t fingerprint,
               Instant now);

/// How long a refused or held fingerprint stays so; zero when it is neither.
Duration refusedFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                    Instant now);

/// Notes that an upstream crashed. Call it once for each crash, with the
/// fingerprints of every request in flight there. A request is condemned when
/// it was in flight at the crashes of enough different upstreams, at one of
/// them as the only request or as the only one suspected before. While any of
/// these crashes may yet be refuted it is held instead, and refused likewise.
Verdicts noteCrash(Quarantine &quarantine, const QuarantineLimits &limits,
                   const Crash &crash, std::span<const std::uint64_t> inFlight,
                   Instant now);

/// Notes that one more broke with a crash that was noted before: only a later
/// report refutes it.
void noteVictim(Quarantine &quarantine, const std::string &upstream,
                Instant now);

/// Takes an upstream's report. The same life as before a crash refutes it, and
/// another life makes it certain, but only for what broke before the report
/// was asked for.
/// \param life as reported; 0 proves nothing.
/// \param asked when the request or the probe that brought it was started.
/// \returns those condemned now.
std::vector<std::uint64_t> noteLife(Quarantine &quarantine,
                                    const QuarantineLimits &limits,
                                    const std::string &upstream,
                                    std::uint64_t life, Instant asked,
                                    Instant now);

/// Condemns those that were held for as long as they may be; to be called when
/// NextVerdict has come.
/// \returns them.
std::vector<std::uint64_t> condemnHeld(Quarantine &quarantine,
                                       const QuarantineLimits &limits,
                                       Instant now);

/// The upstreams whose crashes hold a request and may yet be refuted, each
/// with the last time that something broke there.
std::map<std::string, Instant> upstreamsToAsk(const Quarantine &quarantine);

/// Notes that a request was answered whole: it is no longer suspect. One that
/// is refused stays so, for a stray answer proves nothing about it.
void noteFinished(Quarantine &quarantine, std::uint64_t fingerprint);

/// Notes another home's word that it condemned a fingerprint.
void noteCondemned(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, Instant now);

/// Notes another home's word that it holds a fingerprint. It is refused here
/// until that home's verdict is due, and no longer without it.
void noteHeld(Quarantine &quarantine, const QuarantineLimits &limits,
              std::uint64_t fingerprint, Instant now);

/// Notes another home's word that a fingerprint was in flight at a crash.
/// It is isolated here from now on, but not condemned by hearsay.
void noteSuspected(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, const Crash &crash, Instant now);

} // namespace zinniarail
