/// \file
/// Outcomes as values. Each slice has its own error enumeration or struct; the
/// alias keeps the spelling short.
#pragma once

#include <boost/outcome.hpp>

namespace zinniarail {

namespace outcome = boost::outcome_v2;

/// Either a value or the slice's typed error.
template <typename Value, typename Error>
using Result = outcome::unchecked<Value, Error>;

} // namespace zinniarail
