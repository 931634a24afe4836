#include "zinniarail/warmup/Warmup.h"

#include <algorithm>

namespace zinniarail {

namespace {

// Good answers, for each request in flight, before one more is allowed.
constexpr unsigned AnswersPerStep = 4;

// Likewise while the upstream itself says that it is cold.
constexpr unsigned AnswersPerColdStep = 64;

// After it a waiting home may take up an upstream that says it is warm: the
// ramping home's word was lost, or that home is gone.
constexpr Duration WordOverdue = std::chrono::milliseconds{500};

// After it a waiting home takes an upstream up without any word or probe: both
// are cut off, and a ramp with work takes far less.
constexpr Duration NothingHeard = std::chrono::seconds{10};

// Cold turns of one life, by reports alone, that are believed in a row.
constexpr unsigned ColdTurnsBelieved = 3;
constexpr Duration DistrustTime = std::chrono::seconds{30};

void begin(Warmth &warmth, WarmthPhase phase, Instant now) {
  warmth.Phase = phase;
  warmth.Limit = 1;
  warmth.Good = 0;
  warmth.Since = now;
}

WarmthChange takeUp(Warmth &warmth, Instant now) {
  begin(warmth, WarmthPhase::Ramping, now);
  warmth.Announce = false;
  warmth.SaysCold = false; // What a probe said before counts no more.
  return WarmthChange::Grew;
}

// A new life starts cold, whatever is said of it.
bool isNewLife(const Warmth &warmth, std::uint64_t incarnation) {
  return incarnation != 0 && warmth.Incarnation != 0 &&
         incarnation != warmth.Incarnation;
}

void learnLife(Warmth &warmth, std::uint64_t incarnation) {
  if (incarnation == 0 || incarnation == warmth.Incarnation) {
    return;
  }
  warmth.Incarnation = incarnation;
  warmth.ColdTurns = 0;
  warmth.DistrustedUntil = Instant{};
}

} // namespace

void beginCold(Warmth &warmth, bool ramps, Instant now) {
  begin(warmth, ramps ? WarmthPhase::Ramping : WarmthPhase::Waiting, now);
  warmth.Announce = ramps;
  ++warmth.ColdStarts;
}

void moveRamp(Warmth &warmth, bool ramps, Instant now) {
  if (warmth.Phase != WarmthPhase::Warm) {
    beginCold(warmth, ramps, now);
  }
}

unsigned allowance(const Warmth &warmth, unsigned share) {
  switch (warmth.Phase) {
  case WarmthPhase::Warm:
    return share;
  case WarmthPhase::Ramping:
    return std::min(warmth.Limit, share);
  case WarmthPhase::Waiting:
    break;
  }
  return 0;
}

WarmthChange noteReport(Warmth &warmth, const LoadReport &report, bool ramps,
                        Instant now) {
  const bool newLife = isNewLife(warmth, report.Incarnation);
  learnLife(warmth, report.Incarnation);
  const bool saidCold = warmth.SaysCold;
  warmth.SaysCold = report.Cold && now >= warmth.DistrustedUntil;
  const bool turned =
      warmth.SaysCold && (warmth.Phase == WarmthPhase::Warm ||
                          (warmth.Phase == WarmthPhase::Ramping && !saidCold));
  if (!newLife && !turned) {
    return WarmthChange::None;
  }
  if (!newLife && ++warmth.ColdTurns > ColdTurnsBelieved) {
    warmth.ColdTurns = 0;
    warmth.DistrustedUntil = now + DistrustTime;
    warmth.SaysCold = false;
    return WarmthChange::None;
  }
  warmth.WarmLife = 0;
  beginCold(warmth, ramps, now);
  return WarmthChange::TurnedCold;
}

WarmthChange noteGood(Warmth &warmth, unsigned share, Instant now) {
  if (warmth.Phase != WarmthPhase::Ramping) {
    return WarmthChange::None;
  }
  const unsigned step = warmth.SaysCold ? AnswersPerColdStep : AnswersPerStep;
  if (++warmth.Good < step * warmth.Limit) {
    return WarmthChange::None;
  }
  warmth.Good = 0;
  if (warmth.Limit < share) {
    ++warmth.Limit;
    return WarmthChange::Grew;
  }
  begin(warmth, WarmthPhase::Warm, now);
  warmth.WarmLife = warmth.Incarnation;
  return WarmthChange::TurnedWarm;
}

void noteBad(Warmth &warmth) {
  if (warmth.Phase == WarmthPhase::Ramping) {
    warmth.Limit = std::max(1U, warmth.Limit / 2);
    warmth.Good = 0;
  }
}

void noteRefused(Warmth &warmth, unsigned share, Instant now) {
  if (warmth.Phase != WarmthPhase::Warm) {
    return noteBad(warmth);
  }
  begin(warmth, WarmthPhase::Ramping, now);
  warmth.Limit = std::max(1U, share / 2);
  warmth.Announce = false;
}

WarmthChange noteWarmWord(Warmth &warmth, std::uint64_t incarnation,
                          Instant now) {
  if (warmth.Phase != WarmthPhase::Waiting || isNewLife(warmth, incarnation)) {
    return WarmthChange::None;
  }
  learnLife(warmth, incarnation);
  return takeUp(warmth, now);
}

WarmthChange noteColdWord(Warmth &warmth, std::uint64_t incarnation, bool ramps,
                          Instant now) {
  // A word about a life that is over, or a ramp that has begun already.
  if (warmth.Phase != WarmthPhase::Warm && !isNewLife(warmth, incarnation)) {
    return WarmthChange::None;
  }
  learnLife(warmth, incarnation);
  warmth.WarmLife = 0;
  beginCold(warmth, ramps, now);
  return WarmthChange::TurnedCold;
}

Instant takeUpDue(const Warmth &warmth) {
  return warmth.Phase == WarmthPhase::Waiting ? warmth.Since + NothingHeard
                                              : Instant::max();
}

WarmthChange noteTime(Warmth &warmth, Instant now) {
  return now >= takeUpDue(warmth) ? takeUp(warmth, now) : WarmthChange::None;
}

WarmthChange noteProbe(Warmth &warmth, const LoadReport &report, bool ramps,
                       Instant now) {
  const WarmthChange change = noteReport(warmth, report, ramps, now);
  if (change != WarmthChange::None || warmth.Phase != WarmthPhase::Waiting) {
    return change;
  }
  const bool sameLife =
      warmth.WarmLife != 0 && warmth.WarmLife == report.Incarnation;
  const bool overdue = now - warmth.Since >= WordOverdue;
  if (warmth.SaysCold || (!sameLife && !overdue)) {
    return WarmthChange::None;
  }
  return takeUp(warmth, now);
}

} // namespace zinniarail
