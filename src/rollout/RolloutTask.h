/// \file
/// Carries out the orders for roll-outs: a timer around rollout::Tracker, which
/// decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <ev.h>

#include "zinniarail/rollout/Tracker.h"

namespace zinniarail::rollout {

/// Callbacks into the process, called on the loop's thread.
struct RolloutHandlers {
  std::function<bool()> IsReader; ///< Whether this instance reads the store.
  /// The number of this instance's attempts that can't be repeated, at the
  /// selected upstreams of a service.
  std::function<std::size_t(const std::string &service,
                            const std::function<bool(const std::string &)> &)>
      CountOpen;
  std::function<void(const Report &)> Send;
  /// Writes a status; the second argument is called when the call has ended.
  std::function<void(const StatusWrite &, std::function<void()> done)> Write;
  std::function<void()> DivisionsChanged;
};

/// Used only on the thread of its loop. The timer runs only while there are
/// orders that can change something.
class RolloutTask {
public:
  RolloutTask(struct ev_loop *loop, TrackerContext context,
              RolloutHandlers handlers);
  ~RolloutTask();
  RolloutTask(const RolloutTask &) = delete;
  RolloutTask &operator=(const RolloutTask &) = delete;

  /// Applies the orders as this instance knows them now.
  void applyOrders(const Orders &orders);

  void setUpstreams(const std::vector<Upstream> &upstreams,
                    const std::set<std::string> &evacuatedDomains);

  void recordSent(const std::string &service, const std::string &upstream,
                  const std::string &route) {
    rollout::recordSent(State, service, upstream, route);
  }
  void recordAnswer(const AnswerSeen &answer) {
    rollout::recordAnswer(State, answer);
  }

  /// Applies a report of another instance.
  void receive(const Report &report);

  Divisions divisions() const { return divisionsOf(State, readClock()); }

  std::size_t activeCount() const;

  /// The orders as JSON with stable keys, for a dump.
  boost::json::array describe(Instant now) const;

private:
  struct PendingWrite {
    bool InFlight = false;
    Instant NextAt{};
  };

  void tick();
  void suspendFaulty();
  void writeDueSteps(Instant now);
  void notifyIfDivisionsChanged(Instant now);

  struct ev_loop *Loop;
  RolloutHandlers Handlers;
  Tracker State;
  ev_timer Timer{};
  Divisions LastDivisions;
  std::map<std::string, PendingWrite> Writes; ///< By the object's name.
};

} // namespace zinniarail::rollout
