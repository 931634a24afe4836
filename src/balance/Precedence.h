/// \file
/// Order among the requests that wait for an upstream while there is too little
/// room, and which of them are refused at once. Pure functions over plain
/// structs.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::balance {

/// A queued request, as far as its precedence depends on it.
struct QueuedRequest {
  std::uint64_t Number = 0; ///< Grows with the time of arrival.
  Instant Arrived{};
  Duration Target{}; ///< Its latency target.
  /// End of its target, counted from when its caller first sent it.
  Instant Goal{};
  Instant LatestAnswer{};  ///< When an answer still reaches its caller.
  unsigned Priority = 1;   ///< 0 is the most urgent.
  std::string Customer;    ///< Empty: one common customer.
  double Weight = 1;       ///< As RoutePolicy::CustomerWeight.
  Duration Work{};         ///< Its usual service time.
  Duration CautiousWork{}; ///< A service time that few requests exceed.
  /// An earlier attempt may have run it: a refusal would leave its caller
  /// uncertain, so it makes room for nobody.
  bool MayHaveRun = false;
};

/// The time that callers allow for requests of a route, if most allow the same.
struct AllowedTime {
  Duration Usual{};
  double Support = 0; ///< EWMA of the share of requests that allow it.
};

/// Records one request.
void recordAllowedTime(AllowedTime &estimate, Duration allowed);

/// For how long a caller has already waited when its request arrives, as it
/// has if an instance refused it before: it then allows less than the usual
/// time. Zero unless most callers of the route allow the same time.
Duration waitedBefore(const AllowedTime &estimate, Duration allowed);

/// The rate at which queued requests were started lately, while any waited.
/// What is older than a second hardly counts.
struct RoomEstimate {
  double Starts = 0; ///< Attempts started, decayed.
  /// Starts by priority, decayed.
  std::map<unsigned, double> StartsByPriority;
  double Arrivals = 0;     ///< Of requests that can be in time, decayed.
  double WaitedMicros = 0; ///< Time during which any request waited, decayed.
  Instant UpdatedAt{};
  bool AnyWaiting = false; ///< Since UpdatedAt.
  Instant CrowdedSince{};  ///< With short breaks, until CrowdedUntil.
  Instant CrowdedUntil{};  ///< When the queue was crowded last.
};

/// Accounts for the time since the last update.
/// \param now not before the last update.
void advance(RoomEstimate &room, Instant now);

/// Records that a request was sent to an upstream, at the last update.
void recordStart(RoomEstimate &room, unsigned priority);

/// Records that a request arrived that can still meet its target, at the last
/// update.
void recordArrival(RoomEstimate &room);

/// How long a late request is expected to wait: others that arrive go first.
/// Duration::max() while as many arrive as are started.
Duration expectedLateWait(const RoomEstimate &room, std::size_t before);

/// How long a request is expected to wait if \p before others go first. A lone
/// one that has seen no start is expected to wait as long again as it has.
Duration expectedWait(const RoomEstimate &room, std::size_t before);

/// Whether a queue would take more than an eighth of a latency target to drain.
/// Callers don't notice a shorter wait, so that nothing is done about it.
/// \param shortestTarget of the requests in the queue.
bool isCrowded(const RoomEstimate &room, std::size_t queued,
               Duration shortestTarget);

/// Records that the queue is crowded, at the last update.
void recordCrowd(RoomEstimate &room);

/// The service that each customer has had, as virtual time (start-time fair
/// queueing): it has only customers that are ahead of the others.
struct FairShares {
  double VirtualTime = 0;
  std::map<std::string, double> ServedUntil; ///< By customer.
};

/// Records that a request was sent to an upstream.
/// \param weight of the customer; a larger one is served more.
void recordService(FairShares &shares, const std::string &customer,
                   double weight, Duration work);

/// How queued requests are compared.
struct OrderRules {
  bool LateLast = true; ///< Those that miss their targets go last.
  bool Crowded = false; ///< Customers share, and cheap work goes first.
};

/// Sorts queued requests, first those that cost callers most if they wait:
/// those that can still meet their target; by priority; in a crowd, by the
/// share that their customer has had; by the end of the target; and by the
/// work needed. The order doesn't depend on that of the input.
void sortByPrecedence(std::vector<QueuedRequest> &queue,
                      const FairShares &shares, OrderRules rules, Instant now);

/// Whether a request that found no room now should be refused: it is expected
/// to miss its deadline; or, in a crowd that is expected to outlast it, to miss
/// its target (before its caller notices the wait), or to be late while others
/// go first. One that
/// misses its target on an idle upstream too is refused only for its deadline,
/// and so is one that is more urgent than others that were sent lately.
/// \param before the number of queued requests that go first.
bool isHopeless(const RoomEstimate &room, const QueuedRequest &request,
                std::size_t before, Instant now);

/// Until when a request can wait for a decision: a refusal after an eighth of
/// its latency target costs its caller little.
Instant endOfUnnoticedWait(const QueuedRequest &request);

/// Retry-After of a request that found no room: about when the queue has
/// drained, spread so that callers don't return together, and at most the part
/// of the remaining time that callers honour.
/// \param wait the expected wait behind the queue.
/// \param fraction a random number in [0, 1).
/// \returns more than zero.
Duration crowdedRetryAfter(Duration wait, const QueuedRequest &request,
                           Instant now, double fraction);

} // namespace zinniarail::balance
