/// \file
/// Overview of the http module: an HTTP/1.1 server for callers and a client for
/// upstreams, on a libev loop. Messages are parsed by Boost.Beast and held in
/// memory whole; routing is decided elsewhere.
#pragma once

#include "http/ClientPool.h"
#include "http/Message.h"
#include "http/Server.h"
