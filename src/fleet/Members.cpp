#include "zinniarail/fleet/Members.h"

#include <algorithm>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

namespace {

bool isUsable(const Member &it) { return it.Ready && !it.Record.Leaving; }

bool isInOwnDomain(const Members &members, const KnownMember &it) {
  return it.LastStatus.Record.Domain == members.LocalMember.Record.Domain;
}

// Copies the members of highest priority, in its order.
std::vector<Member> copyTop(std::vector<const Member *> members,
                            std::size_t count) {
  const auto end = members.begin() +
                   static_cast<std::ptrdiff_t>(std::min(members.size(), count));
  std::partial_sort(members.begin(), end, members.end(),
                    [](const Member *a, const Member *b) {
                      return hasHigherPriority(*a, *b);
                    });
  std::vector<Member> top;
  for (auto it = members.begin(); it != end; ++it) {
    top.push_back(**it);
  }
  return top;
}

} // namespace

bool recordMessageFrom(Members &members, const Member &member, Instant now) {
  if (member.Record.Id == members.LocalMember.Record.Id) {
    return false;
  }
  const auto [at, isNew] = members.Others.try_emplace(member.Record.Id);
  KnownMember &it = at->second;
  const bool wasLive = !isNew && isLive(it, now);
  const bool changed = !wasLive || it.LastStatus != member;
  if (isNew) {
    it.KnownSince = now;
  }
  it.LastStatus = member;
  it.LastMessageAt = now;
  it.UnansweredSince = Instant::max();
  return changed;
}

void recordPingTo(Members &members, const std::string &id, Instant now) {
  const auto it = members.Others.find(id);
  if (it != members.Others.end()) {
    it->second.UnansweredSince = std::min(it->second.UnansweredSince, now);
  }
}

void addIfUnknown(Members &members, const Member &member, Instant now) {
  if (member.Record.Id == members.LocalMember.Record.Id) {
    return;
  }
  const auto [at, isNew] = members.Others.try_emplace(member.Record.Id);
  if (isNew) {
    at->second.LastStatus = member;
    // Only the member itself reports whether it reads the store.
    at->second.LastStatus.Reading = false;
    at->second.LastStatus.StoreHealthy = false;
    at->second.KnownSince = now;
  }
}

bool applyReaderLiveList(Members &members, const std::vector<Member> &live,
                         Instant now) {
  bool changed = false;
  for (const Member &member : live) {
    if (member.Record.Id == members.LocalMember.Record.Id) {
      continue;
    }
    addIfUnknown(members, member, now);
    KnownMember &it = members.Others.at(member.Record.Id);
    changed = changed || !isLive(it, now) ||
              it.LastStatus.Record.Leaving != member.Record.Leaving ||
              it.LastStatus.Ready != member.Ready;
    if (!hasRecentMessage(it, now)) {
      it.LastStatus.Record = member.Record;
      it.LastStatus.Ready = member.Ready;
    }
    it.ReportedLiveAt = now;
  }
  for (auto &[id, it] : members.Others) {
    const bool isListed =
        std::any_of(live.begin(), live.end(), [&own = it](const Member &any) {
          return any.Record.Id == own.LastStatus.Record.Id;
        });
    if (!isListed && it.ReportedLiveAt != Instant::min()) {
      changed = changed || isLive(it, now);
      it.ReportedLiveAt = Instant::min();
      it.KnownSince = now;
    }
  }
  return changed;
}

void removeExpired(Members &members, Instant now) {
  std::erase_if(members.Others, [&](const auto &it) {
    const Instant last =
        std::max(it.second.LastMessageAt, it.second.KnownSince);
    // The reader sends its list only when it changes.
    const bool isListed = it.second.ReportedLiveAt != Instant::min();
    return !isListed && now - last > RemovalTimeout;
  });
}

bool hasRecentMessage(const KnownMember &member, Instant now) {
  return member.LastMessageAt != Instant::min() &&
         now - member.LastMessageAt <= LivenessTimeout;
}

bool isLive(const KnownMember &member, Instant now) {
  return hasRecentMessage(member, now) ||
         member.ReportedLiveAt != Instant::min();
}

bool isUnresponsive(const KnownMember &member, Instant now) {
  return member.UnansweredSince != Instant::max() &&
         now - member.UnansweredSince > LivenessTimeout;
}

bool hasHigherPriority(const Member &a, const Member &b) {
  if (a.ElectionWeight != b.ElectionWeight) {
    return a.ElectionWeight > b.ElectionWeight;
  }
  const std::uint64_t hashA = hashBytes(a.Record.Id);
  const std::uint64_t hashB = hashBytes(b.Record.Id);
  return hashA != hashB ? hashA < hashB : a.Record.Id < b.Record.Id;
}

std::vector<Member> topCandidates(const Members &members, std::size_t count,
                                  Instant now) {
  std::vector<const Member *> responsive;
  for (const auto &[id, it] : members.Others) {
    if (isInOwnDomain(members, it) && !isUnresponsive(it, now)) {
      responsive.push_back(&it.LastStatus);
    }
  }
  return copyTop(std::move(responsive), count);
}

std::vector<Member> topRecentMembers(const Members &members,
                                     const std::string &domain,
                                     const std::string &exceptId,
                                     std::size_t count, Instant now) {
  std::vector<const Member *> recent;
  for (const auto &[id, it] : members.Others) {
    if (it.LastStatus.Record.Domain == domain && id != exceptId &&
        hasRecentMessage(it, now)) {
      recent.push_back(&it.LastStatus);
    }
  }
  return copyTop(std::move(recent), count);
}

std::vector<Member> membersWithSnapshot(const Members &members, Instant now) {
  std::vector<Member> selected;
  for (const auto &[id, it] : members.Others) {
    if (it.LastStatus.HasSnapshot && hasRecentMessage(it, now)) {
      selected.push_back(it.LastStatus);
    }
  }
  std::stable_partition(
      selected.begin(), selected.end(), [&](const Member &it) {
        return it.Record.Domain == members.LocalMember.Record.Domain;
      });
  return selected;
}

void forEachLiveMember(const Members &members, Instant now,
                       const std::function<void(const Member &)> &visit) {
  const std::string &ownId = members.LocalMember.Record.Id;
  const auto next = members.Others.lower_bound(ownId);
  for (auto it = members.Others.begin();; ++it) {
    if (it == next) {
      visit(members.LocalMember);
    }
    if (it == members.Others.end()) {
      return;
    }
    if (isInOwnDomain(members, it->second) && isLive(it->second, now)) {
      visit(it->second.LastStatus);
    }
  }
}

std::vector<Member> listLiveMembers(const Members &members, Instant now) {
  std::vector<Member> live;
  forEachLiveMember(members, now,
                    [&](const Member &it) { live.push_back(it); });
  return live;
}

bool needsOtherDomains(const Members &members, Instant now) {
  std::size_t live = 0;
  std::size_t usable = 0;
  forEachLiveMember(members, now, [&](const Member &it) {
    ++live;
    usable += isUsable(it) ? 1 : 0;
  });
  return usable * 2 < live;
}

std::vector<Member> listReadyMembers(const Members &members, Instant now) {
  std::vector<Member> ready = listLiveMembers(members, now);
  std::erase_if(ready, [](const Member &it) { return !isUsable(it); });
  if (needsOtherDomains(members, now)) {
    const std::vector<Member> outside = listReadyOutsideMembers(members, now);
    ready.insert(ready.end(), outside.begin(), outside.end());
  }
  return ready;
}

std::vector<Member> listReadyOutsideMembers(const Members &members,
                                            Instant now) {
  std::vector<Member> ready;
  for (const auto &[id, it] : members.Others) {
    if (it.LastStatus.Record.Domain != members.LocalMember.Record.Domain &&
        hasRecentMessage(it, now) && isUsable(it.LastStatus)) {
      ready.push_back(it.LastStatus);
    }
  }
  return ready;
}

std::vector<Member> selectOutsideMembers(const Members &members,
                                         std::size_t count) {
  std::vector<Member> selected;
  for (const auto &[id, it] : members.Others) {
    if (it.LastStatus.Record.Domain != members.LocalMember.Record.Domain) {
      selected.push_back(it.LastStatus);
    }
  }
  const std::uint64_t selfHash = hashBytes(members.LocalMember.Record.Id);
  const auto rank = [&](const Member &it) {
    return hashCombine(selfHash, hashBytes(it.Record.Id));
  };
  std::sort(
      selected.begin(), selected.end(),
      [&](const Member &a, const Member &b) { return rank(a) < rank(b); });
  selected.resize(std::min(selected.size(), count));
  return selected;
}

} // namespace zinniarail
