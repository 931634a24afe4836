#include "store/StoreTask.h"

#include <algorithm>

#include <boost/json.hpp>

#include "zinniarail/events/Events.h"

namespace zinniarail::store {

namespace {

using platform::Freshness;
using platform::Kind;
using platform::Outcome;

// How long the store may hold a watch while nothing changes. The loss of a
// watch's reply is noticed about that much later at most.
constexpr Duration WatchWait = std::chrono::milliseconds{3000};

// How long the store may hold a watch that must return the latest state. Such a
// watch costs the store ten times as much as a possibly stale one.
constexpr Duration LatestWatchWait = std::chrono::milliseconds{8000};

// Timeout of a call; a watch may take this long beyond its wait.
constexpr Duration CallTimeout = std::chrono::milliseconds{1000};

// Timeout of a health check. It is short so that a check sent before the store
// recovered does not delay the next one.
constexpr Duration PingTimeout = std::chrono::milliseconds{400};

// Time between two health checks of a store that responds: a pending watch does
// not show that the store has become unreachable.
constexpr Duration HealthCheckInterval = std::chrono::milliseconds{500};

// Fraction of the propagation limit between two reads of the store's revision.
// The rest is for the list that follows and for telling the followers.
constexpr double RevisionReadFraction = 0.75;

// Minimum time between two writes of the record: instances start and stop in
// groups.
constexpr Duration RecordWriteInterval = std::chrono::milliseconds{1000};

// Minimum time between two log lines on unreadable entries, and the most
// characters of a name in one: other writers decide on both.
constexpr Duration UnreadableLogInterval = std::chrono::seconds{1};
constexpr std::size_t MaxLoggedName = 100;

// Errors of the configuration that a dump lists.
constexpr std::size_t MaxDescribedErrors = 20;

std::size_t indexOf(Kind kind) { return static_cast<std::size_t>(kind); }

constexpr std::array<Kind, 5> AllKinds{Kind::Configuration, Kind::Upstreams,
                                       Kind::Evacuations, Kind::Instances,
                                       Kind::Rollouts};

void logRead(Kind kind, const char *call, const platform::Reply &reply,
             Duration took) {
  logEvent(EventId::StoreRead, {{"kind", nameOf(kind)},
                                {"call", call},
                                {"result", nameOf(reply.Result)},
                                {"objects", reply.Objects.size()},
                                {"as-of", reply.AsOf.Number},
                                {"took_ms", took}});
}

} // namespace

StoreTask::StoreTask(struct ev_loop *loop, const std::string &address,
                     Mirror &mirror, Duration propagationLimit,
                     std::uint64_t seed, StoreHandlers handlers)
    : Loop(loop), LocalMirror(mirror), Handlers(std::move(handlers)), Rng(seed),
      Client(loop, address),
      RevisionReadInterval(std::chrono::duration_cast<Duration>(
          propagationLimit * RevisionReadFraction)) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<StoreTask *>(it->data)->advance();
      },
      0, 0);
  Timer.data = this;
}

StoreTask::~StoreTask() { ev_timer_stop(Loop, &Timer); }

void StoreTask::avoidStaleReads() {
  for (ListWatch &it : ListWatches) {
    it.LatestReadsUntil = readClock() + LatestReadPeriod;
  }
}

void StoreTask::startReading(Instant answeredUntil) {
  Reading = true;
  HasAnswered = false;
  Unavailable = false;
  startAsking(Answers, answeredUntil);
  Ping = {};
  RevisionReadAt = readClock(); // The lists that follow show the revision.
  for (ListWatch &it : ListWatches) {
    restart(it);
  }
  advance();
}

void StoreTask::stopReading() {
  Reading = false;
  ReportedHealthy = false;
  ++PingGeneration;
  // The next reader decides which removals wait.
  LocalMirror.Upstreams.RemovalGraceUntil = Instant{};
  for (ListWatch &it : ListWatches) {
    restart(it);
  }
  ev_timer_stop(Loop, &Timer);
}

void StoreTask::advance() {
  if (!Reading) {
    return;
  }
  const Instant now = readClock();
  if (applyDueChanges(LocalMirror, now)) {
    Handlers.Changed(Kind::Upstreams);
    Handlers.Changed(Kind::Evacuations);
  }
  if (HasAnswered && !Unavailable) {
    startDueCalls(now);
    writeRecordIfDue(now);
  }
  pingIfDue(now);
  reportHealth();
  ev_timer_stop(Loop, &Timer);
  if (const Instant next = nextDueAt(); next != Instant::max()) {
    const std::chrono::duration<double> left =
        std::max(next - readClock(), Duration{0});
    ev_timer_set(&Timer, left.count(), 0);
    ev_timer_start(Loop, &Timer);
  }
}

void StoreTask::startDueCalls(Instant now) {
  for (const Kind kind : std::span(AllKinds).first(ReadKinds)) {
    const ListWatchCall call = nextCall(ListWatches[indexOf(kind)], now);
    if (call != ListWatchCall::None) {
      startCall(kind, call);
    }
  }
}

// Lists the kind with the fewest objects as a health check of the store. Some
// of these lists must return the latest state: they show the store's revision.
// After a failure, the backoff is multiplied by the election rank plus one.
void StoreTask::pingIfDue(Instant now) {
  if (Ping.InFlight || now < Ping.NextAt) {
    return;
  }
  Ping.InFlight = true;
  // After a failure the check must return the latest state too: the store may
  // refuse such reads and answer others.
  const bool readsRevision =
      Unavailable ? HasAnswered : now - RevisionReadAt >= RevisionReadInterval;
  if (readsRevision) {
    RevisionReadAt = now;
  }
  Client.list(Kind::Evacuations, "",
              readsRevision ? Freshness::Latest : Freshness::MayBeStale,
              PingTimeout,
              [this, readsRevision, now,
               generation = PingGeneration](platform::Reply reply) {
                if (generation != PingGeneration) {
                  return;
                }
                const Instant repliedAt = readClock();
                acceptEra(reply);
                if (reply.Result == Outcome::Done) {
                  HasAnswered = true;
                  recordAnswer(Answers, repliedAt);
                  noteAvailable();
                  endGraceIfClear(repliedAt);
                  if (readsRevision) {
                    for (ListWatch &it : ListWatches) {
                      noteStoreRevision(it, reply.AsOf.Number, now, repliedAt);
                    }
                  }
                  Ping = {false, 0,
                          std::min(repliedAt + HealthCheckInterval,
                                   RevisionReadAt + RevisionReadInterval)};
                } else {
                  recordFailure(Answers);
                  noteUnavailable("health check", reply);
                  noteFailure(Ping, Rng, repliedAt);
                  Ping.NextAt += (Ping.NextAt - repliedAt) *
                                 static_cast<Duration::rep>(ElectionRank);
                }
                advance();
              });
}

Instant StoreTask::nextDueAt() const {
  Instant next = nextDueChange(LocalMirror);
  const auto consider = [&](bool inFlight, Instant at) {
    next = inFlight ? next : std::min(next, at);
  };
  consider(Ping.InFlight, Ping.NextAt);
  if (!HasAnswered || Unavailable) {
    return next;
  }
  for (const ListWatch &it : activeListWatches()) {
    next = std::min(next, nextCallAt(it));
  }
  consider(RecordWrite.InFlight || !isRecordOutdated(), RecordWrite.NextAt);
  return next;
}

void StoreTask::startCall(Kind kind, ListWatchCall call) {
  ListWatch &state = ListWatches[indexOf(kind)];
  const Instant startedAt = readClock();
  const bool latest = needsLatestRead(state, startedAt);
  const Freshness freshness =
      latest ? Freshness::Latest : Freshness::MayBeStale;
  noteCallStarted(state, call, startedAt);
  if (call == ListWatchCall::List) {
    if (state.PageCursor.empty()) {
      PartialLists[kind] = {};
    }
    Client.list(kind, state.PageCursor, freshness, CallTimeout,
                [this, kind, startedAt,
                 generation = state.Generation](platform::Reply reply) {
                  if (generation != ListWatches[indexOf(kind)].Generation) {
                    return;
                  }
                  logRead(kind, "list", reply, readClock() - startedAt);
                  if (acceptEra(reply)) {
                    handleListReply(kind, std::move(reply));
                  }
                  advance();
                });
    return;
  }
  const Duration wait = latest ? LatestWatchWait : WatchWait;
  Client.watch(kind, state.AsOf, wait, freshness, wait + CallTimeout,
               [this, kind, startedAt,
                generation = state.Generation](platform::Reply reply) {
                 if (generation != ListWatches[indexOf(kind)].Generation) {
                   return;
                 }
                 logRead(kind, "watch", reply, readClock() - startedAt);
                 if (acceptEra(reply)) {
                   handleWatchReply(kind, reply);
                 }
                 advance();
               });
}

// Compares the era of a reply with the latest one seen. The first reply of a
// later era restarts all reads: a watch would miss the changes that the restore
// undid or whose revisions were assigned again. A reply of an earlier era turns
// into a failure.
// \returns false if the reads were restarted and the reply must be dropped.
bool StoreTask::acceptEra(platform::Reply &reply) {
  const std::uint64_t known = LocalMirror.Era;
  const Instant now = readClock();
  if (reply.Era && enterEra(LocalMirror, *reply.Era, now)) {
    const bool isRestore = known != 0 || LocalMirror.Config;
    if (isRestore) {
      logEvent(EventId::StoreRestored,
               {{"era", *reply.Era}, {"before", known}});
      avoidStaleReads();
    }
    restartReads();
    return false;
  }
  const bool hasContent =
      reply.Result == Outcome::Done || reply.Result == Outcome::Conflict;
  if (hasContent && reply.Era.value_or(0) != known) {
    reply.Result = Outcome::Malformed;
    reply.Error = reply.Era ? "answer of an earlier era of the store"
                            : "the era of the store is missing or unreadable";
  }
  return true;
}

void StoreTask::restartReads() {
  Instant latestReadsUntil{};
  for (const ListWatch &it : ListWatches) {
    latestReadsUntil = std::max(latestReadsUntil, it.LatestReadsUntil);
  }
  for (ListWatch &it : ListWatches) {
    restart(it);
    it.LatestReadsUntil = latestReadsUntil;
  }
}

// Returns whether the call failed.
bool StoreTask::handleFailure(Kind kind, const platform::Reply &reply) {
  ListWatch &state = ListWatches[indexOf(kind)];
  if (reply.Result == Outcome::Done) {
    return false;
  }
  if (reply.Result == Outcome::HistoryGone) {
    noteHistoryGone(state, readClock());
    return true;
  }
  noteFailure(state, reply.ConnectionLost, readClock());
  noteUnavailable(nameOf(kind), reply);
  return true;
}

void StoreTask::noteUnavailable(const std::string &call,
                                const platform::Reply &reply) {
  if (Unavailable) {
    return;
  }
  Unavailable = true;
  // A health check is due at once: it shows whether only this call failed.
  Ping.NextAt = Instant{};
  logEvent(EventId::PlatformLost,
           call + ": " + nameOf(reply.Result) + ", " + reply.Error);
}

// Registrations that expired during an outage get a grace period to be renewed.
// A call that was cut off while health checks succeed was no outage. All reads
// start over, because the store may have dropped pending calls.
void StoreTask::noteAvailable() {
  if (!Unavailable) {
    return;
  }
  Unavailable = false;
  const Instant now = readClock();
  RecoveredAt = now;
  const bool isUnclear = Ping.Failures > 0 && mayHaveExpired(Answers, now);
  if (isUnclear) {
    recordStoreRecovery(LocalMirror.Upstreams, now);
  }
  logEvent(EventId::PlatformBack, {{"failed", Ping.Failures},
                                   {"removals", isUnclear ? "wait" : "now"}});
  restartReads();
}

// This instance can't tell an outage of the store from one of its own path;
// others that the store answered meanwhile can.
void StoreTask::endGraceIfClear(Instant now) {
  Registry &upstreams = LocalMirror.Upstreams;
  if (now >= upstreams.RemovalGraceUntil) {
    return;
  }
  if (mayHaveExpired(Answers, RecoveredAt)) {
    if (Handlers.OutageUnclear) {
      Handlers.OutageUnclear();
    }
    return;
  }
  endRemovalGrace(upstreams, now);
}

std::vector<AnsweredSpanAge> StoreTask::answeredSpans() const {
  return listOwnSpans(Answers, readClock());
}

void StoreTask::noteAnsweredSpans(const std::vector<AnsweredSpanAge> &spans) {
  const Instant now = readClock();
  recordTold(Answers, spans, now);
  const bool isPending = now < LocalMirror.Upstreams.RemovalGraceUntil;
  if (isPending && !mayHaveExpired(Answers, RecoveredAt)) {
    logEvent(EventId::OutageCleared, {{"after_ms", now - RecoveredAt}});
    endRemovalGrace(LocalMirror.Upstreams, now);
    advance();
  }
}

void StoreTask::reportHealth() {
  const auto read = activeListWatches();
  const bool complete =
      std::all_of(read.begin(), read.end(),
                  [](const ListWatch &it) { return it.ListComplete; });
  const bool healthy = complete && !Unavailable;
  if (healthy != ReportedHealthy) {
    ReportedHealthy = healthy;
    Handlers.HealthChanged(healthy);
  }
}

void StoreTask::noteIfUnreadable(Kind kind, const platform::Object &object,
                                 bool isDecoded) {
  if (!isDecoded && !object.Removed) {
    noteUnreadable(kind, object.Name, 1);
  }
}

void StoreTask::noteUnreadable(Kind kind, const std::string &name,
                               unsigned count) {
  UnreadableEntries += count;
  const Instant now = readClock();
  if (count > 0 && now >= UnreadableLoggedAt + UnreadableLogInterval) {
    UnreadableLoggedAt = now;
    logEvent(EventId::RegistrationUnreadable,
             {{"kind", nameOf(kind)},
              {"entry", name.substr(0, MaxLoggedName)},
              {"in_all", UnreadableEntries}});
  }
}

void StoreTask::handleListReply(Kind kind, platform::Reply reply) {
  ListWatch &state = ListWatches[indexOf(kind)];
  if (reply.HasMore && reply.LastName == state.PageCursor) {
    reply.Result = Outcome::Malformed;
    reply.Error = "no name on a page can be read";
  }
  if (handleFailure(kind, reply)) {
    return;
  }
  noteUnreadable(kind, "", reply.Unreadable);
  for (const platform::Object &it : reply.Objects) {
    if (!it.Removed) {
      PartialLists[kind][it.Name] = it;
    }
  }
  const std::string lastName = reply.HasMore ? reply.LastName : "";
  if (!noteListPage(state, reply.AsOf.Number, lastName, readClock())) {
    return;
  }
  if (lastName.empty()) {
    finishList(kind, {LocalMirror.Era, state.AsOf});
  }
}

void StoreTask::handleWatchReply(Kind kind, const platform::Reply &reply) {
  if (handleFailure(kind, reply)) {
    return;
  }
  noteUnreadable(kind, "", reply.Unreadable);
  for (const platform::Object &it : reply.Objects) {
    applyObject(kind, it);
  }
  const bool hasEvents = !reply.Objects.empty() || reply.Unreadable > 0;
  noteWatchReply(ListWatches[indexOf(kind)], reply.AsOf.Number, hasEvents,
                 readClock());
  noteAsOf(kind, reply.AsOf);
  if (!reply.Objects.empty()) {
    Handlers.Changed(kind);
  }
}

// Followers of this instance remove objects that are missing from its lists,
// unless they know a newer revision of the object than this one.
void StoreTask::noteAsOf(Kind kind, StoreRevision asOf) {
  if (kind == Kind::Upstreams) {
    LocalMirror.UpstreamsRevision =
        std::max(LocalMirror.UpstreamsRevision, asOf);
  } else if (kind == Kind::Evacuations) {
    LocalMirror.EvacuationsRevision =
        std::max(LocalMirror.EvacuationsRevision, asOf);
  } else if (kind == Kind::Rollouts) {
    LocalMirror.RolloutsRevision = std::max(LocalMirror.RolloutsRevision, asOf);
  }
}

void StoreTask::applyObject(Kind kind, const platform::Object &object) {
  const Instant now = readClock();
  switch (kind) {
  case Kind::Configuration:
    return applyConfiguration(object);
  case Kind::Upstreams: {
    auto record =
        object.Removed ? std::nullopt : platform::decodeUpstream(object);
    noteIfUnreadable(kind, object, record.has_value());
    if (record) {
      put(LocalMirror.Upstreams, std::move(*record), object.Revision, now);
    } else {
      remove(LocalMirror.Upstreams, object.Name, object.Revision, now);
      applyDueChanges(LocalMirror.Upstreams, now);
    }
    return;
  }
  case Kind::Evacuations:
    return setEvacuated(LocalMirror, object.Name, object.Revision,
                        !object.Removed);
  case Kind::Instances:
    return applyInstanceRecord(object);
  case Kind::Rollouts:
    return applyRollout(object);
  }
}

void StoreTask::applyRollout(const platform::Object &object) {
  auto order = object.Removed ? std::nullopt : platform::decodeRollout(object);
  noteIfUnreadable(Kind::Rollouts, object, order.has_value());
  if (order) {
    setRollout(LocalMirror, object.Name, std::move(*order));
  } else {
    removeRollout(LocalMirror, object.Name, object.Revision);
  }
}

void StoreTask::finishRolloutList(
    const std::map<std::string, platform::Object> &listed, StoreRevision asOf) {
  rollout::Orders orders;
  for (const auto &[name, it] : listed) {
    auto order = platform::decodeRollout(it);
    noteIfUnreadable(Kind::Rollouts, it, order.has_value());
    if (order) {
      orders.emplace(name, std::move(*order));
    }
  }
  replaceRollouts(LocalMirror, std::move(orders), asOf);
}

void StoreTask::writeRolloutStatus(const std::string &name,
                                   const rollout::Order &order,
                                   std::function<void()> done) {
  Client.replaceStatus(
      Kind::Rollouts, name, order.Revision.Number,
      platform::encodeRolloutStatus(order), CallTimeout,
      [this, name, done = std::move(done)](platform::Reply reply) {
        if (acceptEra(reply)) {
          const bool exists = reply.Result == Outcome::Done ||
                              reply.Result == Outcome::Conflict;
          for (const platform::Object &it : reply.Objects) {
            if (exists && it.Name == name) {
              applyRollout(it);
              Handlers.Changed(Kind::Rollouts);
            }
          }
        }
        done();
        advance();
      });
}

void StoreTask::applyConfiguration(const platform::Object &object) {
  if (object.Removed || object.Name != platform::ConfigurationName) {
    return; // The current configuration remains in force.
  }
  const auto read = platform::readConfiguration(object.Content);
  if (!read) {
    logEvent(EventId::DocumentRefused,
             "revision " + std::to_string(object.Revision.Number) + ": " +
                 platform::describe(read.error()));
    return;
  }
  const auto &[draft, errors] = read.value();
  const bool isNew = updateConfiguration(
      LocalMirror, std::make_shared<const Configuration>(
                       completeDraft(draft, LocalMirror.Config.get())));
  if (isNew) {
    DocumentErrors = errors;
  }
  if (isNew && !errors.empty()) {
    logEvent(EventId::DocumentPartlyRead,
             {{"version", draft.Version},
              {"entries", errors.size()},
              {"first", platform::describe(errors.front())}});
  }
}

// Applies a complete list. Objects missing from it are removed, except for the
// configuration.
void StoreTask::finishList(Kind kind, StoreRevision asOf) {
  const auto listed = std::exchange(PartialLists[kind], {});
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
      noteIfUnreadable(kind, it, record.has_value());
      if (record) {
        all.push_back({std::move(*record), it.Revision});
      }
    }
    replaceUpstreams(LocalMirror, std::move(all), asOf, now);
    break;
  }
  case Kind::Evacuations: {
    std::map<std::string, StoreRevision> evacuated;
    for (const auto &[name, it] : listed) {
      evacuated.emplace(name, it.Revision);
    }
    replaceEvacuatedDomains(LocalMirror, evacuated, asOf, now);
    break;
  }
  case Kind::Instances:
    // After a restore, other readers write their records again.
    std::erase_if(Records, [&](const auto &it) {
      return it.first == RecordDomain || it.second.Revision.Era == asOf.Era ||
             now >= LocalMirror.RestoreGraceUntil;
    });
    for (const auto &[name, it] : listed) {
      applyObject(kind, it);
    }
    break;
  case Kind::Rollouts:
    finishRolloutList(listed, asOf);
    break;
  }
  Handlers.Changed(kind);
}

void StoreTask::applyInstanceRecord(const platform::Object &object) {
  const auto known = Records.find(object.Name);
  if (known != Records.end() && object.Revision < known->second.Revision) {
    return;
  }
  auto instances =
      object.Removed ? std::nullopt : platform::decodeInstances(object);
  noteIfUnreadable(Kind::Instances, object, instances.has_value());
  if (!object.Removed) {
    // One that can't be read is replaced by its revision.
    Records[object.Name] = {instances.value_or(std::vector<Instance>{}),
                            object.Revision};
  } else {
    Records.erase(object.Name);
  }
}

void StoreTask::setInstancesToRecord(const std::string &domain,
                                     std::vector<Instance> instances) {
  RecordDomain = domain;
  InstancesToRecord = std::move(instances);
  for (Instance &it : InstancesToRecord) {
    it.Leaving = false; // Leaving is short-lived, so it is not recorded.
  }
  advance();
}

std::vector<Instance> StoreTask::recordedInstances() const {
  std::vector<Instance> all;
  for (const auto &[domain, it] : Records) {
    all.insert(all.end(), it.Instances.begin(), it.Instances.end());
  }
  return all;
}

bool StoreTask::isRecordOutdated() const {
  if (!ListWatches[indexOf(Kind::Instances)].ListComplete ||
      InstancesToRecord.empty()) {
    return false; // The stored record or its new content is not known yet.
  }
  const auto it = Records.find(RecordDomain);
  return it == Records.end() || it->second.Instances != InstancesToRecord;
}

void StoreTask::writeRecordIfDue(Instant now) {
  if (RecordWrite.InFlight || now < RecordWrite.NextAt || !isRecordOutdated()) {
    return;
  }
  RecordWrite.InFlight = true;
  const auto done = [this](platform::Reply reply) {
    if (acceptEra(reply)) {
      handleRecordReply(reply);
    } else {
      RecordWrite = {}; // The write may have been undone by the restore.
    }
    advance();
  };
  const auto it = Records.find(RecordDomain);
  const auto content = platform::encodeInstances(InstancesToRecord);
  if (it == Records.end()) {
    Client.create(Kind::Instances, RecordDomain, content, CallTimeout, done);
  } else {
    Client.replace(Kind::Instances, RecordDomain, it->second.Revision.Number,
                   content, CallTimeout, done);
  }
}

// On a conflict, the reply contains the record that another instance wrote.
void StoreTask::handleRecordReply(const platform::Reply &reply) {
  const bool exists =
      reply.Result == Outcome::Done || reply.Result == Outcome::Conflict;
  if (reply.Result == Outcome::NotFound) {
    Records.erase(RecordDomain);
  }
  if (!exists || reply.Objects.empty()) {
    return noteFailure(RecordWrite, Rng, readClock());
  }
  RecordWrite = {};
  RecordWrite.NextAt = readClock() + RecordWriteInterval;
  // The record is applied at once, because the watch reports it only later.
  applyInstanceRecord(reply.Objects.front());
  Handlers.Changed(Kind::Instances);
}

Instant StoreTask::currentAt() const {
  Instant at = Instant::max();
  for (const ListWatch &it : activeListWatches()) {
    at = std::min(at, it.CurrentAt);
  }
  return at;
}

boost::json::object StoreTask::describe(Instant now) const {
  boost::json::object listWatches;
  for (const Kind kind : std::span(AllKinds).first(ReadKinds)) {
    const ListWatch &it = ListWatches[indexOf(kind)];
    listWatches[nameOf(kind)] = {
        {"watches", it.ListComplete},
        {"running", it.InFlight != ListWatchCall::None},
        {"asOf", it.AsOf},
        {"latest", needsLatestRead(it, now)}};
  }
  boost::json::object calls;
  for (const auto &[key, count] : Client.counts()) {
    calls[std::string(key.first) + "/" + nameOf(key.second)] = count;
  }
  boost::json::array documentErrors;
  for (const platform::DocumentError &it :
       std::span(DocumentErrors)
           .first(std::min(DocumentErrors.size(), MaxDescribedErrors))) {
    documentErrors.emplace_back(platform::describe(it));
  }
  return {{"reading", Reading},
          {"documentErrors", std::move(documentErrors)},
          {"era", LocalMirror.Era},
          {"lost", Unavailable},
          {"recorded", Records.size()},
          {"feeds", std::move(listWatches)},
          {"calls", std::move(calls)}};
}

} // namespace zinniarail::store
