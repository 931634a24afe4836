/// \file
/// Compares two copies of a list without sending it: the items are divided into
/// buckets by their ids, and only the digests of the buckets are exchanged.
/// Items of buckets whose digests are equal need not be sent. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/Codec.h"

namespace zinniarail::fleet {

/// The largest number of buckets of a list.
constexpr std::size_t MaxBuckets = 1024;

/// The number of buckets for a list of so many items: few items in each, and at
/// most MaxBuckets.
std::size_t bucketCountFor(std::size_t items);

/// The bucket of the item with this id, less than \p bucketCount.
std::size_t bucketOf(const std::string &id, std::size_t bucketCount);

/// Digest of all that followers are told of an upstream, except for the
/// remaining warm-up time, which always changes.
std::uint64_t digestOf(const store::ListedUpstream &it);

/// Digest of what instances tell each other of a member that another one must
/// know. What only the member itself reports is left out.
std::uint64_t digestOf(const Member &it);

inline const std::string &idOf(const store::ListedUpstream &it) {
  return it.Record.Id;
}
inline const std::string &idOf(const Member &it) { return it.Record.Id; }

/// Adds an item to the digests of its list's buckets. The order of the items
/// does not matter.
template <typename Item>
void addToDigests(BucketDigests &digests, const Item &item) {
  digests[bucketOf(idOf(item), digests.size())] ^= digestOf(item);
}

/// \returns the digests of a list; empty for an empty list.
template <typename Item>
BucketDigests digestBuckets(const std::vector<Item> &items) {
  BucketDigests digests(items.empty() ? 0 : bucketCountFor(items.size()));
  for (const Item &it : items) {
    addToDigests(digests, it);
  }
  return digests;
}

/// The buckets whose digests differ. Both must have the same number of buckets.
std::vector<std::uint32_t> differingBuckets(const BucketDigests &a,
                                            const BucketDigests &b);

/// Moves the ids that an update by buckets removes into its RemovedIds: those
/// that are known, belong to its buckets and are not among its items. Does
/// nothing for other updates.
/// \param known the list that the update changes, by id.
template <typename Item, typename Known>
void resolveBuckets(ListUpdate<Item> &update,
                    const std::map<std::string, Known> &known) {
  if (update.Buckets.empty() || update.BucketCount == 0 ||
      update.BucketCount > MaxBuckets) {
    return;
  }
  std::vector<bool> isContained(update.BucketCount);
  for (const std::uint32_t bucket : update.Buckets) {
    if (bucket < update.BucketCount) {
      isContained[bucket] = true;
    }
  }
  std::set<std::string> listed;
  for (const Item &it : update.Items) {
    listed.insert(idOf(it));
  }
  for (const auto &[id, it] : known) {
    if (isContained[bucketOf(id, update.BucketCount)] && !listed.contains(id)) {
      update.RemovedIds.push_back(id);
    }
  }
  update.Buckets.clear();
}

} // namespace zinniarail::fleet
