#include "Change.h"

#include <random>

#include <boost/json.hpp>

namespace zinniarail::ctl {

namespace {

namespace json = boost::json;
using platform::Outcome;

constexpr Duration PauseBetweenTries = std::chrono::milliseconds{200};
constexpr unsigned MaxReads = 10; // to settle one write

// Appends what differs between the version seen and the one found.
void reportDifferences(Report &report, const std::string &before,
                       const std::string &after) {
  const auto from = parseDocument(before.empty() ? "{}" : before);
  const auto to = parseDocument(after.empty() ? "{}" : after);
  if (!from.has_value() || !to.has_value()) {
    report.Lines.emplace_back("  (one of them is no valid document)");
    return;
  }
  json::array changes;
  for (const Difference &it : compareDocuments(from.value(), to.value())) {
    report.Lines.push_back("  " + it.Path + ": " +
                           (it.From.empty() ? "(none)" : it.From) + " -> " +
                           (it.To.empty() ? "(none)" : it.To));
    changes.push_back({{"path", it.Path}, {"from", it.From}, {"to", it.To}});
  }
  report.Data["changes"] = std::move(changes);
}

Report reportAccepted(const std::string &environment, const Stored &seen,
                      const ChangeWrite &write) {
  Report report;
  const std::string digest = digestOf(write.Bytes);
  report.Lines = {"accepted in " + environment + " as version " +
                      std::to_string(write.Version) + " (was " +
                      std::to_string(seen.Version) + ")",
                  "sha256 " + digest};
  report.Data = {{"result", "accepted"},
                 {"environment", environment},
                 {"version", write.Version},
                 {"previousVersion", seen.Version},
                 {"sha256", digest}};
  return report;
}

Report reportRace(ExitCode code, const std::string &text, const Stored &seen,
                  const Stored &found) {
  Report report = fail(code, text);
  report.Data["seenVersion"] = seen.Version;
  report.Data["currentVersion"] = found.Version;
  if (found.How == Outcome::Done) {
    report.Lines.push_back("changed since version " +
                           std::to_string(seen.Version) + ", now version " +
                           std::to_string(found.Version) + ":");
    reportDifferences(report, seen.Whole, found.Whole);
  }
  return report;
}

} // namespace

std::string documentKey(const std::string &environment) {
  return "environments/" + environment + "/document";
}

Report fail(ExitCode code, const std::string &line) {
  Report report{.Code = code, .Lines = {line}};
  report.Data = {{"result", "failed"}, {"message", line}};
  return report;
}

Report reportFaults(const std::string &name, const Faults &faults) {
  Report report =
      fail(ExitCode::Invalid,
           name + " has " + std::to_string(faults.size()) + " fault(s):");
  json::array list;
  for (const Fault &it : faults) {
    report.Lines.push_back("  " + (it.Path.empty() ? "(whole)" : it.Path) +
                           ": " + it.Message);
    list.push_back({{"path", it.Path}, {"message", it.Message}});
  }
  report.Data["faults"] = std::move(list);
  return report;
}

std::string drawChangeId() {
  std::random_device draw;
  std::string id = "change";
  for (int n = 0; n < 4; ++n) {
    id += "-" + std::to_string(draw());
  }
  return id;
}

Stored readStored(Session &session, const std::string &environment) {
  const platform::Reply reply = session.get(documentKey(environment));
  if (reply.How != Outcome::Done) {
    return {.How = reply.How};
  }
  Parts parts;
  for (const std::string &digest : partsOf(reply.Bytes)) {
    platform::Reply part = session.get(partKey(digest));
    if (part.How == Outcome::Unreachable) {
      return {.How = part.How};
    }
    parts[digest] = std::move(part.Bytes);
  }
  // What can't be joined is left as it is, for its faults to be reported.
  const auto whole = joinDocument(reply.Bytes, parts);
  return {reply.How, reply.Version, reply.Bytes,
          whole.has_value() ? whole.value() : reply.Bytes};
}

bool writeParts(Session &session, const Parts &parts) {
  for (const auto &[digest, bytes] : parts) {
    platform::Outcome how = Outcome::Unknown;
    for (unsigned n = 0; n < MaxChangeTries && how == Outcome::Unknown; ++n) {
      how = session.put(partKey(digest), bytes, 0).How;
    }
    // A conflict: the same bytes are there already.
    if (how != Outcome::Done && how != Outcome::Conflict) {
      return false;
    }
  }
  return true;
}

Report writeStored(Session &session, const std::string &environment,
                   const Stored &seen, const std::string &bytes) {
  const std::string key = documentKey(environment);
  ChangeWrite write{.Base = seen.Version, .Bytes = bytes};
  ChangeStep step = ChangeStep::Put;
  platform::Reply last;
  unsigned reads = 0;
  while (step == ChangeStep::Put || step == ChangeStep::Read) {
    if (step == ChangeStep::Put) {
      step = afterPut(write, session.put(key, bytes, write.Base));
      continue;
    }
    if (write.AnswerLost) {
      session.sleep(PauseBetweenTries);
    }
    last = session.get(key);
    const bool reached =
        last.How == Outcome::Done || last.How == Outcome::NotFound;
    if (!reached && write.AnswerLost && ++reads < MaxReads) {
      continue;
    }
    step = afterRead(write, last);
  }
  switch (step) {
  case ChangeStep::Accepted:
    return reportAccepted(environment, seen, write);
  case ChangeStep::LostRace:
    return reportRace(ExitCode::LostRace,
                      "lost a race: nothing was written to " + environment,
                      seen, readStored(session, environment));
  case ChangeStep::NotWritten:
    return fail(ExitCode::Unreachable,
                "the platform took no change: nothing was written");
  default:
    return reportRace(ExitCode::Unknown,
                      "unknown whether the change was written to " +
                          environment,
                      seen, readStored(session, environment));
  }
}

} // namespace zinniarail::ctl
