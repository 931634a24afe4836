/// \file
/// Overview of the objects module: the client of the platform's object API
/// and of its instance list. It moves bytes and says truthfully how each call
/// ended; what follows from that is decided elsewhere.
#pragma once

#include "zinniarail/objects/Client.h"
