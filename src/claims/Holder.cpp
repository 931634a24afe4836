// What an instance does as a holder of claims: it records, releases and hands
// them over, and tells when it may vouch.
#include <algorithm>

#include "Rules.h"
#include "zinniarail/core/Hash.h"

namespace zinniarail {

using claims::isBroken;
using claims::isHolder;

namespace {

constexpr std::uint64_t KeyHighSeed = 11;
constexpr std::uint64_t KeyLowSeed = 12;

// What the holders of one earlier generation have told.
struct Answers {
  std::size_t Count = 0;
  std::size_t Holders = 0;
  bool AnyReady = false;
};

Answers countAnswers(const ClaimState &state, const Generation &earlier,
                     const std::string &service) {
  Answers answers;
  for (const Member &it : claimHolders(earlier, service)) {
    ++answers.Holders;
    if (it.Id == state.Self.Id) {
      if (it.Incarnation == state.Self.Incarnation) {
        const auto shelf = state.Shelves.find(service);
        ++answers.Count;
        answers.AnyReady |= shelf != state.Shelves.end() &&
                            shelf->second.LastReady >= earlier.Number;
      }
      continue;
    }
    const auto given = state.HandOvers.find(it.Id);
    if (given == state.HandOvers.end() || !given->second.Complete ||
        given->second.Incarnation != it.Incarnation) {
      continue;
    }
    ++answers.Count;
    const auto ready = given->second.LastReady.find(service);
    answers.AnyReady |= ready != given->second.LastReady.end() &&
                        ready->second >= earlier.Number;
  }
  return answers;
}

// Whether all that was granted before the current generation is known here or
// has expired. Walks back until a generation whose holders knew the rest.
bool knowsEarlier(const ClaimState &state, const std::string &service,
                  Instant now) {
  const auto &history = state.Known.History;
  for (std::size_t it = history.size() - 1; it-- > 0;) {
    const Answers answers = countAnswers(state, history[it], service);
    const std::size_t needed = isBroken(state, ClaimRule::ReadyByMajority)
                                   ? 1
                                   : majorityOf(answers.Holders);
    if (answers.Count >= needed) {
      if (answers.AnyReady) {
        return true;
      }
      continue; // A majority never vouched in it, so nothing was granted in it.
    }
    if (!claims::isOver(state, history[it], now) &&
        !isBroken(state, ClaimRule::WaitWhenLost)) {
      return false;
    }
  }
  return true;
}

} // namespace

bool claims::isHolder(const ClaimState &state, const std::string &service,
                      const std::string &id) {
  const Generation *current = currentGeneration(state);
  if (!current) {
    return false;
  }
  const auto holders = claimHolders(*current, service);
  return std::any_of(holders.begin(), holders.end(),
                     [&](const Member &it) { return it.Id == id; });
}

namespace {

// Makes room for one claim; never at the cost of one that still counts.
bool makeRoom(const ClaimState &state, ClaimShelf &shelf, Instant now) {
  if (shelf.Entries.size() < state.Limits.PerService) {
    return true;
  }
  std::erase_if(shelf.Entries,
                [&](const auto &it) { return it.second.Expires <= now; });
  if (shelf.Entries.size() < state.Limits.PerService) {
    return true;
  }
  if (isBroken(state, ClaimRule::KeepYoung)) {
    shelf.Entries.erase(shelf.Entries.begin());
    return true;
  }
  return false;
}

} // namespace

ClaimKey makeClaimKey(const std::string &key) {
  return {hashBytes(key, KeyHighSeed), hashBytes(key, KeyLowSeed)};
}

const Generation *currentGeneration(const ClaimState &state) {
  return state.Known.History.empty() ? nullptr : &state.Known.History.back();
}

const Member *findSelf(const ClaimState &state, const Generation &generation) {
  const Member *it = findMember(generation, state.Self.Id);
  const bool same = it && (it->Incarnation == state.Self.Incarnation ||
                           isBroken(state, ClaimRule::NewIncarnation));
  return same ? it : nullptr;
}

bool isReady(const ClaimState &state, const std::string &service, Instant now) {
  const Generation *current = currentGeneration(state);
  if (!current || !findSelf(state, *current)) {
    return false;
  }
  const auto shelf = state.Shelves.find(service);
  if (shelf != state.Shelves.end() &&
      shelf->second.LastReady == current->Number) {
    return true;
  }
  return isBroken(state, ClaimRule::ReadyBeforeRecord) ||
         knowsEarlier(state, service, now);
}

RecordReply recordClaim(ClaimState &state, std::uint64_t generation,
                        const ClaimRecord &record, Instant now) {
  if (generation != currentNumber(state.Known) &&
      !isBroken(state, ClaimRule::SameGeneration)) {
    return RecordReply::OtherGeneration;
  }
  if (!isHolder(state, record.Service, state.Self.Id) &&
      !isBroken(state, ClaimRule::SameGeneration)) {
    return RecordReply::NotReady;
  }
  ClaimShelf &shelf = state.Shelves[record.Service];
  const auto entry = shelf.Entries.find(record.Key);
  const bool kept = entry != shelf.Entries.end() && entry->second.Expires > now;
  if (kept && entry->second.Token != record.Token) {
    return RecordReply::Taken;
  }
  if (!isReady(state, record.Service, now)) {
    return RecordReply::NotReady;
  }
  shelf.LastReady = currentNumber(state.Known);
  if (kept) {
    return RecordReply::Recorded;
  }
  if (!makeRoom(state, shelf, now)) {
    return RecordReply::Full;
  }
  const Duration longest = state.Limits.WindowLimit + state.Limits.GrantSlack;
  shelf.Entries[record.Key] = {record.Token,
                               now + std::min(record.Keep, longest)};
  return RecordReply::Recorded;
}

void releaseClaim(ClaimState &state, const ClaimRecord &record) {
  const auto shelf = state.Shelves.find(record.Service);
  if (shelf == state.Shelves.end()) {
    return;
  }
  const auto entry = shelf->second.Entries.find(record.Key);
  if (entry == shelf->second.Entries.end()) {
    return;
  }
  if (entry->second.Token == record.Token ||
      isBroken(state, ClaimRule::TokenOnRelease)) {
    shelf->second.Entries.erase(entry);
  }
}

ClaimPage handOver(ClaimState &state, const SendHandOver &request,
                   const std::string &asker, Instant now) {
  ClaimPage page;
  if (request.Generation != currentNumber(state.Known)) {
    return page;
  }
  page.Agreed = true;
  for (auto shelf = state.Shelves.lower_bound(request.AfterService);
       shelf != state.Shelves.end(); ++shelf) {
    const auto &[service, kept] = *shelf;
    if (!isHolder(state, service, asker)) {
      continue;
    }
    auto entry = service == request.AfterService
                     ? kept.Entries.upper_bound(request.AfterKey)
                     : kept.Entries.begin();
    for (; entry != kept.Entries.end(); ++entry) {
      if (page.Claims.size() == state.Limits.PageSize) {
        return page;
      }
      const ClaimEntry &it = entry->second;
      if (it.Expires > now) {
        page.Claims.push_back(
            {service, entry->first, it.Token, it.Expires - now});
      }
    }
  }
  page.Last = true;
  for (const auto &[service, kept] : state.Shelves) {
    if (isHolder(state, service, asker)) {
      page.LastReady[service] = kept.LastReady;
    }
  }
  state.GoneOver.insert(asker);
  return page;
}

bool isHandedOver(const ClaimState &state) {
  const Generation *current = currentGeneration(state);
  if (!current || countClaims(state) == 0) {
    return true;
  }
  const auto alive = [&](const Member &it) {
    const auto peer = state.Peers.find(it.Id);
    return peer != state.Peers.end() && peer->second.Alive;
  };
  if (std::none_of(current->Members.begin(), current->Members.end(), alive)) {
    return true; // Nobody to take them.
  }
  return !findSelf(state, *current) &&
         std::all_of(current->Members.begin(), current->Members.end(),
                     [&](const Member &it) {
                       return !alive(it) || state.GoneOver.contains(it.Id);
                     });
}

std::size_t countClaims(const ClaimState &state) {
  std::size_t count = 0;
  for (const auto &[service, shelf] : state.Shelves) {
    count += shelf.Entries.size();
  }
  return count;
}

} // namespace zinniarail
