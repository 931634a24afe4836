/// \file
/// An upstream as it is registered.
#pragma once

#include <cstdint>
#include <string>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// One start of an upstream. Another start is another upstream, also where it
/// has the id or the address of one before.
struct Upstream {
  std::string Id;
  std::string Address; ///< "ip:port"
  std::string Service;
  std::string Domain; ///< Failure domain it runs in.
  unsigned Slots = 1; ///< Requests that it runs at a time.
  bool Draining = false;
  Duration ColdFor{0};         ///< How much longer it was cold when it said so.
  std::uint64_t StartedMs = 0; ///< Unix milliseconds; 0 when it did not say.

  bool operator==(const Upstream &) const = default;
};

} // namespace zinniarail
