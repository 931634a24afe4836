/// \file
/// What header fields take in memory while Beast's parsers hold them: far more
/// than on the wire if they are short.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string_view>

namespace zinniarail::http {

/// What a parser needs for a header field, besides its bytes.
constexpr std::size_t ParsedFieldBytes = 96;

/// The number of header fields of a Beast message, trailers included.
template <typename Message> std::size_t countFields(const Message &message) {
  return static_cast<std::size_t>(
      std::distance(message.base().begin(), message.base().end()));
}

/// The bytes of the names and values of a Beast message's header fields.
template <typename Message>
std::size_t countFieldBytes(const Message &message) {
  std::size_t out = 0;
  for (const auto &it : message.base()) {
    out += it.name_string().size() + it.value().size();
  }
  return out;
}

/// The most fields that a parser can have made of a part of a head.
inline std::size_t countLines(std::string_view head) {
  return static_cast<std::size_t>(std::ranges::count(head, '\n'));
}

} // namespace zinniarail::http
