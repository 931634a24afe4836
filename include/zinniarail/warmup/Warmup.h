/// \file
/// Cold start: how much of an upstream this home may use while it warms. One
/// home ramps it from a single request in flight, by answers and not by time;
/// the others send nothing until they hear that it is warm.
#pragma once

#include <cstdint>

#include "zinniarail/core/Time.h"
#include "zinniarail/load/Load.h"

namespace zinniarail {

enum class WarmthPhase : std::uint8_t {
  Warm,
  Ramping, ///< Grows by answers.
  Waiting, ///< Another home ramps it; nothing is sent.
};

/// What a home knows of one upstream's warmth.
struct Warmth {
  WarmthPhase Phase = WarmthPhase::Warm;
  unsigned Limit = 1;            ///< Own requests in flight while Ramping.
  unsigned Good = 0;             ///< Good answers at this limit.
  std::uint64_t Incarnation = 0; ///< Last heard; 0 when none was.
  std::uint64_t WarmLife = 0;    ///< The incarnation that last was warm here.
  Instant Since{};               ///< When the phase began.
  bool SaysCold = false;         ///< By its last report.
  unsigned ColdTurns = 0;        ///< By its reports alone, in this life.
  /// Until then its word that it is cold counts for nothing: it said so too
  /// often of one life while its answers were good.
  Instant DistrustedUntil{};
  bool Announce = false; ///< Tell the other homes when it is warm.
  /// Cold starts begun so far. What an attempt from before the last one made
  /// of it says nothing about this one.
  unsigned ColdStarts = 0;
};

/// What an observation made of it.
enum class WarmthChange : std::uint8_t { None, TurnedCold, Grew, TurnedWarm };

/// Begins a cold start.
/// \param ramps whether this home is the one that ramps the upstream.
void beginCold(Warmth &warmth, bool ramps, Instant now);

/// The ramp moves to this home, or away from it.
void moveRamp(Warmth &warmth, bool ramps, Instant now);

/// How many own requests may be in flight.
/// \param share this home's share of the slots, the upper bound.
unsigned allowance(const Warmth &warmth, unsigned share);

/// Takes a report that came with an answer.
WarmthChange noteReport(Warmth &warmth, const LoadReport &report, bool ramps,
                        Instant now);

/// Takes a good answer: in time, no error.
WarmthChange noteGood(Warmth &warmth, unsigned share, Instant now);

/// Takes a slow answer or an error.
void noteBad(Warmth &warmth);

/// Takes a refusal for want of room. A warm upstream is used less until
/// answers show that it bears more.
void noteRefused(Warmth &warmth, unsigned share, Instant now);

/// Takes the ramping home's word that an upstream is warm.
WarmthChange noteWarmWord(Warmth &warmth, std::uint64_t incarnation,
                          Instant now);

/// Takes another home's word that an upstream turned cold.
WarmthChange noteColdWord(Warmth &warmth, std::uint64_t incarnation, bool ramps,
                          Instant now);

/// When a waiting home takes an upstream up, from one request in flight,
/// though it heard nothing at all; Instant::max() when it does not wait.
Instant takeUpDue(const Warmth &warmth);

/// Takes an upstream up when takeUpDue has come.
WarmthChange noteTime(Warmth &warmth, Instant now);

/// Takes a probe's report. A waiting home takes the upstream up, from one
/// request in flight, when it is in the life that was warm before, or when
/// the ramping home's word is overdue and the upstream says it is warm.
WarmthChange noteProbe(Warmth &warmth, const LoadReport &report, bool ramps,
                       Instant now);

} // namespace zinniarail
