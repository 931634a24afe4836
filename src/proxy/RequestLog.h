/// \file
/// The log line that is written when a request ends: the decisions made for it,
/// the reasons for them and the duration of each step. Lines for requests that
/// were served in time are limited to a rate; the others are always written.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::proxy {

/// One attempt of a request on an upstream.
struct AttemptRecord {
  std::uint64_t Id = 0;
  std::string Upstream;
  balance::PlacementReason Reason;
  Instant StartedAt{};
  bool HasEnded = false;
  balance::AttemptEnd End{};
  unsigned Status = 0; ///< HTTP status; 0 without a response.
  Duration Elapsed{0};
  std::string Error; ///< Why there was no response; empty if there was one.
  bool ReusedConnection = false; ///< Once it has ended.
  unsigned StrayResponses = 0;   ///< As http::CallResult::StrayResponses.
};

/// What the log line of a request says about it.
struct RequestRecord {
  std::string Id; ///< The caller's request id; empty when it sent none.
  std::string Service;
  std::string Route;
  std::uint64_t Fingerprint = 0; ///< As balance::RequestArrived::Fingerprint.
  /// Version of the configuration that routed the request.
  std::uint64_t ConfigVersion = 0;
  Instant ArrivedAt{};
  Duration TargetLatency{0};
  /// From the arrival to the earlier of the caller's deadline and the route's
  /// timeout.
  Duration TimeAllowed{0};
  std::vector<AttemptRecord> Attempts;
  std::string Customer; ///< Empty: none.
};

/// How a request ended for its caller.
struct RequestEnd {
  enum class EndKind : std::uint8_t { Delivered, Refused, CallerGone };
  EndKind Kind = EndKind::Delivered;
  unsigned Status = 0;          ///< HTTP status sent to the caller.
  const char *Reason = "";      ///< Why the request was refused.
  balance::Execution Outcome{}; ///< Whether a refused request ran.
  Duration RetryAfter{0};
  /// The upstreams' states when an engine refused the request; null otherwise.
  const balance::UpstreamSummary *Upstreams = nullptr;
};

/// How the end of a request is logged and counted.
enum class RequestEvent : std::uint8_t {
  Served,    ///< Its only attempt was answered within the target latency.
  Slow,      ///< It was answered later, or after more than one attempt.
  Refused,   ///< It was refused and did not run.
  Failed,    ///< An upstream answered it with a 5xx status, or it was refused
             ///< after an attempt that may have run.
  CallerGone ///< Its exchange ended without a response.
};
/// Classifies the end of a request.
/// \param now when the request ended.
RequestEvent eventOf(const RequestRecord &record, const RequestEnd &end,
                     Instant now);

/// Writes the log lines of ended requests. Lines for requests that were served
/// in time are limited to a number per second; the omitted ones are counted.
class RequestLog {
public:
  void write(const RequestRecord &record, const RequestEnd &end, Instant now);

  /// Once a second has passed since WindowStart, logs the number of lines
  /// omitted in that second, if any, and starts a new window.
  void logOmittedCount(Instant now);

private:
  Instant WindowStart{}; ///< Start of the second that the limit applies to.
  unsigned ServedRequests = 0; ///< Requests served in time since WindowStart.
  unsigned OmittedLines = 0;   ///< Lines omitted since WindowStart.
};

} // namespace zinniarail::proxy
