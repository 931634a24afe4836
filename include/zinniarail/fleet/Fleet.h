/// \file
/// Overview of the fleet module: tracks which instances exist and which are
/// live, and elects the one of each failure domain that reads the platform's
/// store for the others. No I/O: the peer task passes in messages and the time.
#pragma once

#include "zinniarail/fleet/Election.h"
#include "zinniarail/fleet/Members.h"
