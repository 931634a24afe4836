/// \file
/// The claim roster's object in the platform, as the peers task asks for it.
#pragma once

#include <functional>
#include <string>

#include "zinniarail/control/Messages.h"
#include "zinniarail/objects/Client.h"
#include "zinniarail/peers/Messages.h"

namespace zinniarail::control {

using RosterCallback = std::function<void(peers::RosterRead)>;

/// Reads an environment's roster. No object yet is version 0.
void readRoster(objects::Client &client, const std::string &environment,
                RosterCallback done);

/// Writes the roster if it still has the version that \p wanted names.
/// \param done is told what is stored after that, whoever wrote it; a lost
/// answer is settled by a read.
void writeRoster(objects::Client &client, const std::string &environment,
                 const WriteRoster &wanted, RosterCallback done);

} // namespace zinniarail::control
