/// \file
/// Overview of the core module: time, random numbers, hashing, results,
/// addresses and durations as text. Every other module may use it; it depends
/// on none of them.
#pragma once

#include "zinniarail/core/Address.h"
#include "zinniarail/core/DurationText.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"
