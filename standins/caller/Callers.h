/// \file
/// Callers as the platform's page describes them: they ask a directory which
/// addresses to use, keep the answer, connect there, and check every answer.
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

/// Requests of one kind.
struct RequestKind {
  std::string Host;
  std::string Path; ///< A request's number follows it.
  std::string Method = "GET";
  bool Idempotent = true;
  double PerSecond = 20;
  Duration Deadline = std::chrono::milliseconds{1000};
  std::string Body;
};

/// What became of the requests, each counted once.
struct CallerTally {
  std::uint64_t Asked = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;   ///< Also after coming back.
  std::uint64_t Failed = 0;    ///< 502, 504 or an upstream's error.
  std::uint64_t Lost = 0;      ///< The connection ended without an answer.
  std::uint64_t Unreached = 0; ///< No connection at all.
  std::uint64_t Late = 0;      ///< No answer at the deadline.
  std::uint64_t Wrong = 0;     ///< Answers that are not the request's own.
  std::vector<Duration> Times; ///< Of those served.
};

/// One request as it is to be judged afterwards.
struct CallerRecord {
  bool Idempotent = true;
  unsigned Status = 0; ///< 0: no answer.
  bool SaidNotRun = false;
  bool LostAnswer = false; ///< The connection ended after it was read.
  Instant SentAt{};
  Instant EndedAt{};
  std::string Instance;     ///< The address that it was sent to, as resolved.
  std::string Path;         ///< Its kind's.
  bool WrongAnswer = false; ///< A success that is not the request's own.
};

/// Used on one thread, that of its loop.
class Callers {
public:
  /// \param directories addresses to resolve at, nearest first.
  /// \param domain the failure domain that they say they are in.
  Callers(struct ev_loop *loop, std::vector<std::string> directories,
          std::string domain, std::uint64_t seed);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// Asks for requests of a kind, at random moments, from now on.
  void begin(const RequestKind &kind);

  /// Asks for no more; those under way are waited for.
  void end();

  /// Requests under way.
  std::size_t open() const { return Requests.size(); }

  /// Where to connect for an address of a resolution, when not there.
  std::function<std::string(const std::string &)> ConnectTo;
  /// How many times as long as told they keep a resolution.
  unsigned KeepTimes = 1;

  CallerTally Tally;
  std::map<std::string, CallerRecord> Records; ///< By the request's id.

private:
  std::string connectAddress(const std::string &resolved) const;
  struct Stream {
    RequestKind Kind;
    Instant Next{};
  };
  struct Request {
    std::string Id;
    RequestKind Kind;
    std::string Address;
    Instant AskedAt{};
    Instant Deadline{};
    bool CameBack = false;
    Instant SendAt{};
    http::CallId Call = 0;
  };

  void tick();
  void resolve();
  void takeResolved(const http::CallResult &result);
  void ask(const Stream &stream);
  void send(Request &request);
  void take(http::CallId id, const http::CallResult &result);
  void finish(const std::string &key, const http::CallResult &result);
  bool comeBack(Request &request, const http::CallResult &result);
  std::string pickAddress();

  struct ev_loop *Loop;
  std::vector<std::string> Directories;
  std::string Domain;
  Random Draws;
  ev_timer Timer{};
  http::ClientPool Pool;
  std::vector<Stream> Streams;
  std::vector<std::string> Addresses;
  std::set<std::string> Failed; ///< Since the last resolution.
  Instant KeepUntil{};
  http::CallId Resolving = 0;
  std::size_t Directory = 0; ///< Asked next.
  http::CallId LastCall = 0;
  std::uint64_t LastRequest = 0;
  std::unordered_map<std::string, Request> Requests;
  std::unordered_map<http::CallId, std::string> ByCall;
};

/// What the callers' records and the upstreams' ledger show together.
struct Verdict {
  unsigned RanTwice = 0;      ///< Not idempotent, and begun more than once.
  unsigned RefusedButRan = 0; ///< Said not to have run, though it had.
  unsigned ServedNotRun = 0;  ///< Answered as if run, though no upstream did.
  std::vector<std::string> Examples;
};
Verdict judge(const std::vector<const Callers *> &callers,
              const Ledger &ledger);

} // namespace zinniarail::standins
