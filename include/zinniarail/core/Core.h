/// \file
/// Overview of the core module: time, random draws, hashing, results and the
/// mailbox between tasks. Every slice uses it; it uses none of them.
#pragma once

#include "zinniarail/core/Hash.h"
#include "zinniarail/core/Mailbox.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"
