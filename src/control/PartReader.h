/// \file
/// Fetches the parts of a document that the platform keeps split.
#pragma once

#include <functional>
#include <string>

#include "zinniarail/intent/Parts.h"
#include "zinniarail/objects/Client.h"

namespace zinniarail::control {

/// Puts a document together from what is at hand and what the platform has.
/// \param cache parts at hand; holds exactly the root's parts afterwards,
/// unless the platform couldn't be reached. Outlives the call.
/// \param done Done with the whole bytes; Malformed when they make no
/// document; Unreachable when a part couldn't be read.
void completeDocument(objects::Client &client, const std::string &root,
                      Parts &cache,
                      std::function<void(objects::Outcome, std::string)> done);

} // namespace zinniarail::control
