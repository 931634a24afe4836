#include "zinniarail/core/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace zinniarail {

SocketAddress parseAddress(const std::string &text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return {};
  }
  SocketAddress address{text.substr(0, colon), 0};
  in_addr number{};
  if (inet_pton(AF_INET, address.Host.c_str(), &number) != 1) {
    return {};
  }
  const char *first = text.data() + colon + 1;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(first, last, address.Port);
  if (ec != std::errc{} || end != last || address.Port == 0) {
    return {};
  }
  return address;
}

} // namespace zinniarail
