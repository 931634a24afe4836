/// \file
/// Finds keys that a JSON text gives twice, which the parsed value no longer
/// shows: it holds the last of them.
#pragma once

#include <string_view>

#include "zinniarail/intent/Format.h"

namespace zinniarail {

/// Notes each key that its object already has, with its path.
/// \param text JSON; what is none is read up to its first error.
void findDuplicateKeys(std::string_view text, Faults &faults);

} // namespace zinniarail
