/// \file
/// Non-blocking TCP sockets over IPv4.
#pragma once

#include <optional>
#include <string>

#include <netinet/in.h>

namespace zinniarail::http {

/// Parses "ip:port"; nullopt unless it is an IPv4 address and a port.
std::optional<sockaddr_in> parseIpv4Address(const std::string &text);

/// Opens a listening socket on "ip:port".
/// \returns its descriptor, -1 when the port could not be bound.
int listenOn(const std::string &address);

/// Starts to connect without waiting for the connection.
/// \returns the descriptor, -1 when the attempt failed at once.
int connectTo(const sockaddr_in &address);

/// Disables Nagle's algorithm, so that small writes are sent at once.
void setTcpNoDelay(int fd);

/// Reads and clears the pending error of a socket: the errno value of a failed
/// connection attempt, 0 when it succeeded.
int takeSocketError(int fd);

} // namespace zinniarail::http
