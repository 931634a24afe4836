/// \file
/// What the parts of the claims module share: the asker, the holder and the
/// keeper of the roster.
#pragma once

#include "zinniarail/claims/Claims.h"

namespace zinniarail::claims {

/// Whether a test breaks this rule.
inline bool isBroken(const ClaimState &state, ClaimRule rule) {
  return state.Limits.Broken == rule;
}

/// Whether an instance holds a service's claims in the current generation.
bool isHolder(const ClaimState &state, const std::string &service,
              const std::string &id);

/// Whether everything granted in an earlier generation has expired: most of
/// its members have left it, for longer than an asker may trust their answers
/// and a claim counts.
bool isOver(const ClaimState &state, const Generation &generation, Instant now);

/// Whether this instance has seen most members of the current generation in
/// it lately. Nobody can then have found the generation over.
bool hasWitnesses(const ClaimState &state, Instant now);

/// Starts every open ask again, after the roster changed.
void restartAsks(ClaimState &state, Instant now, ClaimActions &out);

/// Gives up asks that are due, and goes on with those that wait.
void tendAsks(ClaimState &state, Instant now, ClaimActions &out);

void beginAsk(ClaimState &state, const ClaimSought &event, Instant now,
              ClaimActions &out);
void noteRecordAnswer(ClaimState &state, const RecordAnswered &event,
                      Instant now, ClaimActions &out);
void releaseGranted(ClaimState &state, const ReleaseSought &event,
                    ClaimActions &out);

/// Adopts a roster that is newer than the known one.
void learnRoster(ClaimState &state, const Roster &learned, Instant now,
                 ClaimActions &out);
void noteRosterAnswer(ClaimState &state, const RosterAnswered &event,
                      Instant now, ClaimActions &out);
void notePage(ClaimState &state, const PageArrived &event, Instant now,
              ClaimActions &out);
void tendRoster(ClaimState &state, const ClaimTick &event, Instant now,
                ClaimActions &out);

} // namespace zinniarail::claims
