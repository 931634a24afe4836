/// \file
/// The identity and addresses of an instance, as other instances see it.
#pragma once

#include <cstdint>
#include <string>

namespace zinniarail {

/// One instance of the load balancer. Addresses are "ip:port".
struct Instance {
  std::string Id;
  std::string Domain; ///< Failure domain it runs in.
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// It is shutting down: left out of resolve answers and not followed as a
  /// reader.
  bool Leaving = false;

  bool operator==(const Instance &) const = default;
};

} // namespace zinniarail
