/// \file
/// The one hash that instances agree on: placement, fingerprints and digests
/// must come out alike on every instance and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace zinniarail {

/// Hashes bytes.
/// \param seed tells apart uses that must not correlate.
/// \returns the same 64 bits on every instance.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes a further value into a running digest. The order matters.
std::uint64_t hashCombine(std::uint64_t digest, std::uint64_t next);

} // namespace zinniarail
