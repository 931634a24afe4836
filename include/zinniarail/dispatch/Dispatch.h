/// \file
/// Overview of the dispatch module: the engine of one service on one instance.
/// Messages.h has the events that it is told and the actions it asks for;
/// Engine.h makes, feeds and describes it. It composes admission, routing,
/// load, warmup, retry and quarantine; the gateway module feeds it.
#pragma once

#include "zinniarail/dispatch/Engine.h"
#include "zinniarail/dispatch/Messages.h"
