#include "fleet/VersionedState.h"

#include <algorithm>
#include <utility>

#include "fleet/ListDigest.h"

namespace zinniarail::fleet {

namespace {

// The cached lists are encoded again after this many changes, not after each
// one: while many instances start, each start is a change of the members.
constexpr std::uint64_t MaxEncodedListsLag = 16;

// Maximum number of recorded removals. Beyond it all are discarded, and
// followers that may have missed a removal get the complete list.
constexpr std::size_t MaxRemovals = 1000;

// Maximum number of versions of the configuration that are kept. A follower
// polls again at once, so it is rarely more than one behind.
constexpr std::size_t MaxLastConfigs = 4;

// Compares what can change: the record changes with its revision, except for
// Draining, and the remaining warm-up time always changes.
bool isUnchanged(const store::ListedUpstream &a,
                 const store::ListedUpstream &b) {
  return a.Revision == b.Revision && a.IsLeaving == b.IsLeaving &&
         a.Record.Draining == b.Record.Draining;
}

bool isUnchanged(const Member &a, const Member &b) { return a == b; }

template <typename Item>
bool updateList(VersionedList<Item> &list,
                const std::map<std::string, Item> &current,
                std::uint64_t sequence) {
  bool changed = list.ChangeSequence == 0;
  for (const auto &[id, item] : current) {
    const auto [at, isNew] = list.Entries.try_emplace(id);
    if (isNew || !isUnchanged(at->second.Value, item)) {
      at->second = {item, sequence};
      changed = true;
    }
    list.RemovalSequences.erase(id);
  }
  std::erase_if(list.Entries, [&](const auto &it) {
    const bool removed = !current.contains(it.first);
    if (removed) {
      list.RemovalSequences[it.first] = sequence;
      changed = true;
    }
    return removed;
  });
  if (list.RemovalSequences.size() > MaxRemovals) {
    list.RemovalSequences.clear();
    list.MinIncrementalSequence = sequence;
  }
  if (changed) {
    list.ChangeSequence = sequence;
  }
  return changed;
}

template <typename Item>
void fillListUpdate(ListUpdate<Item> &out, const VersionedList<Item> &list,
                    std::uint64_t after) {
  out.IsComplete = after < list.MinIncrementalSequence || after == 0;
  for (const auto &[id, it] : list.Entries) {
    if (out.IsComplete || it.ChangeSequence > after) {
      out.Items.push_back(it.Value);
    }
  }
  for (const auto &[id, at] : list.RemovalSequences) {
    if (!out.IsComplete && at > after) {
      out.RemovedIds.push_back(id);
    }
  }
}

// Fills in the buckets that differ from those of a follower, or the complete
// list if the follower knows none or has more buckets than any list.
template <typename Item>
void fillDifferences(ListUpdate<Item> &out, const VersionedList<Item> &list,
                     const BucketDigests &followers) {
  out.IsComplete = followers.empty() || followers.size() > MaxBuckets;
  BucketDigests own;
  if (!out.IsComplete) {
    own.resize(followers.size());
    for (const auto &[id, it] : list.Entries) {
      addToDigests(own, it.Value);
    }
    out.Buckets = differingBuckets(own, followers);
    out.BucketCount = static_cast<std::uint32_t>(own.size());
  }
  for (const auto &[id, it] : list.Entries) {
    if (out.IsComplete ||
        own[bucketOf(id, own.size())] != followers[bucketOf(id, own.size())]) {
      out.Items.push_back(it.Value);
    }
  }
}

template <typename Item>
void reset(VersionedList<Item> &list, std::uint64_t minIncrementalSequence) {
  list = {};
  list.MinIncrementalSequence = minIncrementalSequence;
}

bool replaceUpstreams(VersionedState &state, const UpstreamsUpdate &update,
                      std::uint64_t sequence) {
  std::map<std::string, store::ListedUpstream> current;
  for (const store::ListedUpstream &it : update.List.Items) {
    current.emplace(it.Record.Id, it);
  }
  state.UpstreamsRevision = update.AsOf;
  return updateList(state.Upstreams, current, sequence);
}

bool replaceMembers(VersionedState &state, const MembersUpdate &update,
                    std::uint64_t sequence) {
  std::map<std::string, Member> current;
  for (const Member &it : update.List.Items) {
    current.emplace(it.Record.Id, it);
  }
  const bool sizeChanged = state.FleetSize != update.FleetSize;
  state.FleetSize = update.FleetSize;
  const bool changed = updateList(state.Members, current, sequence);
  if (sizeChanged) {
    state.Members.ChangeSequence = sequence;
  }
  return changed || sizeChanged;
}

// The version of the configuration that a follower got with its last update;
// null if it got none, or one that is no longer kept.
const Configuration *configOf(const VersionedState &state,
                              std::uint64_t after) {
  const auto next = state.LastConfigs.upper_bound(after);
  return after == 0 || next == state.LastConfigs.begin()
             ? nullptr
             : std::prev(next)->second.get();
}

void fillControl(StateUpdate &update, const VersionedState &state,
                 std::uint64_t after) {
  if (state.ConfigChangeSequence > after) {
    const Configuration *base = configOf(state, after);
    update.Config =
        base == nullptr || base->Customers.empty()
            ? state.Config
            : std::make_shared<const std::string>(encodeConfiguration(
                  *state.LastConfigs.rbegin()->second, base));
  }
  if (state.EvacuatedDomainsChangeSequence > after) {
    update.EvacuatedDomains = state.EvacuatedDomains;
  }
  if (state.RolloutsChangeSequence > after) {
    update.Rollouts = state.Rollouts;
  }
}

void fillLists(StateUpdate &update, const VersionedState &state,
               std::uint64_t after) {
  if (state.Upstreams.ChangeSequence > after) {
    UpstreamsUpdate &list = update.Upstreams.emplace();
    list.AsOf = state.UpstreamsRevision;
    fillListUpdate(list.List, state.Upstreams, after);
  }
  if (state.Members.ChangeSequence > after) {
    MembersUpdate &list = update.Members.emplace();
    list.FleetSize = state.FleetSize;
    fillListUpdate(list.List, state.Members, after);
  }
}

// Encodes the parts of a channel that changed after a sequence number.
std::string encodeChangesAfter(const VersionedState &state,
                               StateChannel channel, std::uint64_t after) {
  StateUpdate update;
  update.BootId = state.BootId;
  update.Sequence = state.Sequence;
  channel == StateChannel::Control ? fillControl(update, state, after)
                                   : fillLists(update, state, after);
  return encodeUpdate(update);
}

// A new follower uses the cached lists before it gets the changes since then,
// so they must not contain upstreams that have left.
bool areEncodedListsUsable(const VersionedState &state) {
  const std::uint64_t at = state.EncodedListsSequence;
  return at != 0 && state.Sequence - at <= MaxEncodedListsLag &&
         state.Upstreams.ChangeSequence <= at;
}

} // namespace

bool replaceParts(VersionedState &state, const StateUpdate &update) {
  const std::uint64_t next = state.Sequence + 1;
  bool changed = false;
  if (update.Config) {
    state.Config = update.Config;
    state.ConfigChangeSequence = next;
    if (update.SentConfig) {
      state.LastConfigs[next] = update.SentConfig;
    }
    if (state.LastConfigs.size() > MaxLastConfigs) {
      state.LastConfigs.erase(state.LastConfigs.begin());
    }
    changed = true;
  }
  if (update.Upstreams) {
    changed = replaceUpstreams(state, *update.Upstreams, next) || changed;
  }
  if (update.EvacuatedDomains) {
    state.EvacuatedDomains = *update.EvacuatedDomains;
    state.EvacuatedDomainsChangeSequence = next;
    changed = true;
  }
  if (update.Rollouts) {
    state.Rollouts = *update.Rollouts;
    state.RolloutsChangeSequence = next;
    changed = true;
  }
  if (update.Members) {
    changed = replaceMembers(state, *update.Members, next) || changed;
  }
  if (changed) {
    state.Sequence = next;
    state.EncodedUpdates.clear();
    state.EncodedDifferences.clear();
  }
  return changed;
}

void clear(VersionedState &state) {
  state.Config = nullptr;
  state.LastConfigs.clear();
  state.ConfigChangeSequence = 0;
  state.EvacuatedDomainsChangeSequence = 0;
  state.RolloutsChangeSequence = 0;
  reset(state.Upstreams, state.Sequence + 1);
  reset(state.Members, state.Sequence + 1);
  state.EncodedUpdates.clear();
  state.EncodedDifferences.clear();
  state.EncodedListsSequence = 0;
}

std::uint64_t lastChange(const VersionedState &state, StateChannel channel) {
  return channel == StateChannel::Control
             ? std::max({state.ConfigChangeSequence,
                         state.EvacuatedDomainsChangeSequence,
                         state.RolloutsChangeSequence})
             : std::max(state.Upstreams.ChangeSequence,
                        state.Members.ChangeSequence);
}

const std::string *updateSince(VersionedState &state, StateChannel channel,
                               std::uint64_t after) {
  if (lastChange(state, channel) <= after) {
    return nullptr;
  }
  if (channel == StateChannel::Lists && after == 0) {
    if (!areEncodedListsUsable(state)) {
      state.EncodedLists = encodeChangesAfter(state, channel, 0);
      state.EncodedListsSequence = state.Sequence;
    }
    return &state.EncodedLists;
  }
  std::string &update = state.EncodedUpdates[{channel, after}];
  if (update.empty()) {
    update = encodeChangesAfter(state, channel, after);
  }
  return &update;
}

bool canSendChangesSince(const VersionedState &state, std::uint64_t after) {
  return after != 0 && after >= state.Upstreams.MinIncrementalSequence &&
         after >= state.Members.MinIncrementalSequence;
}

const std::string *differencesFrom(VersionedState &state,
                                   const std::string &encodedDigests) {
  if (lastChange(state, StateChannel::Lists) == 0) {
    return nullptr;
  }
  std::string &encoded = state.EncodedDifferences[encodedDigests];
  if (!encoded.empty()) {
    return &encoded;
  }
  const ListDigests followers =
      decodeDigests(encodedDigests).value_or(ListDigests{});
  StateUpdate update;
  update.BootId = state.BootId;
  update.Sequence = state.Sequence;
  if (state.Upstreams.ChangeSequence != 0) {
    update.Upstreams.emplace().AsOf = state.UpstreamsRevision;
    fillDifferences(update.Upstreams->List, state.Upstreams,
                    followers.Upstreams);
  }
  if (state.Members.ChangeSequence != 0) {
    update.Members.emplace().FleetSize = state.FleetSize;
    fillDifferences(update.Members->List, state.Members, followers.Members);
  }
  encoded = encodeUpdate(update);
  return &encoded;
}

} // namespace zinniarail::fleet
