#include "zinniarail/homes/Homes.h"

#include <algorithm>
#include <map>
#include <set>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

namespace {

constexpr std::uint64_t PlacementSeed = 1;
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
    const unsigned index = (place + parts - first) % parts;
    shares[n] = {divideFairly(upstream.Slots, parts, index),
                 divideFairly(upstream.Connections, parts, index), index == 0};
    const unsigned more = upstream.Slots % parts;
    first = (first + std::max(more, 1U)) % parts;
  }
  return shares;
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
