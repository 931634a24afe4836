/// \file
/// Overview of the core module: time, random draws, hashing, results, addresses
/// and lengths of time as text. Every slice uses it; it uses none of them.
#pragma once

#include "zinniarail/core/Address.h"
#include "zinniarail/core/DurationText.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"
