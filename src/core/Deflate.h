/// \file
/// Compression of messages that are sent to many instances.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinniarail {

/// Compresses bytes to the zlib format.
std::string deflateBytes(std::string_view bytes);

/// Decompresses bytes in the zlib format.
/// \param maxBytes maximum size of the result.
/// \returns none when the input is corrupt or truncated, or the result too
/// large.
std::optional<std::string> inflateBytes(std::string_view bytes,
                                        std::size_t maxBytes);

} // namespace zinniarail
