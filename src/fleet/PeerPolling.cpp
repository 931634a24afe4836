// Polls of the followed reader for state updates.
#include "fleet/PeerTask.h"

#include <algorithm>

#include "fleet/ListDigest.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::fleet {

namespace {

// Delay before the reader is polled again after a failed poll.
constexpr Duration PollRetryDelay = std::chrono::milliseconds{50};

constexpr unsigned Ok = 200;

} // namespace

void PeerTask::pollReader() {
  const Instant now = readClock();
  for (ChannelPoll &it : Polls) {
    if (!it.InFlight && now >= it.NextAt) {
      pollReader(it);
    }
  }
}

void PeerTask::pollReader(ChannelPoll &poll) {
  const auto reader = Membership.Others.find(ReaderElection.Reader);
  if (ReaderElection.CurrentDuty != Duty::Follow ||
      reader == Membership.Others.end()) {
    return;
  }
  poll.InFlight = true;
  poll.StartedAt = readClock();
  const Member &it = reader->second.LastStatus;
  const bool sameReader = poll.Lag.ReaderBootId == it.BootId;
  http::Call call;
  call.Id = poll.Call = ++LastCall;
  call.Address = poll.Address = it.Record.PeerAddress;
  const std::string digests = digestsFor(poll);
  call.Bytes =
      std::string("POST ") + UpdatesPath + "?channel=" + nameOf(poll.Channel) +
      "&boot=" + std::to_string(poll.Lag.ReaderBootId) +
      "&after=" + std::to_string(sameReader ? poll.Lag.LastSequence : 0) +
      "&follower=" + std::to_string(Membership.LocalMember.BootId) +
      " HTTP/1.1\r\nHost: " + it.Record.PeerAddress +
      "\r\nContent-Length: " + std::to_string(digests.size()) + "\r\n\r\n" +
      digests;
  Pool.start(std::move(call));
}

// The digests of the lists as this instance knows them, in the first poll of a
// reader: it may be a new one, or have stopped reading for a while. Empty if
// this instance knows none.
std::string PeerTask::digestsFor(const ChannelPoll &poll) const {
  if (poll.Channel != StateChannel::Lists || !poll.FirstUpdateAwaitedSince) {
    return "";
  }
  StateUpdate own;
  Handlers.Fill(own, StatePart::Upstreams);
  ListDigests digests;
  if (own.Upstreams) {
    digests.Upstreams = digestBuckets(own.Upstreams->List.Items);
  }
  std::vector<Member> members;
  for (const auto &[id, it] : ReaderLiveList) {
    members.push_back(it);
  }
  digests.Members = digestBuckets(members);
  const bool knowsNone = digests.Upstreams.empty() && digests.Members.empty();
  return knowsNone ? "" : encodeDigests(digests);
}

// A connection may go silent without a reset. The poll starts again on a new
// one.
void PeerTask::abandonOverduePolls() {
  const Instant now = readClock();
  for (ChannelPoll &it : Polls) {
    if (!it.InFlight || !isPollOverdue(it.Lag, it.StartedAt, now)) {
      continue;
    }
    logEvent(EventId::PollAbandoned,
             {{"reader", ReaderElection.Reader},
              {"channel", nameOf(it.Channel)},
              {"sequence", it.Lag.LastSequence},
              {"reader_sequence", it.Lag.ReaderSequence},
              {"pending_ms", now - it.StartedAt},
              {"behind_ms", now - *it.Lag.BehindSince}});
    ++it.Lag.AbandonedPolls;
    cancelPoll(it);
    pollReader(it);
  }
}

// Closes its connection even if it is idle: it may go silent until the next
// poll.
void PeerTask::cancelPoll(ChannelPoll &poll) {
  if (poll.InFlight) {
    Pool.cancel(poll.Call);
  }
  poll.InFlight = false; // A late result of the cancelled call is ignored.
  Pool.closeIdle(poll.Address);
}

void PeerTask::resetPolling() {
  for (ChannelPoll &it : Polls) {
    cancelPoll(it);
    restart(it.Lag);
    it.NextAt = Instant{};
    it.FirstUpdateAwaitedSince = readClock();
  }
}

void PeerTask::handlePollResult(http::CallId id,
                                const http::CallResult &result) {
  const auto poll =
      std::find_if(Polls.begin(), Polls.end(), [&](const auto &it) {
        return it.InFlight && it.Call == id;
      });
  if (poll == Polls.end()) {
    return;
  }
  poll->InFlight = false;
  const bool answered = result.Outcome == http::CallOutcome::Answered &&
                        result.Response.Status == Ok;
  const auto update =
      answered ? decodeUpdate(result.Response.Body) : std::nullopt;
  if (!update) {
    UnreadableCount += answered ? 1 : 0;
    Pool.closeIdle(poll->Address);
    poll->NextAt = readClock() + PollRetryDelay;
    return;
  }
  logFirstUpdate(*poll, *update, result.Response.Body.size());
  recordUpdate(poll->Lag, update->BootId, update->Sequence);
  if (update->Members) {
    applyReaderMembers(*update->Members);
  }
  if (!Handlers.UpdateReceived(*update)) {
    poll->Lag.LastSequence = 0; // The next poll asks for all of the channel.
    poll->NextAt = readClock() + PollRetryDelay;
  }
  notifyIfLiveChanged();
  pollReader();
}

void PeerTask::logFirstUpdate(ChannelPoll &poll, const StateUpdate &update,
                              std::size_t bytes) {
  const auto since = std::exchange(poll.FirstUpdateAwaitedSince, {});
  if (!since) {
    return;
  }
  std::string parts;
  const auto add = [&](bool contained, const char *name) {
    if (contained) {
      parts += (parts.empty() ? "" : ",") + std::string(name);
    }
  };
  add(update.Config != nullptr, "configuration");
  add(update.EvacuatedDomains.has_value(), "evacuations");
  add(update.Upstreams.has_value(), "upstreams");
  add(update.Members.has_value(), "instances");
  const bool isComplete =
      (update.Upstreams && update.Upstreams->List.IsComplete) ||
      (update.Members && update.Members->List.IsComplete);
  logEvent(EventId::UpdateReceived, {{"reader", ReaderElection.Reader},
                                     {"parts", parts},
                                     {"complete", isComplete ? "yes" : "no"},
                                     {"bytes", bytes},
                                     {"waited_ms", readClock() - *since}});
}

void PeerTask::applyReaderMembers(MembersUpdate update) {
  resolveBuckets(update.List, ReaderLiveList);
  if (update.List.IsComplete) {
    ReaderLiveList.clear();
  }
  for (const Member &it : update.List.Items) {
    ReaderLiveList[it.Record.Id] = it;
  }
  for (const std::string &id : update.List.RemovedIds) {
    ReaderLiveList.erase(id);
  }
  std::vector<Member> live;
  for (const auto &[id, it] : ReaderLiveList) {
    live.push_back(it);
  }
  applyReaderLiveList(Membership, live, readClock());
  FleetSize = std::max<std::size_t>(update.FleetSize, 1);
}

} // namespace zinniarail::fleet
