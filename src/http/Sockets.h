/// \file
/// TCP sockets by IP number, without blocking.
#pragma once

#include <optional>
#include <string>

#include <netinet/in.h>

namespace zinniarail::http {

/// Takes "ip:port" apart; none when it is not an IPv4 number and a port.
std::optional<sockaddr_in> readAddress(const std::string &text);

/// Opens a listening socket on "ip:port".
/// \returns its descriptor, -1 when the port could not be bound.
int listenOn(const std::string &address);

/// Starts to connect.
/// \returns the descriptor, -1 when it failed at once.
int connectTo(const sockaddr_in &address);

/// Sends small writes at once.
void disableDelay(int fd);

/// The error of a connection attempt that has ended; 0 when it succeeded.
int takeError(int fd);

} // namespace zinniarail::http
