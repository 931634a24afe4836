/// \file
/// Turns requests and upstream calls into the engines' events, and the
/// engines' actions into upstream calls and answers. Hands requests of
/// services that are at home elsewhere to one of their homes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

#include "gateway/Http.h"
#include "gateway/Metrics.h"
#include "gateway/Services.h"
#include "gateway/UpstreamClient.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::gateway {

/// Where the dispatcher's doings go.
struct DispatcherOutlets {
  std::function<void(std::uint64_t request, Answer)> Answer;
  std::function<void(UpstreamCall, Instant)> Start;
  std::function<void(std::uint64_t call)> Cancel;
  /// Ask for a claim; onClaim is to follow.
  std::function<void(const std::string &service, RequestId,
                     const std::string &key, Instant deadline)>
      SeekClaim;
  std::function<void(const std::string &service, RequestId)> ReleaseClaim;
  std::function<void(const std::string &service, const PeerWord &)> TellHomes;
};

/// Owns the requests between their arrival and their answer. Every function
/// reads the clock anew for each event: after a pause a kept time would let
/// work pass that the view no longer covers.
class Dispatcher {
public:
  Dispatcher(ServiceContext context, GatewayMetrics &metrics,
             DispatcherOutlets outlets);

  void onView(std::shared_ptr<const View> view);
  void onRequest(std::uint64_t id, std::shared_ptr<Request> content);
  void onCallerGone(std::uint64_t id);
  void onCallSent(std::uint64_t id);
  void onCallEnded(std::uint64_t id, CallEnd end);
  void onClaim(const std::string &service, const ClaimDecided &decision);
  void onWord(const std::string &service, const PeerWord &word);
  void onWake();

  /// When to call onWake next; Instant::max() when there is nothing to do.
  Instant nextWake() const;

  /// Requests without their answer.
  std::size_t openRequests() const { return Open.size(); }

  /// Whether a view has come and is still valid.
  bool isReady(Instant now) const;

  /// The view in force; null until the first.
  const View *view() const { return Table.Current.get(); }

  /// The state for a dump.
  boost::json::object describe(Instant now) const;

  /// The trace of a service; none when it isn't recorded.
  std::optional<std::string> traceOf(const std::string &service) const;

  /// Brings the gauges up to date.
  void measure(Instant now);

private:
  struct OpenRequest {
    std::shared_ptr<const Request> Content;
    ServiceEntry *Entry = nullptr;
    Instant Arrived{};
    Instant Deadline{};
    bool Idempotent = true;
    unsigned Attempts = 0;
    bool MayHaveRun = false;     ///< A forward left and came to no answer.
    std::string CallerId;        ///< X-Request-Id
    std::string ForwardEcho;     ///< The id that a forwarding instance expects.
    std::vector<Instance> Homes; ///< Left to try, where it is forwarded.
    std::vector<std::uint64_t> Calls;
  };
  enum class CallKind : std::uint8_t { Attempt, Forward, Probe, Warm };
  struct Call {
    CallKind Kind = CallKind::Attempt;
    ServiceEntry *Entry = nullptr;
    std::uint64_t Request = 0; ///< 0 where it has none.
    std::string Target;        ///< Upstream or instance.
    bool Sent = false;
    bool Done = false;
    Answer Content;
  };

  // Requests.
  bool understand(std::uint64_t id, Request &content, OpenRequest &request,
                  Instant now);
  void admit(std::uint64_t id, OpenRequest request, std::string className,
             bool forwarded, Instant now);
  void finish(std::uint64_t id, Answer answer);
  void refuse(std::uint64_t id, RefusalReason reason, Truth truth,
              Duration retryAfter);
  void countRefusal(const std::string &service, RefusalReason reason);
  void closeCalls(const std::vector<std::uint64_t> &calls);

  // Engines.
  void post(ServiceEntry &entry, Event event);
  void drain();
  void note(ServiceEntry &entry);
  void perform(ServiceEntry &entry, Action &action);
  void startAttempt(ServiceEntry &entry, const StartAttempt &wanted);
  void deliver(const Deliver &wanted);
  void startProbe(ServiceEntry &entry, const std::string &upstream);
  void openConnections(ServiceEntry &entry, const OpenConnections &wanted);
  void endAttempt(std::uint64_t id, Call &call, CallEnd end);

  // Forwards.
  void forward(std::uint64_t id);
  bool passOn(ServiceEntry &entry, const Refuse &refusal);
  void endForward(std::uint64_t id, const Call &call, CallEnd end);
  void noteUnreachable(const std::string &instance, const std::string &error,
                       Instant now);

  ServiceTable Table;
  GatewayMetrics &Metrics;
  DispatcherOutlets Outlets;
  std::string AttemptPrefix;
  std::uint64_t LastCall = 0;
  std::size_t NextHome = 0;
  Instant Confirmed{};
  std::unordered_map<std::uint64_t, OpenRequest> Open;
  std::unordered_map<std::uint64_t, Call> Calls;
  std::deque<std::pair<ServiceEntry *, Event>> Events;
  bool Draining = false;
  std::set<std::pair<Instant, ServiceEntry *>> Wakes;
  std::unordered_map<std::string, Instant> Unreachable; ///< Instances, until.
  std::shared_ptr<const Request> ProbeRequest;
  std::shared_ptr<const Request> WarmRequest;
};

} // namespace zinniarail::gateway
