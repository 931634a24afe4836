/// \file
/// Overview of the control module: the task that keeps an instance's view of
/// operator intent and membership current, and what it is told.
#pragma once

#include "zinniarail/control/ControlTask.h"
#include "zinniarail/control/Messages.h"
