#include "zinniarail/control/ControlTask.h"

#include <atomic>
#include <thread>

#include <ev.h>

#include "control/Notices.h"
#include "control/PartReader.h"
#include "control/Roster.h"
#include "control/State.h"
#include "zinniarail/objects/Objects.h"

namespace zinniarail::control {

namespace {

using objects::Outcome;

constexpr double TickSeconds = 0.1;
constexpr Duration ReadPause = std::chrono::milliseconds{50};

struct LoopDelete {
  void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
};

Instance describeSelf(const Settings &settings) {
  return {settings.InstanceId, settings.FailureDomain, settings.CallerAddress,
          settings.PeerAddress, settings.OperatorAddress};
}

bool answered(Outcome how) {
  return how == Outcome::Done || how == Outcome::NotChanged ||
         how == Outcome::NotFound;
}

} // namespace

struct ControlTask::Impl {
  Impl(const Settings &settings, Outboxes outboxes, const ReaderPolicy &policy);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void take(PeerSeen &message);
  void take(PeerLost &message);
  void take(DocumentFetched &message);
  void take(ReadRoster &message);
  void take(WriteRoster &message);
  void take(StopBegun &message);
  void take(DumpWanted &message);

  void drain();
  void advance();
  void readDocument(bool reader, bool lacksProof, Instant now);
  void readInstances(bool reader, Instant now);
  void takeDocument(const objects::Reply &reply);
  void endDocumentRead(bool reached);
  void takeInstances(objects::InstanceListing listing);

  std::unique_ptr<struct ev_loop, LoopDelete> Loop;
  ev_async Wake{};
  ev_timer Tick{};
  std::atomic<bool> Stopping{false};
  Inbox Box;
  Outboxes Out;
  Random Draws;
  std::string DocumentKey;
  State Known;
  Told Logged;
  Parts DocumentParts; ///< Of the root read last.
  std::shared_ptr<const View> Posted = std::make_shared<View>();
  Instant PostedAt{};
  objects::Client Platform;
  std::thread Thread;
};

ControlTask::Impl::Impl(const Settings &settings, Outboxes outboxes,
                        const ReaderPolicy &policy)
    : Loop(ev_loop_new(EVFLAG_AUTO)),
      Box([this] { ev_async_send(Loop.get(), &Wake); }),
      Out(std::move(outboxes)), Draws(settings.Seed),
      DocumentKey("environments/" + settings.Environment + "/document"),
      Platform(Loop.get(), settings.PlatformAddress, PlatformTimeout) {
  Known.Intent.Environment = settings.Environment;
  Known.Intent.Domain = settings.FailureDomain;
  Known.Intent.Lifetime = settings.ViewLifetime;
  Known.Members.Self = describeSelf(settings);
  Known.Readers = policy;
  ev_async_init(&Wake, [](struct ev_loop *, ev_async *it, int) {
    static_cast<Impl *>(it->data)->drain();
  });
  Wake.data = this;
  ev_async_start(Loop.get(), &Wake);
  ev_timer_init(
      &Tick,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Impl *>(it->data)->advance();
      },
      0., TickSeconds);
  Tick.data = this;
  ev_timer_start(Loop.get(), &Tick);
}

ControlTask::Impl::~Impl() {
  ev_timer_stop(Loop.get(), &Tick);
  ev_async_stop(Loop.get(), &Wake);
}

void ControlTask::Impl::drain() {
  if (Stopping) {
    ev_break(Loop.get(), EVBREAK_ALL);
    return;
  }
  bool urgent = false;
  for (Message &message : Box.take()) {
    const auto *seen = std::get_if<PeerSeen>(&message);
    urgent = urgent || seen == nullptr || seen->Version != Known.Intent.Version;
    std::visit([this](auto &it) { take(it); }, message);
  }
  // In a large fleet most words bring nothing new; the tick weighs them.
  if (urgent) {
    advance();
  }
}

void ControlTask::Impl::take(PeerSeen &message) {
  if (message.Peer.Id == Known.Members.Self.Id) {
    return;
  }
  const Instant now = readClock();
  hearPeer(Known.Members, message.Peer, now);
  hearPeer(Known.Intent,
           {message.Peer.Id, message.Peer.Domain, message.Version,
            message.ConfirmedAge, message.AskedAt},
           now);
}

void ControlTask::Impl::take(PeerLost &message) {
  losePeer(Known.Members, message.Instance, readClock());
  losePeer(Known.Intent, message.Instance);
}

void ControlTask::Impl::take(DocumentFetched &message) {
  note(Known.Seen, offerFromPeer(Known.Intent, message.Instance,
                                 message.Version, message.Bytes));
}

void ControlTask::Impl::take(ReadRoster &) {
  readRoster(Platform, Known.Intent.Environment,
             [this](peers::RosterRead read) { Out.Peers(std::move(read)); });
}

void ControlTask::Impl::take(WriteRoster &message) {
  writeRoster(Platform, Known.Intent.Environment, message,
              [this](peers::RosterRead read) { Out.Peers(std::move(read)); });
}

void ControlTask::Impl::take(StopBegun &) { beginStop(Known.Members); }

void ControlTask::Impl::take(DumpWanted &message) {
  message.Answer(describe(Known, Platform.counts(), readClock()));
}

// Starts what is due and posts the view when it changed.
void ControlTask::Impl::advance() {
  const Instant now = readClock();
  View next = makeView(Known, now);
  const bool reader =
      isReader(next.Instances, Known.Members.Self, Known.Readers);
  const bool lacksProof = next.ConfirmedAsOf == Instant::min() ||
                          now >= next.ConfirmedAsOf + Known.Intent.Lifetime / 2;
  readDocument(reader, lacksProof, now);
  readInstances(reader, now);
  for (const Notice &it : takeNotices(Logged, Known, reader)) {
    logEvent(it.Id, it.Text);
  }
  if (const auto wanted = chooseFetch(Known.Intent, now)) {
    Out.Peers(peers::FetchDocument{wanted->Instance, wanted->Version});
  }
  if (isWorthPosting(*Posted, next, PostedAt, now)) {
    Posted = std::make_shared<const View>(std::move(next));
    PostedAt = now;
    Out.Gateway(gateway::ViewChanged{Posted});
    Out.Peers(peers::ViewChanged{Posted});
  }
}

void ControlTask::Impl::readDocument(bool reader, bool lacksProof,
                                     Instant now) {
  const ReadKind kind =
      planDocumentRead(Known.DocumentRead, reader, lacksProof, now);
  if (kind == ReadKind::None) {
    return;
  }
  noteStart(Known.DocumentRead);
  const auto done = [this](const objects::Reply &reply) {
    takeDocument(reply);
  };
  if (kind == ReadKind::Get) {
    Platform.get(DocumentKey, done);
    return;
  }
  Platform.watch(DocumentKey,
                 std::max(Known.Intent.Version, Known.Intent.RefusedVersion),
                 DocumentWait, done);
}

void ControlTask::Impl::takeDocument(const objects::Reply &reply) {
  if (reply.How != Outcome::Done) {
    if (answered(reply.How) && Known.Intent.Intent) {
      confirmFromPlatform(Known.Intent, reply.AsOf);
    }
    endDocumentRead(answered(reply.How));
    return;
  }
  completeDocument(Platform, reply.Bytes, DocumentParts,
                   [this, version = reply.Version,
                    asOf = reply.AsOf](Outcome how, const std::string &bytes) {
                     if (how != Outcome::Unreachable) {
                       // Empty bytes stand for parts that make no document.
                       note(Known.Seen, offerFromPlatform(Known.Intent, version,
                                                          bytes, asOf));
                     }
                     endDocumentRead(how != Outcome::Unreachable);
                   });
}

void ControlTask::Impl::endDocumentRead(bool reached) {
  noteEnd(Known.DocumentRead, reached, ReadPause, readClock(), Draws);
  advance();
}

void ControlTask::Impl::readInstances(bool reader, Instant now) {
  const ReadKind kind = planInstancesRead(Known.InstancesRead, reader, now);
  if (kind == ReadKind::None) {
    return;
  }
  noteStart(Known.InstancesRead);
  const auto done = [this](objects::InstanceListing listing) {
    takeInstances(std::move(listing));
  };
  if (kind == ReadKind::Get) {
    Platform.listInstances(done);
    return;
  }
  Platform.watchInstances(Known.InstancesVersion, InstancesWait, done);
}

void ControlTask::Impl::takeInstances(objects::InstanceListing listing) {
  const Instant now = readClock();
  if (listing.How == Outcome::Done) {
    hearList(Known.Members, std::move(listing.Instances), now);
    Known.InstancesVersion = listing.Version;
  }
  const bool reader = isReader(liveInstances(Known.Members, now),
                               Known.Members.Self, Known.Readers);
  // Without a version the next watch would be answered at once.
  const bool watches = reader && Known.InstancesVersion != 0;
  noteEnd(Known.InstancesRead, answered(listing.How),
          watches ? ReadPause : InstancesInterval, now, Draws);
  advance();
}

ControlTask::ControlTask(const Settings &settings, Outboxes outboxes,
                         const ReaderPolicy &policy)
    : Self(std::make_unique<Impl>(settings, std::move(outboxes), policy)) {}

ControlTask::~ControlTask() { stop(); }

void ControlTask::start() {
  Self->Thread = std::thread([this] { ev_run(Self->Loop.get(), 0); });
}

void ControlTask::stop() {
  if (!Self->Thread.joinable()) {
    return;
  }
  Self->Stopping = true;
  ev_async_send(Self->Loop.get(), &Self->Wake);
  Self->Thread.join();
}

Inbox &ControlTask::inbox() { return Self->Box; }

} // namespace zinniarail::control
