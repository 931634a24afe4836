/// \file
/// Overview of the balance module: the engine of one service on one instance.
/// Messages.h has the events that it is told and the actions it asks for;
/// Engine.h makes, feeds and describes it; Forecast.h and Budget.h are the
/// decisions that it is composed of.
#pragma once

#include "zinniarail/balance/Budget.h"
#include "zinniarail/balance/Engine.h"
#include "zinniarail/balance/Forecast.h"
#include "zinniarail/balance/Messages.h"
