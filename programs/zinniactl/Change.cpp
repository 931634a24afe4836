#include "Change.h"

#include <algorithm>
#include <random>

#include <boost/json.hpp>

namespace zinniarail::ctl {

namespace {

namespace json = boost::json;
using objects::Outcome;

constexpr Duration PauseBetweenTries = std::chrono::milliseconds{200};
constexpr unsigned MaxReads = 10; // to settle one write

constexpr std::size_t MaxListed = 40; // differences in a report
constexpr std::size_t MaxShown = 80;  // bytes of a value in a line

std::string show(const std::string &value) {
  if (value.empty()) {
    return "(none)";
  }
  return value.size() <= MaxShown ? value : value.substr(0, MaxShown) + "...";
}

const char *nameOf(ChangedBy who) {
  switch (who) {
  case ChangedBy::Others:
    return "others";
  case ChangedBy::Loser:
    return "you";
  case ChangedBy::Both:
    break;
  }
  return "both";
}

std::string lineOf(const Difference &it, bool baseKnown) {
  if (!baseKnown) {
    return "  " + it.Path + ": stored " + show(it.Stored) + ", you wanted " +
           show(it.Wanted);
  }
  std::string line = "  " + it.Path + ": was " + show(it.Base);
  const ChangedBy who = changedBy(it);
  if (who != ChangedBy::Loser) {
    line += ", others made it " + show(it.Stored);
  }
  if (who != ChangedBy::Others) {
    line += ", you wanted " + show(it.Wanted);
  }
  return line;
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
                  const Stored &found, const Document &wanted) {
  Report report = fail(code, text);
  report.Data["seenVersion"] = seen.Version;
  report.Data["currentVersion"] = found.Version;
  if (found.How == Outcome::Done) {
    report.Lines.push_back("changed since version " +
                           std::to_string(seen.Version) + ", now version " +
                           std::to_string(found.Version) + ":");
    const auto base = parseDocument(seen.Whole.empty() ? "{}" : seen.Whole);
    reportDifferences(report, base.has_value() ? &base.value() : nullptr,
                      found.Whole, wanted);
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

void reportDifferences(Report &report, const Document *base,
                       const std::string &stored, const Document &wanted) {
  const auto current = parseDocument(stored.empty() ? "{}" : stored);
  if (!current.has_value()) {
    report.Lines.emplace_back("  (what is stored is no valid document)");
    return;
  }
  const auto all = compareDocuments(base, current.value(), wanted);
  const std::size_t listed = std::min(all.size(), MaxListed);
  json::array list;
  for (std::size_t n = 0; n < listed; ++n) {
    const Difference &it = all[n];
    report.Lines.push_back(lineOf(it, base != nullptr));
    json::object each{
        {"path", it.Path}, {"stored", it.Stored}, {"wanted", it.Wanted}};
    if (base != nullptr) {
      each["base"] = it.Base;
      each["changedBy"] = nameOf(changedBy(it));
    }
    list.push_back(std::move(each));
  }
  const std::size_t leftOut = all.size() - listed;
  if (leftOut > 0) {
    report.Lines.push_back("  and " + std::to_string(leftOut) + " more");
  }
  if (all.empty()) {
    report.Lines.emplace_back("  nothing: what you wanted is there");
  }
  report.Data["differences"] = std::move(list);
  report.Data["differencesLeftOut"] = leftOut;
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
  const objects::Reply reply = session.get(documentKey(environment));
  if (reply.How != Outcome::Done) {
    return {.How = reply.How};
  }
  Parts parts;
  for (const std::string &digest : partsOf(reply.Bytes)) {
    objects::Reply part = session.get(partKey(digest));
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
    objects::Outcome how = Outcome::Unknown;
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
                   const Stored &seen, const Wanted &wanted) {
  const std::string key = documentKey(environment);
  ChangeWrite write{.Base = seen.Version, .Bytes = wanted.Bytes};
  ChangeStep step = ChangeStep::Put;
  objects::Reply last;
  unsigned reads = 0;
  while (step == ChangeStep::Put || step == ChangeStep::Read) {
    if (step == ChangeStep::Put) {
      step = afterPut(write, session.put(key, wanted.Bytes, write.Base));
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
                      seen, readStored(session, environment), wanted.Content);
  case ChangeStep::NotWritten:
    return fail(ExitCode::Unreachable,
                "the platform took no change: nothing was written");
  default:
    return reportRace(ExitCode::Unknown,
                      "unknown whether the change was written to " +
                          environment,
                      seen, readStored(session, environment), wanted.Content);
  }
}

} // namespace zinniarail::ctl
