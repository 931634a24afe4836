#include "zinniarail/homes/Homes.h"

#include <algorithm>
#include <set>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

namespace {

constexpr std::uint64_t PlacementSeed = 1;
constexpr std::uint64_t ShareSeed = 2;
constexpr std::uint64_t ClaimSeed = 3;

std::vector<Instance> rankFor(std::vector<Instance> instances,
                              const std::string &name, std::uint64_t seed) {
  const std::uint64_t key = hashBytes(name, seed);
  const auto weigh = [&](const Instance &it) {
    return hashCombine(key, hashBytes(it.Id, seed));
  };
  std::sort(instances.begin(), instances.end(),
            [&](const Instance &a, const Instance &b) {
              return std::pair{weigh(a), a.Id} > std::pair{weigh(b), b.Id};
            });
  return instances;
}

// Keeps the rank, but puts the best of each domain before the second bests.
std::vector<Instance> spreadOverDomains(const std::vector<Instance> &ranked) {
  std::vector<Instance> spread;
  std::vector<Instance> rest = ranked;
  while (!rest.empty()) {
    std::set<std::string> seen;
    std::vector<Instance> later;
    for (Instance &it : rest) {
      if (seen.insert(it.Domain).second) {
        spread.push_back(std::move(it));
      } else {
        later.push_back(std::move(it));
      }
    }
    rest = std::move(later);
  }
  return spread;
}

std::vector<Instance> eligible(const View &view) {
  const auto keep = [&](auto wanted) {
    std::vector<Instance> kept;
    std::copy_if(view.Instances.begin(), view.Instances.end(),
                 std::back_inserter(kept), wanted);
    return kept;
  };
  const auto served = [&](const Instance &it) {
    return !it.Leaving && isInService(*view.Intent, it.Domain);
  };
  const auto staying = [](const Instance &it) { return !it.Leaving; };
  if (auto it = keep(served); !it.empty()) {
    return it;
  }
  if (auto it = keep(staying); !it.empty()) {
    return it;
  }
  return view.Instances;
}

unsigned divideFairly(unsigned total, unsigned parts, unsigned index) {
  return total / parts + (index < total % parts ? 1 : 0);
}

} // namespace

Homes placeService(const View &view, const ServiceSpec &service,
                   unsigned count) {
  Homes homes;
  homes.Ranked =
      spreadOverDomains(rankFor(eligible(view), service.Name, PlacementSeed));
  if (homes.Ranked.size() > count) {
    homes.Ranked.resize(count);
  }
  homes.Digest = hashBytes(service.Name, PlacementSeed);
  for (const Instance &it : homes.Ranked) {
    homes.Digest = hashCombine(homes.Digest, hashBytes(it.Id));
  }
  return homes;
}

UpstreamShare shareUpstream(const Homes &homes, const UpstreamSpec &upstream,
                            const std::string &self) {
  const auto ranked = rankFor(homes.Ranked, upstream.Id, ShareSeed);
  const auto it =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const Instance &home) { return home.Id == self; });
  if (it == ranked.end()) {
    return {};
  }
  const auto index = static_cast<unsigned>(it - ranked.begin());
  const auto parts = static_cast<unsigned>(ranked.size());
  return {divideFairly(upstream.Slots, parts, index),
          divideFairly(upstream.Connections, parts, index), index == 0};
}

std::vector<Instance> claimHolders(const Homes &homes, const std::string &key) {
  auto holders = rankFor(homes.Ranked, key, ClaimSeed);
  if (holders.size() > 1) {
    std::stable_partition(holders.begin() + 1, holders.end(),
                          [&](const Instance &it) {
                            return it.Domain != holders.front().Domain;
                          });
  }
  return holders;
}

} // namespace zinniarail
