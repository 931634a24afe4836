#include "check/Check.h"

#include <algorithm>
#include <sstream>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "platform/Document.h"
#include "zinniarail/intent/Review.h"

namespace zinniarail {

namespace {

namespace po = boost::program_options;

using FileReader =
    std::function<std::optional<std::string>(const std::string &)>;

constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
constexpr std::uint64_t MaxMemoryMegabytes = 1'000'000'000;

/// The checked command line.
struct Request {
  std::string File;
  std::string InForceFile; ///< Empty: no comparison.
  std::uint64_t MemoryBytes = 0;
  bool IsJson = false;
};

/// A finding and its place in the document.
struct Line {
  Severity Level;
  std::string Place;
  std::string Message;
};

const char *nameOf(Severity level) {
  switch (level) {
  case Severity::Difference:
    return "difference";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    break;
  }
  return "error";
}

std::string formatText(const std::vector<Line> &lines) {
  std::string out;
  for (const Line &it : lines) {
    out += std::string(nameOf(it.Level)) + ": " + it.Place +
           (it.Place.empty() ? "" : ": ") + it.Message + "\n";
  }
  return out;
}

std::string formatJson(const std::vector<Line> &lines) {
  boost::json::array all;
  for (const Line &it : lines) {
    all.push_back({{"severity", nameOf(it.Level)},
                   {"place", it.Place},
                   {"message", it.Message}});
  }
  return boost::json::serialize(
             boost::json::object{{"findings", std::move(all)}}) +
         "\n";
}

CheckResult makeResult(const Request &request, std::vector<Line> lines) {
  const auto has = [&](Severity level) {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const Line &it) { return it.Level == level; });
  };
  // What matters most comes first.
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line &a, const Line &b) { return a.Level > b.Level; });
  CheckResult out;
  out.Code = has(Severity::Error)     ? CheckCode::Errors
             : has(Severity::Warning) ? CheckCode::Warnings
                                      : CheckCode::Clean;
  out.Output = request.IsJson ? formatJson(lines) : formatText(lines);
  return out;
}

void append(const platform::Document &document,
            const std::vector<Finding> &findings, std::vector<Line> &lines) {
  for (const Finding &it : findings) {
    lines.push_back({it.Level, platform::placeOf(document, it), it.Message});
  }
}

// Reads a document. Its error, if there is one, becomes a line.
std::optional<platform::Document> read(const std::string &file,
                                       const FileReader &readFile,
                                       const std::string &prefix,
                                       std::vector<Line> &lines) {
  const auto text = readFile(file);
  if (!text) {
    lines.push_back({Severity::Error, "", prefix + "can't read " + file});
    return std::nullopt;
  }
  auto document = platform::readDocument(*text);
  if (!document) {
    const platform::DocumentError &error = document.error();
    lines.push_back({Severity::Error, error.Place, prefix + error.What});
    return std::nullopt;
  }
  return std::move(document.value());
}

CheckResult check(const Request &request, const FileReader &readFile) {
  std::vector<Line> lines;
  const auto next = read(request.File, readFile, "", lines);
  if (next) {
    append(
        *next,
        reviewConfiguration(next->Config, {next->Hosts, request.MemoryBytes}),
        lines);
  }
  if (!request.InForceFile.empty()) {
    const auto inForce =
        read(request.InForceFile, readFile, "in the version in force: ", lines);
    if (next && inForce) {
      append(*next, compareConfigurations(inForce->Config, next->Config),
             lines);
    }
  }
  return makeResult(request, std::move(lines));
}

po::options_description makeOptions() {
  po::options_description out("Flags");
  auto add = out.add_options();
  add("help", "prints this text");
  add("version", "prints the version");
  add("format", po::value<std::string>()->default_value("text"),
      "text or json");
  add("in-force", po::value<std::string>()->default_value(""),
      "file with the version in force, to compare with");
  add("memory", po::value<std::int64_t>()->default_value(0),
      "memory of an instance in MB; 0: unknown");
  return out;
}

std::string formatHelp(const po::options_description &flags) {
  std::ostringstream out;
  out << "Usage: zinniarail-check [flags] FILE\n\n"
         "Checks a configuration before it is sent; - stands for standard "
         "input.\nNothing is sent anywhere. Exit codes: 0 neither errors nor "
         "warnings,\n1 warnings, 2 errors, or something can't be read.\n\n"
      << flags;
  return out.str();
}

CheckResult failUsage(const std::string &message) {
  return {CheckCode::Errors, "", "zinniarail-check: " + message + "\n"};
}

// Parses the command line. May throw program_options' errors.
CheckResult parseAndCheck(const std::vector<std::string> &arguments,
                          const FileReader &readFile) {
  const po::options_description flags = makeOptions();
  po::options_description all;
  all.add(flags).add_options()("file", po::value<std::vector<std::string>>());
  po::positional_options_description positions;
  positions.add("file", -1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments)
                .options(all)
                .positional(positions)
                .run(),
            values);
  if (values.contains("help")) {
    return {CheckCode::Clean, formatHelp(flags), ""};
  }
  if (values.contains("version")) {
    return {CheckCode::Clean, "zinniarail-check " ZINNIARAIL_VERSION "\n", ""};
  }
  if (!values.contains("file") ||
      values["file"].as<std::vector<std::string>>().size() != 1) {
    return failUsage("expects one FILE; see --help");
  }
  const auto memory = values["memory"].as<std::int64_t>();
  const auto format = values["format"].as<std::string>();
  Request request{values["file"].as<std::vector<std::string>>().front(),
                  values["in-force"].as<std::string>()};
  if (memory < 0 || static_cast<std::uint64_t>(memory) > MaxMemoryMegabytes) {
    return failUsage("--memory is out of range");
  }
  if (format != "text" && format != "json") {
    return failUsage("--format is neither text nor json");
  }
  if (request.File == "-" && request.InForceFile == "-") {
    return failUsage("only one file can be standard input");
  }
  request.MemoryBytes = static_cast<std::uint64_t>(memory) * BytesPerMegabyte;
  request.IsJson = format == "json";
  return check(request, readFile);
}

} // namespace

CheckResult runCheck(const std::vector<std::string> &arguments,
                     const FileReader &readFile) {
  try {
    return parseAndCheck(arguments, readFile);
  } catch (const po::error &e) {
    return failUsage(e.what());
  }
}

} // namespace zinniarail
