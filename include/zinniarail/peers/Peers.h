/// \file
/// Overview of the peers module: what the instances of an environment say to
/// each other. PeersTask.h has the task, Messages.h what the other tasks of
/// the process tell it. Its decisions are those of the claims module; what
/// goes over the wire is in schema/peer.capnp.
#pragma once

#include "zinniarail/peers/Messages.h"
#include "zinniarail/peers/PeersTask.h"
