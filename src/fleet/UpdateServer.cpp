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

// Responses longer than LargeResponseBytes are spaced out in time, so that they
// take up at most LargeResponseLinkShare of the link.
constexpr std::size_t LargeResponseBytes = std::size_t{8} << 10;
constexpr double LargeResponseLinkShare = 0.5;

// The encoded snapshot is reused for this long.
constexpr Duration SnapshotCacheTime = std::chrono::milliseconds{500};

// Time between two log lines while responses are deferred.
constexpr Duration DeferredLogInterval = std::chrono::seconds{1};

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
                           double linkMbps, FillUpdate fill)
    : Loop(loop), Fill(std::move(fill)), LinkMbps(linkMbps),
      Server(loop, {[](const http::Request &) { return true; },
                    [this](http::ExchangeId id, const http::Request &request) {
                      handleRequest(id, request);
                    },
                    [this](http::ExchangeId id) { PendingPolls.erase(id); }}) {
  State.BootId = bootId;
  ev_timer_init(
      &LargeResponseTimer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<UpdateServer *>(it->data)->answerPending();
      },
      0, 0);
  LargeResponseTimer.data = this;
}

UpdateServer::~UpdateServer() { ev_timer_stop(Loop, &LargeResponseTimer); }

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

std::uint64_t UpdateServer::sequenceFor(StateChannel channel,
                                        std::uint64_t followerBootId) const {
  if (!Reading) {
    return 0;
  }
  std::uint64_t sequence = lastChange(State, channel);
  // While the timer is not active, no poll waits that could be answered.
  if (ev_is_active(&LargeResponseTimer)) {
    for (const auto &[id, it] : PendingPolls) {
      if (it.Channel == channel && it.FollowerBootId == followerBootId) {
        sequence = std::min(sequence, it.LastSequence);
      }
    }
  }
  return sequence;
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
// Large lists are spaced out to leave bandwidth for pings and pongs: when
// many instances poll for the complete state at once, late pongs would make the
// reader seem lost.
void UpdateServer::answerOrDefer(PendingPoll poll) {
  const std::string *update = updateFor(poll);
  const Instant now = readClock();
  const bool isLarge = poll.Channel == StateChannel::Lists &&
                       update != nullptr &&
                       update->size() > LargeResponseBytes && LinkMbps > 0;
  if (update == nullptr || (isLarge && now < NextLargeResponseAt)) {
    if (isLarge && poll.DeferredSince == Instant{}) {
      poll.DeferredSince = now;
    }
    PendingPolls.emplace(poll.Id, std::move(poll));
    if (isLarge && !ev_is_active(&LargeResponseTimer)) {
      const std::chrono::duration<double> left = NextLargeResponseAt - now;
      ev_timer_set(&LargeResponseTimer, left.count(), 0);
      ev_timer_start(Loop, &LargeResponseTimer);
    }
    return;
  }
  if (isLarge) {
    constexpr double bitsPerByte = 8;
    const double micros = static_cast<double>(update->size()) * bitsPerByte /
                          (LinkMbps * LargeResponseLinkShare);
    NextLargeResponseAt = now + Duration(static_cast<Duration::rep>(micros));
  }
  recordDeferred(poll, update->size(), now);
  Server.sendResponse(poll.Id, {Ok, {}, *update});
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

void UpdateServer::logDeferred(Instant now) {
  const auto waiting = std::count_if(
      PendingPolls.begin(), PendingPolls.end(),
      [](const auto &it) { return it.second.DeferredSince != Instant{}; });
  if (Deferred.Count == 0 ||
      (waiting > 0 && now - DeferredLoggedAt < DeferredLogInterval)) {
    return;
  }
  DeferredLoggedAt = now;
  logEvent(EventId::UpdatesDeferred, {{"waiting", waiting},
                                      {"sent", Deferred.Count},
                                      {"bytes", Deferred.Bytes},
                                      {"longest_ms", Deferred.LongestWait}});
  Deferred = {};
}

void UpdateServer::answerPending() {
  const auto polls = std::exchange(PendingPolls, {});
  for (const auto &[id, it] : polls) {
    answerOrDefer(it);
  }
  logDeferred(readClock());
}

const std::string &UpdateServer::encodedSnapshot() {
  const Instant now = readClock();
  if (!Snapshot.empty() && now - SnapshotEncodedAt < SnapshotCacheTime) {
    return Snapshot;
  }
  StateUpdate update;
  update.BootId = State.BootId;
  for (const StatePart it : {StatePart::Configuration, StatePart::Upstreams,
                             StatePart::EvacuatedDomains}) {
    Fill(update, it);
  }
  Snapshot = encodeUpdate(update);
  SnapshotEncodedAt = now;
  return Snapshot;
}

} // namespace zinniarail::fleet
