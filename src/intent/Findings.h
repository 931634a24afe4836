/// \file
/// How findings are collected and entries are named in them.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "zinniarail/intent/Review.h"

namespace zinniarail {

/// Collects the findings about one entry after the other. Most entries have
/// none, so that an entry's name and a message are only built for a finding.
struct FindingList {
  std::vector<Finding> All;
  EntryKind Kind = EntryKind::Configuration; ///< Of the current entry.
  std::optional<std::size_t> Index;          ///< Of the current entry.
  /// Returns the name of the current entry; none for the whole.
  std::function<std::string()> NameOfEntry;

  void enter(EntryKind kind, std::optional<std::size_t> index,
             std::function<std::string()> nameOfEntry = nullptr) {
    Kind = kind;
    Index = index;
    NameOfEntry = std::move(nameOfEntry);
  }

  void add(Severity level, const std::string &message) {
    All.push_back({level, Kind, Index,
                   NameOfEntry ? NameOfEntry() + ": " + message : message});
  }

  void addIf(bool condition, Severity level, const char *message) {
    if (condition) {
      add(level, message);
    }
  }
};

/// Quotes a name from a document, in which anything may stand: control
/// characters become question marks, and long names are cut.
std::string quote(std::string_view name);

/// The name of a service or customer in findings, as in service "a".
std::string describeNamed(const char *kind, std::string_view name);

/// The name of a route in findings: its own, its host and its prefix.
std::string describeRoute(const Route &route);

/// The shares of a route's services, as in "a 90, b 10".
std::string describeDestinations(const Route &route);

} // namespace zinniarail
