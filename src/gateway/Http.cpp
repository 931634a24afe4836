#include "gateway/Http.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace zinniarail::gateway {

namespace {

constexpr std::array<std::string_view, 9> HopByHop{
    "Connection", "Keep-Alive",       "Proxy-Authenticate",
    "TE",         "Proxy-Connection", "Proxy-Authorization",
    "Trailer",    "Upgrade",          "Transfer-Encoding"};

constexpr std::array<std::string_view, 3> Internal{"X-Attempt-Id", "X-Load",
                                                   "X-Not-Run"};

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Cuts the next part off the front of \p rest.
std::string_view cutPart(std::string_view &rest, char separator) {
  const auto end = std::min(rest.find(separator), rest.size());
  const std::string_view part = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return part;
}

bool applyLoadPart(std::string_view name, std::string_view value,
                   LoadReport &report) {
  if (name == "state") {
    report.Cold = value == "cold";
    report.Draining = value == "draining";
    return value == "warm" || report.Cold || report.Draining;
  }
  if (name != "inflight" && name != "queued" && name != "incarnation") {
    return true;
  }
  const auto number = parseNumber(value);
  if (!number) {
    return false;
  }
  if (name == "incarnation") {
    report.Incarnation = *number;
  } else {
    (name == "queued" ? report.Queued : report.InFlight) =
        static_cast<unsigned>(std::min<std::uint64_t>(*number, 1U << 20U));
  }
  return true;
}

} // namespace

bool sameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string *findHeader(const Headers &fields, std::string_view name) {
  for (const Header &it : fields) {
    if (sameName(it.Name, name)) {
      return &it.Value;
    }
  }
  return nullptr;
}

void dropHopByHop(Headers &fields) {
  std::vector<std::string> named;
  for (const Header &it : fields) {
    if (sameName(it.Name, "Connection")) {
      std::string_view rest = it.Value;
      while (!rest.empty()) {
        named.emplace_back(trim(cutPart(rest, ',')));
      }
    }
  }
  std::erase_if(fields, [&](const Header &it) {
    const auto same = [&](std::string_view name) {
      return sameName(name, it.Name);
    };
    return same("Content-Length") ||
           std::any_of(HopByHop.begin(), HopByHop.end(), same) ||
           std::any_of(named.begin(), named.end(), same);
  });
}

void dropInternal(Headers &fields) {
  std::erase_if(fields, [&](const Header &it) {
    return std::any_of(
        Internal.begin(), Internal.end(),
        [&](std::string_view name) { return sameName(name, it.Name); });
  });
}

std::optional<std::string> findFramingFault(const Headers &fields) {
  unsigned lengths = 0;
  unsigned codings = 0;
  for (const Header &it : fields) {
    if (sameName(it.Name, "Content-Length")) {
      ++lengths;
      if (!parseNumber(it.Value)) {
        return "Content-Length is no whole number";
      }
    }
    if (sameName(it.Name, "Transfer-Encoding")) {
      ++codings;
      if (!sameName(it.Value, "chunked")) {
        return "Transfer-Encoding may only be chunked";
      }
    }
  }
  if (lengths > 1) {
    return "Content-Length is there more than once";
  }
  if (codings > 1 || (codings != 0 && lengths != 0)) {
    return "Transfer-Encoding is there twice or beside Content-Length";
  }
  return std::nullopt;
}

std::optional<LoadReport> parseLoad(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    std::string_view value = trim(cutPart(text, ';'));
    if (value.empty()) {
      continue;
    }
    const std::string_view name = cutPart(value, '=');
    if (!applyLoadPart(name, value, report)) {
      return std::nullopt;
    }
  }
  return report;
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, number);
  if (ec != std::errc{} || end != last) {
    return std::nullopt;
  }
  return number;
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view serviceOf(std::string_view target) {
  std::string_view path = pathOf(target);
  if (path.empty() || path.front() != '/') {
    return {};
  }
  path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

std::string_view queryParameter(std::string_view target,
                                std::string_view name) {
  const auto start = target.find('?');
  if (start == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target.substr(start + 1);
  while (!rest.empty()) {
    std::string_view value = cutPart(rest, '&');
    if (cutPart(value, '=') == name) {
      return value;
    }
  }
  return {};
}

} // namespace zinniarail::gateway
