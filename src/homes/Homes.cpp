#include "zinniarail/homes/Homes.h"

#include <algorithm>
#include <map>

#include "homes/Ranking.h"

namespace zinniarail {

namespace {

constexpr std::uint64_t RampSeed = 2;
constexpr std::uint64_t ClaimSeed = 3;

using homes::listAll;
using homes::rankFor;
using homes::Ranking;

template <typename Wanted>
Ranking<Instance> select(const View &view, Wanted wanted) {
  Ranking<Instance> kept = listAll(view.Instances);
  std::erase_if(kept, [&](const Instance *it) { return !wanted(*it); });
  return kept;
}

Ranking<Instance> eligible(const View &view) {
  const auto served = [&](const Instance &it) {
    return !it.Leaving && isInService(*view.Intent, it.Domain);
  };
  const auto staying = [](const Instance &it) { return !it.Leaving; };
  if (auto it = select(view, served); !it.empty()) {
    return it;
  }
  if (auto it = select(view, staying); !it.empty()) {
    return it;
  }
  return listAll(view.Instances);
}

unsigned divideFairly(unsigned total, unsigned parts, unsigned index) {
  return total / parts + (index < total % parts ? 1 : 0);
}

} // namespace

Homes placeService(const View &view, const ServiceSpec &service,
                   unsigned count) {
  Homes placed;
  const auto ranked = homes::rankForService(eligible(view), service.Name);
  const std::size_t kept = std::min<std::size_t>(ranked.size(), count);
  placed.Ranked.reserve(kept);
  for (std::size_t n = 0; n < kept; ++n) {
    placed.Ranked.push_back(*ranked[n]);
  }
  placed.Digest = hashBytes(service.Name, homes::PlacementSeed);
  for (const Instance &it : placed.Ranked) {
    placed.Digest = hashCombine(placed.Digest, hashBytes(it.Id));
  }
  return placed;
}

namespace {

// The home that ramps an upstream: by hash, so that it stays when the list of
// upstreams changes, among those that have a slot of it.
template <typename HasSlot>
const Instance *rampingHome(const Homes &homes, const UpstreamSpec &upstream,
                            HasSlot hasSlot) {
  for (const Instance *it :
       rankFor(listAll(homes.Ranked), upstream.Id, RampSeed)) {
    if (hasSlot(*it)) {
      return it;
    }
  }
  return nullptr;
}

} // namespace

std::vector<UpstreamShare> shareUpstreams(const Homes &homes,
                                          const ServiceSpec &service,
                                          const std::string &self) {
  std::vector<UpstreamShare> shares(service.Upstreams.size());
  const auto &ranked = homes.Ranked;
  const auto it =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const Instance &home) { return home.Id == self; });
  if (it == ranked.end()) {
    return shares;
  }
  const auto place = static_cast<unsigned>(it - ranked.begin());
  const auto parts = static_cast<unsigned>(ranked.size());
  // Which home comes first at the next upstream of a domain: the one after
  // those that got a slot more of the last. Each domain begins at another.
  std::map<std::string, unsigned> firsts;
  for (std::size_t n = 0; n < shares.size(); ++n) {
    const UpstreamSpec &upstream = service.Upstreams[n];
    unsigned &first = firsts.try_emplace(upstream.Domain, firsts.size() % parts)
                          .first->second;
    const auto slotsAt = [&](std::size_t home) {
      return divideFairly(upstream.Slots, parts,
                          (home + parts - first) % parts);
    };
    const Instance *ramping =
        rampingHome(homes, upstream, [&](const Instance &home) {
          return slotsAt(&home - ranked.data()) > 0;
        });
    const unsigned index = (place + parts - first) % parts;
    shares[n] = {slotsAt(place),
                 divideFairly(upstream.Connections, parts, index),
                 ramping == &*it};
    const unsigned more = upstream.Slots % parts;
    first = (first + std::max(more, 1U)) % parts;
  }
  return shares;
}

std::vector<Instance> claimHolders(const Homes &homes, const std::string &key) {
  std::vector<Instance> holders;
  for (const Instance *it : rankFor(listAll(homes.Ranked), key, ClaimSeed)) {
    holders.push_back(*it);
  }
  if (holders.size() > 1) {
    std::stable_partition(holders.begin() + 1, holders.end(),
                          [&](const Instance &it) {
                            return it.Domain != holders.front().Domain;
                          });
  }
  return holders;
}

} // namespace zinniarail
