/// \file
/// The state that a reader sends its followers, with the sequence number of the
/// last change to each item, so that a follower gets only what changed since
/// its last update: in a failure domain of many instances the reader's link
/// could not carry the complete lists. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fleet/Codec.h"

namespace zinniarail::fleet {

/// A list of items by id, with the sequence numbers of changes and removals.
template <typename Item> struct VersionedList {
  struct Entry {
    Item Value;
    std::uint64_t ChangeSequence = 0;
  };
  std::map<std::string, Entry> Entries;
  std::map<std::string, std::uint64_t> RemovalSequences;
  std::uint64_t ChangeSequence = 0; ///< Last change; 0: the list was never set.
  /// Followers whose last update has a lower sequence number get the complete
  /// list.
  std::uint64_t MinIncrementalSequence = 0;
};

/// The state, with the sequence number of the last change to each part.
struct VersionedState {
  std::uint64_t BootId = 0;   ///< Boot id of the reader.
  std::uint64_t Sequence = 0; ///< Increases with each change.
  std::shared_ptr<const std::string> Config;
  std::uint64_t ConfigChangeSequence = 0;
  /// The last versions of the configuration by the sequence number of their
  /// change, the one in force included: a follower that has one of them gets
  /// only the customers that differ.
  std::map<std::uint64_t, std::shared_ptr<const Configuration>> LastConfigs;
  VersionedList<store::ListedUpstream> Upstreams;
  StoreRevision UpstreamsRevision;
  EvacuatedDomainsUpdate EvacuatedDomains;
  std::uint64_t EvacuatedDomainsChangeSequence = 0;
  RolloutsUpdate Rollouts;
  std::uint64_t RolloutsChangeSequence = 0;
  VersionedList<Member> Members;
  std::size_t FleetSize = 0;
  /// Cache of encoded updates up to Sequence, by the channel and the sequence
  /// number of the follower's last update.
  std::map<std::pair<StateChannel, std::uint64_t>, std::string> EncodedUpdates;
  /// Cached complete lists for new followers. They may lack the last few
  /// changes of the members; the next poll returns them.
  std::string EncodedLists;
  std::uint64_t EncodedListsSequence = 0; ///< Sequence of these; 0: none.
  /// Cache of encoded updates up to Sequence, by the encoded digests of the
  /// follower.
  std::map<std::string, std::string> EncodedDifferences;
};

/// Replaces the parts that an update contains; its lists must be complete.
/// \returns whether any part changed.
bool replaceParts(VersionedState &state, const StateUpdate &update);

/// Removes all parts and keeps the sequence number.
void clear(VersionedState &state);

/// Encodes the changes of a channel that a follower has not got yet.
/// \param after sequence number of the follower's last update of this channel
/// from this reader; 0: it has none.
/// \returns the encoded update; null when nothing changed.
const std::string *updateSince(VersionedState &state, StateChannel channel,
                               std::uint64_t after);

/// Whether changes alone bring a follower's lists up to date.
/// \param after sequence number of the follower's last update of the lists from
/// this reader; 0: it has none.
bool canSendChangesSince(const VersionedState &state, std::uint64_t after);

/// Encodes what differs between the lists and those of a follower that has no
/// update from this reader, but knows the lists from elsewhere.
/// \param encodedDigests ListDigests of the follower.
/// \returns the encoded update, also if nothing differs; null while the lists
/// are not known.
const std::string *differencesFrom(VersionedState &state,
                                   const std::string &encodedDigests);

/// The sequence number of the last change to a part of the channel; 0: none.
std::uint64_t lastChange(const VersionedState &state, StateChannel channel);

} // namespace zinniarail::fleet
