/// \file
/// The source of random draws that decisions are handed, so that a seed gives
/// the same run again.
#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace zinniarail {

/// A seeded generator. Not shared between tasks.
using Random = pcg32;

/// Draws a whole number.
/// \param bound one past the largest value; must not be 0.
/// \returns a number from 0 to \p bound - 1.
inline std::uint32_t drawBelow(Random &random, std::uint32_t bound) {
  return random(bound);
}

/// Draws a share.
/// \returns a number from 0 (included) to 1 (not included).
inline double drawShare(Random &random) {
  return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace zinniarail
