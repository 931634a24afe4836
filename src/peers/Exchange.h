/// \file
/// What the peers task does on its loop's thread: it probes the peers, answers
/// them, and carries the claims module's calls between instances.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <kj/async-io.h>

#include "Link.h"
#include "zinniarail/claims/Claims.h"
#include "zinniarail/control/Messages.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/gateway/Messages.h"
#include "zinniarail/peers/Messages.h"
#include "zinniarail/settings/Settings.h"

namespace zinniarail::peers {

/// Who an instance was when it was last heard.
struct Acquaintance {
  Greeting Last;
  Instant Heard{};
  bool Lost = false;
};

/// Counts for the dump and for measurements.
struct ExchangeCounts {
  std::uint64_t ProbesSent = 0;
  std::uint64_t ProbesFailed = 0;
  std::uint64_t RecordsSent = 0;
  std::uint64_t RecordsServed = 0;
  std::uint64_t WordsSent = 0;
  std::uint64_t Refused = 0; ///< Messages that were malformed or foreign.
  std::uint64_t Granted = 0;
  std::uint64_t Taken = 0;
  std::uint64_t Unavailable = 0;
};

/// The task's state. It owns every connection.
class Exchange final : private kj::TaskSet::ErrorHandler {
public:
  Exchange(Settings settings, std::function<void(gateway::Message)> toGateway,
           std::function<void(control::Message)> toControl,
           kj::Network &network, kj::Timer &timer, std::uint64_t incarnation);

  /// Serves connections from a listening socket, and starts the timers.
  void run(kj::ConnectionReceiver &receiver);

  /// Handles what another task posted.
  void take(Message message);

  // What peers call. Each is quick and never throws.
  Greeting greeting() const;
  Pulse pulse() const;
  /// \returns why the greeting is refused, or nothing.
  std::optional<std::string> greet(const Greeting &from);
  /// \param askedAt when the question was sent that this answers; the default
  /// instant for a word that came unasked.
  void hear(const Greeting &from, Instant askedAt);
  RecordReply serveRecord(std::uint64_t generation, const ClaimRecord &record);
  void serveRelease(const ClaimRecord &record);
  ClaimPage serveHandOver(const SendHandOver &request,
                          const std::string &asker);
  const Roster &roster() const { return Claims.Known; }
  void serveWord(const std::string &service, const PeerWord &word);
  std::shared_ptr<const std::string> document(std::uint64_t version) const;
  std::uint64_t incarnation() const { return Claims.Self.Incarnation; }
  void countRefused() { ++Counts.Refused; }

private:
  void taskFailed(kj::Exception &&exception) override;
  kj::Promise<void> accept(kj::ConnectionReceiver &receiver);
  kj::Promise<void> tickPeers();
  kj::Promise<void> tickClaims();

  // Messages of the other tasks.
  void changeView(std::shared_ptr<const View> view);
  void seekClaim(const ClaimWanted &message);
  void sendWord(const std::string &service, const PeerWord &word);
  void sendWordTo(const std::string &instance, const std::string &service,
                  const PeerWord &word, unsigned tries);
  void fetchDocument(const FetchDocument &message);
  void noteRoster(const RosterRead &message);
  boost::json::object describe() const;

  // Probes.
  void updateLinks();
  void probe(const std::shared_ptr<Link> &link);
  kj::Promise<void> openLink(const std::shared_ptr<Link> &link, Instant sent);
  kj::Promise<void> pingLink(const std::shared_ptr<Link> &link, Instant sent);
  void watchLink(const std::shared_ptr<Link> &link);
  void noteAnswer(Link &link, const Greeting &from, Instant sent);
  void findLost();
  void fetchRoster(const std::shared_ptr<Link> &link);
  std::shared_ptr<Link> findLink(const std::string &instance) const;

  // Claims.
  void tellClaims(const ClaimEvent &event);
  void act(const SendRecord &action);
  void act(const SendRelease &action);
  void act(const SendHandOver &action);
  void act(const DecideClaim &action);
  void act(const SendRosterRead &action);
  void act(const SendRosterWrite &action);
  std::vector<Member> wantedMembers() const;
  void finishStop();

  /// Runs a call's promise, bounded in time; the link's call count follows.
  template <typename Answer, typename Done, typename Failed>
  void startCall(std::shared_ptr<Link> link, Duration limit,
                 kj::Promise<Answer> call, Done done, Failed failed);

  Settings Set;
  std::function<void(gateway::Message)> ToGateway;
  std::function<void(control::Message)> ToControl;
  kj::Network &Net;
  kj::Timer &Clock;
  Random Draws;
  Traffic Bytes;
  ExchangeCounts Counts;
  std::shared_ptr<const View> Current;
  ClaimState Claims;
  std::map<std::string, Acquaintance> Heard;          ///< By instance.
  std::map<std::string, std::shared_ptr<Link>> Links; ///< By address.
  std::vector<std::string> ProbeOrder;                ///< Addresses to come.
  unsigned Incoming = 0;
  bool FetchesRoster = false;
  bool Stopping = false;
  bool HandedOverPosted = false;
  Instant StopDeadline{};
  // Last, so that it ends first: its tasks use everything above.
  kj::TaskSet Tasks;
};

} // namespace zinniarail::peers
