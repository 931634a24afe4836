/// \file
/// Random numbers. Functions that make decisions take the generator as an
/// argument, so that a run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace zinniarail {

/// A seeded generator, used by a single owner.
using Random = pcg32;

/// Draws a uniformly distributed integer.
/// \param bound one past the largest value; must not be 0.
/// \returns a number from 0 to \p bound - 1.
inline std::uint32_t drawBelow(Random &random, std::uint32_t bound) {
  return random(bound);
}

/// Draws a uniformly distributed number.
/// \returns a number from 0 (included) to 1 (excluded).
inline double drawFraction(Random &random) {
  return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace zinniarail
