/// \file
/// How a document that is too large for one value is kept: a root that names
/// immutable parts by their digests. The root is written last, so that a
/// change is still one conditional update; an edit of one service rewrites one
/// part, and readers fetch only parts that they lack.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/intent/Document.h"
#include "zinniarail/intent/Format.h"

namespace zinniarail {

/// Canonical documents up to here are kept whole.
constexpr std::size_t MaxWholeBytes = 900'000;
/// What a part holds, about. Smaller ones make edits cheap and roots long.
constexpr std::size_t PartBytes = 64'000;
constexpr std::size_t MaxParts = 4096;

/// Parts by their digest.
using Parts = std::map<std::string, std::string, std::less<>>;

/// A document as the platform keeps it.
struct SplitDocument {
  std::string Root; ///< The whole document when there are no parts.
  Parts Pieces;
};

/// Splits a document if it is beyond \p maxWhole bytes.
SplitDocument splitDocument(const Document &document,
                            std::size_t maxWhole = MaxWholeBytes);

/// The digests that a root names; none for a whole document, and for what is
/// neither.
std::vector<std::string> partsOf(std::string_view root);

/// Puts a document together. A whole one is returned as it is.
/// \returns the document's bytes, not yet validated, or what is wrong: a part
/// is missing, is not what its digest says, or all are too large.
Result<std::string, Faults> joinDocument(std::string_view root,
                                         const Parts &parts);

/// Where a part is kept, for all environments, so that promotion copies the
/// root alone.
std::string partKey(const std::string &digest);

} // namespace zinniarail
