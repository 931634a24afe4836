/// \file
/// Reads the platform's store into the mirror while it is this instance's duty,
/// and records the instances there.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "platform/Platform.h"
#include "store/Mirror.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/fleet/Instance.h"
#include "zinniarail/store/Feed.h"

namespace zinniarail::store {

/// What the task tells its process. Called from the loop.
struct StoreHandlers {
  /// The mirror's part that comes from objects of this kind has changed.
  std::function<void(platform::Kind)> Changed;
  /// Whether all was read and the store answers.
  std::function<void(bool)> HealthChanged;
};

/// Used on one thread, that of its loop.
class StoreTask {
public:
  /// \param loop outlives the task, and so does \p mirror.
  /// \param address "ip:port" of the store.
  StoreTask(struct ev_loop *loop, const std::string &address, Mirror &mirror,
            std::uint64_t seed, StoreHandlers handlers);
  ~StoreTask();
  StoreTask(const StoreTask &) = delete;
  StoreTask &operator=(const StoreTask &) = delete;

  /// Uses no reads that may lag for a while: it is not known what the store has
  /// been through.
  void distrustCheapReads();

  /// Reads all anew and follows the changes from then on.
  void begin();

  /// Reads no more. Answers to calls that still run are passed over.
  void end();

  /// What the record of this failure domain is to say from now on.
  /// \param instances by id.
  void wantRecorded(const std::string &domain, std::vector<Instance> instances);

  /// How many others would read before this instance. While the store is out of
  /// reach it asks the less often the more there are.
  void setPosition(std::size_t position) { Position = position; }

  /// The instances of all failure domains that are recorded, alive or not.
  std::vector<Instance> recorded() const;

  const platform::CallCounts &calls() const { return Client.counts(); }

  boost::json::object describe(Instant now) const;

private:
  static constexpr std::size_t Kinds = 4;

  void advance();
  void advanceFeeds(Instant now);
  void advancePing(Instant now);
  void advanceRecords(Instant now);
  Instant nextAt() const;
  void call(platform::Kind kind, FeedCall what);
  void takeListed(platform::Kind kind, const platform::Reply &reply);
  void takeWatched(platform::Kind kind, const platform::Reply &reply);
  bool failed(platform::Kind kind, const platform::Reply &reply);
  void noteLost(const std::string &what, const platform::Reply &reply);
  void noteBack();
  void noteAsOf(platform::Kind kind, std::uint64_t asOf);
  void tellHealth();
  void apply(platform::Kind kind, const platform::Object &object);
  void applyConfiguration(const platform::Object &object);
  void finishList(platform::Kind kind, std::uint64_t asOf);
  void applyRecord(const platform::Object &object);
  bool recordIsDue() const;
  void endRecord(const platform::Reply &reply);

  struct ev_loop *Loop;
  Mirror &Known;
  StoreHandlers Handlers;
  Random Draws;
  platform::StoreClient Client;
  ev_timer Timer{};
  bool Reading = false;
  bool Healthy = false; ///< As last told.
  std::size_t Position = 0;
  std::array<Feed, Kinds> Feeds;
  std::map<platform::Kind, std::map<std::string, platform::Object>> Listed;
  struct DomainRecord {
    std::vector<Instance> Instances;
    std::uint64_t Revision = 0;
  };
  std::map<std::string, DomainRecord> Recorded; ///< By failure domain.
  std::string WantedDomain;
  std::vector<Instance> Wanted;
  bool Answers = false; ///< It answered a first question.
  bool Lost = false;    ///< It failed; it is asked whether it is back.
  Retry Ping;
  unsigned PingGeneration = 0;
  Retry Record;
};

} // namespace zinniarail::store
