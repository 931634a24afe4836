/// \file
/// Parses JSON text of which parts may be unreadable.
#pragma once

#include <string_view>

#include <boost/json/value.hpp>

namespace zinniarail {

/// Parses JSON text. A part that can't be parsed, since it is no JSON, no
/// UTF-8, nested too deep or a number beyond all bounds, becomes null and
/// leaves the parts beside it as they are: in the outer levels, the elements of
/// an array and the members of an object. Brackets and quotes must match.
boost::json::value parseReadableParts(std::string_view text);

} // namespace zinniarail
