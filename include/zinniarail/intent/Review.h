/// \file
/// The check of a configuration: entries that can never match, limits that
/// contradict each other, and what a new version changes for callers. Pure
/// functions; API keys appear in no result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniarail/intent/Configuration.h"

namespace zinniarail {

/// How much a finding matters.
enum class Severity : std::uint8_t {
  Difference, ///< A change that callers or operators may notice.
  Warning,    ///< An entry has no effect, or hardly the one that was meant.
  Error       ///< Requests fail, or the version does not come into force.
};

/// The kind of entry that a finding is about.
enum class EntryKind : std::uint8_t {
  Configuration, ///< The configuration as a whole.
  Route,
  Service,
  Customer,
  Limits
};

/// One result of a check.
struct Finding {
  Severity Level = Severity::Warning;
  EntryKind Kind = EntryKind::Configuration;
  /// The entry's index in its list of the configuration that was checked; none
  /// for an entry that it lacks, for the limits and for the whole.
  std::optional<std::size_t> Index;
  std::string Message; ///< Names the entry. One line of printable text.
};

/// What a check knows beyond the configuration.
struct ReviewContext {
  /// The hosts in the order of the document, one for each of its lists of
  /// routes; empty if unknown.
  std::vector<std::string> Hosts;
  /// Memory of an instance in bytes; 0 if unknown.
  std::uint64_t MemoryBytes = 0;
};

/// Checks one configuration by itself.
/// \returns its errors and warnings, in the order of the entries.
std::vector<Finding> reviewConfiguration(const Configuration &configuration,
                                         const ReviewContext &context = {});

/// Compares a configuration with the one in force.
/// \returns the differences, and an error if \p next would not come into force.
std::vector<Finding> compareConfigurations(const Configuration &inForce,
                                           const Configuration &next);

} // namespace zinniarail
