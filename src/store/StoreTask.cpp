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

// Between two questions to a store that answers: a watch doesn't show that its
// store has gone.
constexpr Duration PingPause = std::chrono::milliseconds{500};

// Between two writes of the record: instances come and go in groups.
constexpr Duration RecordPause = std::chrono::milliseconds{1000};

std::size_t indexOf(Kind kind) { return static_cast<std::size_t>(kind); }

constexpr std::array<Kind, 4> AllKinds{Kind::Configuration, Kind::Upstreams,
                                       Kind::Evacuations, Kind::Instances};

// An entry of another writer that can't be used is no entry.
void noteUnreadable(Kind kind, const platform::Object &object, bool isRead) {
  if (!isRead && !object.Removed) {
    logEvent(EventId::RegistrationUnreadable, {{"kind", nameOf(kind)},
                                               {"entry", object.Name},
                                               {"revision", object.Revision}});
  }
}

} // namespace

StoreTask::StoreTask(struct ev_loop *loop, const std::string &address,
                     Mirror &mirror, std::uint64_t seed, StoreHandlers handlers)
    : Loop(loop), Known(mirror), Handlers(std::move(handlers)), Draws(seed),
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

void StoreTask::begin() {
  Reading = true;
  Answers = false;
  Lost = false;
  Ping = {};
  for (Feed &it : Feeds) {
    restart(it);
  }
  advance();
}

void StoreTask::end() {
  Reading = false;
  Healthy = false;
  ++PingGeneration;
  for (Feed &it : Feeds) {
    restart(it);
  }
  ev_timer_stop(Loop, &Timer);
}

void StoreTask::advance() {
  if (!Reading) {
    return;
  }
  const Instant now = readClock();
  if (dropDue(Known.Upstreams, now)) {
    Handlers.Changed(Kind::Upstreams);
  }
  if (Answers && !Lost) {
    advanceFeeds(now);
    advanceRecords(now);
  }
  advancePing(now);
  tellHealth();
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
// While it does not, those who stand behind others ask more rarely.
void StoreTask::advancePing(Instant now) {
  if (Ping.Running || now < Ping.NextAt) {
    return;
  }
  Ping.Running = true;
  Client.list(Kind::Evacuations, "", Freshness::MayLag, PingTimeout,
              [this, at = PingGeneration](const platform::Reply &reply) {
                if (at != PingGeneration) {
                  return;
                }
                const Instant answered = readClock();
                if (reply.How == Outcome::Done) {
                  Answers = true;
                  noteBack();
                  Ping = {false, 0, answered + PingPause};
                } else {
                  noteLost("health check", reply);
                  noteFailure(Ping, Draws, answered);
                  Ping.NextAt += (Ping.NextAt - answered) *
                                 static_cast<Duration::rep>(Position);
                }
                advance();
              });
}

Instant StoreTask::nextAt() const {
  Instant next = nextDrop(Known.Upstreams);
  const auto consider = [&](bool running, Instant at) {
    next = running ? next : std::min(next, at);
  };
  consider(Ping.Running, Ping.NextAt);
  if (!Answers || Lost) {
    return next;
  }
  for (const Feed &it : Feeds) {
    consider(it.Running, it.NextAt);
  }
  consider(Record.Running || !recordIsDue(), Record.NextAt);
  return next;
}

void StoreTask::call(Kind kind, FeedCall what) {
  Feed &feed = Feeds[indexOf(kind)];
  const bool latest = needsLatest(feed, readClock());
  const Freshness freshness = latest ? Freshness::Latest : Freshness::MayLag;
  noteStart(feed);
  if (what == FeedCall::List) {
    if (feed.After.empty()) {
      Listed[kind] = {};
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
  Ping.NextAt = Instant{}; // Is it back, or was that one call?
  logEvent(EventId::PlatformLost,
           what + ": " + nameOf(reply.How) + ", " + reply.Error);
}

// Registrations that lapsed in the outage get the time to come back. Calls that
// still wait may have been forgotten, and are begun anew.
void StoreTask::noteBack() {
  if (!Lost) {
    return;
  }
  Lost = false;
  logEvent(EventId::PlatformBack,
           "after " + std::to_string(Ping.Failures) + " failures");
  noteReturn(Known.Upstreams, readClock());
  const auto lags = std::max_element(Feeds.begin(), Feeds.end(),
                                     [](const Feed &a, const Feed &b) {
                                       return a.LatestUntil < b.LatestUntil;
                                     });
  for (Feed &it : Feeds) {
    restart(it);
    it.LatestUntil = lags->LatestUntil;
  }
}

void StoreTask::tellHealth() {
  const bool complete = std::all_of(Feeds.begin(), Feeds.end(),
                                    [](const Feed &it) { return it.Watches; });
  const bool healthy = complete && !Lost;
  if (healthy != Healthy) {
    Healthy = healthy;
    Handlers.HealthChanged(healthy);
  }
}

void StoreTask::takeListed(Kind kind, const platform::Reply &reply) {
  if (failed(kind, reply)) {
    return;
  }
  Feed &feed = Feeds[indexOf(kind)];
  for (const platform::Object &it : reply.Objects) {
    if (!it.Removed) {
      Listed[kind][it.Name] = it;
    }
  }
  const bool more = reply.HasMore && !reply.Objects.empty();
  noteListed(feed, reply.AsOf, more ? reply.Objects.back().Name : "",
             readClock());
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
  noteAsOf(kind, reply.AsOf);
  if (!reply.Objects.empty()) {
    Handlers.Changed(kind);
  }
}

// Who follows this instance takes what is missing for removed up to here.
void StoreTask::noteAsOf(Kind kind, std::uint64_t asOf) {
  if (kind == Kind::Upstreams) {
    Known.UpstreamsAsOf = std::max(Known.UpstreamsAsOf, asOf);
  } else if (kind == Kind::Evacuations) {
    Known.DomainsAsOf = std::max(Known.DomainsAsOf, asOf);
  }
}

void StoreTask::apply(Kind kind, const platform::Object &object) {
  const Instant now = readClock();
  switch (kind) {
  case Kind::Configuration:
    return applyConfiguration(object);
  case Kind::Upstreams: {
    auto record =
        object.Removed ? std::nullopt : platform::decodeUpstream(object);
    noteUnreadable(kind, object, record.has_value());
    if (record) {
      put(Known.Upstreams, std::move(*record), object.Revision, now);
    } else {
      remove(Known.Upstreams, object.Name, object.Revision, now);
      dropDue(Known.Upstreams, now);
    }
    return;
  }
  case Kind::Evacuations:
    return setOut(Known, object.Name, object.Revision, !object.Removed);
  case Kind::Instances:
    return applyRecord(object);
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
  adopt(Known, std::make_shared<const Configuration>(std::move(read.value())));
}

// What the list lacks is gone.
void StoreTask::finishList(Kind kind, std::uint64_t asOf) {
  const auto listed = std::exchange(Listed[kind], {});
  const Instant now = readClock();
  switch (kind) {
  case Kind::Configuration:
    for (const auto &[name, it] : listed) {
      applyConfiguration(it);
    }
    break;
  case Kind::Upstreams: {
    std::vector<ListedUpstream> all;
    for (const auto &[name, it] : listed) {
      auto record = platform::decodeUpstream(it);
      noteUnreadable(kind, it, record.has_value());
      if (record) {
        all.push_back({std::move(*record), it.Revision});
      }
    }
    putAll(Known, std::move(all), asOf, now);
    break;
  }
  case Kind::Evacuations: {
    std::map<std::string, std::uint64_t> out;
    for (const auto &[name, it] : listed) {
      out.emplace(name, it.Revision);
    }
    setAllOut(Known, out, asOf);
    break;
  }
  case Kind::Instances:
    Recorded.clear();
    for (const auto &[name, it] : listed) {
      apply(kind, it);
    }
    break;
  }
  Handlers.Changed(kind);
}

void StoreTask::applyRecord(const platform::Object &object) {
  const auto known = Recorded.find(object.Name);
  if (known != Recorded.end() && object.Revision < known->second.Revision) {
    return;
  }
  auto instances =
      object.Removed ? std::nullopt : platform::decodeInstances(object);
  noteUnreadable(Kind::Instances, object, instances.has_value());
  if (instances) {
    Recorded[object.Name] = {std::move(*instances), object.Revision};
  } else {
    Recorded.erase(object.Name);
  }
}

void StoreTask::wantRecorded(const std::string &domain,
                             std::vector<Instance> instances) {
  WantedDomain = domain;
  Wanted = std::move(instances);
  for (Instance &it : Wanted) {
    it.Leaving = false; // That is over soon, one way or the other.
  }
  advance();
}

std::vector<Instance> StoreTask::recorded() const {
  std::vector<Instance> all;
  for (const auto &[domain, it] : Recorded) {
    all.insert(all.end(), it.Instances.begin(), it.Instances.end());
  }
  return all;
}

bool StoreTask::recordIsDue() const {
  if (!Feeds[indexOf(Kind::Instances)].Watches || Wanted.empty()) {
    return false; // Not known yet.
  }
  const auto it = Recorded.find(WantedDomain);
  return it == Recorded.end() || it->second.Instances != Wanted;
}

void StoreTask::advanceRecords(Instant now) {
  if (Record.Running || now < Record.NextAt || !recordIsDue()) {
    return;
  }
  Record.Running = true;
  const auto done = [this](const platform::Reply &reply) {
    endRecord(reply);
    advance();
  };
  const auto it = Recorded.find(WantedDomain);
  const auto content = platform::encodeInstances(Wanted);
  if (it == Recorded.end()) {
    Client.create(Kind::Instances, WantedDomain, content, CallTimeout, done);
  } else {
    Client.replace(Kind::Instances, WantedDomain, it->second.Revision, content,
                   CallTimeout, done);
  }
}

// Where another instance wrote it first, what it wrote is seen here.
void StoreTask::endRecord(const platform::Reply &reply) {
  const bool there =
      reply.How == Outcome::Done || reply.How == Outcome::Conflict;
  if (reply.How == Outcome::NotFound) {
    Recorded.erase(WantedDomain);
  }
  if (!there || reply.Objects.empty()) {
    return noteFailure(Record, Draws, readClock());
  }
  Record = {};
  Record.NextAt = readClock() + RecordPause;
  applyRecord(reply.Objects.front()); // The watch says so a little later.
  Handlers.Changed(Kind::Instances);
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
  return {{"reading", Reading},
          {"lost", Lost},
          {"recorded", Recorded.size()},
          {"feeds", std::move(feeds)},
          {"calls", std::move(calls)}};
}

} // namespace zinniarail::store
