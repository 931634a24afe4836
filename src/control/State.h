/// \file
/// All that the control task knows, apart from its sockets.
#pragma once

#include <boost/json/object.hpp>

#include "control/Reads.h"
#include "zinniarail/intent/InForce.h"
#include "zinniarail/membership/Membership.h"
#include "zinniarail/objects/Client.h"

namespace zinniarail::control {

/// How often something was refused or went wrong; for dumps and alarms.
struct Incidents {
  std::uint64_t DocumentsMalformed = 0;
  std::uint64_t DocumentsOlder = 0;       ///< The platform went back.
  std::uint64_t DocumentsConflicting = 0; ///< One version, two contents.
  std::uint64_t WrongEnvironment = 0;
};

struct State {
  InForce Intent;
  Membership Members;
  ReaderPolicy Readers;
  ReadState DocumentRead;
  ReadState InstancesRead;
  std::uint64_t InstancesVersion = 0;
  Incidents Seen;
};

/// Makes the view that the state amounts to; Intent is null before the first
/// document.
View makeView(const State &state, Instant now);

/// Whether a view must be posted after another was.
/// \param postedAt when the last one was.
bool isWorthPosting(const View &last, const View &next, Instant postedAt,
                    Instant now);

/// Counts what became of an offered document.
void note(Incidents &seen, OfferResult result);

/// The state for a dump, with stable keys.
boost::json::object describe(const State &state,
                             const objects::CallCounts &calls, Instant now);

} // namespace zinniarail::control
