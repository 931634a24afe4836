/// \file
/// The platform's calls over HTTP: objects, watches, the instance list, and
/// the fault switches and counters of the stand-in.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include <boost/json/array.hpp>

#include "common/HttpServer.h"
#include "common/Timer.h"
#include "platform-standin/Store.h"

namespace zinniarail::standins {

/// What a kind of call suffers.
struct CallFaults {
  enum class Outages : std::uint8_t { None, Unavailable, Close, Hang };
  Duration Delay{0}; ///< Of the answer; the effect takes place at once.
  Outages Outage = Outages::None;
  /// Answers still to be dropped after the effect; -1: all.
  int DropAnswers = 0;
};

/// Counts of a kind of call.
struct CallCounts {
  std::uint64_t Calls = 0; ///< A waiting watch counts once.
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t Faulted = 0; ///< Calls that outage or drop took.
};

/// A call that waits for a change.
struct Watch {
  ExchangePtr Caller;
  std::string Key; ///< Empty: the instance list.
  std::uint64_t After = 0;
  std::unique_ptr<Timer> Wait;
};

/// The whole stand-in but its socket.
class Platform {
public:
  /// \param instanceLag how long the instance list lags behind.
  Platform(struct ev_loop *loop, boost::json::array instances,
           Duration instanceLag);

  /// Serves one call.
  void handle(const ExchangePtr &caller);

private:
  void control(const ExchangePtr &caller);
  void setFaults(const ExchangePtr &caller);
  void setInstances(const ExchangePtr &caller);
  void publishInstances();
  void endWatches(const std::string &kind, CallFaults::Outages outage);
  Answer counters() const;

  void objects(const ExchangePtr &caller, const std::string &key);
  void list(const ExchangePtr &caller);
  void update(const ExchangePtr &caller, const std::string &key);
  void watch(const ExchangePtr &caller, std::string key);
  void notify(const std::string &key);
  std::optional<Answer> changed(const std::string &key,
                                std::uint64_t after) const;
  Answer instances() const;

  bool begin(const ExchangePtr &caller, const std::string &kind);
  void finish(const ExchangePtr &caller, const std::string &kind,
              Answer answer);

  struct ev_loop *Loop;
  Store Objects;
  boost::json::array Truth;     ///< Instances as they are.
  boost::json::array Published; ///< Instances as the list says.
  std::uint64_t ListVersion = 1;
  Duration InstanceLag;
  std::list<Watch> Watches;
  std::map<std::string, CallFaults> Faults;
  std::map<std::string, CallCounts> Counts;
};

} // namespace zinniarail::standins
