#include "fleet/PeerTask.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <span>

#include "http/Sockets.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

#include <arpa/inet.h>

namespace zinniarail::fleet {

namespace {

// Number of members that an instance pings at each interval besides its reader:
// those of highest priority, since one of them would replace the reader.
constexpr std::size_t PingedCandidateCount = 3;

// Maximum number of members in a pong. All of them belong to the failure domain
// of the instance that sent the ping.
constexpr std::size_t MaxMembersInPong = 5;

// For SeedPingTime after the start, each round of pings includes the seeds.
// Later only readers and instances with no other member to ping include them,
// once per SeedPingInterval.
constexpr Duration SeedPingTime = std::chrono::seconds{2};
constexpr Duration SeedPingInterval = std::chrono::seconds{1};

// A quarantine notice is sent again this many times, once per PingInterval: an
// instance that missed it would go on to send such requests.
constexpr unsigned NoticeRepetitions = 2;

// A new reader relies on the live list of the previous reader for this long.
// By then it has received messages from the live members itself.
constexpr Duration InheritedListTime = std::chrono::seconds{1};

// Without a healthy reader nobody sends the list of live members. Each instance
// then pings all of its failure domain, often enough that none seems lost.
constexpr Duration DomainPingInterval = std::chrono::milliseconds{400};

// The timer runs more often just after the start, to find instances quickly,
// and while the instance waits for a reader or a snapshot.
constexpr Duration StartupTick = PingInterval / 16;
constexpr Duration WaitingTick = TakeoverDelayPerRank / 5;

// An instance without a snapshot waits this long after a change of duty for the
// store or its reader to supply one. Then it fetches one from other instances.
constexpr Duration SnapshotFetchDelay = std::chrono::milliseconds{25};

// An instance counts as ready without a snapshot for this long after its start.
// Later, callers are sent to other instances until it has one.
constexpr Duration ReadyWithoutSnapshotTime = std::chrono::milliseconds{500};

// Members of other failure domains that are pinged while this one has too few
// that are ready.
constexpr std::size_t OutsideMemberCount = 12;

// Instances of each failure domain that are asked at a time when the store
// answered them: some may be gone, or know as little as this one.
constexpr std::size_t AskedInDomain = 3;

// A reader may call the store healthy for this long after its last answer.
constexpr Duration HealthyDelay = store::MaxAnswerGap;

constexpr std::size_t MaxDatagramBytes = 8192;

// Maximum number of quarantines in a ping or pong.
constexpr std::size_t MaxQuarantinesTold = 32;

// Maximum number of datagrams read in one iteration of the loop, so that a
// flood of them does not keep the loop from all else.
constexpr int MaxDatagramsPerWakeup = 64;

int openDatagramSocket(const std::string &address) {
  const auto endpoint = http::parseIpv4Address(address);
  const int fd =
      endpoint ? socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
               : -1;
  if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr *>(&*endpoint),
                      sizeof *endpoint) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

} // namespace

PeerTask::PeerTask(struct ev_loop *loop, Member self,
                   std::vector<std::string> seeds, Duration discoveryTime,
                   double linkMbps, PeerHandlers handlers,
                   http::ServerShare share)
    : Loop(loop), Seeds(std::move(seeds)), DiscoveryTime(discoveryTime),
      Handlers(std::move(handlers)),
      Publisher(loop, self.BootId, linkMbps, Handlers.Fill, share),
      Fetcher(loop,
              [this](const StateUpdate &update) {
                Handlers.UpdateReceived(update);
              }),
      Pool(
          loop,
          [this](http::CallId id, const http::CallResult &result) {
            handlePollResult(id, result);
          },
          MaxUpdateBytes) {
  std::erase(Seeds, self.Record.PeerAddress);
  Membership.LocalMember = std::move(self);
  Membership.LocalMember.UpdateFormat = CurrentUpdateFormat;
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<PeerTask *>(it->data)->tick();
      },
      0, 0);
  Timer.data = this;
}

PeerTask::~PeerTask() {
  ev_timer_stop(Loop, &Timer);
  if (Socket >= 0) {
    ev_io_stop(Loop, &ReadWatcher);
    close(Socket);
  }
}

bool PeerTask::open() {
  const std::string &address = Membership.LocalMember.Record.PeerAddress;
  Socket = openDatagramSocket(address);
  if (Socket < 0 || !Publisher.listen(address)) {
    return false;
  }
  ev_io_init(
      &ReadWatcher,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<PeerTask *>(it->data)->receive();
      },
      Socket, EV_READ);
  ReadWatcher.data = this;
  ev_io_start(Loop, &ReadWatcher);
  return true;
}

void PeerTask::start() {
  StartedAt = readClock();
  tick();
}

void PeerTask::tick() {
  const Instant now = readClock();
  removeExpired(Membership, now);
  if (ReaderElection.CurrentDuty == Duty::Read) {
    addRecorded();
  }
  const bool isStartup = now - StartedAt < DiscoveryTime;
  if (isStartup || now - PingedAt >= PingInterval) {
    sendPings();
  }
  repeatNotices();
  runElection();
  abandonOverduePolls();
  pollReader();
  fetchSnapshotIfNeeded();
  notifyIfLiveChanged();
  const bool isWaiting = ReaderElection.CurrentDuty == Duty::Wait ||
                         !Membership.LocalMember.HasSnapshot;
  const std::chrono::duration<double> seconds = isStartup   ? StartupTick
                                                : isWaiting ? WaitingTick
                                                            : PingInterval;
  ev_timer_set(&Timer, seconds.count(), 0);
  ev_timer_start(Loop, &Timer);
}

void PeerTask::logMessageCounts() {
  Publisher.logDeferred();
  if (UnreadableCount > 0) {
    logEvent(EventId::MessagesUnreadable,
             {{"count", std::exchange(UnreadableCount, 0)}});
  }
}

void PeerTask::updateReady() {
  Membership.LocalMember.Ready =
      ReachesUpstreams && (Membership.LocalMember.HasSnapshot ||
                           readClock() - StartedAt < ReadyWithoutSnapshotTime);
}

void PeerTask::setReach(bool any, bool ofEachService) {
  const bool anyChanged = std::exchange(ReachesUpstreams, any) != any;
  ReachesEachService = ofEachService;
  updateReady();
  if (anyChanged) {
    announceToDomain();
    notifyIfLiveChanged();
  }
  sendPings();
}

void PeerTask::fetchSnapshotIfNeeded() {
  const Instant now = readClock();
  updateReady();
  const bool due = now - std::max(StartedAt + DiscoveryTime, DutySince) >=
                   SnapshotFetchDelay;
  if (!Membership.LocalMember.HasSnapshot && due) {
    Fetcher.requestIfDue(Membership, now);
  }
}

void PeerTask::setHasSnapshot(bool hasSnapshot) {
  if (Membership.LocalMember.HasSnapshot == hasSnapshot) {
    return;
  }
  Membership.LocalMember.HasSnapshot = hasSnapshot;
  Publisher.setHasSnapshot(hasSnapshot);
  if (hasSnapshot) {
    updateReady();
    Fetcher.stop();
  }
}

void PeerTask::sendPings() {
  const Instant now = readClock();
  PingedAt = now;
  Datagram datagram{Datagram::Ping{}, Membership.LocalMember, {}};
  datagram.Quarantines = Handlers.ListQuarantines(MaxQuarantinesTold);
  std::vector<std::string> targets;
  for (const Member &it :
       topCandidates(Membership, PingedCandidateCount, now)) {
    recordPingTo(Membership, it.Record.Id, now);
    targets.push_back(it.Record.PeerAddress);
  }
  const auto reader = Membership.Others.find(ReaderElection.Reader);
  if (ReaderElection.CurrentDuty == Duty::Follow &&
      reader != Membership.Others.end()) {
    recordPingTo(Membership, reader->first, now);
    targets.push_back(reader->second.LastStatus.Record.PeerAddress);
  }
  const bool hasNoTargets = targets.empty();
  if (!ReachesEachService || needsOtherDomains(Membership, now)) {
    for (const Member &it :
         selectOutsideMembers(Membership, OutsideMemberCount)) {
      targets.push_back(it.Record.PeerAddress);
    }
  }
  const bool noHealthyReader = ReaderElection.CurrentDuty != Duty::Follow &&
                               !Membership.LocalMember.StoreHealthy &&
                               now - DutySince >= InheritedListTime / 2;
  if (noHealthyReader && now - PingedDomainAt >= DomainPingInterval) {
    PingedDomainAt = now;
    for (const auto &[id, it] : Membership.Others) {
      if (it.LastStatus.Record.Domain == Membership.LocalMember.Record.Domain) {
        recordPingTo(Membership, id, now);
        targets.push_back(it.LastStatus.Record.PeerAddress);
      }
    }
  }
  const auto ticks = (now - StartedAt) / PingInterval;
  const bool seedPingDue = ticks % (SeedPingInterval / PingInterval) == 0;
  if (now - StartedAt < SeedPingTime ||
      (seedPingDue &&
       (hasNoTargets || ReaderElection.CurrentDuty == Duty::Read))) {
    targets.insert(targets.end(), Seeds.begin(), Seeds.end());
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  for (const std::string &it : targets) {
    send(it, datagram);
  }
}

// Sends the changed status of this instance to its whole failure domain.
void PeerTask::announceToDomain() {
  const Datagram datagram{Datagram::Pong{}, Membership.LocalMember, {}};
  for (const auto &[id, it] : Membership.Others) {
    if (it.LastStatus.Record.Domain == Membership.LocalMember.Record.Domain) {
      send(it.LastStatus.Record.PeerAddress, datagram);
    }
  }
}

void PeerTask::send(const std::string &address,
                    const Datagram &datagram) const {
  const auto endpoint = http::parseIpv4Address(address);
  if (!endpoint) {
    return;
  }
  const std::string bytes = encodeDatagram(datagram);
  // A send error is ignored, since lost datagrams are tolerated; the next ping
  // follows soon.
  sendto(Socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&*endpoint), sizeof *endpoint);
}

void PeerTask::receive() {
  std::array<char, MaxDatagramBytes> buffer;
  for (int read = 0; read < MaxDatagramsPerWakeup; ++read) {
    const ssize_t n = recv(Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (n < 0) {
      return;
    }
    if (const auto datagram =
            decodeDatagram({buffer.data(), static_cast<std::size_t>(n)})) {
      handleDatagram(*datagram, datagram->Sender.Record.PeerAddress);
    } else {
      ++UnreadableCount;
    }
  }
}

void PeerTask::handleDatagram(const Datagram &datagram,
                              const std::string &from) {
  const Instant now = readClock();
  const bool changed = recordMessageFrom(Membership, datagram.Sender, now);
  for (const Member &it : datagram.Members) {
    addIfUnknown(Membership, it, now);
  }
  for (const balance::PeerQuarantined &it : datagram.Quarantines) {
    Handlers.QuarantineNoticeReceived(it);
  }
  for (const std::uint64_t it : datagram.ClearedFingerprints) {
    Handlers.QuarantineNoticeReceived(balance::PeerCleared{it});
  }
  for (const std::string &it : datagram.EndedLimits) {
    Handlers.LimitEndReported(it);
  }
  if (std::holds_alternative<Datagram::Ping>(datagram.Payload)) {
    Datagram pong{Datagram::Pong{}, Membership.LocalMember, {}};
    pong.Members =
        topRecentMembers(Membership, datagram.Sender.Record.Domain,
                         datagram.Sender.Record.Id, MaxMembersInPong, now);
    pong.Quarantines = Handlers.ListQuarantines(MaxQuarantinesTold);
    for (const ChannelPoll &it : Polls) {
      pong.Channels[indexOf(it.Channel)] =
          Publisher.statusFor(it.Channel, datagram.Sender.BootId);
    }
    send(from, pong);
  } else if (const auto *suspected =
                 std::get_if<balance::PeerSuspected>(&datagram.Payload)) {
    Handlers.QuarantineNoticeReceived(*suspected);
  } else if (const auto *quarantined =
                 std::get_if<balance::PeerQuarantined>(&datagram.Payload)) {
    Handlers.QuarantineNoticeReceived(*quarantined);
  } else if (const auto *leaving =
                 std::get_if<LeavingUpstream>(&datagram.Payload)) {
    Handlers.LeavingUpstreamReported(*leaving);
  } else if (const auto *credit =
                 std::get_if<quota::Message>(&datagram.Payload)) {
    Handlers.CreditMessageReceived(datagram.Sender.Record.Id, *credit);
  } else if (const auto *report =
                 std::get_if<rollout::Report>(&datagram.Payload);
             report != nullptr && Handlers.RolloutReported) {
    Handlers.RolloutReported(*report);
  } else if (const auto *ask = std::get_if<AskAnswered>(&datagram.Payload)) {
    handleAsk(*ask, from);
  } else if (const auto *answered = std::get_if<Answered>(&datagram.Payload);
             answered != nullptr && Handlers.AnsweredSpansTold) {
    Handlers.AnsweredSpansTold(answered->Spans);
  }
  if (datagram.Sender.Record.Id == ReaderElection.Reader &&
      datagram.Sender.StoreHealthy) {
    StoreAnsweredUntil = now - HealthyDelay;
  }
  if (changed) {
    runElection();
    notifyIfLiveChanged();
  }
  if (std::holds_alternative<Datagram::Pong>(datagram.Payload) &&
      ReaderElection.CurrentDuty == Duty::Follow &&
      datagram.Sender.Record.Id == ReaderElection.Reader) {
    for (ChannelPoll &it : Polls) {
      const ChannelStatus &status = datagram.Channels[indexOf(it.Channel)];
      recordReaderSequence(it.Lag, datagram.Sender.BootId, status.Sequence,
                           status.IsDeferred, now);
    }
    abandonOverduePolls();
  }
}

void PeerTask::runElection() {
  const Instant now = readClock();
  const bool mayBecomeReader = now - StartedAt >= DiscoveryTime;
  const Duty previousDuty = ReaderElection.CurrentDuty;
  const std::string previousReader = ReaderElection.Reader;
  if (!updateElection(ReaderElection, Membership, mayBecomeReader, now)) {
    return;
  }
  logEvent(EventId::DutyChanged, ReaderElection.CurrentDuty == Duty::Read
                                     ? "reads the store"
                                 : ReaderElection.CurrentDuty == Duty::Follow
                                     ? "follows " + ReaderElection.Reader
                                     : "waits for a reader");
  if (previousReader != ReaderElection.Reader) {
    resetPolling();
    pollReader();
  }
  if (previousDuty != ReaderElection.CurrentDuty) {
    applyDuty();
  }
}

void PeerTask::applyDuty() {
  Membership.LocalMember.Reading = ReaderElection.CurrentDuty == Duty::Read;
  if (Membership.LocalMember.Reading) {
    // A reader drops the list that it got while it followed another; it needs
    // the complete one when it follows that one again.
    for (ChannelPoll &it : Polls) {
      it.Lag = {};
    }
    ReaderLiveList.clear();
  }
  Membership.LocalMember.StoreHealthy = false;
  ReadingSince = DutySince = readClock();
  Publisher.setReading(Membership.LocalMember.Reading);
  Publisher.publish(
      StatePart::Members); // The first list; changes trigger later ones.
  announceToDomain();
  Handlers.DutyChanged(ReaderElection.CurrentDuty);
}

void PeerTask::setStoreHealthy(bool healthy) {
  if (ReaderElection.CurrentDuty != Duty::Read ||
      Membership.LocalMember.StoreHealthy == healthy) {
    return;
  }
  Membership.LocalMember.StoreHealthy = healthy;
  announceToDomain();
}

void PeerTask::addRecordedInstances(const std::vector<Instance> &recorded) {
  Recorded = recorded;
  addRecorded();
  FleetSize = std::max<std::size_t>(recorded.size(), 1);
  Publisher.publish(StatePart::Members);
}

void PeerTask::addRecorded() {
  const Instant now = readClock();
  for (const Instance &it : Recorded) {
    addIfUnknown(Membership, {it, 0, 0, false, false}, now);
  }
}

void PeerTask::sendToAll(const Datagram &datagram) const {
  for (const auto &[id, it] : Membership.Others) {
    send(it.LastStatus.Record.PeerAddress, datagram);
  }
}

void PeerTask::broadcastSuspected(const balance::CrashSuspect &suspect) {
  sendToAll({balance::PeerSuspected{suspect}, Membership.LocalMember, {}});
}

void PeerTask::broadcastQuarantined(std::uint64_t fingerprint) {
  sendToAll(
      {balance::PeerQuarantined{fingerprint}, Membership.LocalMember, {}});
  NoticesToRepeat[fingerprint] = {NoticeRepetitions, readClock()};
}

void PeerTask::broadcastCleared(std::uint64_t fingerprint) {
  Datagram datagram{Datagram::Pong{}, Membership.LocalMember, {}};
  datagram.ClearedFingerprints = {fingerprint};
  sendToAll(datagram);
}

void PeerTask::broadcastLimitEnded(const std::string &upstream) {
  Datagram datagram{Datagram::Pong{}, Membership.LocalMember, {}};
  datagram.EndedLimits = {upstream};
  sendToAll(datagram);
}

// Peer addresses of the readers of the other failure domains; of a domain whose
// reader has not been heard from, those of all its members.
std::vector<std::string> PeerTask::outsideReaders() const {
  const Instant now = readClock();
  std::map<std::string, std::vector<std::string>> readers;
  std::map<std::string, std::vector<std::string>> all;
  for (const auto &[id, it] : Membership.Others) {
    const Instance &record = it.LastStatus.Record;
    if (record.Domain == Membership.LocalMember.Record.Domain) {
      continue;
    }
    all[record.Domain].push_back(record.PeerAddress);
    if (it.LastStatus.Reading && hasRecentMessage(it, now)) {
      readers[record.Domain].push_back(record.PeerAddress);
    }
  }
  std::vector<std::string> addresses;
  for (const auto &[domain, members] : all) {
    const auto known = readers.find(domain);
    const auto &chosen = known == readers.end() ? members : known->second;
    addresses.insert(addresses.end(), chosen.begin(), chosen.end());
  }
  return addresses;
}

void PeerTask::askWhenStoreAnswered() {
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>>
      domains;
  ++StoreAsks;
  const Instant now = readClock();
  for (const auto &[id, it] : Membership.Others) {
    const Instance &record = it.LastStatus.Record;
    const bool isReader = it.LastStatus.Reading && hasRecentMessage(it, now);
    const std::uint64_t rank =
        isReader ? 0 : hashCombine(StoreAsks, hashBytes(id));
    domains[record.Domain].emplace_back(rank, record.PeerAddress);
  }
  const Datagram datagram{
      AskAnswered{Membership.LocalMember.Record.PeerAddress},
      Membership.LocalMember,
      {}};
  for (auto &[domain, addresses] : domains) {
    std::ranges::sort(addresses);
    for (const auto &[rank, address] : std::span(addresses).first(
             std::min(addresses.size(), AskedInDomain))) {
      send(address, datagram);
    }
  }
}

// A follower doesn't call the store. It passes the question on to its reader,
// once: two that follow each other for a moment would pass it on for ever.
void PeerTask::handleAsk(const AskAnswered &ask, const std::string &from) {
  const auto spans = Handlers.ListAnsweredSpans
                         ? Handlers.ListAnsweredSpans()
                         : std::vector<store::AnsweredSpanAge>{};
  if (!spans.empty()) {
    send(ask.ReplyTo, {Answered{spans}, Membership.LocalMember, {}});
  }
  const auto reader = Membership.Others.find(ReaderElection.Reader);
  const bool isFirst = from == ask.ReplyTo;
  if (!isFirst || ReaderElection.CurrentDuty != Duty::Follow ||
      reader == Membership.Others.end()) {
    return;
  }
  const std::string &address = reader->second.LastStatus.Record.PeerAddress;
  if (address != ask.ReplyTo) {
    send(address, {ask, Membership.LocalMember, {}});
  }
}

void PeerTask::sendRolloutReport(const rollout::Report &report) {
  const Datagram datagram{report, Membership.LocalMember, {}};
  switch (report.Scope) {
  case rollout::ReportScope::Instance: {
    const auto reader = Membership.Others.find(ReaderElection.Reader);
    if (reader != Membership.Others.end()) {
      send(reader->second.LastStatus.Record.PeerAddress, datagram);
    }
    return;
  }
  case rollout::ReportScope::Domain:
    for (const std::string &it : outsideReaders()) {
      send(it, datagram);
    }
    return;
  case rollout::ReportScope::Fleet:
    for (const auto &[id, it] : Membership.Others) {
      if (it.LastStatus.Record.Domain == Membership.LocalMember.Record.Domain) {
        send(it.LastStatus.Record.PeerAddress, datagram);
      }
    }
    return;
  }
}

void PeerTask::repeatNotices() {
  const Instant now = readClock();
  for (auto &[fingerprint, it] : NoticesToRepeat) {
    if (now - it.SentAt >= PingInterval) {
      sendToAll(
          {balance::PeerQuarantined{fingerprint}, Membership.LocalMember, {}});
      it = {it.TimesLeft - 1, now};
    }
  }
  std::erase_if(NoticesToRepeat,
                [](const auto &it) { return it.second.TimesLeft == 0; });
}

void PeerTask::sendCreditMessage(const std::string &instance,
                                 const quota::Message &message) const {
  const auto it = Membership.Others.find(instance);
  if (it != Membership.Others.end()) {
    send(it->second.LastStatus.Record.PeerAddress,
         {message, Membership.LocalMember, {}});
  }
}

void PeerTask::reportLeaving(const LeavingUpstream &upstream) {
  const auto reader = Membership.Others.find(ReaderElection.Reader);
  if (ReaderElection.CurrentDuty == Duty::Follow &&
      reader != Membership.Others.end()) {
    send(reader->second.LastStatus.Record.PeerAddress,
         {upstream, Membership.LocalMember, {}});
  }
}

void PeerTask::announceLeaving() {
  Membership.LocalMember.Record.Leaving = true;
  announceToDomain();
  sendPings();
}

std::vector<Instance> PeerTask::instancesInOwnDomain() const {
  std::vector<Instance> all{Membership.LocalMember.Record};
  for (const auto &[id, it] : Membership.Others) {
    if (it.LastStatus.Record.Domain == Membership.LocalMember.Record.Domain) {
      all.push_back(it.LastStatus.Record);
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Instance &a, const Instance &b) { return a.Id < b.Id; });
  return all;
}

std::vector<std::string> PeerTask::instanceIds() const {
  std::vector<std::string> ids{Membership.LocalMember.Record.Id};
  for (const auto &[id, it] : Membership.Others) {
    if (!it.LastStatus.Record.Leaving) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::string PeerTask::reader() const {
  switch (ReaderElection.CurrentDuty) {
  case Duty::Read:
    return Membership.LocalMember.Record.Id;
  case Duty::Follow:
    return ReaderElection.Reader;
  default:
    return {};
  }
}

std::vector<Instance> PeerTask::knownInstances() const {
  std::vector<Instance> all{Membership.LocalMember.Record};
  for (const auto &[id, it] : Membership.Others) {
    all.push_back(it.LastStatus.Record);
  }
  return all;
}

std::vector<Member> PeerTask::liveMembers() const {
  return listLiveMembers(Membership, readClock());
}

std::vector<Member> PeerTask::readyMembers() const {
  return listReadyMembers(Membership, readClock());
}

std::vector<Member> PeerTask::readyOutsideMembers() const {
  return listReadyOutsideMembers(Membership, readClock());
}

std::vector<Member> PeerTask::membersForFollowers() const {
  std::vector<Member> all = liveMembers();
  for (const Instance &it : Recorded) {
    if (it.Domain != Membership.LocalMember.Record.Domain) {
      all.push_back({it, 0, 0, false, false});
    }
  }
  return all;
}

std::size_t PeerTask::fleetSize() const { return FleetSize; }

bool PeerTask::isStateCurrent() const {
  if (ReaderElection.CurrentDuty == Duty::Read) {
    return Membership.LocalMember.StoreHealthy;
  }
  const Instant now = readClock();
  const auto reader = Membership.Others.find(ReaderElection.Reader);
  return ReaderElection.CurrentDuty == Duty::Follow &&
         reader != Membership.Others.end() &&
         hasRecentMessage(reader->second, now) &&
         reader->second.LastStatus.StoreHealthy &&
         std::none_of(Polls.begin(), Polls.end(), [&](const ChannelPoll &it) {
           return isBehind(it.Lag, now);
         });
}

std::size_t PeerTask::electionRank() const {
  return computeElectionRank(Membership, readClock());
}

void PeerTask::notifyIfLiveChanged() {
  const Instant now = readClock();
  if (ReaderElection.CurrentDuty == Duty::Read &&
      now - ReadingSince > InheritedListTime) {
    applyReaderLiveList(Membership, {}, now);
  }
  std::uint64_t digest = 0;
  forEachLiveMember(Membership, now, [&](const Member &it) {
    digest = hashCombine(digest,
                         hashBytes(it.Record.Id + it.Record.CallerAddress) +
                             (it.Record.Leaving ? 1 : 0) + (it.Ready ? 2 : 0));
  });
  if (digest == LiveDigest) {
    return;
  }
  LiveDigest = digest;
  Publisher.publish(StatePart::Members);
  Handlers.LiveMembersChanged();
}

boost::json::object PeerTask::describe(Instant now) const {
  boost::json::array others;
  for (const auto &[id, it] : Membership.Others) {
    others.push_back({{"id", id},
                      {"domain", it.LastStatus.Record.Domain},
                      {"live", isLive(it, now)},
                      {"heard", hasRecentMessage(it, now)},
                      {"reading", it.LastStatus.Reading},
                      {"healthy", it.LastStatus.StoreHealthy},
                      {"leaving", it.LastStatus.Record.Leaving}});
  }
  return {{"duty", ReaderElection.CurrentDuty == Duty::Read     ? "read"
                   : ReaderElection.CurrentDuty == Duty::Follow ? "follow"
                                                                : "wait"},
          {"reader", ReaderElection.Reader},
          {"known", FleetSize},
          {"others", std::move(others)}};
}

} // namespace zinniarail::fleet
