/// \file
/// Communication with the other instances: datagrams for liveness, the election
/// of the reader and quarantine notices; HTTP for the state updates that the
/// reader of a failure domain sends its followers.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "fleet/Codec.h"
#include "fleet/FollowerLag.h"
#include "fleet/SnapshotFetcher.h"
#include "fleet/UpdateServer.h"
#include "http/ClientPool.h"
#include "zinniarail/fleet/Fleet.h"

namespace zinniarail::fleet {

/// Callbacks into the process, called on the loop's thread.
struct PeerHandlers {
  std::function<void(Duty)> DutyChanged;
  /// \returns false if its configuration can't be used: the complete one is
  /// needed.
  std::function<bool(const StateUpdate &)> UpdateReceived;
  std::function<void()> LiveMembersChanged;
  /// Gets balance::PeerSuspected, PeerQuarantined and PeerCleared.
  std::function<void(const balance::Event &)> QuarantineNoticeReceived;
  /// Fills in one part of the state to send to followers.
  FillUpdate Fill;
  /// A follower reports that an upstream announced that it leaves.
  std::function<void(const LeavingUpstream &)> LeavingUpstreamReported;
  /// The quarantines in force, at most so many, which each ping and pong tells.
  std::function<std::vector<balance::PeerQuarantined>(std::size_t most)>
      ListQuarantines;
  /// Another instance found that an upstream's limit has ended.
  std::function<void(const std::string &upstream)> LimitEndReported;
  /// A message about customers' credit arrived; see quota/Messages.h.
  std::function<void(const std::string &from, const quota::Message &)>
      CreditMessageReceived;
  /// Another instance reports what it knows of a roll-out.
  std::function<void(const rollout::Report &)> RolloutReported = nullptr;
  /// When the store answered this instance.
  std::function<std::vector<store::AnsweredSpanAge>()> ListAnsweredSpans =
      nullptr;
  /// When the store answered another instance.
  std::function<void(const std::vector<store::AnsweredSpanAge> &)>
      AnsweredSpansTold = nullptr;
};

/// Used only on the thread of its loop.
class PeerTask {
public:
  /// \param loop event loop; must outlive the task.
  /// \param seeds peer addresses to ping for discovery of other instances.
  /// \param discoveryTime delay after the start before this instance may become
  /// the reader.
  /// \param linkMbps bandwidth of this instance's link in Mbit/s; 0: unknown.
  PeerTask(struct ev_loop *loop, Member self, std::vector<std::string> seeds,
           Duration discoveryTime, double linkMbps, PeerHandlers handlers,
           http::ServerShare share = {});
  ~PeerTask();
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;

  /// Binds the peer address, for datagrams and for HTTP.
  bool open();
  void start();

  /// Sets whether the store answers this instance; ignored unless it reads.
  void setStoreHealthy(bool healthy);

  /// Sets whether this instance has a configuration and the upstream list.
  void setHasSnapshot(bool hasSnapshot);

  /// Sets whether this instance reaches any upstream, and whether it reaches
  /// one of each service. While it reaches none, it tells the other instances
  /// that it isn't ready.
  void setReach(bool any, bool ofEachService);

  /// Sends a changed part of the state to the followers. Does nothing unless
  /// this instance reads the store.
  void publish(StatePart part) { Publisher.publish(part); }

  /// Adds the instances recorded in the store, of all failure domains.
  void addRecordedInstances(const std::vector<Instance> &recorded);

  /// Notifies all known instances of a request that may have crashed an
  /// upstream, or that does crash upstreams.
  void broadcastSuspected(const balance::CrashSuspect &suspect);
  void broadcastQuarantined(std::uint64_t fingerprint);

  /// Notifies all known instances that a request which was suspect is harmless.
  void broadcastCleared(std::uint64_t fingerprint);

  /// Notifies all known instances that an upstream's limit has ended.
  void broadcastLimitEnded(const std::string &upstream);

  /// Sends a message about customers' credit; it is lost if the instance is not
  /// known.
  void sendCreditMessage(const std::string &instance,
                         const quota::Message &message) const;

  /// Reports to the followed reader, for its other followers, that an upstream
  /// announced that it leaves.
  void reportLeaving(const LeavingUpstream &upstream);

  /// Sends a report on a roll-out to those that its scope names; see
  /// rollout::ReportScope.
  void sendRolloutReport(const rollout::Report &report);

  /// Asks a few other instances of each failure domain when the store answered
  /// them. Each call asks others.
  void askWhenStoreAnswered();

  /// Until when the store is known to have answered the reader that this
  /// instance follows, or followed before; Instant::min(): unknown.
  Instant storeAnsweredUntil() const { return StoreAnsweredUntil; }

  /// Notifies the other instances that this one is shutting down.
  void announceLeaving();

  /// The known instances of this failure domain, live or not, this one
  /// included, sorted by id.
  std::vector<Instance> instancesInOwnDomain() const;

  /// Ids of all known instances that don't leave, this one included; sorted.
  std::vector<std::string> instanceIds() const;

  /// The live instances of this failure domain, this one included.
  std::vector<Member> liveMembers() const;

  /// The instances that requests of this failure domain should go to, maybe
  /// this one; see listReadyMembers.
  std::vector<Member> readyMembers() const;

  /// The ready members of other failure domains that sent a message within
  /// LivenessTimeout. They are asked for one while upstreams can't be reached.
  std::vector<Member> readyOutsideMembers() const;

  /// What the followers are told of the members: the live ones of this failure
  /// domain, and those of other failure domains on record.
  std::vector<Member> membersForFollowers() const;

  /// The number of instances in all failure domains that may be running.
  std::size_t fleetSize() const;

  /// The number of followers whose polls wait for bandwidth here.
  std::size_t deferredFollowers() const { return Publisher.deferredPolls(); }

  /// The number of live members with higher priority in the election.
  std::size_t electionRank() const;

  /// Whether this instance's state is current as far as it can tell: the store
  /// answers it, or it follows a live reader that the store answers and has its
  /// updates.
  bool isStateCurrent() const;

  Duty duty() const { return ReaderElection.CurrentDuty; }

  /// Id of the instance that reads the store for this failure domain, maybe
  /// this one; empty: none is known.
  std::string reader() const;

  /// The known instances of all failure domains, this one included.
  std::vector<Instance> knownInstances() const;

  /// Logs how many messages could not be decoded, and how many updates were
  /// sent late, since the last call. To be called about once a second.
  void logMessageCounts();

  boost::json::object describe(Instant now) const;

private:
  /// The polls of the followed reader for one channel.
  struct ChannelPoll {
    StateChannel Channel;
    bool InFlight = false;
    http::CallId Call = 0; ///< Of the poll in flight.
    Instant NextAt{};
    Instant StartedAt{};
    std::string Address; ///< Address that the last poll was sent to.
    FollowerLag Lag;
    /// When this instance began to follow its reader; none: it has got an
    /// update.
    std::optional<Instant> FirstUpdateAwaitedSince;
  };

  /// A quarantine notice that is sent again.
  struct RepeatedNotice {
    unsigned TimesLeft = 0;
    Instant SentAt{};
  };

  void tick();
  void receive();
  void handleDatagram(const Datagram &datagram, const std::string &from);
  void runElection();
  void applyDuty();
  void updateReady();
  void fetchSnapshotIfNeeded();
  void sendPings();
  void announceToDomain();
  void repeatNotices();
  void sendToAll(const Datagram &datagram) const;
  void handleAsk(const AskAnswered &ask, const std::string &from);
  std::vector<std::string> outsideReaders() const;
  void send(const std::string &address, const Datagram &datagram) const;
  void pollReader();
  void pollReader(ChannelPoll &poll);
  std::string digestsFor(const ChannelPoll &poll) const;
  void abandonOverduePolls();
  void cancelPoll(ChannelPoll &poll);
  void handlePollResult(http::CallId id, const http::CallResult &result);
  void logFirstUpdate(ChannelPoll &poll, const StateUpdate &update,
                      std::size_t bytes);
  void applyReaderMembers(MembersUpdate update);
  void resetPolling();
  void addRecorded();
  void notifyIfLiveChanged();

  struct ev_loop *Loop;
  std::vector<std::string> Seeds;
  Duration DiscoveryTime;
  PeerHandlers Handlers;
  Members Membership;
  Election ReaderElection;
  int Socket = -1;
  ev_io ReadWatcher{};
  ev_timer Timer{};
  Instant PingedAt{};
  Instant PingedDomainAt{}; ///< Last ping to the whole failure domain.
  Instant StartedAt{};
  Instant ReadingSince{};
  std::uint64_t UnreadableCount = 0; ///< Undecodable messages not yet logged.
  std::map<std::uint64_t, RepeatedNotice> NoticesToRepeat; ///< By fingerprint.
  std::size_t FleetSize = 1;
  bool ReachesUpstreams = true;
  bool ReachesEachService = true;
  std::uint64_t LiveDigest = 0; ///< Hash of the live members last notified.

  // Used while this instance is a reader.
  std::vector<Instance> Recorded; ///< As in the store, of all failure domains.
  UpdateServer Publisher;

  // Used while this instance has no snapshot.
  SnapshotFetcher Fetcher;
  Instant DutySince{};

  std::uint64_t StoreAsks = 0; ///< Calls of askWhenStoreAnswered.
  Instant StoreAnsweredUntil = Instant::min();

  // Used while this instance is a follower.
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  std::array<ChannelPoll, StateChannelCount> Polls{
      ChannelPoll{StateChannel::Control}, ChannelPoll{StateChannel::Lists}};
  std::map<std::string, Member> ReaderLiveList; ///< By id, from the reader.
};

} // namespace zinniarail::fleet
