/// \file
/// Overview of the claims module: at most one send of an idempotency key is
/// granted within the key's window. Each service's claims are held by a few
/// members of the claim roster; a claim is granted once a majority of them
/// has recorded it. Pure: the peers task turns calls between instances into
/// events and actions into calls. docs/design/claims.md has the argument.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zinniarail/claims/Roster.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Messages.h"

namespace zinniarail {

/// An idempotency key as it is kept and sent.
struct ClaimKey {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const ClaimKey &) const = default;
  bool operator<(const ClaimKey &other) const {
    return High != other.High ? High < other.High : Low < other.Low;
  }
};

/// Hashes an idempotency key.
ClaimKey makeClaimKey(const std::string &key);

/// Names one send of a key; never used twice. All zero: no send's, a claim
/// that nothing releases.
struct ClaimToken {
  std::uint64_t Incarnation = 0; ///< Of the process that asks.
  std::uint64_t Sequence = 0;

  bool operator==(const ClaimToken &) const = default;
};

/// What a holder keeps of one claim.
struct ClaimEntry {
  ClaimToken Token;
  Instant Expires{};
};

/// A claim as it is asked for, given up or handed over.
struct ClaimRecord {
  std::string Service;
  ClaimKey Key;
  ClaimToken Token;
  Duration Keep{}; ///< How long it counts from now.
};

/// A holder's answer.
enum class RecordReply : std::uint8_t {
  Recorded,
  Taken,           ///< By another send.
  NotReady,        ///< It cannot know yet what was claimed before, or is no
                   ///< holder.
  OtherGeneration, ///< It knows another roster.
  Full,
  Unreached, ///< No answer; it may have recorded the claim.
};

/// The rules that keep claims sound. A test breaks one to see that it is
/// needed; programs never do.
enum class ClaimRule : std::uint8_t {
  None,
  MajorityRecords,   ///< A grant needs a majority of the holders.
  SameGeneration,    ///< Holders vouch in their own generation only.
  ReadyBeforeRecord, ///< A new holder first learns what was claimed.
  ReadyByMajority,   ///< It learns from a majority of the holders before.
  WaitWhenLost,      ///< Where that is gone, it waits the window out.
  Witnesses,         ///< An asker sees most members in its generation.
  NewIncarnation,    ///< A process that starts again is another member.
  KeepYoung,         ///< No claim is dropped before it expires.
  TokenOnRelease,    ///< A release drops its own claim only.
  GrantInTime,       ///< A late grant is none.
};

/// Limits and times.
struct ClaimLimits {
  std::size_t PerService = 100'000; ///< Claims a holder keeps.
  std::size_t OpenAsks = 4'096;     ///< Asks without an answer.
  std::size_t Generations = 32;     ///< In a roster.
  std::size_t PageSize = 2'000;     ///< Claims in one page of a hand-over.
  Duration WindowLimit = std::chrono::minutes{10}; ///< Of any claim.
  /// Of the services there are; lost claims count this long. Never lower it.
  Duration LongestWindow = std::chrono::seconds{30};
  /// An ask that took longer is not granted, so that a grant is never much
  /// younger than its records.
  Duration GrantSlack = std::chrono::seconds{5};
  /// How long an ask waits for holders that are not ready.
  Duration Patience = std::chrono::milliseconds{500};
  Duration RetryInterval = std::chrono::milliseconds{20};
  /// How long a member's answer proves which generation it was in: at least
  /// this, and longer in a generation of many members, which are asked in
  /// turn. Alike on all instances.
  Duration WitnessLifetime = std::chrono::seconds{3};
  Duration WitnessPerMember = std::chrono::milliseconds{250};
  /// How long the members wanted must stay alike before the roster changes.
  Duration SettleTime = std::chrono::milliseconds{300};
  /// After this a roster may be changed by one who sees only a minority.
  Duration MinorityDelay = std::chrono::seconds{10};
  Duration RosterReadInterval = std::chrono::seconds{1};
  Duration PurgeInterval = std::chrono::seconds{1};
  Duration HandOverRetry = std::chrono::milliseconds{200};
  ClaimRule Broken = ClaimRule::None;
};

/// What this instance knows of a peer, from its answers.
struct ClaimPeer {
  Member Who;
  std::uint64_t Generation = 0;
  Instant At{}; ///< When the question was sent that it answered.
  bool Alive = false;
  bool Leaving = false;
};

/// The claims of one service that this instance keeps.
struct ClaimShelf {
  std::uint64_t LastReady = 0; ///< Last generation in which it vouched.
  std::map<ClaimKey, ClaimEntry> Entries;
};

/// What a peer handed over for the current generation.
struct HandedOver {
  bool Complete = false;
  std::uint64_t Incarnation = 0; ///< Of the peer, on every page.
  std::map<std::string, std::uint64_t> LastReady; ///< By service.
  Instant Asked{};
};

/// A claim that this instance seeks.
struct ClaimAsk {
  RequestId Request{};
  ClaimRecord Record;
  Duration Window{};
  Instant Started{};
  Instant Deadline{};
  std::vector<std::string> Order; ///< Holders, as they are asked.
  std::size_t Next = 0;           ///< In Order.
  std::size_t Needed = 0;
  std::size_t Recorded = 0;
  bool SawTaken = false;
  std::uint64_t Round = 0; ///< Tells late answers from those awaited.
  std::optional<Instant> RetryAt;
  std::set<std::string> Asked; ///< Everybody who may have recorded it.
};

/// A claim that was granted here and may still be released.
struct GrantedClaim {
  ClaimRecord Record;
  std::set<std::string> Asked;
  Instant Expires{};
};

/// All that this instance knows of claims.
struct ClaimState {
  Member Self;
  ClaimLimits Limits;
  Roster Known;
  Instant LearnedAt{}; ///< When Known came.
  std::map<std::string, ClaimShelf> Shelves;
  std::map<std::string, ClaimPeer> Peers;
  std::map<std::string, HandedOver> HandOvers; ///< For the current one.
  std::map<std::uint64_t, Instant> QuietSince; ///< By generation.
  std::map<std::uint64_t, ClaimAsk> Asks;      ///< By token's sequence.
  std::map<RequestId, GrantedClaim> Granted;
  std::set<std::string> GoneOver; ///< Members that took our claims over.
  std::uint64_t NextSequence = 1;
  std::uint64_t NextRound = 1;
  std::vector<Member> Wanted; ///< Members as this instance would have them.
  Instant WantedSince{};
  Instant NextRosterRead{};
  bool RosterAsked = false;  ///< A read or write is under way.
  bool RosterAbsent = false; ///< The platform said that none is stored.
  /// The generation for which every service was got ready.
  std::uint64_t PreparedFor = 0;
  Instant NextPurge{};
};

// Events.

/// The platform or a peer showed a roster; older ones are ignored.
struct RosterLearned {
  Roster Learned;
};
/// The platform answered a read or a write of the roster.
struct RosterAnswered {
  bool Reached = false;
  std::optional<Roster> Stored; ///< Empty: none is stored.
};
/// A peer answered, or was lost.
struct PeerAnswered {
  ClaimPeer Evidence;
};
struct PeerSilent {
  std::string Id;
};
/// Somebody wants a claim.
struct ClaimSought {
  RequestId Request{};
  std::string Service;
  ClaimKey Key;
  Duration Window{};
  Instant Deadline{};
};
/// A holder answered SendRecord, or did not.
struct RecordAnswered {
  std::uint64_t Ask = 0;
  std::uint64_t Round = 0;
  RecordReply Reply = RecordReply::Unreached;
};
/// A request that was granted its key was never dispatched.
struct ReleaseSought {
  RequestId Request{};
};
/// A page of a hand-over, or its failure.
struct PageArrived {
  std::string From;
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0;
  bool Agreed = false; ///< False also when there was no answer.
  bool Last = false;
  std::vector<ClaimRecord> Claims;
  std::map<std::string, std::uint64_t> LastReady;
};
/// Time went on; send it every few milliseconds.
struct ClaimTick {
  /// The members wanted by who lives: this instance too, unless it leaves.
  std::vector<Member> Wanted;
  /// Services to get ready for ahead of need.
  std::vector<std::string> Services;
};

using ClaimEvent = std::variant<RosterLearned, RosterAnswered, PeerAnswered,
                                PeerSilent, ClaimSought, RecordAnswered,
                                ReleaseSought, PageArrived, ClaimTick>;

// Actions.

/// Ask a holder to record a claim; answered by RecordAnswered.
struct SendRecord {
  std::string To;
  std::uint64_t Generation = 0;
  ClaimRecord Record;
  std::uint64_t Ask = 0;
  std::uint64_t Round = 0;
};
/// Tell a holder to drop a claim. No answer is needed.
struct SendRelease {
  std::string To;
  ClaimRecord Record;
};
/// Ask a peer for a page of its claims; answered by PageArrived.
struct SendHandOver {
  std::string To;
  std::uint64_t Generation = 0;
  std::string AfterService;
  ClaimKey AfterKey;
};
/// Answer the seeker.
struct DecideClaim {
  std::string Service;
  ClaimDecided Decision;
};
/// Read or write the roster in the platform; answered by RosterAnswered.
struct SendRosterRead {};
struct SendRosterWrite {
  Roster Next; ///< Its version is the one it replaces.
};

using ClaimAction = std::variant<SendRecord, SendRelease, SendHandOver,
                                 DecideClaim, SendRosterRead, SendRosterWrite>;
using ClaimActions = std::vector<ClaimAction>;

/// Makes the state of a process that has just started.
ClaimState makeClaims(Member self, ClaimLimits limits);

/// Handles one event; appends what is to be done.
void handle(ClaimState &state, const ClaimEvent &event, Instant now,
            ClaimActions &out);

/// Answers a peer (or this instance itself) that asks to record a claim.
RecordReply recordClaim(ClaimState &state, std::uint64_t generation,
                        const ClaimRecord &record, Instant now);

/// Drops a claim if the token is its own.
void releaseClaim(ClaimState &state, const ClaimRecord &record);

/// One page of the claims that a member shall hold.
struct ClaimPage {
  bool Agreed = false; ///< False: the generations differ.
  bool Last = false;
  std::vector<ClaimRecord> Claims;
  std::map<std::string, std::uint64_t> LastReady; ///< With the last page.
};

/// Answers a peer that asks for the claims it shall hold.
ClaimPage handOver(ClaimState &state, const SendHandOver &request,
                   const std::string &asker, Instant now);

/// Tells whether everybody who holds claims from now on has what this
/// instance kept, which is leaving.
bool isHandedOver(const ClaimState &state);

/// Tells whether this instance vouches for a service's keys.
bool isReady(const ClaimState &state, const std::string &service, Instant now);

/// Who of a generation this instance is; null when it is no member.
const Member *findSelf(const ClaimState &state, const Generation &generation);

/// The generation in force; null when none is known.
const Generation *currentGeneration(const ClaimState &state);

/// How many claims this instance keeps.
std::size_t countClaims(const ClaimState &state);

} // namespace zinniarail
