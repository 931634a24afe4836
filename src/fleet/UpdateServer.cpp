#include "fleet/UpdateServer.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "zinniarail/events/Events.h"

namespace zinniarail::fleet {

namespace {

// Updates of each channel take up at most this share of the link. Those of the
// control channel count for the lists too.
constexpr double ControlLinkShare = 0.75;
constexpr double ListsLinkShare = 0.5;

// A follower that has no lists yet waits this much longer than one that gets
// changes, which are small.
constexpr Duration CompleteListsDelay = std::chrono::seconds{1};

// The encoded snapshot is reused for this long.
constexpr Duration SnapshotCacheTime = std::chrono::milliseconds{500};

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

constexpr StateChannel AllChannels[]{StateChannel::Control,
                                     StateChannel::Lists};

std::optional<StateChannel> channelNamed(std::string_view name) {
  for (const StateChannel it : AllChannels) {
    if (name == nameOf(it)) {
      return it;
    }
  }
  return std::nullopt;
}

std::uint64_t parseNumber(const std::string &text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

const char *nameOf(StateChannel channel) {
  return channel == StateChannel::Control ? "control" : "lists";
}

UpdateServer::UpdateServer(struct ev_loop *loop, std::uint64_t bootId,
                           double linkMbps, FillUpdate fill,
                           http::ServerShare share)
    : Loop(loop), Fill(std::move(fill)),
      Server(loop,
             {[](const http::Request &) { return true; },
              [this](http::ExchangeId id, const http::Request &request) {
                handleRequest(id, request);
              },
              [this](http::ExchangeId id) { PendingPolls.erase(id); }},
             share) {
  Server.setLimits(http::InternalLimits);
  State.BootId = bootId;
  Budgets[indexOf(StateChannel::Control)] =
      makeLinkBudget(linkMbps, ControlLinkShare);
  Budgets[indexOf(StateChannel::Lists)] =
      makeLinkBudget(linkMbps, ListsLinkShare);
  ev_timer_init(
      &SendTimer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<UpdateServer *>(it->data)->answerPending();
      },
      0, 0);
  SendTimer.data = this;
}

UpdateServer::~UpdateServer() { ev_timer_stop(Loop, &SendTimer); }

void UpdateServer::setReading(bool reading) {
  Reading = reading;
  if (reading) {
    return;
  }
  clear(State);
  for (const auto &[id, it] : std::exchange(PendingPolls, {})) {
    Server.sendResponse(id, {NotFound, {}, {}});
  }
}

void UpdateServer::publish(StatePart part) {
  if (!Reading) {
    return;
  }
  StateUpdate update;
  Fill(update, part);
  if (replaceParts(State, update)) {
    answerPending();
  }
}

ChannelStatus UpdateServer::statusFor(StateChannel channel,
                                      std::uint64_t followerBootId) const {
  if (!Reading) {
    return {};
  }
  const bool isDeferred = std::any_of(
      PendingPolls.begin(), PendingPolls.end(), [&](const auto &it) {
        return it.second.Channel == channel &&
               it.second.FollowerBootId == followerBootId &&
               it.second.DeferredSince != Instant{};
      });
  return {lastChange(State, channel), isDeferred};
}

std::size_t UpdateServer::deferredPolls() const {
  return static_cast<std::size_t>(std::count_if(
      PendingPolls.begin(), PendingPolls.end(),
      [](const auto &it) { return it.second.DeferredSince != Instant{}; }));
}

void UpdateServer::handleRequest(http::ExchangeId id,
                                 const http::Request &request) {
  const auto path = http::pathOf(request.Target);
  if (HasSnapshot && path == SnapshotPath) {
    return Server.sendResponse(id, {Ok, {}, encodedSnapshot()});
  }
  const auto channel =
      channelNamed(http::queryParameter(request.Target, "channel"));
  if (!Reading || path != UpdatesPath || !channel) {
    return Server.sendResponse(id, {NotFound, {}, {}});
  }
  PendingPoll poll{
      id, *channel,
      parseNumber(http::queryParameter(request.Target, "follower")), 0};
  const std::string bootId = http::queryParameter(request.Target, "boot");
  if (parseNumber(bootId) == State.BootId) {
    poll.LastSequence =
        parseNumber(http::queryParameter(request.Target, "after"));
  }
  poll.Digests = request.Body;
  poll.ReceivedAt = readClock();
  endEarlierPolls(poll);
  answerOrDefer(std::move(poll));
}

// A follower has one poll of a channel in flight. It abandoned the earlier
// ones, perhaps on connections that went silent, whose end never shows here.
void UpdateServer::endEarlierPolls(const PendingPoll &poll) {
  std::vector<http::ExchangeId> earlier;
  for (const auto &[id, it] : PendingPolls) {
    if (poll.FollowerBootId != 0 && it.Channel == poll.Channel &&
        it.FollowerBootId == poll.FollowerBootId) {
      earlier.push_back(id);
    }
  }
  for (const http::ExchangeId id : earlier) {
    PendingPolls.erase(id);
    Server.sendResponse(id, {NotFound, {}, {}});
  }
}

// \returns null when there is nothing to send yet.
const std::string *UpdateServer::updateFor(const PendingPoll &poll) {
  const bool comparesLists = poll.Channel == StateChannel::Lists &&
                             !poll.Digests.empty() &&
                             !canSendChangesSince(State, poll.LastSequence);
  return comparesLists ? differencesFrom(State, poll.Digests)
                       : updateSince(State, poll.Channel, poll.LastSequence);
}

// Answers a long poll if there are changes, and defers the response otherwise.
// Updates are spaced out to leave bandwidth for pings and pongs: late pongs
// make the reader seem lost.
void UpdateServer::answerOrDefer(PendingPoll poll) {
  const std::string *update = updateFor(poll);
  const Instant now = readClock();
  const Instant sendAt = nextSendAt(Budgets[indexOf(poll.Channel)]);
  if (update == nullptr || now < sendAt) {
    if (update != nullptr) {
      poll.DeferredSince =
          poll.DeferredSince == Instant{} ? now : poll.DeferredSince;
      startTimer(sendAt, now);
    }
    PendingPolls.emplace(poll.Id, std::move(poll));
    return;
  }
  for (const StateChannel it : AllChannels) {
    if (it == poll.Channel || poll.Channel == StateChannel::Control) {
      recordSent(Budgets[indexOf(it)], update->size(), now);
    }
  }
  recordDeferred(poll, update->size(), now);
  Server.sendResponse(poll.Id, {Ok, {}, *update});
}

void UpdateServer::startTimer(Instant at, Instant now) {
  if (ev_is_active(&SendTimer) && TimerAt <= at) {
    return;
  }
  TimerAt = at;
  ev_timer_stop(Loop, &SendTimer);
  const std::chrono::duration<double> left = at - now;
  ev_timer_set(&SendTimer, left.count(), 0);
  ev_timer_start(Loop, &SendTimer);
}

void UpdateServer::recordDeferred(const PendingPoll &poll, std::size_t bytes,
                                  Instant now) {
  if (poll.DeferredSince == Instant{}) {
    return;
  }
  ++Deferred.Count;
  Deferred.Bytes += bytes;
  Deferred.LongestWait =
      std::max(Deferred.LongestWait, now - poll.DeferredSince);
}

void UpdateServer::logDeferred() {
  if (Deferred.Count == 0) {
    return;
  }
  logEvent(EventId::UpdatesDeferred, {{"waiting", deferredPolls()},
                                      {"sent", Deferred.Count},
                                      {"bytes", Deferred.Bytes},
                                      {"longest_ms", Deferred.LongestWait}});
  Deferred = {};
}

// Those that wait longest come first.
void UpdateServer::answerPending() {
  std::vector<PendingPoll> polls;
  for (auto &[id, it] : std::exchange(PendingPolls, {})) {
    polls.push_back(std::move(it));
  }
  const auto key = [](const PendingPoll &it) {
    const bool needsAll = it.LastSequence == 0 && it.Digests.empty();
    return std::make_pair(
        it.ReceivedAt + (needsAll ? CompleteListsDelay : Duration{0}), it.Id);
  };
  std::sort(polls.begin(), polls.end(),
            [&](const auto &a, const auto &b) { return key(a) < key(b); });
  for (PendingPoll &it : polls) {
    answerOrDefer(std::move(it));
  }
}

const std::string &UpdateServer::encodedSnapshot() {
  const Instant now = readClock();
  if (!Snapshot.empty() && now - SnapshotEncodedAt < SnapshotCacheTime) {
    return Snapshot;
  }
  StateUpdate update;
  update.BootId = State.BootId;
  for (const StatePart it :
       {StatePart::Configuration, StatePart::Upstreams,
        StatePart::EvacuatedDomains, StatePart::Rollouts}) {
    Fill(update, it);
  }
  Snapshot = encodeUpdate(update);
  SnapshotEncodedAt = now;
  return Snapshot;
}

} // namespace zinniarail::fleet
