/// \file
/// Documents as JSON: parsing with every fault at once, canonical bytes and
/// their digest.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/core/Result.h"
#include "zinniarail/intent/Document.h"

namespace zinniarail {

/// Bytes of a whole document, parts included.
constexpr std::size_t MaxDocumentBytes = std::size_t{16} << 20;
/// Faults that one parse reports; the last one then counts the others.
constexpr std::size_t MaxFaults = 500;

/// One fault of a document.
struct Fault {
  std::string Path;    ///< Where, as a JSON pointer: /services/0/name.
  std::string Message; ///< What must hold there.

  bool operator==(const Fault &) const = default;
};
using Faults = std::vector<Fault>;

/// Parses and validates a document. Of a key that is there twice the last
/// value counts.
/// \returns the document, or every fault found in it.
Result<Document, Faults> parseDocument(std::string_view bytes);

/// The same for a document that is to be accepted: a key that is there twice
/// is a fault.
Result<Document, Faults> parseNewDocument(std::string_view bytes);

/// Writes a document in its one canonical form: every key, in a fixed order.
/// parseDocument gives the same document back.
std::string serialiseDocument(const Document &document);

/// \returns SHA-256 in lower-case hexadecimal digits.
std::string digestOf(std::string_view bytes);

/// Tells whether text may name an environment, a domain, a service or an
/// upstream: 1 to 64 of [A-Za-z0-9._-], not beginning with a dot.
bool isName(std::string_view text);

} // namespace zinniarail
