/// \file
/// One instance on the platform: its sockets, what it knows of the fleet, and
/// its graceful stop, on one loop.
#pragma once

#include "zinniarail/settings/Settings.h"

namespace zinniarail {

/// Runs an instance on the calling thread until a graceful stop.
/// \returns how it ended. What went wrong is in the log.
ExitCode runDaemon(const Settings &settings);

} // namespace zinniarail
