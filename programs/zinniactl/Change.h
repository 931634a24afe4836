/// \file
/// Reading and writing an environment's document with every answer settled.
#pragma once

#include <string>

#include "Commands.h"
#include "Session.h"
#include "zinniarail/intent/Intent.h"

namespace zinniarail::ctl {

/// An environment's document as the platform has it.
struct Stored {
  objects::Outcome How = objects::Outcome::Unreachable;
  std::uint64_t Version = 0; ///< 0: there is none.
  std::string Bytes;         ///< As stored: the document, or a root of parts.
  std::string Whole;         ///< The document with its parts.
};

std::string documentKey(const std::string &environment);

/// Reads the document.
Stored readStored(Session &session, const std::string &environment);

/// Writes the parts of a document, which must be there before its root.
/// \returns whether all are there.
bool writeParts(Session &session, const Parts &parts);

/// A document to be written.
struct Wanted {
  const Document &Content;
  const std::string &Bytes; ///< Whole, or a root whose parts are there.
};

/// Writes in place of what was seen, and settles lost answers.
Report writeStored(Session &session, const std::string &environment,
                   const Stored &seen, const Wanted &wanted);

/// Appends to the report of a lost race what differs, bounded in length.
/// \param base what the change was based on; null when that is not known.
void reportDifferences(Report &report, const Document *base,
                       const std::string &stored, const Document &wanted);

/// A report of failure with one line.
Report fail(ExitCode code, const std::string &line);

/// A report of a document's faults.
Report reportFaults(const std::string &name, const Faults &faults);

/// A new change id.
std::string drawChangeId();

} // namespace zinniarail::ctl
