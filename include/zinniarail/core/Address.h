/// \file
/// Addresses of sockets: an IPv4 number and a port.
#pragma once

#include <cstdint>
#include <string>

namespace zinniarail {

/// An address, taken apart.
struct SocketAddress {
  std::string Host; ///< IPv4 number.
  std::uint16_t Port = 0;
};

/// Takes "ip:port" apart.
/// \returns an empty host when it is not an IPv4 number and a port from 1 on.
SocketAddress parseAddress(const std::string &text);

} // namespace zinniarail
