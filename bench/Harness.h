/// \file
/// What the benchmarks on real processes share: runs of callers and their
/// reports, medians, and Markdown tables.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "common/Cluster.h"
#include "common/CommandLine.h"

namespace zinniarail::bench {

using standins::Cluster;
using standins::ClusterSettings;
using standins::Process;

/// A directory for logs and reports; removed at the end.
struct WorkDirectory {
  std::string Path;

  WorkDirectory() {
    std::string name =
        std::filesystem::temp_directory_path() / "zinniarail-XXXXXX";
    Path = mkdtemp(name.data()) == nullptr ? "." : name;
  }
  ~WorkDirectory() {
    if (Path != ".") {
      std::error_code ec;
      std::filesystem::remove_all(Path, ec);
    }
  }
  WorkDirectory(const WorkDirectory &) = delete;
  WorkDirectory &operator=(const WorkDirectory &) = delete;
};

/// A run of callers whose report is read once it has ended.
struct CallerRun {
  Process Running;
  std::string ReportFile;

  /// \param command as Cluster::callerCommand gives it, with the load.
  void start(std::vector<std::string> command, const std::string &file) {
    ReportFile = file;
    command.insert(command.end(), {"--output", file});
    Running.start(command, "");
  }

  /// \returns the report, or an empty object when there is none.
  boost::json::object finish(Duration timeout) {
    if (!Running.isRunning() || !Running.wait(timeout)) {
      return {};
    }
    std::ifstream in(ReportFile);
    std::stringstream text;
    text << in.rdbuf();
    boost::system::error_code ec;
    auto body = boost::json::parse(text.str(), ec);
    return !ec && body.is_object() ? body.as_object() : boost::json::object{};
  }
};

/// A number in a report by its path ("latencyMs", "p99"); 0 when missing.
template <typename... Names>
double numberIn(const boost::json::value &report, Names... names) {
  const boost::json::value *it = &report;
  for (const char *name : {names...}) {
    it = it->is_object() ? it->as_object().if_contains(name) : nullptr;
    if (it == nullptr) {
      return 0;
    }
  }
  return it->is_number() ? it->to_number<double>() : 0;
}

/// The middle of some values, and how far they reach.
struct Spread {
  double Median = 0;
  double Least = 0;
  double Most = 0;
};

inline Spread spreadOf(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.front(), values.back()};
}

/// Formats a number, with as many digits behind the point.
inline std::string format(double value, int digits) {
  constexpr std::size_t room = 64;
  char buf[room];
  std::snprintf(buf, sizeof buf, "%.*f", digits, value);
  return buf;
}

/// "median (least to most)".
inline std::string format(const Spread &it, int digits) {
  return format(it.Median, digits) + " (" + format(it.Least, digits) + " to " +
         format(it.Most, digits) + ")";
}

/// Prints a row of a Markdown table.
inline void printRow(const std::vector<std::string> &cells) {
  for (const auto &it : cells) {
    std::cout << "| " << it << ' ';
  }
  std::cout << "|" << std::endl; // shows progress
}

inline void printHeader(const std::vector<std::string> &cells) {
  printRow(cells);
  printRow(std::vector<std::string>(cells.size(), "---"));
}

/// Load averages of the machine, to judge figures by.
inline std::string machineLoad() {
  std::ifstream in("/proc/loadavg");
  std::string one;
  in >> one;
  return one;
}

} // namespace zinniarail::bench
