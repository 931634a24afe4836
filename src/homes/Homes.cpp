#include "zinniarail/homes/Homes.h"

#include <algorithm>

#include "homes/Ranking.h"

namespace zinniarail {

namespace {

constexpr std::uint64_t ShareSeed = 2;
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

UpstreamShare shareUpstream(const Homes &homes, const UpstreamSpec &upstream,
                            const std::string &self) {
  const auto ranked = rankFor(listAll(homes.Ranked), upstream.Id, ShareSeed);
  const auto it =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const Instance *home) { return home->Id == self; });
  if (it == ranked.end()) {
    return {};
  }
  const auto index = static_cast<unsigned>(it - ranked.begin());
  const auto parts = static_cast<unsigned>(ranked.size());
  return {divideFairly(upstream.Slots, parts, index),
          divideFairly(upstream.Connections, parts, index), index == 0};
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
