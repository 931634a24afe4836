/// \file
/// Limits what is sent to a share of a link's bandwidth. No I/O.
#pragma once

#include <cstddef>

#include "zinniarail/core/Time.h"

namespace zinniarail::fleet {

struct LinkBudget {
  double BytesPerSecond = 0; ///< 0: unlimited.
  /// When what was sent has left the link, if it takes up its share of it.
  Instant FreeAt{};
};

/// The share of a link.
/// \param linkMbps its bandwidth in Mbit/s; 0: unknown, not limited.
LinkBudget makeLinkBudget(double linkMbps, double share);

/// When the next bytes may be sent. Short bursts may exceed the share for a
/// moment, so that many small messages need not wait for each other.
Instant nextSendAt(const LinkBudget &budget);

/// Records that bytes are sent.
void recordSent(LinkBudget &budget, std::size_t bytes, Instant now);

} // namespace zinniarail::fleet
