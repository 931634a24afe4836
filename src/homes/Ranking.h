/// \file
/// Rendezvous hashing over anything that has an Id and a Domain.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "zinniarail/core/Hash.h"

namespace zinniarail::homes {

/// Of the ranking that places services.
constexpr std::uint64_t PlacementSeed = 1;

/// Items by rank, best first. They are owned elsewhere.
template <typename Item> using Ranking = std::vector<const Item *>;

/// All of some items, in their own order.
template <typename Item> Ranking<Item> listAll(const std::vector<Item> &items) {
  Ranking<Item> all;
  all.reserve(items.size());
  for (const Item &it : items) {
    all.push_back(&it);
  }
  return all;
}

/// Ranks items for a name. An item that goes changes no other's order.
/// \param seed sets rankings for different purposes apart.
template <typename Item>
Ranking<Item> rankFor(const Ranking<Item> &items, const std::string &name,
                      std::uint64_t seed) {
  const std::uint64_t key = hashBytes(name, seed);
  std::vector<std::pair<std::uint64_t, const Item *>> weighed;
  weighed.reserve(items.size());
  for (const Item *it : items) {
    weighed.emplace_back(hashCombine(key, hashBytes(it->Id, seed)), it);
  }
  std::sort(weighed.begin(), weighed.end(), [](const auto &a, const auto &b) {
    return a.first != b.first ? a.first > b.first : a.second->Id > b.second->Id;
  });
  Ranking<Item> ranked;
  ranked.reserve(weighed.size());
  for (const auto &[weight, it] : weighed) {
    ranked.push_back(it);
  }
  return ranked;
}

/// Keeps the rank, but puts the best of each domain before the second bests.
template <typename Item> Ranking<Item> spreadOverDomains(Ranking<Item> rest) {
  Ranking<Item> spread;
  spread.reserve(rest.size());
  while (!rest.empty()) {
    std::set<std::string_view> seen;
    Ranking<Item> later;
    for (const Item *it : rest) {
      (seen.insert(it->Domain).second ? spread : later).push_back(it);
    }
    rest = std::move(later);
  }
  return spread;
}

/// Ranks items for a service as its homes are.
template <typename Item>
Ranking<Item> rankForService(const Ranking<Item> &items,
                             const std::string &service) {
  return spreadOverDomains(rankFor(items, service, PlacementSeed));
}

} // namespace zinniarail::homes
