/// \file
/// Encoding of the messages about customers' credit.
#pragma once

#include "fleet.capnp.h"
#include "zinniarail/quota/Messages.h"

namespace zinniarail::fleet {

void writeCredit(wire::fleet::Credit::Builder out, const quota::Message &it);

/// An amount that is no sensible number of requests is read as 0.
quota::Message readCredit(wire::fleet::Credit::Reader in);

} // namespace zinniarail::fleet
