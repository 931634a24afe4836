/// \file
/// The snapshot that the control task hands to the others: which document is
/// in force, which instances live, and until when that may be acted on.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Document.h"
#include "zinniarail/membership/Instance.h"

namespace zinniarail {

/// An immutable snapshot. A later one replaces it whole.
struct View {
  std::shared_ptr<const Document> Intent; ///< Never null in a posted view.
  std::uint64_t Version = 0; ///< Of the document in force; only rises.
  /// The document as it is stored, for peers that lack it; null when unknown.
  std::shared_ptr<const std::string> Bytes;
  std::vector<Instance> Instances; ///< Live ones, by id, leaving included.
  /// Besides, all that may come back: lost ones too. Peers go on calling them,
  /// since nobody else would notice their return while the list lags.
  std::vector<Instance> Known;
  /// Past this nothing new is dispatched until a later view confirms the
  /// version. It moves on with each confirmation, and lies in the past for a
  /// process that wakes from a pause.
  Instant ValidUntil{};
  /// When the version was last proved to be the platform's current one, by the
  /// platform or through a chain of peers. This, and not ValidUntil, is what a
  /// peer may be told: ValidUntil may rest on mere contact with peers.
  Instant ConfirmedAsOf = Instant::min();
};

} // namespace zinniarail
