// The roster as one instance knows it: learning a newer one, finding out that
// earlier generations are over, getting claims handed over, and changing it.
#include <algorithm>

#include "Rules.h"

namespace zinniarail::claims {

namespace {

Duration witnessLifetime(const ClaimState &state,
                         const Generation &generation) {
  const auto members = static_cast<std::int64_t>(generation.Members.size());
  return std::max(state.Limits.WitnessLifetime,
                  state.Limits.WitnessPerMember * members);
}

// Whether a member is known to have left a generation for good: it answered
// in a later one, or another process answers at its address.
bool hasLeft(const ClaimState &state, const Member &member,
             std::uint64_t number) {
  if (member.Id == state.Self.Id &&
      member.Incarnation == state.Self.Incarnation) {
    return currentNumber(state.Known) > number;
  }
  const auto it = state.Peers.find(member.Id);
  if (it == state.Peers.end()) {
    return false;
  }
  const ClaimPeer &peer = it->second;
  if (peer.Who.Incarnation == member.Incarnation) {
    return peer.Generation > number;
  }
  // An answer older than the roster may come from the process before it.
  return peer.Who.PeerAddress == member.PeerAddress &&
         peer.At >= state.LearnedAt;
}

void updateQuiet(ClaimState &state, Instant now) {
  const std::uint64_t current = currentNumber(state.Known);
  for (const Generation &it : state.Known.History) {
    if (it.Number == current || state.QuietSince.contains(it.Number)) {
      continue;
    }
    const auto left = std::count_if(it.Members.begin(), it.Members.end(),
                                    [&](const Member &member) {
                                      return hasLeft(state, member, it.Number);
                                    });
    if (static_cast<std::size_t>(left) >= majorityOf(it.Members.size())) {
      state.QuietSince[it.Number] = now;
    }
  }
}

// Everybody else who may know of claims from before the current generation.
std::set<std::string> formerMembers(const ClaimState &state) {
  std::set<std::string> former;
  const auto &history = state.Known.History;
  for (std::size_t it = 0; it + 1 < history.size(); ++it) {
    for (const Member &member : history[it].Members) {
      if (member.Id != state.Self.Id) {
        former.insert(member.Id);
      }
    }
  }
  return former;
}

void askHandOver(ClaimState &state, const std::string &from, Instant now,
                 ClaimActions &out) {
  HandedOver &it = state.HandOvers[from];
  it = {.Asked = now};
  out.emplace_back(SendHandOver{from, currentNumber(state.Known), {}, {}});
}

void tendHandOvers(ClaimState &state, Instant now, ClaimActions &out) {
  const Generation *current = currentGeneration(state);
  if (!current || !findSelf(state, *current)) {
    return;
  }
  for (const std::string &it : formerMembers(state)) {
    const auto peer = state.Peers.find(it);
    const bool alive = peer != state.Peers.end() && peer->second.Alive;
    const auto given = state.HandOvers.find(it);
    const bool due = given == state.HandOvers.end() ||
                     (!given->second.Complete &&
                      now - given->second.Asked >= state.Limits.HandOverRetry);
    if (alive && due) {
      askHandOver(state, it, now, out);
    }
  }
}

void keep(ClaimState &state, const ClaimRecord &record, Instant now) {
  auto &entries = state.Shelves[record.Service].Entries;
  const Instant expires = now + record.Keep;
  const auto [it, added] =
      entries.try_emplace(record.Key, ClaimEntry{record.Token, expires});
  if (added) {
    return;
  }
  ClaimEntry &entry = it->second;
  if (entry.Expires > now && entry.Token != record.Token) {
    entry.Token = {}; // One of two was granted: release neither.
  } else {
    entry.Token = record.Token;
  }
  entry.Expires = std::max(entry.Expires, expires);
}

// Drops generations whose claims have all expired, the oldest first.
void dropOver(const ClaimState &state, Roster &roster, Instant now) {
  while (roster.History.size() > 1 &&
         isOver(state, roster.History.front(), now)) {
    roster.History.erase(roster.History.begin());
  }
}

bool mayChange(const ClaimState &state, const ClaimTick &event, Instant now) {
  const Duration settled = now - state.WantedSince;
  const bool first =
      event.Wanted.empty() || event.Wanted.front().Id == state.Self.Id;
  if (state.RosterAsked || event.Wanted.empty() || !first ||
      settled < state.Limits.SettleTime) {
    return false;
  }
  if (state.Known.History.empty()) {
    return state.RosterAbsent;
  }
  return hasWitnesses(state, now) || settled >= state.Limits.MinorityDelay;
}

void changeRoster(ClaimState &state, const ClaimTick &event, Instant now,
                  ClaimActions &out) {
  if (event.Wanted != state.Wanted) {
    state.Wanted = event.Wanted;
    state.WantedSince = now;
  }
  const Generation *current = currentGeneration(state);
  if ((current && current->Members == state.Wanted) ||
      !mayChange(state, event, now)) {
    return;
  }
  Roster next = state.Known;
  next.History.push_back({currentNumber(state.Known) + 1, state.Wanted});
  dropOver(state, next, now);
  if (next.History.size() > state.Limits.Generations) {
    return;
  }
  state.RosterAsked = true;
  out.emplace_back(SendRosterWrite{std::move(next)});
}

// The first of those alive reads for all; the others learn from peers.
void readRoster(ClaimState &state, const ClaimTick &event, Instant now,
                ClaimActions &out) {
  const bool reads = state.Known.History.empty() || event.Wanted.empty() ||
                     event.Wanted.front().Id == state.Self.Id;
  if (state.RosterAsked || !reads || now < state.NextRosterRead) {
    return;
  }
  state.RosterAsked = true;
  state.NextRosterRead = now + state.Limits.RosterReadInterval;
  out.emplace_back(SendRosterRead{});
}

// Gets ready for services before their first claim comes.
void prepare(ClaimState &state, const std::vector<std::string> &services,
             Instant now) {
  const std::uint64_t current = currentNumber(state.Known);
  if (state.PreparedFor == current) {
    return;
  }
  bool all = true;
  for (const std::string &it : services) {
    if (!isHolder(state, it, state.Self.Id)) {
      continue;
    }
    if (isReady(state, it, now)) {
      state.Shelves[it].LastReady = current;
    } else {
      all = false;
    }
  }
  if (all) {
    state.PreparedFor = current;
  }
}

} // namespace

bool isOver(const ClaimState &state, const Generation &generation,
            Instant now) {
  const auto it = state.QuietSince.find(generation.Number);
  return it != state.QuietSince.end() &&
         now - it->second > state.Limits.LongestWindow +
                                state.Limits.GrantSlack +
                                witnessLifetime(state, generation);
}

bool hasWitnesses(const ClaimState &state, Instant now) {
  if (isBroken(state, ClaimRule::Witnesses)) {
    return true;
  }
  const Generation *current = currentGeneration(state);
  if (!current) {
    return false;
  }
  const auto seen = [&](const Member &it) {
    if (it.Id == state.Self.Id) {
      return it.Incarnation == state.Self.Incarnation;
    }
    const auto peer = state.Peers.find(it.Id);
    return peer != state.Peers.end() &&
           peer->second.Who.Incarnation == it.Incarnation &&
           peer->second.Generation <= current->Number &&
           now - peer->second.At <= witnessLifetime(state, *current);
  };
  const auto count =
      std::count_if(current->Members.begin(), current->Members.end(), seen);
  return static_cast<std::size_t>(count) >= majorityOf(current->Members.size());
}

void learnRoster(ClaimState &state, const Roster &learned, Instant now,
                 ClaimActions &out) {
  const std::uint64_t number = currentNumber(learned);
  if (number < currentNumber(state.Known) || number == 0) {
    return;
  }
  if (number == currentNumber(state.Known)) {
    state.Known.Version = std::max(state.Known.Version, learned.Version);
    return;
  }
  state.Known = learned;
  state.LearnedAt = now;
  state.HandOvers.clear();
  state.GoneOver.clear();
  std::erase_if(state.QuietSince, [&](const auto &it) {
    return it.first < learned.History.front().Number;
  });
  updateQuiet(state, now);
  tendHandOvers(state, now, out);
  restartAsks(state, now, out);
}

void noteRosterAnswer(ClaimState &state, const RosterAnswered &event,
                      Instant now, ClaimActions &out) {
  state.RosterAsked = false;
  if (!event.Reached) {
    return;
  }
  state.RosterAbsent = !event.Stored.has_value();
  if (!event.Stored) {
    state.Known.Version = 0;
    return;
  }
  const std::uint64_t stored = currentNumber(*event.Stored);
  if (stored < currentNumber(state.Known)) {
    // The store went back. What is known here replaces it.
    state.Known.Version = event.Stored->Version;
    return;
  }
  learnRoster(state, *event.Stored, now, out);
}

void notePage(ClaimState &state, const PageArrived &event, Instant now,
              ClaimActions &out) {
  const auto it = state.HandOvers.find(event.From);
  if (it == state.HandOvers.end() || it->second.Complete || !event.Agreed ||
      event.Generation != currentNumber(state.Known)) {
    return; // Asked anew when it is due.
  }
  HandedOver &given = it->second;
  if (given.Incarnation != 0 && given.Incarnation != event.Incarnation) {
    askHandOver(state, event.From, now, out);
    return;
  }
  given.Incarnation = event.Incarnation;
  for (const ClaimRecord &record : event.Claims) {
    keep(state, record, now);
  }
  if (event.Last) {
    given.Complete = true;
    given.LastReady = event.LastReady;
    return;
  }
  given.Asked = now;
  const ClaimRecord &last = event.Claims.back();
  out.emplace_back(
      SendHandOver{event.From, event.Generation, last.Service, last.Key});
}

void tendRoster(ClaimState &state, const ClaimTick &event, Instant now,
                ClaimActions &out) {
  updateQuiet(state, now);
  tendHandOvers(state, now, out);
  changeRoster(state, event, now, out);
  readRoster(state, event, now, out);
  prepare(state, event.Services, now);
}

} // namespace zinniarail::claims

namespace zinniarail {

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

void notePeer(ClaimState &state, const ClaimPeer &evidence) {
  ClaimPeer &it = state.Peers[evidence.Who.Id];
  // Answers may come in another order than their questions.
  if (evidence.At >= it.At) {
    it = evidence;
  }
}

void dropExpired(ClaimState &state, Instant now) {
  if (now < state.NextPurge) {
    return;
  }
  state.NextPurge = now + state.Limits.PurgeInterval;
  for (auto &[service, shelf] : state.Shelves) {
    std::erase_if(shelf.Entries,
                  [&](const auto &it) { return it.second.Expires <= now; });
  }
}

} // namespace

ClaimState makeClaims(Member self, ClaimLimits limits) {
  ClaimState state;
  state.Self = std::move(self);
  state.Limits = limits;
  return state;
}

void handle(ClaimState &state, const ClaimEvent &event, Instant now,
            ClaimActions &out) {
  std::visit(
      Overloaded{
          [&](const RosterLearned &it) {
            claims::learnRoster(state, it.Learned, now, out);
          },
          [&](const RosterAnswered &it) {
            claims::noteRosterAnswer(state, it, now, out);
          },
          [&](const PeerAnswered &it) { notePeer(state, it.Evidence); },
          [&](const PeerSilent &it) {
            if (const auto peer = state.Peers.find(it.Id);
                peer != state.Peers.end()) {
              peer->second.Alive = false;
            }
          },
          [&](const ClaimSought &it) { claims::beginAsk(state, it, now, out); },
          [&](const RecordAnswered &it) {
            claims::noteRecordAnswer(state, it, now, out);
          },
          [&](const ReleaseSought &it) {
            claims::releaseGranted(state, it, out);
          },
          [&](const PageArrived &it) { claims::notePage(state, it, now, out); },
          [&](const ClaimTick &it) {
            dropExpired(state, now);
            claims::tendRoster(state, it, now, out);
            claims::tendAsks(state, now, out);
          }},
      event);
}

} // namespace zinniarail
