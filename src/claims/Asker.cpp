// What an instance does that wants a claim: it asks the holders one after the
// other, the same first for every asker, until a majority has recorded it.
#include <algorithm>

#include "Rules.h"

namespace zinniarail::claims {

namespace {

bool isReachable(const ClaimState &state, const std::string &id) {
  const auto it = state.Peers.find(id);
  return id == state.Self.Id || (it != state.Peers.end() && it->second.Alive);
}

// The first is the same for every asker that sees the same holders alive. This
// instance, if it is one, comes second at the latest, as it costs no message.
std::vector<std::string> orderHolders(const ClaimState &state,
                                      const ClaimRecord &record) {
  std::vector<std::string> order;
  const Generation *current = currentGeneration(state);
  if (!current) {
    return order;
  }
  for (const Member &it : claimHolders(*current, record.Service)) {
    order.push_back(it.Id);
  }
  if (order.empty()) {
    return order;
  }
  std::rotate(order.begin(),
              order.begin() +
                  static_cast<std::ptrdiff_t>(record.Key.Low % order.size()),
              order.end());
  std::stable_partition(order.begin(), order.end(), [&](const std::string &it) {
    return isReachable(state, it);
  });
  const auto self = std::find(order.begin(), order.end(), state.Self.Id);
  if (self != order.end() && self - order.begin() > 1) {
    std::rotate(order.begin() + 1, self, self + 1);
  }
  return order;
}

void conclude(ClaimState &state, std::uint64_t sequence, ClaimVerdict verdict,
              ClaimActions &out) {
  const auto it = state.Asks.find(sequence);
  const ClaimAsk ask = std::move(it->second);
  state.Asks.erase(it);
  if (verdict != ClaimVerdict::Granted) {
    // Nobody runs it, so another send may have it.
    for (const std::string &holder : ask.Asked) {
      out.emplace_back(SendRelease{holder, ask.Record});
    }
    releaseClaim(state, ask.Record);
  } else {
    state.Granted[ask.Request] = {ask.Record, ask.Asked,
                                  ask.Started + ask.Record.Keep};
  }
  out.emplace_back(DecideClaim{ask.Record.Service, {ask.Request, verdict}});
}

void beginRound(ClaimState &state, ClaimAsk &ask) {
  ask.Round = state.NextRound++;
  ask.Order = orderHolders(state, ask.Record);
  ask.Needed = isBroken(state, ClaimRule::MajorityRecords)
                   ? 1
                   : majorityOf(ask.Order.size());
  ask.Next = 0;
  ask.Recorded = 0;
  ask.RetryAt.reset();
}

bool isInTime(const ClaimState &state, const ClaimAsk &ask, Instant now) {
  return isBroken(state, ClaimRule::GrantInTime) ||
         (now <= ask.Deadline && now - ask.Started <= state.Limits.GrantSlack);
}

void retryOrGiveUp(ClaimState &state, std::uint64_t sequence, Instant now,
                   ClaimActions &out) {
  ClaimAsk &ask = state.Asks.at(sequence);
  const Instant next = now + state.Limits.RetryInterval;
  if (next - ask.Started > state.Limits.Patience || next > ask.Deadline) {
    conclude(state, sequence, ClaimVerdict::Unavailable, out);
    return;
  }
  ask.RetryAt = next;
}

void noteReply(ClaimAsk &ask, RecordReply reply) {
  ask.Recorded += reply == RecordReply::Recorded ? 1 : 0;
  ask.SawTaken |= reply == RecordReply::Taken;
}

// Goes on until an answer has to be awaited or the ask is decided.
void advance(ClaimState &state, std::uint64_t sequence, Instant now,
             ClaimActions &out) {
  ClaimAsk &ask = state.Asks.at(sequence);
  while (true) {
    if (ask.SawTaken) {
      conclude(state, sequence, ClaimVerdict::Taken, out);
      return;
    }
    if (!isInTime(state, ask, now)) {
      conclude(state, sequence, ClaimVerdict::Unavailable, out);
      return;
    }
    if (!ask.Order.empty() && ask.Recorded >= ask.Needed &&
        hasWitnesses(state, now)) {
      conclude(state, sequence, ClaimVerdict::Granted, out);
      return;
    }
    if (ask.Next == ask.Order.size() || ask.Recorded >= ask.Needed) {
      retryOrGiveUp(state, sequence, now, out);
      return;
    }
    const std::string holder = ask.Order[ask.Next++];
    const std::uint64_t generation = currentNumber(state.Known);
    if (holder != state.Self.Id) {
      ask.Asked.insert(holder);
      out.emplace_back(
          SendRecord{holder, generation, ask.Record, sequence, ask.Round});
      return;
    }
    noteReply(ask, recordClaim(state, generation, ask.Record, now));
  }
}

} // namespace

void beginAsk(ClaimState &state, const ClaimSought &event, Instant now,
              ClaimActions &out) {
  if (state.Asks.size() >= state.Limits.OpenAsks ||
      event.Window > state.Limits.WindowLimit) {
    out.emplace_back(
        DecideClaim{event.Service, {event.Request, ClaimVerdict::Unavailable}});
    return;
  }
  const std::uint64_t sequence = state.NextSequence++;
  ClaimAsk &ask = state.Asks[sequence];
  ask.Request = event.Request;
  ask.Record = {event.Service,
                event.Key,
                {state.Self.Incarnation, sequence},
                event.Window + state.Limits.GrantSlack};
  ask.Window = event.Window;
  ask.Started = now;
  ask.Deadline = event.Deadline;
  beginRound(state, ask);
  advance(state, sequence, now, out);
}

void noteRecordAnswer(ClaimState &state, const RecordAnswered &event,
                      Instant now, ClaimActions &out) {
  const auto it = state.Asks.find(event.Ask);
  if (it == state.Asks.end() || it->second.Round != event.Round) {
    return;
  }
  noteReply(it->second, event.Reply);
  advance(state, event.Ask, now, out);
}

void releaseGranted(ClaimState &state, const ReleaseSought &event,
                    ClaimActions &out) {
  const auto it = state.Granted.find(event.Request);
  if (it == state.Granted.end()) {
    return;
  }
  for (const std::string &holder : it->second.Asked) {
    out.emplace_back(SendRelease{holder, it->second.Record});
  }
  releaseClaim(state, it->second.Record);
  state.Granted.erase(it);
}

void restartAsks(ClaimState &state, Instant now, ClaimActions &out) {
  std::vector<std::uint64_t> open;
  for (const auto &[sequence, ask] : state.Asks) {
    open.push_back(sequence);
  }
  for (const std::uint64_t it : open) {
    beginRound(state, state.Asks.at(it));
    advance(state, it, now, out);
  }
}

void tendAsks(ClaimState &state, Instant now, ClaimActions &out) {
  std::vector<std::uint64_t> due;
  for (const auto &[sequence, ask] : state.Asks) {
    if (!isInTime(state, ask, now) || (ask.RetryAt && *ask.RetryAt <= now)) {
      due.push_back(sequence);
    }
  }
  for (const std::uint64_t it : due) {
    ClaimAsk &ask = state.Asks.at(it);
    if (ask.RetryAt) {
      beginRound(state, ask);
    }
    advance(state, it, now, out);
  }
  std::erase_if(state.Granted,
                [&](const auto &it) { return it.second.Expires <= now; });
}

} // namespace zinniarail::claims
