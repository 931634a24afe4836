#include "fleet/ListDigest.h"

#include <algorithm>
#include <bit>

#include "zinniarail/core/Hash.h"

namespace zinniarail::fleet {

namespace {

// With more buckets the digests would be larger than the items that they save;
// with fewer, one change would send many items.
constexpr std::size_t ItemsPerBucket = 4;

// Keeps the buckets independent of other uses of the hash.
constexpr std::uint64_t BucketSeed = 17;

} // namespace

std::size_t bucketCountFor(std::size_t items) {
  const std::size_t count = std::bit_ceil(items / ItemsPerBucket + 1);
  return std::min(count, MaxBuckets);
}

std::size_t bucketOf(const std::string &id, std::size_t bucketCount) {
  return hashBytes(id, BucketSeed) % bucketCount;
}

std::uint64_t digestOf(const store::ListedUpstream &it) {
  std::uint64_t digest = hashBytes(it.Record.Id);
  digest = hashCombine(digest, it.Revision.Era);
  digest = hashCombine(digest, it.Revision.Number);
  return hashCombine(digest,
                     (it.IsLeaving ? 1 : 0) + (it.Record.Draining ? 2 : 0));
}

std::uint64_t digestOf(const Member &it) {
  std::uint64_t digest = hashBytes(it.Record.Id);
  for (const std::string *field :
       {&it.Record.Domain, &it.Record.CallerAddress, &it.Record.PeerAddress,
        &it.Record.OperatorAddress}) {
    digest = hashCombine(digest, hashBytes(*field));
  }
  return hashCombine(digest, (it.Record.Leaving ? 1 : 0) + (it.Ready ? 2 : 0));
}

std::vector<std::uint32_t> differingBuckets(const BucketDigests &a,
                                            const BucketDigests &b) {
  std::vector<std::uint32_t> buckets;
  for (std::uint32_t n = 0; n < a.size(); ++n) {
    if (a[n] != b[n]) {
      buckets.push_back(n);
    }
  }
  return buckets;
}

} // namespace zinniarail::fleet
