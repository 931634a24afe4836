#include "store/StoreTask.h"

#include <algorithm>

#include <boost/json.hpp>

#include "zinniarail/events/Events.h"

namespace zinniarail::store {

namespace {

using platform::Freshness;
using platform::Kind;
using platform::Outcome;

// How long the store may hold a watch without a change. A watch whose answer is
// lost is noticed that much later at the latest.
constexpr Duration WatchWait = std::chrono::milliseconds{3000};

// Likewise at the full price.
constexpr Duration LatestWatchWait = std::chrono::milliseconds{8000};

// For the answer itself, beyond a watch's wait.
constexpr Duration CallTimeout = std::chrono::milliseconds{1000};

// For the question whether the store is back: one that began before it was must
// not hold up the next.
constexpr Duration PingTimeout = std::chrono::milliseconds{400};

std::size_t indexOf(Kind kind) { return static_cast<std::size_t>(kind); }

constexpr std::array<Kind, 4> AllKinds{Kind::Configuration, Kind::Upstreams,
                                       Kind::Evacuations, Kind::Instances};

} // namespace

StoreTask::StoreTask(struct ev_loop *loop, const std::string &address,
                     Instance self, std::uint64_t seed, Changed changed)
    : Loop(loop), Self(std::move(self)), Tell(std::move(changed)), Draws(seed),
      Client(loop, address) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<StoreTask *>(it->data)->advance();
      },
      0, 0);
  Timer.data = this;
}

StoreTask::~StoreTask() { ev_timer_stop(Loop, &Timer); }

void StoreTask::distrustCheapReads() {
  for (Feed &it : Feeds) {
    it.LatestUntil = readClock() + LagTime;
  }
}

void StoreTask::start() { advance(); }

void StoreTask::advance() {
  const Instant now = readClock();
  if (dropDue(Upstreams, now)) {
    Dirty = true;
  }
  if (Lost) {
    advancePing(now);
  } else {
    advanceFeeds(now);
    advanceRecord(now);
  }
  if (Dirty) {
    report();
  }
  ev_timer_stop(Loop, &Timer);
  if (const Instant next = nextAt(); next != Instant::max()) {
    const std::chrono::duration<double> left =
        std::max(next - readClock(), Duration{0});
    ev_timer_set(&Timer, left.count(), 0);
    ev_timer_start(Loop, &Timer);
  }
}

void StoreTask::advanceFeeds(Instant now) {
  for (const Kind kind : AllKinds) {
    const FeedCall what = nextCall(Feeds[indexOf(kind)], now);
    if (what != FeedCall::None) {
      call(kind, what);
    }
  }
}

// The kind with the fewest objects serves to see whether the store answers.
void StoreTask::advancePing(Instant now) {
  if (Ping.Running || now < Ping.NextAt) {
    return;
  }
  Ping.Running = true;
  Client.list(Kind::Evacuations, "", Freshness::MayLag, PingTimeout,
              [this](const platform::Reply &reply) {
                if (reply.How == Outcome::Done) {
                  noteBack();
                } else {
                  noteFailure(Ping, Draws, readClock());
                }
                advance();
              });
}

Instant StoreTask::nextAt() const {
  Instant next = nextDrop(Upstreams);
  const auto consider = [&](bool running, Instant at) {
    next = running ? next : std::min(next, at);
  };
  if (Lost) {
    consider(Ping.Running, Ping.NextAt);
    return next;
  }
  for (const Feed &it : Feeds) {
    consider(it.Running, it.NextAt);
  }
  consider(Record.Running || Recorded, Record.NextAt);
  return next;
}

void StoreTask::call(Kind kind, FeedCall what) {
  Feed &feed = Feeds[indexOf(kind)];
  // Who else is there may be known a little late.
  const bool latest = kind != Kind::Instances && needsLatest(feed, readClock());
  const Freshness freshness = latest ? Freshness::Latest : Freshness::MayLag;
  noteStart(feed);
  if (what == FeedCall::List) {
    if (feed.After.empty()) {
      Listed[kind].clear();
    }
    Client.list(
        kind, feed.After, freshness, CallTimeout,
        [this, kind, at = feed.Generation](const platform::Reply &reply) {
          if (at == Feeds[indexOf(kind)].Generation) {
            takeListed(kind, reply);
            advance();
          }
        });
    return;
  }
  const Duration wait = latest ? LatestWatchWait : WatchWait;
  Client.watch(
      kind, feed.AsOf, wait, freshness, wait + CallTimeout,
      [this, kind, at = feed.Generation](const platform::Reply &reply) {
        if (at == Feeds[indexOf(kind)].Generation) {
          takeWatched(kind, reply);
          advance();
        }
      });
}

bool StoreTask::failed(Kind kind, const platform::Reply &reply) {
  Feed &feed = Feeds[indexOf(kind)];
  if (reply.How == Outcome::Done) {
    return false;
  }
  if (reply.How == Outcome::HistoryGone) {
    noteHistoryGone(feed, readClock());
    return true;
  }
  noteFailure(feed, reply.Cut, readClock());
  noteLost(nameOf(kind), reply);
  return true;
}

void StoreTask::noteLost(const std::string &what,
                         const platform::Reply &reply) {
  if (Lost) {
    return;
  }
  Lost = true;
  Ping = {};
  logEvent(EventId::PlatformLost,
           what + ": " + nameOf(reply.How) + ", " + reply.Error);
}

// Registrations that lapsed in the outage get the time to come back. Calls that
// still wait may have been forgotten, and are begun anew.
void StoreTask::noteBack() {
  Lost = false;
  logEvent(EventId::PlatformBack,
           "after " + std::to_string(Ping.Failures) + " failures");
  noteReturn(Upstreams, readClock());
  const auto lags = std::max_element(Feeds.begin(), Feeds.end(),
                                     [](const Feed &a, const Feed &b) {
                                       return a.LatestUntil < b.LatestUntil;
                                     });
  for (Feed &it : Feeds) {
    restart(it);
    it.LatestUntil = lags->LatestUntil;
  }
}

void StoreTask::takeListed(Kind kind, const platform::Reply &reply) {
  if (failed(kind, reply)) {
    return;
  }
  Feed &feed = Feeds[indexOf(kind)];
  for (const platform::Object &it : reply.Objects) {
    apply(kind, it);
    if (!it.Removed) {
      Listed[kind].insert(it.Name);
    }
  }
  const bool more = reply.HasMore && !reply.Objects.empty();
  noteListed(feed, reply.AsOf, more ? reply.Objects.back().Name : "");
  if (!more) {
    finishList(kind, feed.AsOf);
  }
}

void StoreTask::takeWatched(Kind kind, const platform::Reply &reply) {
  if (failed(kind, reply)) {
    return;
  }
  for (const platform::Object &it : reply.Objects) {
    apply(kind, it);
  }
  noteWatched(Feeds[indexOf(kind)], reply.AsOf, !reply.Objects.empty(),
              readClock());
}

void StoreTask::apply(Kind kind, const platform::Object &object) {
  const Instant now = readClock();
  Dirty = true;
  switch (kind) {
  case Kind::Configuration:
    return applyConfiguration(object);
  case Kind::Upstreams: {
    auto record =
        object.Removed ? std::nullopt : platform::decodeUpstream(object);
    if (record) {
      put(Upstreams, std::move(*record), object.Revision, now);
    } else {
      remove(Upstreams, object.Name, object.Revision, now);
      dropDue(Upstreams, now);
    }
    return;
  }
  case Kind::Evacuations:
    if (object.Removed) {
      DomainsOut.erase(object.Name);
    } else {
      DomainsOut.insert(object.Name);
    }
    return;
  case Kind::Instances:
    if (auto record =
            object.Removed ? std::nullopt : platform::decodeInstance(object)) {
      Instances[object.Name] = std::move(*record);
    } else {
      Instances.erase(object.Name);
    }
    return;
  }
}

void StoreTask::applyConfiguration(const platform::Object &object) {
  if (object.Removed || object.Name != platform::ConfigurationName) {
    return; // What is in force stays.
  }
  auto read = platform::decodeConfiguration(object.Content);
  if (!read) {
    logEvent(EventId::DocumentRefused, "revision " +
                                           std::to_string(object.Revision) +
                                           ": " + read.error());
    return;
  }
  if (Config && read.value().Version <= Config->Version) {
    return; // Versions only rise.
  }
  logEvent(EventId::DocumentInForce,
           "version " + std::to_string(read.value().Version) + ", before " +
               std::to_string(Config ? Config->Version : 0));
  Config = std::make_shared<const Configuration>(std::move(read.value()));
}

// What the list lacks is gone.
void StoreTask::finishList(Kind kind, std::uint64_t asOf) {
  const std::set<std::string> &names = Listed[kind];
  const auto lacks = [&](const std::string &name) {
    return !names.contains(name);
  };
  switch (kind) {
  case Kind::Configuration:
    break;
  case Kind::Upstreams: {
    const Instant now = readClock();
    std::vector<std::string> gone;
    for (const auto &[id, it] : Upstreams.Entries) {
      if (lacks(id)) {
        gone.push_back(id);
      }
    }
    for (const std::string &id : gone) {
      remove(Upstreams, id, asOf, now);
    }
    dropDue(Upstreams, now);
    break;
  }
  case Kind::Evacuations:
    std::erase_if(DomainsOut, lacks);
    break;
  case Kind::Instances:
    std::erase_if(Instances, [&](const auto &it) { return lacks(it.first); });
    break;
  }
  Dirty = true;
}

void StoreTask::advanceRecord(Instant now) {
  if (Recorded || Record.Running || now < Record.NextAt) {
    return;
  }
  Record.Running = true;
  const auto done = [this](const platform::Reply &reply) {
    endRecord(reply);
    advance();
  };
  const auto content = platform::encodeInstance(Self);
  if (RecordRevision == 0) {
    Client.create(Kind::Instances, Self.Id, content, CallTimeout, done);
  } else {
    Client.replace(Kind::Instances, Self.Id, RecordRevision, content,
                   CallTimeout, done);
  }
}

void StoreTask::endRecord(const platform::Reply &reply) {
  const bool conflict = reply.How == Outcome::Conflict;
  if (reply.How == Outcome::Done || (conflict && !reply.Objects.empty())) {
    const auto stored = reply.Objects.empty()
                            ? std::nullopt
                            : platform::decodeInstance(reply.Objects.front());
    Record = {};
    Recorded = !conflict || (stored && *stored == Self);
    RecordRevision = reply.AsOf;
    return;
  }
  if (reply.How == Outcome::NotFound) {
    RecordRevision = 0;
  }
  noteFailure(Record, Draws, readClock());
}

void StoreTask::report() {
  Dirty = false;
  Picture picture;
  picture.Config = Config;
  picture.Upstreams = upstreamsOf(Upstreams);
  picture.DomainsOut = DomainsOut;
  for (const auto &[id, it] : Instances) {
    picture.Instances.push_back(it);
  }
  picture.Complete = std::all_of(Feeds.begin(), Feeds.end(),
                                 [](const Feed &it) { return it.Watches; });
  Tell(picture);
}

boost::json::object StoreTask::describe(Instant now) const {
  boost::json::object feeds;
  for (const Kind kind : AllKinds) {
    const Feed &it = Feeds[indexOf(kind)];
    feeds[nameOf(kind)] = {{"watches", it.Watches},
                           {"running", it.Running},
                           {"asOf", it.AsOf},
                           {"latest", needsLatest(it, now)}};
  }
  boost::json::object calls;
  for (const auto &[key, count] : Client.counts()) {
    calls[std::string(key.first) + "/" + nameOf(key.second)] = count;
  }
  return {{"lost", Lost},
          {"version", Config ? Config->Version : 0},
          {"upstreams", Upstreams.Entries.size()},
          {"instances", Instances.size()},
          {"domainsOut", DomainsOut.size()},
          {"nextDropInMs",
           nextDrop(Upstreams) == Instant::max()
               ? boost::json::value(nullptr)
               : boost::json::value(
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         nextDrop(Upstreams) - now)
                         .count())},
          {"feeds", std::move(feeds)},
          {"calls", std::move(calls)}};
}

} // namespace zinniarail::store
