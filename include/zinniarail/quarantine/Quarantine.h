/// \file
/// Overview of the quarantine module: finds requests that crash the upstreams
/// that run them, from which requests were in flight at each crash, and tells
/// them from the innocent ones beside them. Pure; a service's engine owns one
/// Quarantine and passes the time in.
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
  std::size_t Suspects = 1024; ///< Fingerprints kept, the oldest go first.
  std::size_t Refused = 1024;  ///< Likewise.
};

/// What speaks against one fingerprint.
struct Suspicion {
  std::set<std::string> Upstreams; ///< That crashed with it in flight.
  /// At one of these crashes no other suspect was in flight.
  bool WasAlone = false;
  Instant Expires{};
};

/// All that is known of one service's dangerous requests.
struct Quarantine {
  std::map<std::uint64_t, Suspicion> Suspects;
  std::map<std::uint64_t, Instant> Refused; ///< Until when.
};

/// How a request with some fingerprint may be handled.
enum class Handling : std::uint8_t {
  Normal,
  /// Send it to an upstream only while no other suspect is in flight there,
  /// so that the next crash tells which of them it was. No hedges.
  Isolate,
  Refuse, ///< Refuse at once as quarantined.
};

/// Tells how to handle a request.
Handling judge(const Quarantine &quarantine, std::uint64_t fingerprint,
               Instant now);

/// How long a refused fingerprint stays refused; zero when it isn't.
Duration refusedFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                    Instant now);

/// Notes that an upstream crashed. Call it once for each crash, with the
/// fingerprints of every request in flight there. A request is condemned when
/// it was in flight at the crashes of enough different upstreams, at one of
/// them as the only request or as the only one suspected before.
/// \returns those condemned now, to be told to the service's other homes.
std::vector<std::uint64_t> noteCrash(Quarantine &quarantine,
                                     const QuarantineLimits &limits,
                                     const std::string &upstream,
                                     std::span<const std::uint64_t> inFlight,
                                     Instant now);

/// Notes that a request was answered whole: it is no longer suspect. A refused
/// fingerprint stays refused, for a stray answer proves nothing about it.
void noteFinished(Quarantine &quarantine, std::uint64_t fingerprint);

/// Notes another home's word that it condemned a fingerprint.
void noteCondemned(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, Instant now);

/// Notes another home's word that a fingerprint was in flight at a crash.
/// It is isolated here from now on, but not condemned by hearsay.
void noteSuspected(Quarantine &quarantine, const QuarantineLimits &limits,
                   std::uint64_t fingerprint, const std::string &upstream,
                   Instant now);

} // namespace zinniarail
