/// \file
/// Whole requests and responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
  std::string Target; ///< Path and query, as it came.
  Headers Fields;
  std::string Body;
};

/// A response without its framing.
struct Response {
  unsigned Status = 0;
  Headers Fields;
  std::string Body;
};

/// Compares header names without regard to case.
bool sameName(std::string_view a, std::string_view b);

/// Finds the first field of a name.
/// \returns null when there is none.
const std::string *findHeader(const Headers &fields, std::string_view name);

/// Drops every field of a name.
void dropHeader(Headers &fields, std::string_view name);

/// Drops the fields that concern one connection (RFC 9110, section 7.6.1) and
/// the length, which is set anew.
void dropConnectionHeaders(Headers &fields);

/// The part of a target before the query.
std::string_view pathOf(std::string_view target);

/// The value of a query parameter without its escapes; empty when missing.
std::string queryParameter(std::string_view target, std::string_view name);

/// The usual phrase for a status.
const char *reasonOf(unsigned status);

/// Writes a request with its length.
/// \param fields without Connection, Content-Length and Transfer-Encoding.
std::string printRequest(const Request &request, const Headers &extra);

/// Writes a response.
/// \param toHead leaves the body out, as HEAD asks, and keeps its length.
/// \param close says that the connection ends behind it.
std::string printResponse(const Response &response, bool toHead, bool close);

} // namespace zinniarail::http
