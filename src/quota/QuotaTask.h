/// \file
/// Runs the credit engine of an instance on the event loop: its timer, and the
/// way of its messages and decisions.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "zinniarail/fleet/Instance.h"
#include "zinniarail/intent/Configuration.h"
#include "zinniarail/quota/Quota.h"

namespace zinniarail::quota {

/// Callbacks into the process, called on the loop's thread.
struct QuotaHandlers {
  std::function<void(const std::string &instance, const Message &)> Send;
  /// A request that was held is admitted or refused. Not called in take.
  std::function<void(std::uint64_t request, const Decision &)> Decided;
};

/// Used only on the thread of its loop.
class QuotaTask {
public:
  /// \param loop event loop; must outlive the task.
  QuotaTask(struct ev_loop *loop, Identity self, QuotaSettings settings,
            std::uint64_t seed, QuotaHandlers handlers);
  ~QuotaTask();
  QuotaTask(const QuotaTask &) = delete;
  QuotaTask &operator=(const QuotaTask &) = delete;

  /// Sets the limits of a configuration's customers.
  void setLimits(const Configuration &config);
  /// As quota::setFleet.
  void setFleet(const std::vector<Instance> &recorded, std::size_t size);
  /// As quota::setLender.
  void setLender(const std::string &lender);

  /// As takeCredit.
  Decision take(const std::string &customer, std::uint64_t request);
  /// As returnCredit.
  void giveBack(const std::string &customer, Instant endsAt);
  /// As forgetRequest.
  void forget(std::uint64_t request);
  /// Handles a message of another instance.
  void receive(const std::string &from, const Message &message);

  std::map<std::string, CustomerStatus> status() const {
    return statusOf(*State);
  }
  boost::json::object describe() const;

private:
  void onTimer();
  /// Sends the messages, and keeps the decisions for the next timer.
  void perform(Actions &&actions);
  void tellDecisions();
  void setTimer();
  /// Whether any customer has a limit.
  bool isActive() const;
  void logLender() const;

  struct ev_loop *Loop;
  QuotaHandlers Handlers;
  EnginePtr State;
  std::string Lender;
  std::vector<std::pair<std::uint64_t, Decision>> Decisions;
  ev_timer Timer{};
  Instant TimerAt = Instant::max();
};

} // namespace zinniarail::quota
