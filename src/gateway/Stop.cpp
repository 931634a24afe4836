#include "gateway/Stop.h"

namespace zinniarail::gateway {

namespace {

// A caller that took our address at the last moment has its request here
// within this time, so that no request is on its way to a connection that is
// closed.
constexpr Duration QuietTime = std::chrono::milliseconds{500};

} // namespace

Duration serveTime(Duration resolveLifetime, Duration spread) {
  return resolveLifetime + spread + QuietTime;
}

StopStep decideStop(const StopState &state, std::size_t open, Instant now) {
  const bool quiet = now >= state.LastArrival + QuietTime;
  if (now >= state.ServeUntil && open == 0 && quiet && state.ClaimsHandedOver) {
    return StopStep::Done;
  }
  return now >= state.GiveUpAt ? StopStep::GiveUp : StopStep::Wait;
}

} // namespace zinniarail::gateway
