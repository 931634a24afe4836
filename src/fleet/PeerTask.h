/// \file
/// Speaks to the other instances: by datagrams, who lives and who reads the
/// store; over HTTP, what the reader of a failure domain passes on to those
/// that follow it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <ev.h>

#include "fleet/CatchUp.h"
#include "fleet/Codec.h"
#include "fleet/NewsServer.h"
#include "http/ClientPool.h"
#include "zinniarail/fleet/Fleet.h"

namespace zinniarail::fleet {

/// What the task tells its process. Called from the loop.
struct PeerHandlers {
  std::function<void(Duty)> DutyChanged;
  std::function<void(const News &)> NewsCame;
  std::function<void()> LiveChanged;
  std::function<void(const balance::Event &)> WordCame;
  /// What is known, to be passed on: the wanted part alone, and whole.
  FillNews Fill;
};

/// Used on one thread, that of its loop.
class PeerTask {
public:
  /// \param loop outlives the task.
  /// \param seeds peer addresses that may know others.
  /// \param settleTime after the start, before this instance reads for others.
  /// \param linkMbps what this instance can send; 0: not known.
  PeerTask(struct ev_loop *loop, Member self, std::vector<std::string> seeds,
           Duration settleTime, double linkMbps, PeerHandlers handlers);
  ~PeerTask();
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;

  /// Binds the peer address, for datagrams and for HTTP.
  bool open();
  void start();

  /// Whether the store answers this instance, while it reads.
  void setHealthy(bool healthy);

  /// Whether this instance knows a configuration and the upstreams.
  void setInformed(bool informed);

  /// A part of what is passed on has changed.
  void publish(Part part) { Publisher.publish(part); }

  /// Instances that the store has recorded.
  void learnRecorded(const std::vector<Instance> &recorded);

  /// Tells all instances of a request that crashes upstreams, or may do so.
  void tellSuspected(const balance::Suspect &suspect);
  void tellCondemned(std::uint64_t fingerprint);

  /// Tells the others that this instance leaves.
  void beginStop();

  /// The instances of this failure domain that are live or may be back, this
  /// one included, by id.
  std::vector<Instance> ofOwnDomain() const;

  /// The live instances of this failure domain, this one included.
  std::vector<Member> live() const;

  /// Instances of the whole fleet that may be at work.
  std::size_t known() const;

  /// How many live members would read before this instance.
  std::size_t position() const;

  /// Whether what is known of the store is current, as far as this instance can
  /// tell: it reads and the store answers, or it follows one for whom that
  /// holds.
  bool isConfirmed() const;

  Duty duty() const { return Choice.Now; }

  /// Logs how many messages made no sense; to be called about once a second.
  void tellUnreadable();

  boost::json::object describe(Instant now) const;

private:
  void tick();
  void receive();
  void hear(const Datagram &datagram, const std::string &from);
  void settle();
  void takeDuty();
  void catchUp();
  void ping();
  void greetAll();
  void sendAll(const Datagram &datagram) const;
  void send(const std::string &address, const Datagram &datagram) const;
  void ask();
  void takeNews(http::CallId id, const http::CallResult &result);
  void takeVouched(const MemberList &list);
  void endNews();
  void tellLive();

  struct ev_loop *Loop;
  std::vector<std::string> Seeds;
  Duration SettleTime;
  PeerHandlers Handlers;
  Members Known;
  Election Choice;
  int Socket = -1;
  ev_io Readable{};
  ev_timer Timer{};
  Instant PingedAt{};
  Instant AskedAllAt{}; ///< While nobody reads with success.
  Instant StartedAt{};
  Instant ReadingSince{};
  std::uint64_t Unreadable = 0; ///< Messages since that was told last.
  std::size_t KnownCount = 1;
  std::uint64_t LiveDigest = 0; ///< As last told.

  // As a reader.
  NewsServer Publisher;

  // While it knows nothing.
  CatchUp FromPeers;
  Instant DutySince{};

  // As a follower.
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  bool Asking = false;
  Instant AskAt{};
  std::uint64_t NewsBoot = 0;
  std::uint64_t NewsSequence = 0;
  std::map<std::string, Member> Vouched; ///< By the reader.
};

} // namespace zinniarail::fleet
