/// \file
/// Overview of the gateway module: the task that serves callers, and what it
/// is told by the other tasks of its process.
#pragma once

#include "zinniarail/gateway/GatewayTask.h"
#include "zinniarail/gateway/Messages.h"
