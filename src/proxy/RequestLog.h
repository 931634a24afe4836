/// \file
/// The line that a request leaves in the log when it ends: what was decided
/// for it, on which grounds, and how long each step took. Requests that went
/// as they should are listed up to a rate; all others always are.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::proxy {

/// One try of a request.
struct AttemptRecord {
  std::uint64_t Number = 0;
  std::string Upstream;
  balance::PlacementReason Why;
  Instant Started{};
  bool Over = false;
  balance::AttemptEnd End{};
  unsigned Status = 0; ///< Where there was a response.
  Duration Took{0};
  std::string Error; ///< Where there was none.
};

/// One request, as far as it is to be explained afterwards.
struct RequestRecord {
  std::string Id; ///< The caller's own; empty when it gave none.
  std::string Service;
  std::string Route;
  std::uint64_t Version = 0; ///< Of the configuration that placed it.
  Instant Arrived{};
  Duration Target{0};
  Duration Allowed{0}; ///< Until the nearer of the caller's and route's limit.
  std::vector<AttemptRecord> Attempts;
};

/// How a request ended for its caller.
struct RequestEnd {
  enum class How : std::uint8_t { Delivered, Refused, Gone };
  How What = How::Delivered;
  unsigned Status = 0;
  const char *Reason = ""; ///< Of a refusal.
  balance::Execution Outcome{};
  Duration RetryAfter{0};
  const balance::UpstreamSummary *Seen =
      nullptr; ///< Of a refusal by an engine.
};

/// Which event a request's end is.
enum class RequestEvent : std::uint8_t { Served, Slow, Refused, Failed, Gone };
RequestEvent eventOf(const RequestRecord &record, const RequestEnd &end,
                     Instant now);

/// Writes the lines. Lines for requests that were served in time are bounded to
/// a number a second; what is left out is counted.
class RequestLog {
public:
  void write(const RequestRecord &record, const RequestEnd &end, Instant now);

  /// Tells of the lines that were left out, once a second.
  void tellLeftOut(Instant now);

private:
  Instant SecondBegan{};
  unsigned Listed = 0;  ///< In this second.
  unsigned LeftOut = 0; ///< And not yet told of.
};

} // namespace zinniarail::proxy
