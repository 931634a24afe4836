/// \file
/// Digests of API keys. Only these are stored and sent to other instances: who
/// reads a dump, a message or a log learns no key.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace zinniarail {

/// The first half of the SHA-256 digest of an API key.
struct KeyDigest {
  static constexpr std::size_t Size = 16;
  std::array<std::uint8_t, Size> Bytes{};

  bool operator==(const KeyDigest &) const = default;
  bool operator<(const KeyDigest &other) const {
    return std::memcmp(Bytes.data(), other.Bytes.data(), Size) < 0;
  }
};

/// Digests an API key.
KeyDigest digestKey(std::string_view key);

} // namespace zinniarail
