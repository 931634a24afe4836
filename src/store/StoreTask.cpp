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

// For the answer itself, beyond a watch's wait.
constexpr Duration CallTimeout = std::chrono::milliseconds{1000};

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

void StoreTask::start() { advance(); }

// While the store fails, one feed at a time asks whether it is back.
bool StoreTask::isOut() const {
  return std::any_of(Feeds.begin(), Feeds.end(),
                     [](const Feed &it) { return it.Failures > 0; });
}

void StoreTask::advance() {
  const Instant now = readClock();
  if (dropDue(Upstreams, now)) {
    Dirty = true;
  }
  const bool out = isOut();
  bool asked = false;
  Instant next = nextDrop(Upstreams);
  for (const Kind kind : AllKinds) {
    Feed &feed = Feeds[indexOf(kind)];
    const bool held = out && (asked || feed.Failures == 0);
    asked = asked || (out && feed.Failures > 0);
    if (held) {
      continue;
    }
    const FeedCall what = nextCall(feed, now);
    if (what != FeedCall::None) {
      call(kind, what);
    } else if (!feed.Running) {
      next = std::min(next, feed.NextAt);
    }
  }
  if (!out) {
    advanceRecord(now);
    if (!Recorded && !Record.Running) {
      next = std::min(next, Record.NextAt);
    }
  }
  if (Dirty) {
    report();
  }
  ev_timer_stop(Loop, &Timer);
  if (next != Instant::max()) {
    const std::chrono::duration<double> left =
        std::max(next - readClock(), Duration{0});
    ev_timer_set(&Timer, left.count(), 0);
    ev_timer_start(Loop, &Timer);
  }
}

void StoreTask::call(Kind kind, FeedCall what) {
  Feed &feed = Feeds[indexOf(kind)];
  noteStart(feed);
  if (what == FeedCall::List) {
    if (feed.After.empty()) {
      Listed[kind].clear();
    }
    Client.list(kind, feed.After,
                feed.NeedsLatest ? Freshness::Latest : Freshness::MayLag,
                CallTimeout, [this, kind](platform::Reply reply) {
                  takeListed(kind, std::move(reply));
                  advance();
                });
    return;
  }
  Client.watch(kind, feed.AsOf, WatchWait, Freshness::MayLag,
               WatchWait + CallTimeout, [this, kind](platform::Reply reply) {
                 takeWatched(kind, std::move(reply));
                 advance();
               });
}

bool StoreTask::failed(Kind kind, const platform::Reply &reply) {
  Feed &feed = Feeds[indexOf(kind)];
  if (reply.How == Outcome::Done) {
    noteAnswered(kind);
    return false;
  }
  if (reply.How == Outcome::HistoryGone) {
    noteAnswered(kind);
    noteHistoryGone(feed);
    return true;
  }
  if (!isOut()) {
    logEvent(EventId::PlatformLost, std::string(nameOf(kind)) + ": " +
                                        nameOf(reply.How) + ", " + reply.Error);
  }
  noteFailure(feed, Draws, readClock());
  return true;
}

// After an outage the other feeds go on at once, and registrations that lapsed
// meanwhile get the time to come back.
void StoreTask::noteAnswered(Kind kind) {
  if (Feeds[indexOf(kind)].Failures == 0) {
    return;
  }
  logEvent(EventId::PlatformBack, nameOf(kind));
  noteReturn(Upstreams, readClock());
  for (Feed &it : Feeds) {
    it.Failures = 0;
    it.NextAt = Instant{};
  }
}

void StoreTask::takeListed(Kind kind, platform::Reply reply) {
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

void StoreTask::takeWatched(Kind kind, platform::Reply reply) {
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
  if (Recorded || nextCall(Record, now) == FeedCall::None) {
    return;
  }
  noteStart(Record);
  const auto done = [this](platform::Reply reply) {
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
    Record.Running = false;
    Record.Failures = 0;
    const auto stored = reply.Objects.empty()
                            ? std::nullopt
                            : platform::decodeInstance(reply.Objects.front());
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
                           {"failures", it.Failures}};
  }
  boost::json::object calls;
  for (const auto &[key, count] : Client.counts()) {
    calls[std::string(key.first) + "/" + nameOf(key.second)] = count;
  }
  return {{"version", Config ? Config->Version : 0},
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
