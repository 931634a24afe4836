/// \file
/// Changes of a document: what differs between two, small edits, and the
/// conditional write that puts one into the platform whatever answers get
/// lost. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarail/intent/Document.h"
#include "zinniarail/objects/Client.h"

namespace zinniarail {

/// One difference. Members of lists are named by their name or id, as in
/// /services/credencial/upstreams/u1/leaving. Values are JSON text; empty when
/// there is nothing.
struct Difference {
  std::string Path;
  std::string Base;   ///< What the loser's change was based on.
  std::string Stored; ///< What the platform has.
  std::string Wanted; ///< What the loser wanted to be there.

  bool operator==(const Difference &) const = default;
};

/// Lists what differs among the document that a change was based on, the one
/// stored and the one wanted, change ids left out.
/// \param base null when it is not known: \p stored takes its place.
std::vector<Difference> compareDocuments(const Document *base,
                                         const Document &stored,
                                         const Document &wanted);

/// Who moved a value away from the base.
enum class ChangedBy : std::uint8_t { Others, Loser, Both };

ChangedBy changedBy(const Difference &difference);

/// Takes a failure domain out of service, or back.
/// \returns false when the document has no such domain.
bool setDomainInService(Document &document, const std::string &domain,
                        bool inService);

/// Lets an upstream leave, or return.
/// \returns false when the document has no such upstream.
bool setUpstreamLeaving(Document &document, const std::string &service,
                        const std::string &upstream, bool leaving);

/// A conditional write under way.
struct ChangeWrite {
  std::uint64_t Base = 0;  ///< The version the operator saw; 0: none was there.
  std::string Bytes;       ///< Hold the change id, so that no two are alike.
  bool AnswerLost = false; ///< An earlier try may have taken effect.
  unsigned Tries = 0;
  std::uint64_t Version = 0; ///< Where it was accepted.
};

/// Tries after lost answers, the first one included.
constexpr unsigned MaxChangeTries = 4;

/// What to do next, or how it ended.
enum class ChangeStep : std::uint8_t {
  Put,        ///< Write Bytes on condition of Base.
  Read,       ///< Read the object, to settle what happened.
  Accepted,   ///< Written, as Version.
  LostRace,   ///< Somebody else's change came first; nothing was written.
  NotWritten, ///< The platform did not take it; nothing was written.
  Unknown,    ///< It may have been written; nothing tells.
};

ChangeStep afterPut(ChangeWrite &write, const objects::Reply &reply);
ChangeStep afterRead(ChangeWrite &write, const objects::Reply &reply);

} // namespace zinniarail
