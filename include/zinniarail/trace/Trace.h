/// \file
/// Overview of the trace module: what one service's engine was told and what
/// it asked for, as lines of JSON, and the replay that does it again. Pure;
/// the gateway records, the tests replay. The format is in docs/TRACES.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/dispatch/Engine.h"

namespace zinniarail::trace {

/// The version that is written, and the only one that is read.
constexpr std::uint64_t FormatVersion = 1;
/// The longest text that is read, in bytes.
constexpr std::size_t MaxTraceBytes = std::size_t{16} << 20;

/// What a trace is to show, as whoever filed it states.
struct Outcome {
  std::string Promise; ///< Its name, as the checker of the engine has it.
  /// How requests ended, by their number, as endsOf tells.
  std::map<std::string, std::string> Ends;
};

/// The first line: how the engine was made.
struct Header {
  std::uint64_t Version = FormatVersion;
  Outcome Stated;
  ServicePlan Plan;
  Instant At{};
  Instant ValidUntil{};
  std::uint64_t Seed = 0;
  std::uint64_t Stream = 0; ///< Of the random draws, beside the seed.
  std::uint64_t FirstAttempt = 1;
};

/// A new plan came into force.
struct Replanned {
  ServicePlan Plan;
};
/// The view was confirmed.
struct ViewConfirmed {
  Instant ValidUntil{};
};

/// What an engine may be told, by any of its functions.
using Input = std::variant<Event, Replanned, ViewConfirmed>;

/// One call of the engine.
struct Step {
  Instant At{};
  Input Told;
  Actions Asked;
};

/// One service on one instance, from its engine's start.
struct Trace {
  Header Start;
  std::vector<Step> Steps;
  bool CutShort = false; ///< The recording was full; there was more.
};

/// Why a text is no trace. The first fault ends the reading.
struct ReadError {
  std::size_t Line = 0; ///< From 1 on.
  std::string Field;    ///< As in event/request; empty: the whole line.
  std::string Message;
};

/// Reads a trace. Times come out relative to a fixed instant.
Result<Trace, ReadError> readTrace(std::string_view text);

/// One step's line, without its end.
/// \param start the header's time.
std::string writeStep(const Step &step, Instant start);

/// Writes a trace; readTrace gives the same back.
std::string writeTrace(const Trace &trace);

/// Makes the engine anew and tells it the same at the same times.
/// \returns the trace with what the engine asks for today.
Trace replayTrace(const Trace &trace);

/// A step that came out otherwise.
struct Difference {
  std::size_t Line = 0; ///< In the text, from 1 on.
  std::string Recorded;
  std::string Replayed;
};

/// Compares two traces of the same inputs.
/// \returns the first difference, none when they are alike.
std::optional<Difference> compareTraces(const Trace &recorded,
                                        const Trace &replayed);

/// How each request ended: "delivered", "gone", "open", or the names of its
/// refusal's reason and truth, as in "key-missing did-not-run".
std::map<std::string, std::string> endsOf(const Trace &trace);

} // namespace zinniarail::trace
