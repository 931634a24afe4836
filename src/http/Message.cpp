#include "http/Message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace zinniarail::http {

namespace {

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

void append(std::string &out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

std::string toLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return out;
}

// Names listed in Connection headers, in lower case and sorted; headers of
// these names are hop-by-hop too. There may be as many of both as a head holds.
std::vector<std::string> connectionOptions(const Headers &fields) {
  std::vector<std::string> names;
  for (const Header &it : fields) {
    if (!isSameHeaderName(it.Name, "Connection")) {
      continue;
    }
    std::string_view rest = it.Value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view name = rest.substr(0, comma);
      while (!name.empty() && name.front() == ' ') {
        name.remove_prefix(1);
      }
      while (!name.empty() && name.back() == ' ') {
        name.remove_suffix(1);
      }
      names.push_back(toLower(name));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string decodeQueryValue(std::string_view text) {
  constexpr int hexadecimal = 16;
  constexpr std::size_t escapeLength = 3; // "%2F"
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    unsigned code = 0;
    if (text[n] == '%' && n + escapeLength <= text.size()) {
      const char *first = text.data() + n + 1;
      const auto [end, ec] =
          std::from_chars(first, first + 2, code, hexadecimal);
      if (ec == std::errc{} && end == first + 2) {
        out += static_cast<char>(code);
        n += 2;
        continue;
      }
    }
    out += text[n] == '+' ? ' ' : text[n];
  }
  return out;
}

} // namespace

bool isSameHeaderName(std::string_view a, std::string_view b) {
  return boost::beast::iequals(a, b);
}

const std::string *findHeader(const Headers &fields, std::string_view name) {
  const auto it =
      std::find_if(fields.begin(), fields.end(), [&](const Header &any) {
        return isSameHeaderName(any.Name, name);
      });
  return it == fields.end() ? nullptr : &it->Value;
}

void removeHeader(Headers &fields, std::string_view name) {
  std::erase_if(fields, [&](const Header &it) {
    return isSameHeaderName(it.Name, name);
  });
}

void removeHopByHopHeaders(Headers &fields) {
  constexpr std::array<std::string_view, 9> alwaysRemoved{
      "Connection",        "Keep-Alive", "Proxy-Connection", "TE",
      "Transfer-Encoding", "Trailer",    "Upgrade",          "Expect",
      "Content-Length"};
  const std::vector<std::string> named = connectionOptions(fields);
  std::erase_if(fields, [&](const Header &it) {
    const auto matches = [&](std::string_view name) {
      return isSameHeaderName(it.Name, name);
    };
    return std::any_of(alwaysRemoved.begin(), alwaysRemoved.end(), matches) ||
           (!named.empty() &&
            std::binary_search(named.begin(), named.end(), toLower(it.Name)));
  });
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return decodeQueryValue(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

std::optional<Duration> parseRetryAfter(std::string_view text) {
  constexpr double maxSeconds = 365.0 * 24 * 3600;
  double seconds = 0;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, seconds);
  if (ec != std::errc{} || end != last || std::isnan(seconds)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> limited{
      std::clamp(seconds, -maxSeconds, maxSeconds)};
  return std::chrono::duration_cast<Duration>(limited);
}

const char *reasonPhrase(unsigned status) {
  return boost::beast::http::obsolete_reason(
             static_cast<boost::beast::http::status>(status))
      .data();
}

std::size_t memoryOf(const Request &request) {
  // Per request: its records here and in the proxy; per field: the strings,
  // and the field once more in the head that is sent to an upstream.
  constexpr std::size_t requestBytes = 2048;
  constexpr std::size_t fieldBytes = 64;
  constexpr std::size_t copies = 2;
  std::size_t out =
      requestBytes + request.Target.size() * copies + request.Body.size();
  for (const Header &it : request.Fields) {
    out += fieldBytes + (it.Name.size() + it.Value.size()) * copies;
  }
  return out;
}

std::size_t memoryOf(const Response &response) {
  std::size_t out = response.Body.size();
  for (const Header &it : response.Fields) {
    out += sizeof(Header) + it.Name.size() + it.Value.size();
  }
  return out;
}

std::string serializeRequestHead(const Request &request, const Headers &extra) {
  std::string out;
  constexpr std::size_t typicalHeadBytes = 512;
  out.reserve(typicalHeadBytes);
  out.append(request.Method)
      .append(" ")
      .append(request.Target)
      .append(" HTTP/1.1\r\n");
  for (const Header &it : request.Fields) {
    append(out, it.Name, it.Value);
  }
  for (const Header &it : extra) {
    append(out, it.Name, it.Value);
  }
  const bool mayOmitLength =
      request.Method == "GET" || request.Method == "HEAD" ||
      request.Method == "DELETE" || request.Method == "OPTIONS";
  if (!request.Body.empty() || !mayOmitLength) {
    append(out, "Content-Length", std::to_string(request.Body.size()));
  }
  return out.append("\r\n");
}

std::string serializeRequest(const Request &request, const Headers &extra) {
  return serializeRequestHead(request, extra).append(request.Body);
}

bool hasBody(unsigned status) {
  return status != NoContent && status != NotModified;
}

std::string serializeResponseHead(const Response &response, bool close) {
  std::string out;
  constexpr std::size_t typicalHeadBytes = 512;
  out.reserve(typicalHeadBytes);
  out.append("HTTP/1.1 ")
      .append(std::to_string(response.Status))
      .append(" ")
      .append(reasonPhrase(response.Status))
      .append("\r\n");
  for (const Header &it : response.Fields) {
    append(out, it.Name, it.Value);
  }
  if (hasBody(response.Status) &&
      findHeader(response.Fields, "Content-Length") == nullptr) {
    append(out, "Content-Length", std::to_string(response.Body.size()));
  }
  if (close) {
    append(out, "Connection", "close");
  }
  return out.append("\r\n");
}

std::string serializeResponse(const Response &response, bool isHead,
                              bool close) {
  std::string out = serializeResponseHead(response, close);
  return isHead || !hasBody(response.Status) ? out : out.append(response.Body);
}

} // namespace zinniarail::http
