/// \file
/// Decides when to read from the platform, so that every promise keeps its
/// proof and an outage is not met with a storm of calls. Pure.
#pragma once

#include <cstdint>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::control {

/// How long a watch on the document waits: a proof comes at least this often.
constexpr Duration DocumentWait = std::chrono::seconds{1};
/// How long a watch on the instance list waits.
constexpr Duration InstancesWait = std::chrono::seconds{5};
/// How often an instance that is no reader reads the instance list.
constexpr Duration InstancesInterval = std::chrono::seconds{10};
/// Bound on a call to the platform, beside a watch's wait.
constexpr Duration PlatformTimeout = std::chrono::seconds{2};

/// The state of one kind of read.
struct ReadState {
  bool Running = false;
  Instant NextAt = Instant::min();
  unsigned Failures = 0; ///< In a row.
};

enum class ReadKind : std::uint8_t { None, Watch, Get };

/// What to read of the document now.
/// \param lacksProof whether half of the last proof's lifetime has gone.
ReadKind planDocumentRead(const ReadState &state, bool reader, bool lacksProof,
                          Instant now);

/// What to read of the instance list now.
ReadKind planInstancesRead(const ReadState &state, bool reader, Instant now);

/// A read has begun.
void noteStart(ReadState &state);

/// A read is over.
/// \param reached whether the platform answered.
/// \param pause until the next one after an answer.
void noteEnd(ReadState &state, bool reached, Duration pause, Instant now,
             Random &random);

} // namespace zinniarail::control
