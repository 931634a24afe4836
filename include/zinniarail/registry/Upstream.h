/// \file
/// An upstream as registered in the store.
#pragma once

#include <cstdint>
#include <string>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// One incarnation of an upstream. After a restart it counts as a different
/// upstream, even with the same id or address.
struct Upstream {
  std::string Id;
  std::string Address; ///< "ip:port"
  std::string Service;
  std::string Domain; ///< Failure domain that it runs in.
  unsigned Slots = 1; ///< Requests that it can run concurrently.
  bool Draining = false;
  Duration WarmupRemaining{0}; ///< Warm-up time left at its last report.
  std::uint64_t StartedMs = 0; ///< Unix time in milliseconds; 0 when unknown.
  std::string Version = {};    ///< Of its software; any text.

  bool operator==(const Upstream &) const = default;
};

} // namespace zinniarail
