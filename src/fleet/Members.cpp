#include "zinniarail/fleet/Members.h"

#include <algorithm>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

bool hearMember(Members &members, const Member &member, Instant now) {
  if (member.Record.Id == members.Self.Record.Id) {
    return false;
  }
  const auto [at, isNew] = members.Others.try_emplace(member.Record.Id);
  KnownMember &it = at->second;
  const bool wasLive = !isNew && isLive(it, now);
  const bool changed = !wasLive || it.Said != member;
  if (isNew) {
    it.KnownSince = now;
  }
  it.Said = member;
  it.HeardAt = now;
  it.AskedAt = Instant::max();
  return changed;
}

void noteAsked(Members &members, const std::string &id, Instant now) {
  const auto it = members.Others.find(id);
  if (it != members.Others.end()) {
    it->second.AskedAt = std::min(it->second.AskedAt, now);
  }
}

void introduce(Members &members, const Member &member, Instant now) {
  if (member.Record.Id == members.Self.Record.Id) {
    return;
  }
  const auto [at, isNew] = members.Others.try_emplace(member.Record.Id);
  if (isNew) {
    at->second.Said = member;
    // Whether it reads is for itself to say.
    at->second.Said.Reading = false;
    at->second.Said.Healthy = false;
    at->second.KnownSince = now;
  }
}

bool vouchFor(Members &members, const std::vector<Member> &live, Instant now) {
  bool changed = false;
  for (const Member &member : live) {
    if (member.Record.Id == members.Self.Record.Id) {
      continue;
    }
    introduce(members, member, now);
    KnownMember &it = members.Others.at(member.Record.Id);
    changed = changed || !isLive(it, now) ||
              it.Said.Record.Leaving != member.Record.Leaving ||
              it.Said.Ready != member.Ready;
    if (!isHeard(it, now)) {
      it.Said.Record = member.Record;
      it.Said.Ready = member.Ready;
    }
    it.VouchedAt = now;
  }
  for (auto &[id, it] : members.Others) {
    const bool named =
        std::any_of(live.begin(), live.end(), [&own = it](const Member &any) {
          return any.Record.Id == own.Said.Record.Id;
        });
    if (!named && it.VouchedAt != Instant::min()) {
      changed = changed || isLive(it, now);
      it.VouchedAt = Instant::min();
    }
  }
  return changed;
}

void forgetSilent(Members &members, Instant now) {
  std::erase_if(members.Others, [&](const auto &it) {
    const Instant last = std::max(
        {it.second.HeardAt, it.second.VouchedAt, it.second.KnownSince});
    return now - last > ForgetAfter;
  });
}

bool isHeard(const KnownMember &member, Instant now) {
  return member.HeardAt != Instant::min() && now - member.HeardAt <= LostAfter;
}

bool isLive(const KnownMember &member, Instant now) {
  return isHeard(member, now) || member.VouchedAt != Instant::min();
}

bool isSilent(const KnownMember &member, Instant now) {
  return member.AskedAt != Instant::max() && now - member.AskedAt > LostAfter;
}

bool leads(const Member &a, const Member &b) {
  if (a.Weight != b.Weight) {
    return a.Weight > b.Weight;
  }
  const auto key = [](const Member &it) {
    return std::make_pair(hashBytes(it.Record.Id), it.Record.Id);
  };
  return key(a) < key(b);
}

std::vector<Member> leadingOf(const Members &members, std::size_t count,
                              Instant now) {
  std::vector<Member> some;
  for (const auto &[id, it] : members.Others) {
    if (it.Said.Record.Domain == members.Self.Record.Domain &&
        !isSilent(it, now)) {
      some.push_back(it.Said);
    }
  }
  std::sort(some.begin(), some.end(), leads);
  some.resize(std::min(some.size(), count));
  return some;
}

std::vector<Member> informedOf(const Members &members, Instant now) {
  std::vector<Member> some;
  for (const auto &[id, it] : members.Others) {
    if (it.Said.Informed && isHeard(it, now)) {
      some.push_back(it.Said);
    }
  }
  std::stable_partition(some.begin(), some.end(), [&](const Member &it) {
    return it.Record.Domain == members.Self.Record.Domain;
  });
  return some;
}

std::vector<Member> liveMembers(const Members &members, Instant now) {
  std::vector<Member> live;
  for (const auto &[id, it] : members.Others) {
    if (it.Said.Record.Domain == members.Self.Record.Domain &&
        isLive(it, now)) {
      live.push_back(it.Said);
    }
  }
  live.push_back(members.Self);
  std::sort(live.begin(), live.end(), [](const Member &a, const Member &b) {
    return a.Record.Id < b.Record.Id;
  });
  return live;
}

} // namespace zinniarail
