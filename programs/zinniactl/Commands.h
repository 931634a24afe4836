/// \file
/// The commands of zinniactl. Each returns a report, which main prints for a
/// person or as JSON.
#pragma once

#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "Options.h"

namespace zinniarail::ctl {

/// The outcome of a command.
struct Report {
  ExitCode Code = ExitCode::Done;
  std::vector<std::string> Lines; ///< For a person.
  boost::json::object Data;       ///< For a program.
};

Report validate(const Options &options);
Report apply(const Options &options);
Report show(const Options &options);
Report promote(const Options &options);
Report changeDomain(const Options &options);
Report changeUpstream(const Options &options);
Report drain(const Options &options);
Report status(const Options &options);
Report dump(const Options &options);
Report trace(const Options &options);

} // namespace zinniarail::ctl
