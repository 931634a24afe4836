#include "common/Net.h"

#include <cstdlib>

namespace zinniarail::standins {

unsigned loopbackNet() {
  constexpr unsigned defaultNet = 40;
  const char *net = std::getenv("ZINNIARAIL_TEST_NET");
  return net == nullptr ? defaultNet : std::strtoul(net, nullptr, 10);
}

std::string loopbackAddress(const std::string &rest) {
  return "127." + std::to_string(loopbackNet()) + "." + rest;
}

} // namespace zinniarail::standins
