/// \file
/// The hash that all instances share: placement, fingerprints and digests must
/// be the same on every instance and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace zinniarail {

/// Hashes bytes.
/// \param seed a different value for each use whose hashes must not correlate.
/// \returns the same 64 bits on every instance.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Adds a value to a running digest. The result depends on the order of values.
std::uint64_t hashCombine(std::uint64_t digest, std::uint64_t next);

} // namespace zinniarail
