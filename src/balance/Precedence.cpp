#include "balance/Precedence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zinniarail::balance {

namespace {

// Time constant of a RoomEstimate: many starts at the rate of a service that
// callers wait for, and short against a burst.
constexpr double RoomTimeConstantMicros = 1e6;

// A refusal within this part of its latency target costs a caller little.
constexpr int NoticedPart = 8;

// Callers honour a Retry-After of up to a third of the time that they have
// left.
constexpr int HonouredPart = 3;

// Upstreams need about this long to report that they have room again.
constexpr Duration MinRetryAfter = std::chrono::milliseconds{20};

// Retry-After is drawn between the expected wait over and times this factor.
constexpr double RetryAfterSpread = 1.7;

// Weight of one request in AllowedTime, the support that makes it usual, and
// that below which another time takes its place.
constexpr double AllowedSmoothing = 1.0 / 16;
constexpr double UsualSupport = 0.4;
constexpr double LostSupport = 0.1;

// Times that callers allow differ by less than this if they mean the same.
constexpr Duration AllowedTolerance = std::chrono::milliseconds{10};

// Factor on the expected wait in the decision to let a request wait. A wait of
// exponential distribution exceeds this multiple once in fifty times, and a
// late refusal costs a caller more than an early one after which it returns.
constexpr double WaitMargin = 4;

// Starts of less urgent requests, decayed, that show that they find room.
constexpr double MinLessUrgentStarts = 0.5;

// A queue that was not crowded for so long has drained.
constexpr Duration CrowdBreak = std::chrono::milliseconds{500};

// A crowd is expected to last for this multiple of the time that it has lasted:
// it is as likely seen before as after its middle.
constexpr int CrowdOutlook = 2;

constexpr double MaxWaitMicros = 3600e6;

constexpr double MinWeight = 1e-3;

double microsOf(Duration it) { return static_cast<double>(it.count()); }

Duration scaled(Duration it, double factor) {
  return Duration(static_cast<Duration::rep>(microsOf(it) * factor));
}

double virtualTimeOf(Duration work, double weight) {
  return std::max(microsOf(work), 1.0) / std::max(weight, MinWeight);
}

/// A queued request with what it is sorted by.
struct Entry {
  bool Late = false;
  double Turn = 0; ///< Virtual time at which its customer's share allows it.
  Instant Goal{};
  QueuedRequest *Request = nullptr;

  auto rank() const { return std::make_tuple(Late, Request->Priority); }
  auto urgency() const {
    return std::make_tuple(Goal, Request->Work, Request->Number);
  }
};

// Targets that end at about the same time count as equal, so that the work
// decides.
Instant roundedGoal(const QueuedRequest &it) {
  const Duration step = std::max(it.Target / NoticedPart, Duration{1});
  const Duration since = it.Goal.time_since_epoch();
  return Instant{since - since % step};
}

// Gives the requests of each customer their turns, one after the other.
// \param entries sorted by rank and urgency.
void assignTurns(std::vector<Entry> &entries, const FairShares &shares) {
  std::map<std::string, double> next;
  for (Entry &it : entries) {
    const std::string &customer = it.Request->Customer;
    const auto served = shares.ServedUntil.find(customer);
    const double first = served == shares.ServedUntil.end()
                             ? shares.VirtualTime
                             : std::max(shares.VirtualTime, served->second);
    const auto at = next.try_emplace(customer, first).first;
    it.Turn = at->second;
    at->second += virtualTimeOf(it.Request->Work, it.Request->Weight);
  }
}

// Whether less urgent requests find room: those have to yield first.
bool isLessUrgentServed(const RoomEstimate &room, unsigned priority) {
  return std::any_of(
      room.StartsByPriority.upper_bound(priority), room.StartsByPriority.end(),
      [](const auto &it) { return it.second >= MinLessUrgentStarts; });
}

// Whether the crowd is expected to last until a late answer is of no use. If
// not, those that miss their targets are served when it ends.
bool outlasts(const RoomEstimate &room, const QueuedRequest &request,
              Instant now) {
  if (now - room.CrowdedUntil > CrowdBreak) {
    return false;
  }
  return now + (now - room.CrowdedSince) * CrowdOutlook + request.Work >
         request.LatestAnswer;
}

} // namespace

void recordAllowedTime(AllowedTime &estimate, Duration allowed) {
  const bool same =
      std::abs((allowed - estimate.Usual).count()) <= AllowedTolerance.count();
  estimate.Support += ((same ? 1 : 0) - estimate.Support) * AllowedSmoothing;
  if (!same && estimate.Support < LostSupport) {
    estimate = {allowed, LostSupport};
  }
}

Duration waitedBefore(const AllowedTime &estimate, Duration allowed) {
  const Duration missing = estimate.Usual - allowed;
  return estimate.Support >= UsualSupport && missing > AllowedTolerance
             ? missing
             : Duration{0};
}

void advance(RoomEstimate &room, Instant now) {
  const double micros = microsOf(now - room.UpdatedAt);
  const double kept = std::exp(-micros / RoomTimeConstantMicros);
  room.Starts *= kept;
  for (auto &[priority, starts] : room.StartsByPriority) {
    starts *= kept;
  }
  room.Arrivals *= kept;
  room.WaitedMicros *= kept;
  if (room.AnyWaiting) {
    room.WaitedMicros += (1 - kept) * RoomTimeConstantMicros;
  }
  room.UpdatedAt = now;
}

void recordStart(RoomEstimate &room, unsigned priority) {
  ++room.Starts;
  ++room.StartsByPriority[priority];
}

Duration expectedWait(const RoomEstimate &room, std::size_t before) {
  return scaled(Duration{1}, room.WaitedMicros / (room.Starts + 1) *
                                 static_cast<double>(before + 1));
}

void recordArrival(RoomEstimate &room) { ++room.Arrivals; }

Duration expectedLateWait(const RoomEstimate &room, std::size_t before) {
  const double perMicro = (room.Starts + 1) / std::max(room.WaitedMicros, 1.0) -
                          room.Arrivals / RoomTimeConstantMicros;
  if (perMicro <= 0) {
    return Duration::max();
  }
  return scaled(
      Duration{1},
      std::min(static_cast<double>(before + 1) / perMicro, MaxWaitMicros));
}

bool isCrowded(const RoomEstimate &room, std::size_t queued,
               Duration shortestTarget) {
  return queued > 0 &&
         room.WaitedMicros * NoticedPart >= microsOf(shortestTarget) &&
         expectedWait(room, queued - 1) * NoticedPart >= shortestTarget;
}

void recordCrowd(RoomEstimate &room) {
  if (room.UpdatedAt - room.CrowdedUntil > CrowdBreak) {
    room.CrowdedSince = room.UpdatedAt;
  }
  room.CrowdedUntil = room.UpdatedAt;
}

void recordService(FairShares &shares, const std::string &customer,
                   double weight, Duration work) {
  const auto served = shares.ServedUntil.find(customer);
  const double start = served == shares.ServedUntil.end()
                           ? shares.VirtualTime
                           : std::max(shares.VirtualTime, served->second);
  shares.VirtualTime = start;
  shares.ServedUntil[customer] = start + virtualTimeOf(work, weight);
  std::erase_if(shares.ServedUntil, [&](const auto &it) {
    return it.second <= shares.VirtualTime;
  });
}

void sortByPrecedence(std::vector<QueuedRequest> &queue,
                      const FairShares &shares, OrderRules rules, Instant now) {
  std::vector<Entry> entries;
  entries.reserve(queue.size());
  for (QueuedRequest &it : queue) {
    const Instant goal = rules.Crowded ? it.Goal : it.Arrived + it.Target;
    const Duration work = rules.Crowded ? it.CautiousWork : it.Work;
    entries.push_back({rules.LateLast && now + work > goal, 0,
                       rules.Crowded ? roundedGoal(it) : goal, &it});
  }
  const auto sortBy = [&](auto key) {
    std::sort(entries.begin(), entries.end(),
              [&](const Entry &a, const Entry &b) { return key(a) < key(b); });
  };
  sortBy(
      [](const Entry &it) { return std::tuple_cat(it.rank(), it.urgency()); });
  if (rules.Crowded) {
    assignTurns(entries, shares);
    sortBy([](const Entry &it) {
      return std::tuple_cat(it.rank(), std::make_tuple(it.Turn), it.urgency());
    });
  }
  std::vector<QueuedRequest> sorted;
  sorted.reserve(queue.size());
  for (const Entry &it : entries) {
    sorted.push_back(std::move(*it.Request));
  }
  queue = std::move(sorted);
}

bool isHopeless(const RoomEstimate &room, const QueuedRequest &request,
                std::size_t before, Instant now) {
  const Duration unnoticed = request.Target / NoticedPart;
  const Duration held = now - request.Arrived;
  // The first in the queue finds out whether there is room again.
  const bool isFirstToTry = before == 0 && held < unnoticed;
  if (request.MayHaveRun || isFirstToTry ||
      room.WaitedMicros < microsOf(unnoticed)) {
    return false;
  }
  const Duration wait = expectedWait(room, before);
  if (now + wait + request.Work > request.LatestAnswer) {
    return true;
  }
  if (request.CautiousWork > request.Target ||
      isLessUrgentServed(room, request.Priority) ||
      !outlasts(room, request, now)) {
    return false;
  }
  const Instant answered = now + request.CautiousWork;
  if (answered > request.Goal) {
    const Duration late = expectedLateWait(room, before);
    const Duration left = request.LatestAnswer - now - request.Work;
    return late > left / static_cast<int>(WaitMargin);
  }
  return held <= unnoticed &&
         answered + scaled(wait, WaitMargin) > request.Goal;
}

Instant endOfUnnoticedWait(const QueuedRequest &request) {
  return request.Arrived + request.Target / NoticedPart;
}

Duration crowdedRetryAfter(Duration wait, const QueuedRequest &request,
                           Instant now, double fraction) {
  const Duration left = std::max(request.LatestAnswer - now, Duration{0});
  const Duration honoured = std::max(
      std::min(left / HonouredPart, left - request.Work), MinRetryAfter);
  const Duration inTime = request.Goal - request.CautiousWork - now;
  // Too late for the target: it leaves the room to those that can meet theirs
  // for as long as it can.
  Duration most = honoured;
  if (inTime >= MinRetryAfter) {
    most = std::clamp(scaled(wait, RetryAfterSpread), MinRetryAfter,
                      std::min(inTime, honoured));
  }
  const Duration least = scaled(most, 1 / RetryAfterSpread / RetryAfterSpread);
  return least + scaled(most - least, fraction);
}

} // namespace zinniarail::balance
