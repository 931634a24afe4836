#include "fleet/PeerTask.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "http/Sockets.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

#include <arpa/inet.h>

namespace zinniarail::fleet {

namespace {

// Members that an instance speaks to all the time: the reader and those who
// would read next.
constexpr std::size_t LeadingCount = 3;

// Members of its failure domain that an instance is told of.
constexpr std::size_t IntroducedCount = 5;

// Seeds are spoken to for so long after the start, and afterwards by readers
// only, at a longer distance.
constexpr Duration SeedTime = std::chrono::seconds{2};
constexpr Duration SeedPause = std::chrono::seconds{1};

// Between two questions to a reader that did not answer.
constexpr Duration AskPause = std::chrono::milliseconds{50};

// After it a reader knows by itself who lives; until then it believes what the
// last reader said.
constexpr Duration VouchTime = std::chrono::seconds{1};

// While nobody reads with success, nobody says who lives. Each instance asks
// all of its failure domain then, often enough that none seems lost.
constexpr Duration AskAllPause = std::chrono::milliseconds{400};

// Soon after the start each answer counts, and while nobody reads, each step.
constexpr Duration EarlyTick = PingInterval / 16;
constexpr Duration WaitingTick = StepTime / 5;

// An instance that knows nothing asks others so long after it took a duty in
// which the store, or whom it follows, could have told it.
constexpr Duration CatchUpDelay = std::chrono::milliseconds{25};

// An instance that knows nothing so long after its start is named to callers
// no more.
constexpr Duration ReadyTime = std::chrono::milliseconds{500};

constexpr std::size_t MostDatagramBytes = 8192;

constexpr unsigned Ok = 200;

int openDatagrams(const std::string &address) {
  const auto where = http::readAddress(address);
  const int fd =
      where ? socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
            : -1;
  if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr *>(&*where),
                      sizeof *where) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

} // namespace

PeerTask::PeerTask(struct ev_loop *loop, Member self,
                   std::vector<std::string> seeds, Duration settleTime,
                   double linkMbps, PeerHandlers handlers)
    : Loop(loop), Seeds(std::move(seeds)), SettleTime(settleTime),
      Handlers(std::move(handlers)),
      Publisher(loop, self.Boot, linkMbps, Handlers.Fill),
      FromPeers(loop, [this](const News &news) { Handlers.NewsCame(news); }),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        takeNews(id, result);
      }) {
  std::erase(Seeds, self.Record.PeerAddress);
  Known.Self = std::move(self);
  Known.Self.Format = NewsFormat;
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
    ev_io_stop(Loop, &Readable);
    close(Socket);
  }
}

bool PeerTask::open() {
  const std::string &address = Known.Self.Record.PeerAddress;
  Socket = openDatagrams(address);
  if (Socket < 0 || !Publisher.listen(address)) {
    return false;
  }
  ev_io_init(
      &Readable,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<PeerTask *>(it->data)->receive();
      },
      Socket, EV_READ);
  Readable.data = this;
  ev_io_start(Loop, &Readable);
  return true;
}

void PeerTask::start() {
  StartedAt = readClock();
  tick();
}

void PeerTask::tick() {
  const Instant now = readClock();
  forgetSilent(Known, now);
  const bool early = now - StartedAt < SettleTime;
  if (early || now - PingedAt >= PingInterval) {
    ping();
  }
  settle();
  if (Choice.Now == Duty::Follow && !Asking && now >= AskAt) {
    ask();
  }
  catchUp();
  tellLive();
  const bool waits = Choice.Now == Duty::Wait || !Known.Self.Informed;
  const std::chrono::duration<double> seconds = early   ? EarlyTick
                                                : waits ? WaitingTick
                                                        : PingInterval;
  ev_timer_set(&Timer, seconds.count(), 0);
  ev_timer_start(Loop, &Timer);
}

void PeerTask::tellUnreadable() {
  if (Unreadable > 0) {
    logEvent(EventId::MessagesUnreadable,
             {{"count", std::exchange(Unreadable, 0)}});
  }
}

void PeerTask::catchUp() {
  const Instant now = readClock();
  Known.Self.Ready = Known.Self.Informed || now - StartedAt < ReadyTime;
  const bool due =
      now - std::max(StartedAt + SettleTime, DutySince) >= CatchUpDelay;
  if (!Known.Self.Informed && due) {
    FromPeers.advance(Known, now);
  }
}

void PeerTask::setInformed(bool informed) {
  if (Known.Self.Informed == informed) {
    return;
  }
  Known.Self.Informed = informed;
  Publisher.setInformed(informed);
  if (informed) {
    Known.Self.Ready = true;
    FromPeers.end();
  }
}

void PeerTask::ping() {
  const Instant now = readClock();
  PingedAt = now;
  const Datagram datagram{Datagram::Ping{}, Known.Self, {}};
  std::vector<std::string> targets;
  for (const Member &it : leadingOf(Known, LeadingCount, now)) {
    noteAsked(Known, it.Record.Id, now);
    targets.push_back(it.Record.PeerAddress);
  }
  const auto reader = Known.Others.find(Choice.Reader);
  if (Choice.Now == Duty::Follow && reader != Known.Others.end()) {
    noteAsked(Known, reader->first, now);
    targets.push_back(reader->second.Said.Record.PeerAddress);
  }
  const bool alone = targets.empty();
  const bool unread = Choice.Now != Duty::Follow && !Known.Self.Healthy &&
                      now - DutySince >= VouchTime / 2;
  if (unread && now - AskedAllAt >= AskAllPause) {
    AskedAllAt = now;
    for (const auto &[id, it] : Known.Others) {
      if (it.Said.Record.Domain == Known.Self.Record.Domain) {
        targets.push_back(it.Said.Record.PeerAddress);
      }
    }
  }
  const auto ticks = (now - StartedAt) / PingInterval;
  const bool seedTurn = ticks % (SeedPause / PingInterval) == 0;
  if (now - StartedAt < SeedTime ||
      (seedTurn && (alone || Choice.Now == Duty::Read))) {
    targets.insert(targets.end(), Seeds.begin(), Seeds.end());
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  for (const std::string &it : targets) {
    send(it, datagram);
  }
}

// Tells everybody of this failure domain at once what changed here.
void PeerTask::greetAll() {
  const Datagram datagram{Datagram::Pong{}, Known.Self, {}};
  for (const auto &[id, it] : Known.Others) {
    if (it.Said.Record.Domain == Known.Self.Record.Domain) {
      send(it.Said.Record.PeerAddress, datagram);
    }
  }
}

void PeerTask::send(const std::string &address,
                    const Datagram &datagram) const {
  const auto where = http::readAddress(address);
  if (!where) {
    return;
  }
  const std::string bytes = encodeDatagram(datagram);
  // A datagram that can't be sent is as good as lost; the next one follows.
  sendto(Socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&*where), sizeof *where);
}

void PeerTask::receive() {
  std::array<char, MostDatagramBytes> buffer;
  while (true) {
    const ssize_t n = recv(Socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (n < 0) {
      return;
    }
    if (const auto datagram =
            decodeDatagram({buffer.data(), static_cast<std::size_t>(n)})) {
      hear(*datagram, datagram->Sender.Record.PeerAddress);
    } else {
      ++Unreadable;
    }
  }
}

void PeerTask::hear(const Datagram &datagram, const std::string &from) {
  const Instant now = readClock();
  const bool changed = hearMember(Known, datagram.Sender, now);
  for (const Member &it : datagram.Others) {
    introduce(Known, it, now);
  }
  if (std::holds_alternative<Datagram::Ping>(datagram.What)) {
    Datagram pong{Datagram::Pong{}, Known.Self, {}};
    for (const auto &[id, it] : Known.Others) {
      if (it.Said.Record.Domain == datagram.Sender.Record.Domain &&
          id != datagram.Sender.Record.Id && isHeard(it, now)) {
        pong.Others.push_back(it.Said);
      }
    }
    std::sort(pong.Others.begin(), pong.Others.end(), leads);
    pong.Others.resize(std::min(pong.Others.size(), IntroducedCount));
    send(from, pong);
  } else if (const auto *suspected =
                 std::get_if<balance::Suspected>(&datagram.What)) {
    Handlers.WordCame(*suspected);
  } else if (const auto *condemned =
                 std::get_if<balance::Condemned>(&datagram.What)) {
    Handlers.WordCame(*condemned);
  }
  if (changed) {
    settle();
    tellLive();
  }
}

void PeerTask::settle() {
  const Instant now = readClock();
  const bool maySettle = now - StartedAt >= SettleTime;
  const Duty before = Choice.Now;
  const std::string reader = Choice.Reader;
  if (!decide(Choice, Known, maySettle, now)) {
    return;
  }
  logEvent(EventId::DutyChanged, Choice.Now == Duty::Read ? "reads the store"
                                 : Choice.Now == Duty::Follow
                                     ? "follows " + Choice.Reader
                                     : "waits for a reader");
  if (reader != Choice.Reader) {
    endNews();
    ask();
  }
  if (before != Choice.Now) {
    takeDuty();
  }
}

void PeerTask::takeDuty() {
  Known.Self.Reading = Choice.Now == Duty::Read;
  Known.Self.Healthy = false;
  ReadingSince = DutySince = readClock();
  Publisher.setReading(Known.Self.Reading);
  Publisher.publish(
      Part::Members); // Also where nobody comes or goes from now on.
  greetAll();
  Handlers.DutyChanged(Choice.Now);
}

void PeerTask::setHealthy(bool healthy) {
  if (Choice.Now != Duty::Read || Known.Self.Healthy == healthy) {
    return;
  }
  Known.Self.Healthy = healthy;
  greetAll();
}

void PeerTask::ask() {
  const auto reader = Known.Others.find(Choice.Reader);
  if (Choice.Now != Duty::Follow || Asking || reader == Known.Others.end()) {
    return;
  }
  Asking = true;
  const Member &it = reader->second.Said;
  const bool same = NewsBoot == it.Boot;
  http::Call call;
  call.Id = ++LastCall;
  call.Address = it.Record.PeerAddress;
  call.Bytes = std::string("GET ") + NewsPath +
               "?boot=" + std::to_string(NewsBoot) +
               "&after=" + std::to_string(same ? NewsSequence : 0) +
               " HTTP/1.1\r\nHost: " + it.Record.PeerAddress + "\r\n\r\n";
  Pool.start(std::move(call));
}

void PeerTask::endNews() {
  Asking = false;
  NewsBoot = 0;
  NewsSequence = 0;
  Vouched.clear();
  Pool.cancel(LastCall);
  ++LastCall; // What still comes of the old call is passed over.
}

void PeerTask::takeNews(http::CallId id, const http::CallResult &result) {
  if (id != LastCall || !Asking) {
    return;
  }
  Asking = false;
  const auto news =
      result.How == http::Ending::Answered && result.Response.Status == Ok
          ? decodeNews(result.Response.Body)
          : std::nullopt;
  if (!news) {
    const bool answered =
        result.How == http::Ending::Answered && result.Response.Status == Ok;
    Unreadable += answered ? 1 : 0;
    AskAt = readClock() + AskPause;
    return;
  }
  NewsBoot = news->Boot;
  NewsSequence = news->Sequence;
  if (news->Fleet) {
    takeVouched(*news->Fleet);
  }
  Handlers.NewsCame(*news);
  tellLive();
  ask();
}

void PeerTask::takeVouched(const MemberList &list) {
  if (list.Change.Whole) {
    Vouched.clear();
  }
  for (const Member &it : list.Change.Some) {
    Vouched[it.Record.Id] = it;
  }
  for (const std::string &id : list.Change.Gone) {
    Vouched.erase(id);
  }
  std::vector<Member> live;
  for (const auto &[id, it] : Vouched) {
    live.push_back(it);
  }
  vouchFor(Known, live, readClock());
  KnownCount = std::max<std::size_t>(list.Known, 1);
}

void PeerTask::learnRecorded(const std::vector<Instance> &recorded) {
  const Instant now = readClock();
  for (const Instance &it : recorded) {
    introduce(Known, {it, 0, 0, false, false}, now);
  }
  const std::size_t before = KnownCount;
  KnownCount = std::max<std::size_t>(recorded.size(), 1);
  if (KnownCount != before) {
    Publisher.publish(Part::Members);
  }
}

void PeerTask::sendAll(const Datagram &datagram) const {
  for (const auto &[id, it] : Known.Others) {
    send(it.Said.Record.PeerAddress, datagram);
  }
}

void PeerTask::tellSuspected(const balance::Suspect &suspect) {
  sendAll({balance::Suspected{suspect}, Known.Self, {}});
}

void PeerTask::tellCondemned(std::uint64_t fingerprint) {
  sendAll({balance::Condemned{fingerprint}, Known.Self, {}});
}

void PeerTask::beginStop() {
  Known.Self.Record.Leaving = true;
  greetAll();
  ping();
}

std::vector<Instance> PeerTask::ofOwnDomain() const {
  std::vector<Instance> all{Known.Self.Record};
  for (const auto &[id, it] : Known.Others) {
    if (it.Said.Record.Domain == Known.Self.Record.Domain) {
      all.push_back(it.Said.Record);
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Instance &a, const Instance &b) { return a.Id < b.Id; });
  return all;
}

std::vector<Member> PeerTask::live() const {
  return liveMembers(Known, readClock());
}

std::size_t PeerTask::known() const { return KnownCount; }

bool PeerTask::isConfirmed() const {
  if (Choice.Now == Duty::Read) {
    return Known.Self.Healthy;
  }
  const auto reader = Known.Others.find(Choice.Reader);
  return Choice.Now == Duty::Follow && reader != Known.Others.end() &&
         isHeard(reader->second, readClock()) && reader->second.Said.Healthy;
}

std::size_t PeerTask::position() const {
  return positionOf(Known, readClock());
}

void PeerTask::tellLive() {
  const Instant now = readClock();
  if (Choice.Now == Duty::Read && now - ReadingSince > VouchTime) {
    vouchFor(Known, {}, now);
  }
  std::uint64_t digest = 0;
  for (const Member &it : liveMembers(Known, now)) {
    digest = hashCombine(digest,
                         hashBytes(it.Record.Id + it.Record.CallerAddress) +
                             (it.Record.Leaving ? 1 : 0) + (it.Ready ? 2 : 0));
  }
  if (digest == LiveDigest) {
    return;
  }
  LiveDigest = digest;
  Publisher.publish(Part::Members);
  Handlers.LiveChanged();
}

boost::json::object PeerTask::describe(Instant now) const {
  boost::json::array others;
  for (const auto &[id, it] : Known.Others) {
    others.push_back({{"id", id},
                      {"domain", it.Said.Record.Domain},
                      {"live", isLive(it, now)},
                      {"heard", isHeard(it, now)},
                      {"reading", it.Said.Reading},
                      {"healthy", it.Said.Healthy},
                      {"leaving", it.Said.Record.Leaving}});
  }
  return {{"duty", Choice.Now == Duty::Read     ? "read"
                   : Choice.Now == Duty::Follow ? "follow"
                                                : "wait"},
          {"reader", Choice.Reader},
          {"known", KnownCount},
          {"others", std::move(others)}};
}

} // namespace zinniarail::fleet
