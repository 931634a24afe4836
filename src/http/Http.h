/// \file
/// Overview of the http module: HTTP/1.1 to callers and to upstreams on a libev
/// loop. Messages are parsed by Boost.Beast and held whole; who sends what to
/// whom is decided elsewhere.
#pragma once

#include "http/ClientPool.h"
#include "http/Message.h"
#include "http/Server.h"
