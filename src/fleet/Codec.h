/// \file
/// Encoding of the messages between instances with Cap'n Proto.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "store/Mirror.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/fleet/Members.h"
#include "zinniarail/quota/Messages.h"
#include "zinniarail/rollout/Tracker.h"
#include "zinniarail/store/Availability.h"

namespace zinniarail::fleet {

/// An upstream that announced to the sender that it leaves.
struct LeavingUpstream {
  std::string Id;
  std::uint64_t StartedMs = 0; ///< As Upstream::StartedMs.
};

/// Asks when the store answered the receiver. A follower of another failure
/// domain passes it on to its reader.
struct AskAnswered {
  std::string ReplyTo; ///< Peer address of the instance that asks.
};

/// When the store answered the sender.
struct Answered {
  std::vector<store::AnsweredSpanAge> Spans;
};

/// The parts that a follower polls for together. Each channel has polls and
/// updates of its own, so that what is small and urgent does not wait for the
/// lists, which may be large.
enum class StateChannel : std::uint8_t {
  Control, ///< The configuration, the evacuated failure domains, roll-outs.
  Lists,   ///< The upstreams and the members.
};

constexpr std::size_t StateChannelCount = 2;

constexpr std::size_t indexOf(StateChannel channel) {
  return static_cast<std::size_t>(channel);
}

/// What a reader tells a follower of a channel.
struct ChannelStatus {
  std::uint64_t Sequence = 0; ///< Of the last change; 0: unknown.
  /// The follower's poll has arrived and waits for bandwidth.
  bool IsDeferred = false;

  bool operator==(const ChannelStatus &) const = default;
};

/// A datagram between two instances.
struct Datagram {
  struct Ping {};
  struct Pong {};
  std::variant<Ping, Pong, balance::PeerSuspected, balance::PeerQuarantined,
               LeavingUpstream, quota::Message, rollout::Report, AskAnswered,
               Answered>
      Payload;
  Member Sender;
  /// In a pong, other members of the receiver's failure domain; else empty.
  std::vector<Member> Members;
  /// In a reader's pong, what it has of each channel.
  std::array<ChannelStatus, StateChannelCount> Channels{};
  /// Fingerprints of requests that were suspect and are harmless.
  std::vector<std::uint64_t> ClearedFingerprints;
  /// Those that the sender knows, for instances that missed the notices.
  std::vector<balance::PeerQuarantined> Quarantines;
  /// Upstreams whose limits have ended.
  std::vector<std::string> EndedLimits;
};

std::string encodeDatagram(const Datagram &datagram);

/// \returns none if the bytes are malformed or the datagram is of a kind that
/// only newer builds know.
std::optional<Datagram> decodeDatagram(std::string_view bytes);

/// A complete list, some complete buckets of it, or the changes to it.
template <typename Item> struct ListUpdate {
  bool IsComplete = true; ///< Items that are not listed are removed.
  std::vector<Item> Items;
  std::vector<std::string> RemovedIds;
  /// Items of these buckets that are not listed are removed.
  std::vector<std::uint32_t> Buckets;
  std::uint32_t BucketCount = 0; ///< All buckets, of this list; 0: no buckets.
};

/// The digests of a list's buckets; empty: the list is not known.
using BucketDigests = std::vector<std::uint64_t>;

/// What a follower knows of the lists, for a reader that it has no update of.
struct ListDigests {
  BucketDigests Upstreams;
  BucketDigests Members;
};

/// The registered upstreams.
struct UpstreamsUpdate {
  ListUpdate<store::ListedUpstream> List;
  StoreRevision AsOf; ///< Store revision that the list reflects.
};

/// The evacuated failure domains, each with the store revision of its
/// evacuation.
struct EvacuatedDomainsUpdate {
  std::map<std::string, StoreRevision> RevisionByName;
  StoreRevision AsOf; ///< Store revision that the list reflects.
};

/// The orders for roll-outs, by the names of their objects.
struct RolloutsUpdate {
  rollout::Orders Orders;
  StoreRevision AsOf; ///< Store revision that the list reflects.
};

/// The live instances of the failure domain.
struct MembersUpdate {
  ListUpdate<Member> List;
  std::size_t FleetSize = 0; ///< Instances in all failure domains.
};

/// The parts of the state that a reader sends its followers.
enum class StatePart : std::uint8_t {
  Configuration,
  Upstreams,
  EvacuatedDomains,
  Members,
  Rollouts
};

/// Version number, raised with each change to the encoding of StateUpdate or to
/// the polls for it, or to what it means: an instance only follows readers with
/// the same format.
constexpr unsigned CurrentUpdateFormat = 7;

/// What a reader sends its followers: the parts of the state that changed.
struct StateUpdate {
  std::uint64_t BootId = 0;   ///< Boot id of the reader.
  std::uint64_t Sequence = 0; ///< The follower sends it with its next poll.
  /// Encoded by encodeConfiguration; null: unchanged.
  std::shared_ptr<const std::string> Config;
  /// What Config encodes, on the instance that sends it; not sent itself.
  std::shared_ptr<const Configuration> SentConfig;
  std::optional<UpstreamsUpdate> Upstreams;
  std::optional<EvacuatedDomainsUpdate> EvacuatedDomains;
  std::optional<MembersUpdate> Members;
  std::optional<RolloutsUpdate> Rollouts = {};
};

/// Encodes a configuration, compressed because one with a thousand routes goes
/// to many followers.
/// \param base an earlier version that the receiver has: of the customers, only
/// what differs from it is encoded. Null: all are.
std::string encodeConfiguration(const Configuration &config,
                                const Configuration *base = nullptr);

/// \param known the version that this instance has; null: none.
/// \returns null if the bytes are malformed, or encoded with a base that isn't
/// \p known.
std::shared_ptr<const Configuration>
decodeConfiguration(const std::string &bytes,
                    const Configuration *known = nullptr);

/// Encodes an update; a long one is compressed, since it goes to many
/// followers.
std::string encodeUpdate(const StateUpdate &update);

/// \returns none if the bytes are malformed.
std::optional<StateUpdate> decodeUpdate(std::string_view bytes);

std::string encodeDigests(const ListDigests &digests);

/// \returns none if the bytes are malformed.
std::optional<ListDigests> decodeDigests(std::string_view bytes);

} // namespace zinniarail::fleet
