#include "zinniarail/routing/Routing.h"

#include <tuple>
#include <vector>

namespace zinniarail {

namespace {

bool hasRoom(const Candidate &it) { return it.InFlight < it.Limit; }

bool isBetter(const Candidate &a, const Candidate &b) {
  return std::tie(a.Rank, a.InFlight, a.Others) <
         std::tie(b.Rank, b.InFlight, b.Others);
}

std::vector<std::size_t> withRoom(std::span<const Candidate> candidates) {
  std::vector<std::size_t> open;
  open.reserve(candidates.size());
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (hasRoom(candidates[n])) {
      open.push_back(n);
    }
  }
  return open;
}

// One pass; of equals each is as likely.
std::optional<std::size_t> pickBest(std::span<const Candidate> candidates,
                                    Random &random) {
  std::optional<std::size_t> best;
  std::uint32_t equals = 0;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (!hasRoom(candidates[n])) {
      continue;
    }
    if (!best || isBetter(candidates[n], candidates[*best])) {
      best = n;
      equals = 1;
    } else if (!isBetter(candidates[*best], candidates[n]) &&
               drawBelow(random, ++equals) == 0) {
      best = n;
    }
  }
  return best;
}

std::size_t pickOfTwo(std::span<const Candidate> candidates,
                      const std::vector<std::size_t> &open, Random &random) {
  const auto count = static_cast<std::uint32_t>(open.size());
  const std::uint32_t first = drawBelow(random, count);
  const std::uint32_t offset = count > 1 ? 1 + drawBelow(random, count - 1) : 0;
  const std::uint32_t second = (first + offset) % count;
  const auto load = [&](std::uint32_t n) {
    return candidates[open[n]].InFlight;
  };
  return load(second) < load(first) ? open[second] : open[first];
}

} // namespace

std::optional<std::size_t> pickUpstream(std::span<const Candidate> candidates,
                                        RoutingPolicy policy, Random &random,
                                        std::size_t &cursor) {
  if (policy == RoutingPolicy::Homes) {
    return pickBest(candidates, random);
  }
  const auto open = withRoom(candidates);
  if (open.empty()) {
    return std::nullopt;
  }
  switch (policy) {
  case RoutingPolicy::Homes:
  case RoutingPolicy::Random:
    break;
  case RoutingPolicy::RoundRobin:
    return open[cursor++ % open.size()];
  case RoutingPolicy::TwoChoices:
    return pickOfTwo(candidates, open, random);
  }
  return open[drawBelow(random, static_cast<std::uint32_t>(open.size()))];
}

} // namespace zinniarail
