/// \file
/// Decides when a graceful stop is over. Pure.
#pragma once

#include <cstddef>
#include <cstdint>

#include "zinniarail/core/Time.h"

namespace zinniarail::gateway {

/// A graceful stop under way.
struct StopState {
  Instant ServeUntil{}; ///< Callers may hold our address until then.
  Instant GiveUpAt{};
  Instant LastArrival{}; ///< Of a request.
  bool ClaimsHandedOver = false;
};

/// How long after the stop began callers may still come.
/// \param resolveLifetime how long callers keep a resolve answer.
/// \param spread how long other instances may take to learn of the stop.
Duration serveTime(Duration resolveLifetime, Duration spread);

enum class StopStep : std::uint8_t { Wait, Done, GiveUp };

/// What to do now.
/// \param open requests that are not answered whole.
StopStep decideStop(const StopState &state, std::size_t open, Instant now);

} // namespace zinniarail::gateway
