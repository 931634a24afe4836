/// \file
/// Reads the platform's store into the mirror while this instance is a reader
/// of the store, and writes the record of the failure domain's instances.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "platform/Platform.h"
#include "store/Mirror.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/fleet/Instance.h"
#include "zinniarail/store/Availability.h"
#include "zinniarail/store/ListWatch.h"

namespace zinniarail::store {

/// Callbacks of StoreTask, run on its event loop.
struct StoreHandlers {
  /// Mirrored objects of this kind may have changed.
  std::function<void(platform::Kind)> Changed;
  /// Called with true when every kind has been listed and the store responds,
  /// and with false when one of the two is no longer the case.
  std::function<void(bool)> HealthChanged;
  /// Registrations may have expired in an outage, as far as this instance can
  /// tell; noteAnsweredSpans tells it what others have seen. Called again while
  /// removals wait for that.
  std::function<void()> OutageUnclear = nullptr;
};

/// Reads the store and writes the instance record. Used only on the thread of
/// its event loop.
class StoreTask {
public:
  /// \param loop outlives the task, and so does \p mirror.
  /// \param address "ip:port" of the store.
  /// \param propagationLimit time within which a change in the store must be in
  /// force everywhere.
  StoreTask(struct ev_loop *loop, const std::string &address, Mirror &mirror,
            Duration propagationLimit, std::uint64_t seed,
            StoreHandlers handlers);
  ~StoreTask();
  StoreTask(const StoreTask &) = delete;
  StoreTask &operator=(const StoreTask &) = delete;

  /// Sets how often upstreams renew their registrations, which tells how long
  /// an outage must be for one of these to expire in it.
  void setHeartbeatInterval(Duration interval) {
    Answers.HeartbeatInterval = interval;
  }

  /// Avoids possibly stale reads for LatestReadPeriod. Used when it is unknown
  /// whether the store has had an outage recently.
  void avoidStaleReads();

  /// Also reads the orders for roll-outs, which costs a list and watches.
  /// Called before startReading.
  void readRollouts() { ReadKinds = KindCount; }

  /// Writes the status of an order, unless the order has changed since. The
  /// mirror gets the reply's object.
  /// \param order with the new status and the revision that it is based on.
  /// \param done called when the call has ended, however it did.
  void writeRolloutStatus(const std::string &name, const rollout::Order &order,
                          std::function<void()> done);

  /// Lists all objects and watches for changes from then on.
  /// \param answeredUntil until when the store is known to have answered the
  /// instance that read it before; Instant::min(): unknown.
  void startReading(Instant answeredUntil = Instant::min());

  /// When the store answered this instance, for others.
  std::vector<AnsweredSpanAge> answeredSpans() const;

  /// Takes in when the store answered another instance. If no registration can
  /// have expired, removals are in force at once.
  void noteAnsweredSpans(const std::vector<AnsweredSpanAge> &spans);

  /// Stops reading. Replies to reads in flight are ignored, and HealthChanged
  /// is not called.
  void stopReading();

  /// Sets the content of this failure domain's record, which is written to the
  /// store when the stored record differs.
  /// \param instances in order of their ids.
  void setInstancesToRecord(const std::string &domain,
                            std::vector<Instance> instances);

  /// Sets how many other instances precede this one in the election of the
  /// reader. The higher the rank, the less often the instance checks an
  /// unavailable store.
  void setElectionRank(std::size_t electionRank) {
    ElectionRank = electionRank;
  }

  /// The recorded instances of all failure domains, live or not.
  std::vector<Instance> recordedInstances() const;

  /// Time up to which all changes in the store are known; Instant::min() until
  /// every kind has been listed.
  Instant currentAt() const;

  const platform::CallCounts &callCounts() const { return Client.counts(); }

  /// Entries that could not be read, each counted whenever the store sent it.
  std::uint64_t unreadableEntries() const { return UnreadableEntries; }

  /// Entries of the configuration in force that this instance could not read.
  std::size_t documentErrors() const { return DocumentErrors.size(); }

  /// The state as JSON with stable keys, for a dump.
  boost::json::object describe(Instant now) const;

private:
  static constexpr std::size_t KindCount = 5;

  void advance();
  void startDueCalls(Instant now);
  void pingIfDue(Instant now);
  void writeRecordIfDue(Instant now);
  Instant nextDueAt() const;
  void startCall(platform::Kind kind, ListWatchCall call);
  void handleListReply(platform::Kind kind, platform::Reply reply);
  void handleWatchReply(platform::Kind kind, const platform::Reply &reply);
  bool handleFailure(platform::Kind kind, const platform::Reply &reply);
  void noteUnavailable(const std::string &call, const platform::Reply &reply);
  void endGraceIfClear(Instant now);
  void noteAvailable();
  /// Counts and logs an entry that could not be decoded. Such an entry is
  /// treated as missing.
  void noteIfUnreadable(platform::Kind kind, const platform::Object &object,
                        bool isDecoded);
  void noteUnreadable(platform::Kind kind, const std::string &name,
                      unsigned count);
  void noteAsOf(platform::Kind kind, StoreRevision asOf);
  bool acceptEra(platform::Reply &reply);
  void restartReads();
  void reportHealth();
  void applyObject(platform::Kind kind, const platform::Object &object);
  void applyConfiguration(const platform::Object &object);
  void finishList(platform::Kind kind, StoreRevision asOf);
  void applyInstanceRecord(const platform::Object &object);
  bool isRecordOutdated() const;
  void handleRecordReply(const platform::Reply &reply);
  void applyRollout(const platform::Object &object);
  void finishRolloutList(const std::map<std::string, platform::Object> &listed,
                         StoreRevision asOf);
  /// The state of the kinds that are read.
  std::span<const ListWatch> activeListWatches() const {
    return std::span(ListWatches).first(ReadKinds);
  }

  struct ev_loop *Loop;
  Mirror &LocalMirror;
  StoreHandlers Handlers;
  Random Rng;
  platform::StoreClient Client;
  ev_timer Timer{};
  Duration RevisionReadInterval; ///< Between reads of the store's revision.
  Instant RevisionReadAt{};      ///< Start of the last one.
  bool Reading = false;
  bool ReportedHealthy = false; ///< Last value passed to HealthChanged.
  std::size_t ElectionRank = 0;
  std::uint64_t UnreadableEntries = 0;
  Instant UnreadableLoggedAt{};
  std::vector<platform::DocumentError> DocumentErrors;
  std::array<ListWatch, KindCount> ListWatches;
  /// Kinds that are read, in their order: all but the last, or all.
  std::size_t ReadKinds = KindCount - 1;
  /// Objects of the list pages received so far, by name.
  std::map<platform::Kind, std::map<std::string, platform::Object>>
      PartialLists;
  struct DomainRecord {
    std::vector<Instance> Instances;
    StoreRevision Revision;
  };
  std::map<std::string, DomainRecord> Records; ///< By failure domain.
  std::string RecordDomain;
  std::vector<Instance> InstancesToRecord;
  /// The store has answered a health check since startReading.
  bool HasAnswered = false;
  /// A call has failed, and no health check has succeeded since.
  bool Unavailable = false;
  Availability Answers;
  Instant RecoveredAt{}; ///< When the last outage ended.
  RetryState Ping;
  unsigned PingGeneration = 0;
  RetryState RecordWrite;
};

} // namespace zinniarail::store
