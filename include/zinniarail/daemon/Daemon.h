/// \file
/// Overview of the daemon module: puts the tasks of one instance together and
/// runs them until a graceful stop.
#pragma once

#include "zinniarail/settings/Settings.h"

namespace zinniarail {

/// Runs an instance on the calling thread and those of its tasks.
/// \returns how it ended. What went wrong is in the log.
ExitCode runDaemon(const Settings &settings);

} // namespace zinniarail
