/// \file
/// Overview of the balance module: the engine of one service on one instance.
/// Messages.h has its events and actions; Engine.h its interface; Forecast.h
/// the load and time estimates and Budget.h the retry budget that it uses.
/// Reach.h decides whether this instance can reach any upstream.
#pragma once

#include "zinniarail/balance/Budget.h"
#include "zinniarail/balance/Engine.h"
#include "zinniarail/balance/Forecast.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/balance/Reach.h"
