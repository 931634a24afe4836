/// \file
/// The fields of every line of a trace, once for reading and for writing.
#pragma once

#include <array>
#include <string_view>

#include "zinniarail/trace/Trace.h"

namespace zinniarail::trace {

/// The last line of a recording that was full.
constexpr std::string_view FullLine = R"({"stopped":"full"})";

/// The first line, without its end.
std::string writeHeader(const Header &header);

// The names of a variant's alternatives and of an enumeration's values, in
// their order.
template <typename T> struct Names;

template <> struct Names<Event> {
  static constexpr std::array<std::string_view, 9> All{
      "arrived", "claim",    "sent",  "ended", "probed",
      "gone",    "peerWord", "woken", "stop"};
  static_assert(All.size() == std::variant_size_v<Event>);
};
template <> struct Names<Action> {
  static constexpr std::array<std::string_view, 9> All{
      "seekClaim",       "start", "cancel", "deliver",     "refuse",
      "openConnections", "probe", "tell",   "releaseClaim"};
  static_assert(All.size() == std::variant_size_v<Action>);
};
template <> struct Names<ClaimVerdict> {
  static constexpr std::array<std::string_view, 3> All{"granted", "taken",
                                                       "unavailable"};
};
template <> struct Names<AttemptEnd> {
  static constexpr std::array<std::string_view, 4> All{"answered", "not-sent",
                                                       "refused", "broken"};
};
template <> struct Names<PeerWord::Kind> {
  static constexpr std::array<std::string_view, 5> All{
      "cold", "warm", "quarantine", "suspect", "held"};
  static_assert(All.size() ==
                static_cast<std::size_t>(PeerWord::Kind::Held) + 1);
};
template <> struct Names<RoutingPolicy> {
  static constexpr std::array<std::string_view, 4> All{"homes", "two-choices",
                                                       "random", "round-robin"};
};
template <> struct Names<Truth> {
  static constexpr std::array<std::string_view, 3> All{"ran", "did-not-run",
                                                       "unknown"};
};
template <> struct Names<RefusalReason> {
  static constexpr std::array<std::string_view, 12> All{
      "unknown-service", "no-upstream",     "overloaded", "deadline-passed",
      "view-expired",    "key-missing",     "key-in-use", "claim-unavailable",
      "quarantined",     "upstream-failed", "stopping",   "held"};
  static_assert(All.size() ==
                static_cast<std::size_t>(RefusalReason::Held) + 1);
};

// An archive reads or writes: a(key, field) a field that must be there,
// a.spare(key, field) one that is left out while it is zero.

template <typename A> void walk(A &a, LoadReport &it) {
  a.spare("inFlight", it.InFlight);
  a.spare("queued", it.Queued);
  a.spare("incarnation", it.Incarnation);
  a.spare("cold", it.Cold);
  a.spare("draining", it.Draining);
}

template <typename A> void walk(A &a, RequestArrived &it) {
  a("request", it.Request);
  a.spare("class", it.Class);
  a.spare("key", it.Key);
  a.spare("fingerprint", it.Fingerprint);
  a("deadline", it.Deadline);
  a("idempotentMethod", it.IdempotentMethod);
}
template <typename A> void walk(A &a, ClaimDecided &it) {
  a("request", it.Request);
  a("verdict", it.Verdict);
}
template <typename A> void walk(A &a, AttemptSent &it) {
  a("attempt", it.Attempt);
}
template <typename A> void walk(A &a, AttemptEnded &it) {
  a("attempt", it.Attempt);
  a("end", it.End);
  a.spare("status", it.Status);
  a.spare("hasReport", it.HasReport);
  if (it.HasReport) {
    a("report", it.Report);
  }
}
template <typename A> void walk(A &a, ProbeEnded &it) {
  a("upstream", it.Upstream);
  a.spare("reached", it.Reached);
  if (it.Reached) {
    a("report", it.Report);
  }
}
template <typename A> void walk(A &a, CallerGone &it) {
  a("request", it.Request);
}
template <typename A> void walk(A &a, PeerWord &it) {
  a("what", it.What);
  a.spare("upstream", it.Upstream);
  a.spare("incarnation", it.Incarnation);
  a.spare("fingerprint", it.Fingerprint);
  a.spare("homesDigest", it.HomesDigest);
}
template <typename A> void walk(A &, Woken &) {}
template <typename A> void walk(A &, StopBegun &) {}

template <typename A> void walk(A &a, SeekClaim &it) {
  a("request", it.Request);
  a("key", it.Key);
}
template <typename A> void walk(A &a, ReleaseClaim &it) {
  a("request", it.Request);
  a("key", it.Key);
}
template <typename A> void walk(A &a, StartAttempt &it) {
  a("attempt", it.Attempt);
  a("request", it.Request);
  a("upstream", it.Upstream);
  a("deadline", it.Deadline);
  a.spare("hedge", it.Hedge);
}
template <typename A> void walk(A &a, CancelAttempt &it) {
  a("attempt", it.Attempt);
}
template <typename A> void walk(A &a, Deliver &it) {
  a("request", it.Request);
  a("attempt", it.Attempt);
}
template <typename A> void walk(A &a, Refuse &it) {
  a("request", it.Request);
  a("reason", it.Reason);
  a("outcome", it.Outcome);
  a.spare("retryAfter", it.RetryAfter);
}
template <typename A> void walk(A &a, OpenConnections &it) {
  a("upstream", it.Upstream);
  a("count", it.Count);
}
template <typename A> void walk(A &a, SendProbe &it) {
  a("upstream", it.Upstream);
}
template <typename A> void walk(A &a, TellHomes &it) { walk(a, it.Word); }

template <typename A> void walk(A &a, RequestClass &it) {
  a("name", it.Name);
  a("priority", it.Priority);
  a("idempotent", it.Idempotent);
}
// Only what the engine goes by: no addresses and no paths.
template <typename A> void walk(A &a, ServiceSpec &it) {
  a("name", it.Name);
  a("classes", it.Classes);
  a("queueLimit", it.QueueLimit);
  a("hedgeShare", it.HedgeShare);
  a("retryShare", it.RetryShare);
  a("probesPerSecond", it.ProbesPerSecond);
  a("claimWindow", it.ClaimWindow);
}
template <typename A> void walk(A &a, Target &it) {
  a("id", it.Spec.Id);
  a("slots", it.Spec.Slots);
  a("ownSlots", it.Share.Slots);
  a("ownConnections", it.Share.Connections);
  a.spare("ramps", it.Share.Ramps);
  a("inService", it.InService);
}
template <typename A> void walk(A &a, ServicePlan &it) {
  a("service", it.Spec);
  a("targets", it.Targets);
  a("homesDigest", it.HomesDigest);
  a("policy", it.Policy);
}
template <typename A> void walk(A &a, Outcome &it) {
  a.spare("promise", it.Promise);
  a.spare("ends", it.Ends);
}
template <typename A> void walk(A &a, Header &it) {
  a("trace", it.Version);
  a("stated", it.Stated);
  a("validUntil", it.ValidUntil);
  a("seed", it.Seed);
  a("stream", it.Stream);
  a("firstAttempt", it.FirstAttempt);
  a("plan", it.Plan);
}
template <typename A> void walk(A &a, Step &it) {
  a("at", it.At);
  a.told(it.Told);
  a.spare("actions", it.Asked);
}

} // namespace zinniarail::trace
