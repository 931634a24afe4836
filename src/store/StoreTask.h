/// \file
/// Keeps this instance's picture of the configuration, the upstreams, the
/// evacuations and the other instances current, from the platform's store, and
/// this instance's own record in it.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "platform/Platform.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/intent/Configuration.h"
#include "zinniarail/membership/Instance.h"
#include "zinniarail/registry/Registry.h"
#include "zinniarail/store/Feed.h"

namespace zinniarail::store {

/// What the store is known to hold.
struct Picture {
  std::shared_ptr<const Configuration> Config; ///< Null before the first.
  std::vector<Upstream> Upstreams;
  std::set<std::string> DomainsOut;
  std::vector<Instance> Instances; ///< Recorded ones, alive or not.
  bool Complete = false;           ///< Each kind was read once at least.
};

/// Used on one thread, that of its loop.
class StoreTask {
public:
  using Changed = std::function<void(const Picture &)>;

  /// \param loop outlives the task.
  /// \param changed called from the loop whenever the picture changed.
  StoreTask(struct ev_loop *loop, const std::string &address, Instance self,
            std::uint64_t seed, Changed changed);

  /// Uses no reads that may lag for a while: it is not known what the store has
  /// been through. Before start.
  void distrustCheapReads();
  ~StoreTask();
  StoreTask(const StoreTask &) = delete;
  StoreTask &operator=(const StoreTask &) = delete;

  void start();

  boost::json::object describe(Instant now) const;

private:
  static constexpr std::size_t Kinds = 4;

  void advance();
  void advanceFeeds(Instant now);
  void advancePing(Instant now);
  void advanceRecord(Instant now);
  Instant nextAt() const;
  void call(platform::Kind kind, FeedCall what);
  void takeListed(platform::Kind kind, const platform::Reply &reply);
  void takeWatched(platform::Kind kind, const platform::Reply &reply);
  bool failed(platform::Kind kind, const platform::Reply &reply);
  void noteLost(const std::string &what, const platform::Reply &reply);
  void noteBack();
  void apply(platform::Kind kind, const platform::Object &object);
  void applyConfiguration(const platform::Object &object);
  void finishList(platform::Kind kind, std::uint64_t asOf);
  void endRecord(const platform::Reply &reply);
  void report();

  struct ev_loop *Loop;
  Instance Self;
  Changed Tell;
  Random Draws;
  platform::StoreClient Client;
  ev_timer Timer{};
  std::array<Feed, Kinds> Feeds;
  std::map<platform::Kind, std::set<std::string>> Listed; ///< Of this list.
  Registry Upstreams;
  std::shared_ptr<const Configuration> Config;
  std::set<std::string> DomainsOut;
  std::map<std::string, Instance> Instances;
  bool Lost = false; ///< The store failed; it is asked whether it is back.
  Retry Ping;
  Retry Record; ///< Writing of this instance's own record.
  std::uint64_t RecordRevision = 0;
  bool Recorded = false;
  bool Dirty = false;
};

} // namespace zinniarail::store
