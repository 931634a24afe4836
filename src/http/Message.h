/// \file
/// HTTP requests and responses that are held in memory whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/ByteBudget.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// One header field.
struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};
using Headers = std::vector<Header>;

/// A request without its framing.
struct Request {
  std::string Method;
  std::string Target; ///< Path and query, as received.
  Headers Fields;
  std::string Body;
  Charge Held = {}; ///< For its bytes, if its server has a budget.
  /// Equal for the requests of one connection of the server; never 0 there.
  std::uint64_t Connection = 0;
};

/// A response without its framing.
struct Response {
  unsigned Status = 0;
  Headers Fields;
  std::string Body;
  Charge Held = {}; ///< For its bytes, if its client has a budget.
};

/// Compares header names, ignoring case.
bool isSameHeaderName(std::string_view a, std::string_view b);

/// Finds the value of the first header with this name.
/// \returns null when there is none.
const std::string *findHeader(const Headers &fields, std::string_view name);

/// Removes all headers with this name.
void removeHeader(Headers &fields, std::string_view name);

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1), Expect, and
/// Content-Length, which is computed again when the message is serialized.
void removeHopByHopHeaders(Headers &fields);

/// The part of a target before the query.
std::string_view pathOf(std::string_view target);

/// The decoded value of a query parameter; empty when it is missing.
std::string queryParameter(std::string_view target, std::string_view name);

/// Parses the value of a Retry-After header, a number of seconds that may have
/// a fraction. Dates are not supported. \returns the duration, which may be
/// negative, limited to a year either way; none if the value is not a number.
std::optional<Duration> parseRetryAfter(std::string_view text);

/// The standard reason phrase of a status code.
const char *reasonPhrase(unsigned status);

/// About how many bytes a request takes in memory, its body included.
std::size_t memoryOf(const Request &request);

/// About how many bytes a response takes in memory, its body included.
std::size_t memoryOf(const Response &response);

/// Serializes a request and sets its Content-Length. Neither \p request nor
/// \p extra may hold Connection, Content-Length or Transfer-Encoding.
/// \param extra headers to add to those of the request.
std::string serializeRequest(const Request &request, const Headers &extra);

/// As serializeRequest, without the body.
std::string serializeRequestHead(const Request &request, const Headers &extra);

/// Serializes a response; sets Content-Length where it is missing.
/// \param isHead whether to leave out the body, as for a HEAD request, but keep
/// its Content-Length.
/// \param close whether to add "Connection: close".
std::string serializeResponse(const Response &response, bool isHead,
                              bool close);

/// As serializeResponse, without the body.
std::string serializeResponseHead(const Response &response, bool close);

/// Whether a response with this status has a body, unless to a HEAD request.
bool hasBody(unsigned status);

} // namespace zinniarail::http
