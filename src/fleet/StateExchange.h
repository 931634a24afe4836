/// \file
/// Translates between the mirror of the store and the state updates that
/// instances send each other. Does no I/O and reads no clock.
#pragma once

#include <vector>

#include "fleet/Codec.h"

namespace zinniarail::fleet {

/// Fills in one part of an update completely from the mirror. Does nothing for
/// StatePart::Members, which the mirror does not hold.
void fillFromMirror(StateUpdate &update, StatePart part,
                    const store::Mirror &mirror, Instant now);

/// Applies the parts of an update that the mirror holds.
/// \returns false if the configuration could not be decoded, maybe since it
/// only tells what differs from another version than that of the mirror.
bool applyToMirror(store::Mirror &mirror, const StateUpdate &update,
                   Instant now);

/// The upstreams of an update that announced to this instance that they leave,
/// and not to the update's sender.
std::vector<LeavingUpstream> listLeavingUnknownTo(const UpstreamsUpdate &update,
                                                  const store::Mirror &mirror);

} // namespace zinniarail::fleet
