#include "control/Reads.h"

#include <algorithm>

namespace zinniarail::control {

namespace {

constexpr Duration FirstBackoff = std::chrono::milliseconds{250};
constexpr Duration LastBackoff = std::chrono::seconds{2};
constexpr unsigned MaxDoublings = 3;

} // namespace

ReadKind planDocumentRead(const ReadState &state, bool reader, bool lacksProof,
                          Instant now) {
  if (state.Running || now < state.NextAt) {
    return ReadKind::None;
  }
  if (reader) {
    return ReadKind::Watch;
  }
  return lacksProof ? ReadKind::Get : ReadKind::None;
}

ReadKind planInstancesRead(const ReadState &state, bool reader, Instant now) {
  if (state.Running || now < state.NextAt) {
    return ReadKind::None;
  }
  return reader ? ReadKind::Watch : ReadKind::Get;
}

void noteStart(ReadState &state) { state.Running = true; }

void noteEnd(ReadState &state, bool reached, Duration pause, Instant now,
             Random &random) {
  state.Running = false;
  if (reached) {
    state.Failures = 0;
    state.NextAt = now + pause;
    return;
  }
  const Duration full =
      std::min(FirstBackoff * (1U << std::min(state.Failures, MaxDoublings)),
               LastBackoff);
  ++state.Failures;
  // Half fixed, half drawn, so that instances don't come back in step.
  const auto half = static_cast<double>(full.count()) / 2;
  state.NextAt =
      now +
      Duration{static_cast<std::int64_t>(half + half * drawShare(random))};
}

} // namespace zinniarail::control
