/// \file
/// Stand-in for callers: they resolve instance addresses at a directory, cache
/// the resolution for its TTL, send requests there and check every response.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <ev.h>

#include "http/ClientPool.h"
#include "upstream/Upstream.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// Properties of one kind of requests.
struct RequestKind {
  std::string Host;
  std::string Path; ///< The request's ID is appended.
  std::string Method = "GET";
  bool Idempotent = true;
  double PerSecond = 20; ///< Mean rate, with Poisson arrivals.
  /// Time allowed for a request, including its retry.
  Duration Deadline = std::chrono::milliseconds{1000};
  std::string Body;
  std::string ApiKey;          ///< Empty: the requests carry none.
  std::string Customer;        ///< That holds ApiKey.
  std::string ClaimedCustomer; ///< That the requests name; empty: none.
};

/// Outcomes of the requests. A request and its retry are counted as one.
struct CallerTally {
  std::uint64_t Issued = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0; ///< The last response was 429 or 503.
  /// The last response was 502, 504 or an upstream's error.
  std::uint64_t Failed = 0;
  std::uint64_t ConnectionLost = 0; ///< Closed without a whole response.
  std::uint64_t NotSent = 0;        ///< No address, no connection or too late.
  std::uint64_t TimedOut = 0;       ///< No response by the deadline.
  std::uint64_t Mismatched = 0;     ///< 200, but not the whole response to it.
  std::vector<Duration> Latencies;  ///< Of all responses with status 200.
};

/// Record of one request, or of its retry, for the checks after a run.
struct CallerRecord {
  bool Idempotent = true;
  unsigned Status = 0; ///< 0: no response.
  /// Status 429 or 503. If the request is not idempotent, this promises that it
  /// did not run.
  bool ReportedNotRun = false;
  /// The connection closed without a whole response, after the request may have
  /// been sent.
  bool ResponseLost = false;
  Instant SentAt{};
  Instant EndedAt{};
  std::string InstanceAddress; ///< Resolved address it was sent to.
  std::string Path;            ///< RequestKind::Path, without the request ID.
  /// Status 200, but the response belongs to another request or is a part.
  bool MismatchedResponse = false;
  std::string Customer; ///< As in RequestKind.
};

/// The callers of one failure domain. Used only on the thread of its loop.
class Callers {
public:
  /// \param directories addresses of the directories, nearest first.
  /// \param domain the callers' failure domain, given in each resolution
  ///   request.
  Callers(struct ev_loop *loop, std::vector<std::string> directories,
          std::string domain, std::uint64_t seed);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// Starts to send requests of a kind, at random intervals with the mean rate
  /// of the kind.
  void startSending(const RequestKind &kind);

  /// Stops issuing requests; pending ones still complete.
  void stopSending();

  /// Number of requests in flight or waiting for their retry.
  std::size_t pendingRequests() const { return Requests.size(); }

  /// Maps a resolved address to the one to connect to. Optional.
  std::function<std::string(const std::string &)> TranslateAddress;
  /// Factor on the TTL of a resolution; above 1, the callers keep its addresses
  /// past the TTL.
  unsigned TtlFactor = 1;

  CallerTally Tally;
  std::map<std::string, CallerRecord> Records; ///< By request ID.

private:
  std::string connectAddress(const std::string &resolved) const;
  /// Requests of one kind that are being issued.
  struct Stream {
    RequestKind Kind;
    Instant NextAt{};
  };
  struct Request {
    std::string Id;
    RequestKind Kind;
    std::string Address;
    Instant IssuedAt{};
    Instant Deadline{};
    bool IsRetry = false;
    Instant SendAt{};
    http::CallId ActiveCall = 0; ///< 0: not sent yet.
  };

  void tick();
  void resolve();
  void handleResolution(const http::CallResult &result);
  void issueRequest(const Stream &stream);
  void sendRequest(Request &request);
  void handleResult(http::CallId id, const http::CallResult &result);
  void finishRequest(const std::string &requestId,
                     const http::CallResult &result);
  bool scheduleRetry(Request &request, const http::CallResult &result);
  std::string pickAddress();

  struct ev_loop *Loop;
  std::vector<std::string> Directories;
  std::string Domain;
  Random Rng;
  ev_timer Timer{};
  http::ClientPool Pool;
  std::vector<Stream> Streams;
  std::vector<std::string> Addresses;
  std::set<std::string> FailedAddresses; ///< Since the last resolution.
  Instant NextResolutionAt{};      ///< The TTL's end; sooner after a failure.
  http::CallId ResolutionCall = 0; ///< 0: none in flight.
  /// Index of the directory to query next, modulo their number; 0 after a
  /// successful resolution.
  std::size_t DirectoryIndex = 0;
  http::CallId LastCallId = 0;
  std::uint64_t LastRequestNumber = 0;
  std::unordered_map<std::string, Request> Requests;
  std::unordered_map<http::CallId, std::string> RequestIdByCall;
};

/// Contradictions between the callers' records and the execution log of the
/// upstreams. The counts are numbers of requests.
struct ExecutionViolations {
  unsigned RanTwice = 0;      ///< Not idempotent, but started more than once.
  unsigned RefusedButRan = 0; ///< Not idempotent, refused, but started.
  unsigned ServedWithoutRun = 0;     ///< Status 200, but never started.
  std::vector<std::string> Examples; ///< At most five, as text.
};
ExecutionViolations checkExecutions(const std::vector<const Callers *> &callers,
                                    const ExecutionLog &executionLog);

} // namespace zinniarail::standins
