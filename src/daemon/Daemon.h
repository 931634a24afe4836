/// \file
/// The instance process: owns its servers, its copy of the fleet's state and
/// its tasks, all on one event loop, and stops them gracefully.
#pragma once

#include "zinniarail/settings/Settings.h"

namespace zinniarail {

/// Runs an instance on the calling thread until it stops. Errors are logged.
/// \returns Done after a graceful stop; Failed if a port could not be bound or
/// the stop timed out.
ExitCode runDaemon(const Settings &settings);

} // namespace zinniarail
