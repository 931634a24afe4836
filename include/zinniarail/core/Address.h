/// \file
/// Socket addresses: an IPv4 address and a port.
#pragma once

#include <cstdint>
#include <string>

namespace zinniarail {

/// An IPv4 address and a port.
struct SocketAddress {
  std::string Host; ///< Dotted IPv4 address.
  std::uint16_t Port = 0;
};

/// Parses "ip:port".
/// \returns an empty host unless \p text is an IPv4 address and a port of at
/// least 1.
SocketAddress parseAddress(const std::string &text);

} // namespace zinniarail
