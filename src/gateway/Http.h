/// \file
/// Requests and answers as the gateway holds them, whole, and the headers it
/// adds, reads and drops.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/dispatch/Messages.h"

namespace zinniarail::gateway {

/// One header field.
struct Header {
  std::string Name;
  std::string Value;
};
using Headers = std::vector<Header>;

/// A caller's whole request.
struct Request {
  std::string Method;
  std::string Target; ///< Path and query, as it came.
  Headers Fields;
  std::string Body;
};

/// A whole answer, an upstream's or the gateway's own.
struct Answer {
  unsigned Status = 0;
  Headers Fields;
  std::string Body;
};

constexpr std::size_t BodyLimit = std::size_t{8} << 20;          // bytes
constexpr std::size_t AnswerLimit = std::size_t{16} << 20;       // bytes
constexpr std::size_t AnswerHeaderLimit = std::size_t{16} << 10; // bytes
constexpr std::size_t HeadLimit = std::size_t{32} << 10;         // bytes
constexpr std::size_t KeyLimit = 128;                            // bytes

/// Compares header names without regard to case.
bool sameName(std::string_view a, std::string_view b);

/// Finds the first field of a name.
/// \returns null when there is none.
const std::string *findHeader(const Headers &fields, std::string_view name);

/// Drops the fields that belong to one connection (RFC 9110, section 7.6.1)
/// and the length, which is set anew.
void dropHopByHop(Headers &fields);

/// Drops the fields by which zinniarail and upstreams talk to each other.
void dropInternal(Headers &fields);

/// What leaves a request's end in doubt, by which a caller behind another could
/// smuggle a second one (RFC 9112, section 6.3).
/// \returns nothing, or what is wrong, naming the field.
std::optional<std::string> findFramingFault(const Headers &fields);

/// Reads an X-Load value; unknown parts are passed over.
/// \returns nothing when a part is malformed.
std::optional<LoadReport> parseLoad(std::string_view text);

/// Reads a whole number without sign.
/// \returns nothing when there is anything else in it.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// The part of a target before the query.
std::string_view pathOf(std::string_view target);

/// The first path segment, which names the service; empty when there is none.
std::string_view serviceOf(std::string_view target);

/// The value of a query parameter, undecoded: services' names need no escapes.
std::string_view queryParameter(std::string_view target, std::string_view name);

} // namespace zinniarail::gateway
