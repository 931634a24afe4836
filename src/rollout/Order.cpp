#include "zinniarail/rollout/Order.h"

#include <algorithm>
#include <cmath>

#include "zinniarail/core/Hash.h"

namespace zinniarail::rollout {

namespace {

// Up to this share the requests are concentrated on few upstreams.
constexpr double MaxConcentratedShare = 0.5;

// One upstream might fail for reasons of its own.
constexpr std::size_t MinConcentratedUpstreams = 2;

// Keeps the selection independent of other uses of the hash.
constexpr std::uint64_t SelectionSeed = 23;

} // namespace

const char *nameOf(Phase phase) {
  switch (phase) {
  case Phase::Ordered:
    return "ordered";
  case Phase::Running:
    return "running";
  case Phase::Completed:
    return "completed";
  case Phase::RolledBack:
    return "rolled-back";
  }
  return "";
}

std::vector<const Upstream *>
selectUpstreams(const std::vector<const Upstream *> &all,
                const Division &division) {
  std::vector<const Upstream *> old;
  std::vector<const Upstream *> target;
  for (const Upstream *it : all) {
    (it->Version == division.Target ? target : old).push_back(it);
  }
  if (division.Share <= 0) {
    return old;
  }
  if (target.empty() || old.empty()) {
    return all;
  }
  if (division.Share >= 1) {
    return target;
  }
  if (division.Share <= MaxConcentratedShare) {
    const auto size = static_cast<double>(target.size());
    const std::size_t count =
        std::max(MinConcentratedUpstreams,
                 static_cast<std::size_t>(std::ceil(division.Share * size)));
    std::sort(target.begin(), target.end(),
              [](const Upstream *a, const Upstream *b) {
                return std::pair(hashBytes(a->Id, SelectionSeed), a->Id) <
                       std::pair(hashBytes(b->Id, SelectionSeed), b->Id);
              });
    target.resize(std::min(target.size(), count));
  }
  old.insert(old.end(), target.begin(), target.end());
  return old;
}

} // namespace zinniarail::rollout
