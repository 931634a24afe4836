/// \file
/// A value or an error as a return type, in place of exceptions. Each module
/// defines its own error type.
#pragma once

#include <boost/outcome.hpp>

namespace zinniarail {

namespace outcome = boost::outcome_v2;

/// Either a value or a module's error.
template <typename Value, typename Error>
using Result = outcome::unchecked<Value, Error>;

} // namespace zinniarail
