/// \file
/// Overview of the membership module, and the decision who lives: the
/// platform's lagging list, corrected by direct evidence. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/membership/Instance.h"
#include "zinniarail/membership/View.h"

namespace zinniarail {

/// Direct evidence about one peer.
struct PeerEvidence {
  Instance Peer;
  bool Reachable = false;
  Instant ChangedAt{}; ///< When it was last lost or found again.
  unsigned Flaps = 0;  ///< Losses that are not yet forgotten.
  Instant ReadmitAt{}; ///< Found again, it counts from here on.
};

/// Who this instance believes to live, and why.
struct Membership {
  Instance Self;
  std::vector<Instance> Listed; ///< The platform's list, by id.
  std::map<std::string, PeerEvidence> Direct;
};

/// The platform gave its list.
void hearList(Membership &state, std::vector<Instance> listed, Instant now);
/// A peer was heard. A word under this instance's own id is ignored.
void hearPeer(Membership &state, const Instance &peer, Instant now);
/// A peer answers no more.
void losePeer(Membership &state, const std::string &peer, Instant now);
/// This instance is leaving from now on.
void beginStop(Membership &state);

/// Who lives, by id, this instance and leaving ones included. When every peer
/// is lost at once, it is rather this instance that is cut off, and nobody is
/// taken out on that evidence.
std::vector<Instance> liveInstances(const Membership &state, Instant now);

/// Everybody who lives or may come back, by id; to be called by the peers
/// task, also while lost.
std::vector<Instance> knownInstances(const Membership &state);

/// When liveInstances changes without a further word; max when it does not.
Instant nextReadmission(const Membership &state, Instant now);

/// Whether the instances run in more than one failure domain.
bool spanDomains(const std::vector<Instance> &instances);

/// How many instances hold watches on the platform.
struct ReaderPolicy {
  std::size_t SmallFleet = 16; ///< Up to here every instance reads.
  std::size_t PerDomain = 2;   ///< Beyond, these many of each failure domain.
};

/// Whether this instance reads from the platform by a watch. Instances that
/// disagree about who lives read more or less than needed, which costs calls
/// and no promise: who lacks a proof reads for itself.
bool isReader(const std::vector<Instance> &live, const Instance &self,
              const ReaderPolicy &policy);

} // namespace zinniarail
