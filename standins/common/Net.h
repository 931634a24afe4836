/// \file
/// Loopback addresses of a test run. Each run has its own range, so that
/// several runs can share a machine.
#pragma once

#include <string>

namespace zinniarail::standins {

/// The second octet N of all addresses, 127.N.x.y: the environment variable
/// ZINNIARAIL_TEST_NET, or 40.
unsigned loopbackNet();

/// \param rest the octets and port after "127.N.", as in "7.1:8080".
std::string loopbackAddress(const std::string &rest);

} // namespace zinniarail::standins
