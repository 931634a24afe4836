#include "zinniarail/membership/Membership.h"

#include <algorithm>
#include <set>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

namespace {

constexpr Duration FirstReadmission = std::chrono::seconds{1};
constexpr Duration LastReadmission = std::chrono::seconds{30};
constexpr Duration FlapMemory = std::chrono::seconds{60};
constexpr std::uint64_t ReaderSeed = 11;

Duration readmissionDelay(unsigned flaps) {
  if (flaps == 0) {
    return {};
  }
  constexpr unsigned maxDoublings = 5;
  const unsigned doublings = std::min(flaps - 1, maxDoublings);
  return std::min(FirstReadmission * (1U << doublings), LastReadmission);
}

bool isListed(const Membership &state, const std::string &id) {
  return std::any_of(state.Listed.begin(), state.Listed.end(),
                     [&](const Instance &it) { return it.Id == id; });
}

bool counts(const PeerEvidence &evidence, Instant now) {
  return evidence.Reachable && now >= evidence.ReadmitAt;
}

// Listed or directly seen, each once; leaving when either source says so.
std::map<std::string, Instance> candidates(const Membership &state) {
  std::map<std::string, Instance> all;
  for (const Instance &it : state.Listed) {
    all.emplace(it.Id, it);
  }
  for (const auto &[id, evidence] : state.Direct) {
    const auto listed = all.find(id);
    if (listed == all.end() && !evidence.Reachable) {
      continue;
    }
    const bool leaving = listed != all.end() && listed->second.Leaving;
    Instance merged = evidence.Peer;
    merged.Leaving = merged.Leaving || leaving;
    all.insert_or_assign(id, std::move(merged));
  }
  all.insert_or_assign(state.Self.Id, state.Self);
  return all;
}

} // namespace

void hearList(Membership &state, std::vector<Instance> listed, Instant now) {
  state.Listed = std::move(listed);
  std::erase_if(state.Direct, [&](const auto &it) {
    const PeerEvidence &evidence = it.second;
    return !evidence.Reachable && !isListed(state, it.first) &&
           now >= evidence.ChangedAt + FlapMemory;
  });
}

void hearPeer(Membership &state, const Instance &peer, Instant now) {
  if (peer.Id == state.Self.Id) {
    return;
  }
  const auto [it, isNew] = state.Direct.try_emplace(peer.Id);
  PeerEvidence &evidence = it->second;
  evidence.Peer = peer;
  if (evidence.Reachable) {
    if (now >= evidence.ChangedAt + FlapMemory) {
      evidence.Flaps = 0;
    }
    return;
  }
  evidence.Reachable = true;
  evidence.ChangedAt = now;
  evidence.ReadmitAt = isNew ? now : now + readmissionDelay(evidence.Flaps);
}

void losePeer(Membership &state, const std::string &peer, Instant now) {
  const auto it = state.Direct.find(peer);
  if (it == state.Direct.end()) {
    // Listed, but it never answered.
    const auto listed =
        std::find_if(state.Listed.begin(), state.Listed.end(),
                     [&](const Instance &each) { return each.Id == peer; });
    if (listed != state.Listed.end() && peer != state.Self.Id) {
      state.Direct[peer] = {.Peer = *listed, .ChangedAt = now};
    }
    return;
  }
  if (it->second.Reachable) {
    it->second.Reachable = false;
    it->second.ChangedAt = now;
    ++it->second.Flaps;
  }
}

void beginStop(Membership &state) { state.Self.Leaving = true; }

std::vector<Instance> liveInstances(const Membership &state, Instant now) {
  const auto all = candidates(state);
  const auto isLost = [&](const std::string &id) {
    const auto it = state.Direct.find(id);
    return it != state.Direct.end() && !counts(it->second, now);
  };
  const bool cutOff = std::all_of(all.begin(), all.end(), [&](const auto &it) {
    return it.first == state.Self.Id || isLost(it.first);
  });
  std::vector<Instance> live;
  for (const auto &[id, instance] : all) {
    if (cutOff || id == state.Self.Id || !isLost(id)) {
      live.push_back(instance);
    }
  }
  return live;
}

std::vector<Instance> knownInstances(const Membership &state) {
  auto all = candidates(state);
  for (const auto &[id, evidence] : state.Direct) {
    all.emplace(id, evidence.Peer);
  }
  std::vector<Instance> known;
  known.reserve(all.size());
  for (auto &[id, instance] : all) {
    known.push_back(std::move(instance));
  }
  return known;
}

Instant nextReadmission(const Membership &state, Instant now) {
  Instant next = Instant::max();
  for (const auto &[id, evidence] : state.Direct) {
    if (evidence.Reachable && evidence.ReadmitAt > now) {
      next = std::min(next, evidence.ReadmitAt);
    }
  }
  return next;
}

bool spanDomains(const std::vector<Instance> &instances) {
  std::set<std::string> domains;
  for (const Instance &it : instances) {
    domains.insert(it.Domain);
  }
  return domains.size() > 1;
}

bool isReader(const std::vector<Instance> &live, const Instance &self,
              const ReaderPolicy &policy) {
  if (live.size() <= policy.SmallFleet) {
    return true;
  }
  const auto rank = [](const Instance &it) {
    return std::pair{hashBytes(it.Id, ReaderSeed), it.Id};
  };
  const auto better =
      std::count_if(live.begin(), live.end(), [&](const Instance &it) {
        return it.Domain == self.Domain && !it.Leaving && rank(it) < rank(self);
      });
  return !self.Leaving && static_cast<std::size_t>(better) < policy.PerDomain;
}

} // namespace zinniarail
