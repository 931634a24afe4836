/// \file
/// The instances that this one knows, with the status and liveness of each.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/fleet/Instance.h"

namespace zinniarail {

/// How often an instance pings the members of highest priority in its failure
/// domain.
constexpr Duration PingInterval = std::chrono::milliseconds{200};

/// A member that sent no message for this long counts as lost, unless the
/// reader lists it as live. That a few datagrams in a row are lost is rarer
/// than the loss of an instance.
constexpr Duration LivenessTimeout = std::chrono::milliseconds{700};

/// A member that was neither heard from nor on the reader's list for this long
/// is removed and gets no more messages.
constexpr Duration RemovalTimeout = std::chrono::seconds{60};

/// An instance and the status that it reports of itself.
struct Member {
  Instance Record;
  std::uint64_t BootId = 0; ///< Differs after each process start.
  /// The member with the largest weight has the highest priority as reader.
  unsigned ElectionWeight = 0;
  unsigned UpdateFormat = 0; ///< Format of StateUpdate that it uses.
  bool Reading = false;      ///< It reads the store for its failure domain.
  bool StoreHealthy = false; ///< It reads the store and gets answers.
  /// It has a configuration and the list of upstreams, however old.
  bool HasSnapshot = false;
  /// It serves callers, or will very soon, and reaches upstreams.
  bool Ready = true;

  bool operator==(const Member &) const = default;
};

/// What this instance knows of another member.
struct KnownMember {
  Member LastStatus; ///< Received from itself or through another instance.
  /// Time of the last message from the member itself; min: none.
  Instant LastMessageAt = Instant::min();
  /// Time when the followed reader last listed it as live; min: not listed.
  Instant ReportedLiveAt = Instant::min();
  /// Time of the oldest unanswered ping; max: none.
  Instant UnansweredSince = Instant::max();
  /// Time when it became known or was last taken off the reader's list.
  Instant KnownSince{};
};

/// This instance and the other members that it knows, by id.
struct Members {
  Member LocalMember;
  std::map<std::string, KnownMember> Others;
};

/// Records a message from a member, with the status in it.
/// \returns whether the member became live or its status changed.
bool recordMessageFrom(Members &members, const Member &member, Instant now);

/// Records that a ping was sent to a member.
void recordPingTo(Members &members, const std::string &id, Instant now);

/// Adds a member that was learned from elsewhere, unless it is known already.
/// This does not make it live.
void addIfUnknown(Members &members, const Member &member, Instant now);

/// Applies the followed reader's complete list of the live members of the
/// failure domain.
/// \returns whether a member became live or lost, or a live member's leaving or
/// ready status changed.
bool applyReaderLiveList(Members &members, const std::vector<Member> &live,
                         Instant now);

/// Removes the members whose RemovalTimeout has passed.
void removeExpired(Members &members, Instant now);

/// Whether a member sent a message within LivenessTimeout or is on the reader's
/// live list.
bool isLive(const KnownMember &member, Instant now);

/// Whether the member itself sent a message within LivenessTimeout.
bool hasRecentMessage(const KnownMember &member, Instant now);

/// Whether a ping to the member stayed unanswered beyond LivenessTimeout.
bool isUnresponsive(const KnownMember &member, Instant now);

/// Whether \p a has higher priority than \p b in the election of the reader: by
/// weight, and at equal weight in an order that is the same on all instances.
bool hasHigherPriority(const Member &a, const Member &b);

/// The members of highest priority in this instance's failure domain, itself
/// and unresponsive members left out.
/// \param count maximum number of members.
std::vector<Member> topCandidates(const Members &members, std::size_t count,
                                  Instant now);

/// The members of highest priority in a failure domain that sent a message
/// within LivenessTimeout, this instance left out.
/// \param exceptId id of a member that is left out.
/// \param count maximum number of members.
std::vector<Member> topRecentMembers(const Members &members,
                                     const std::string &domain,
                                     const std::string &exceptId,
                                     std::size_t count, Instant now);

/// The members that have a snapshot and sent a message within LivenessTimeout,
/// those of this instance's failure domain first.
std::vector<Member> membersWithSnapshot(const Members &members, Instant now);

/// Visits the live members of this instance's failure domain, itself included,
/// in the order of their ids.
void forEachLiveMember(const Members &members, Instant now,
                       const std::function<void(const Member &)> &visit);

/// The live members of this instance's failure domain, itself included, sorted
/// by id.
std::vector<Member> listLiveMembers(const Members &members, Instant now);

/// Whether so few live members of this instance's failure domain are ready that
/// members of other failure domains should take a part of its requests.
bool needsOtherDomains(const Members &members, Instant now);

/// The members that requests of this instance's failure domain should go to:
/// its live members that are ready, maybe this instance; with
/// needsOtherDomains also ready members of other failure domains that sent a
/// message within LivenessTimeout.
std::vector<Member> listReadyMembers(const Members &members, Instant now);

/// The ready members of other failure domains that sent a message within
/// LivenessTimeout.
std::vector<Member> listReadyOutsideMembers(const Members &members,
                                            Instant now);

/// Members of other failure domains to ping while needsOtherDomains holds; each
/// instance selects others.
/// \param count maximum number of members.
std::vector<Member> selectOutsideMembers(const Members &members,
                                         std::size_t count);

} // namespace zinniarail
