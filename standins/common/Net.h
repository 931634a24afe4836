/// \file
/// The loopback net of a run, so that several runs share a machine.
#pragma once

#include <string>

namespace zinniarail::standins {

/// The second number of all addresses, 127.N.x.y: ZINNIARAIL_TEST_NET, or 40.
unsigned loopbackNet();

/// \param rest what follows 127.N, as in "7.1:8080".
std::string loopbackAddress(const std::string &rest);

} // namespace zinniarail::standins
