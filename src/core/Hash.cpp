#include "zinniarail/core/Hash.h"

#include <array>

#include <xxhash.h>

namespace zinniarail {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashCombine(std::uint64_t digest, std::uint64_t next) {
  const std::array<std::uint64_t, 2> pair{digest, next};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace zinniarail
