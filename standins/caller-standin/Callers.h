/// \file
/// Callers of one service: ask the instances which addresses to use, send an
/// open-loop stream of requests, and come back as the answers tell them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "caller-standin/Tally.h"
#include "common/HttpClient.h"
#include "common/Timer.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

struct CallerSettings {
  std::vector<std::string> Instances;        ///< Caller addresses to ask.
  std::vector<std::string> Direct;           ///< Send here and ask nobody.
  std::vector<std::string> UpstreamControls; ///< For the check of orders.
  std::string Service;
  bool SpreadAll = false; ///< Over all instances, whatever the answer says.
  double Rate = 100;      ///< Arrivals a second.
  double OrdersShare = 0.2;
  double ShiftShare = 0; ///< The rate swings by this share up and down...
  Duration ShiftPeriod = std::chrono::seconds{1}; ///< ... each such period.
  Duration Length = std::chrono::seconds{10};
  Duration WarmUp{0}; ///< Latencies of requests born in it don't count.
  /// Requests are counted by window too, by when they arrived: from each of
  /// these times to the next. Empty: no windows.
  std::vector<Duration> WindowEdges;
  Duration Timeout = std::chrono::seconds{5}; ///< Of one send.
  Duration Deadline{0};        ///< Sent as X-Deadline-Ms; 0: not sent.
  unsigned RefusalRetries = 3; ///< After "did not run".
  unsigned LossRetries = 3;    ///< After a lost connection or "unknown".
  unsigned Marked = 0;         ///< Requests that crash whoever runs them.
  std::size_t BodyBytes = 64;  ///< Of an order.
  std::size_t MaxOpen = 20'000;
  std::string KeyPrefix = "k";
  std::uint64_t Seed = 1;
};

class Callers {
public:
  Callers(struct ev_loop *loop, CallerSettings settings);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// Starts; breaks the loop once every request has ended and been checked.
  void start();
  Tally &tally() { return Counts; }
  /// False when no instance ever named addresses.
  bool hadAddresses() const { return !Addresses.empty(); }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void resolve();
  void resolved(const Reply &reply);
  void beginArrivals();
  void arriveAll();
  void armArrivals();
  Duration drawGap(Instant at);
  void arrive(Instant at, bool marked);
  void send(const RequestPtr &request);
  void answered(const RequestPtr &request, const Reply &reply);
  void served(const RequestPtr &request, const Reply &reply);
  void notServed(const RequestPtr &request, const Reply &reply);
  bool sendAgain(const RequestPtr &request, unsigned &used, unsigned limit,
                 Duration after);
  Window *windowOf(const Request &request);
  void end(const RequestPtr &request, const std::string &how, OrderEnd order);
  void finishIfDone();
  void fetchKeys(std::size_t index);
  const std::string &pickAddress(const std::string &besides);

  struct ev_loop *Loop;
  CallerSettings Settings;
  HttpClient Client;
  Random Draws;
  Tally Counts;
  std::vector<std::string> Addresses;
  /// Of these, those that gave no answer since the last resolve are left out,
  /// unless none is left.
  std::vector<std::string> Sound;
  std::size_t NextInstance = 0;
  Timer ResolveTimer;
  int ArrivalClock; ///< A timerfd: libev's own timers round to milliseconds.
  ev_io ArrivalWatch{};
  Instant Begin{};
  Instant NextArrival{};
  bool Arriving = false;
  bool Begun = false;
  std::size_t Open = 0;
  std::uint64_t NextId = 0;
  unsigned MarkedSent = 0;
  std::unordered_map<std::string, unsigned> Runs;
};

} // namespace zinniarail::standins
