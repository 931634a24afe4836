/// \file
/// An entry instance as the others see it.
#pragma once

#include <cstdint>
#include <string>

namespace zinniarail {

/// One instance. Addresses are "ip:port".
struct Instance {
  std::string Id;
  std::string Domain; ///< Failure domain it runs in.
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  bool Leaving = false; ///< Named in no resolve answer, home of nothing new.

  bool operator==(const Instance &) const = default;
};

} // namespace zinniarail
