/// \file
/// Overview of the fleet module: which instances there are and which of them
/// live, and which one of each failure domain reads the platform's store for
/// the others. Pure; the peer task brings what is heard and the time.
#pragma once

#include "zinniarail/fleet/Election.h"
#include "zinniarail/fleet/Members.h"
