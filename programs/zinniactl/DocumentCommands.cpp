#include <fstream>
#include <optional>
#include <sstream>

#include <boost/json.hpp>

#include "Change.h"

namespace zinniarail::ctl {

namespace {

using objects::Outcome;

Result<std::string, Report> readFile(const std::string &name) {
  std::ifstream in(name, std::ios::binary);
  std::ostringstream bytes;
  if (!in || !(bytes << in.rdbuf())) {
    return fail(ExitCode::Failed, "can't read " + name);
  }
  return bytes.str();
}

std::string usage(const char *text) { return std::string("usage: ") + text; }

bool isReached(const Stored &stored) {
  return stored.How == Outcome::Done || stored.How == Outcome::NotFound;
}

Report failUnreachable(const Stored &stored) {
  return fail(ExitCode::Unreachable,
              std::string("the platform gave no answer (") +
                  objects::nameOf(stored.How) + "); nothing was written");
}

// Why there is no stored document to go by; none when there is one.
std::optional<Report> failUnread(const Stored &stored,
                                 const std::string &environment) {
  if (stored.How == Outcome::NotFound) {
    return fail(ExitCode::Failed, environment + " has no document");
  }
  return isReached(stored) ? std::nullopt
                           : std::optional(failUnreachable(stored));
}

// Reads the file of --base, when there is one.
Result<std::optional<Document>, Report> readBase(const Options &options) {
  if (options.Base.empty()) {
    return std::optional<Document>();
  }
  const auto bytes = readFile(options.Base);
  if (!bytes.has_value()) {
    return bytes.error();
  }
  auto parsed = parseNewDocument(bytes.value());
  if (!parsed.has_value()) {
    return reportFaults(options.Base, parsed.error());
  }
  return std::optional<Document>(std::move(parsed.value()));
}

bool isSameContent(Document a, const Document &b) {
  a.ChangeId = b.ChangeId;
  return a == b;
}

// Whether an operator who saw another document must look again.
bool isStale(const Options &options, const std::optional<Document> &base,
             const Stored &stored) {
  if (options.Expected && *options.Expected != stored.Version) {
    return true;
  }
  if (!base) {
    return false;
  }
  const auto current =
      parseDocument(stored.Whole.empty() ? "{}" : stored.Whole);
  return !current.has_value() || !isSameContent(current.value(), *base);
}

Report failStale(const Options &options, const std::optional<Document> &base,
                 const Stored &stored, const Document &wanted) {
  const std::string seen = options.Expected
                               ? "not " + std::to_string(*options.Expected)
                               : "not what --base has";
  Report report =
      fail(ExitCode::LostRace,
           "lost a race: version " + std::to_string(stored.Version) +
               " is current, " + seen + "; nothing was written; what differs:");
  report.Data["currentVersion"] = stored.Version;
  if (options.Expected) {
    report.Data["seenVersion"] = *options.Expected;
  }
  reportDifferences(report, base ? &*base : nullptr, stored.Whole, wanted);
  return report;
}

bool fits(const Document &document, const std::string &environment) {
  return document.Environment.empty() || document.Environment == environment;
}

Report failPinned(const Document &document, const std::string &environment) {
  return reportFaults("the document",
                      {{"/environment", "pins it to " + document.Environment +
                                            ", not " + environment}});
}

Report writeDocument(Session &session, const Options &options,
                     const Stored &seen, Document document) {
  if (!fits(document, options.Environment)) {
    return failPinned(document, options.Environment);
  }
  document.ChangeId = drawChangeId();
  const SplitDocument split = splitDocument(document);
  if (!writeParts(session, split.Pieces)) {
    return fail(ExitCode::Unreachable,
                "a part couldn't be written; the document is unchanged");
  }
  return writeStored(session, options.Environment, seen,
                     {document, split.Root});
}

// Reads the document, applies a small edit and writes it on condition that
// nobody else wrote in between.
template <typename Edit>
Report editDocument(const Options &options, const std::string &missing,
                    Edit edit) {
  Session session(options.PlatformAddress, options.Timeout);
  const Stored seen = readStored(session, options.Environment);
  if (auto failed = failUnread(seen, options.Environment)) {
    return std::move(*failed);
  }
  auto parsed = parseDocument(seen.Whole);
  if (!parsed.has_value()) {
    return reportFaults("the stored document", parsed.error());
  }
  const bool found = edit(parsed.value());
  if (isStale(options, std::nullopt, seen)) {
    return failStale(options, std::nullopt, seen, parsed.value());
  }
  if (!found) {
    return fail(ExitCode::Failed, missing);
  }
  return writeDocument(session, options, seen, std::move(parsed.value()));
}

} // namespace

Report validate(const Options &options) {
  if (options.Words.size() != 2) {
    return fail(ExitCode::Usage, usage("zinniactl validate FILE"));
  }
  const std::string &name = options.Words[1];
  const auto bytes = readFile(name);
  if (!bytes.has_value()) {
    return bytes.error();
  }
  const auto parsed = parseNewDocument(bytes.value());
  if (!parsed.has_value()) {
    return reportFaults(name, parsed.error());
  }
  std::size_t upstreams = 0;
  for (const ServiceSpec &it : parsed.value().Services) {
    upstreams += it.Upstreams.size();
  }
  Report report;
  report.Lines = {name + ": " + std::to_string(parsed.value().Services.size()) +
                  " services, " + std::to_string(upstreams) +
                  " upstreams, no faults"};
  report.Data = {{"result", "valid"},
                 {"services", parsed.value().Services.size()},
                 {"upstreams", upstreams}};
  return report;
}

Report apply(const Options &options) {
  if (options.Words.size() != 2) {
    return fail(ExitCode::Usage,
                usage("zinniactl apply FILE [--expect N] [--base FILE]"));
  }
  const auto bytes = readFile(options.Words[1]);
  if (!bytes.has_value()) {
    return bytes.error();
  }
  auto parsed = parseNewDocument(bytes.value());
  if (!parsed.has_value()) {
    return reportFaults(options.Words[1], parsed.error());
  }
  const auto base = readBase(options);
  if (!base.has_value()) {
    return base.error();
  }
  Session session(options.PlatformAddress, options.Timeout);
  const Stored seen = readStored(session, options.Environment);
  if (!isReached(seen)) {
    return failUnreachable(seen);
  }
  if (isStale(options, base.value(), seen)) {
    return failStale(options, base.value(), seen, parsed.value());
  }
  return writeDocument(session, options, seen, std::move(parsed.value()));
}

Report show(const Options &options) {
  Session session(options.PlatformAddress, options.Timeout);
  const Stored seen = readStored(session, options.Environment);
  if (auto failed = failUnread(seen, options.Environment)) {
    return std::move(*failed);
  }
  Report report;
  report.Lines = {seen.Whole};
  report.Data = {{"result", "shown"},
                 {"environment", options.Environment},
                 {"version", seen.Version},
                 {"sha256", digestOf(seen.Bytes)},
                 {"document", seen.Whole}};
  return report;
}

Report promote(const Options &options) {
  if (options.Words.size() != 1 || options.From.empty() || options.To.empty() ||
      options.From == options.To) {
    return fail(ExitCode::Usage, usage("zinniactl promote --from A --to B"));
  }
  Session session(options.PlatformAddress, options.Timeout);
  const Stored source = readStored(session, options.From);
  const Stored target = readStored(session, options.To);
  if (auto failed = failUnread(source, options.From)) {
    return std::move(*failed);
  }
  if (!isReached(target)) {
    return failUnreachable(target);
  }
  const auto parsed = parseDocument(source.Whole);
  if (!parsed.has_value()) {
    return reportFaults(options.From, parsed.error());
  }
  if (isStale(options, std::nullopt, target)) {
    return failStale(options, std::nullopt, target, parsed.value());
  }
  if (!fits(parsed.value(), options.To)) {
    return failPinned(parsed.value(), options.To);
  }
  if (target.How == Outcome::Done && target.Bytes == source.Bytes) {
    Report report;
    report.Lines = {options.To + " has these bytes already, version " +
                        std::to_string(target.Version),
                    "sha256 " + digestOf(source.Bytes)};
    report.Data = {{"result", "accepted"},
                   {"environment", options.To},
                   {"version", target.Version},
                   {"sha256", digestOf(source.Bytes)}};
    return report;
  }
  return writeStored(session, options.To, target,
                     {parsed.value(), source.Bytes});
}

Report changeDomain(const Options &options) {
  const auto &words = options.Words;
  if (words.size() != 3 || (words[1] != "out" && words[1] != "in")) {
    return fail(ExitCode::Usage, usage("zinniactl domain out|in NAME"));
  }
  return editDocument(
      options, "no failure domain is named " + words[2], [&](Document &it) {
        return setDomainInService(it, words[2], words[1] == "in");
      });
}

Report changeUpstream(const Options &options) {
  const auto &words = options.Words;
  if (words.size() != 4 || (words[1] != "leave" && words[1] != "return")) {
    return fail(ExitCode::Usage,
                usage("zinniactl upstream leave|return SERVICE ID"));
  }
  return editDocument(
      options, words[2] + " has no upstream " + words[3], [&](Document &it) {
        return setUpstreamLeaving(it, words[2], words[3], words[1] == "leave");
      });
}

} // namespace zinniarail::ctl
