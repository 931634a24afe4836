/// \file
/// Orders the changes that were read from the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace zinniarail {

/// Revision of a change in the store. When the store is restored from a copy,
/// its revision numbers go back and are assigned again, and its era rises.
/// Revisions of a later era are newer, whatever their numbers.
struct StoreRevision {
  std::uint64_t Era = 0;    ///< Number of the restore; 0 when unknown.
  std::uint64_t Number = 0; ///< The store's revision counter.

  bool operator==(const StoreRevision &) const = default;
  std::strong_ordering operator<=>(const StoreRevision &other) const {
    return std::tie(Era, Number) <=> std::tie(other.Era, other.Number);
  }
};

} // namespace zinniarail
