#include "core/JsonText.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/json.hpp>

namespace zinniarail {

namespace {

namespace json = boost::json;

// Levels of arrays and objects whose parts are parsed one by one.
constexpr unsigned SplitLevels = 6;

/// A member of a JSON object.
struct Member {
  std::string_view Key;   ///< With its quotes.
  std::string_view Value; ///< The text of the value.
};

/// Reads a text from its start to its end. All functions return false, or an
/// empty view, where the text does not continue as expected.
class Scanner {
public:
  explicit Scanner(std::string_view text) : Text(text) {}

  bool skip(char expected) {
    skipSpace();
    if (At >= Text.size() || Text[At] != expected) {
      return false;
    }
    ++At;
    return true;
  }

  bool isAtEnd() {
    skipSpace();
    return At == Text.size();
  }

  /// \returns a string's text with its quotes.
  std::string_view takeString() {
    skipSpace();
    const std::size_t from = At;
    return At < Text.size() && Text[At] == '"' && skipString()
               ? Text.substr(from, At - from)
               : std::string_view{};
  }

  std::string_view takeValue() {
    skipSpace();
    const std::size_t from = At;
    return skipValue() ? Text.substr(from, At - from) : std::string_view{};
  }

private:
  void skipSpace() {
    At = std::min(Text.find_first_not_of(" \t\r\n", At), Text.size());
  }

  bool skipString() {
    for (++At; At < Text.size(); ++At) {
      if (Text[At] == '"') {
        ++At;
        return true;
      }
      At += Text[At] == '\\' ? 1 : 0;
    }
    return false;
  }

  bool skipValue() {
    std::size_t depth = 0;
    while (At < Text.size()) {
      switch (Text[At]) {
      case '"':
        if (!skipString()) {
          return false;
        }
        break;
      case '{':
      case '[':
        ++depth;
        ++At;
        break;
      case '}':
      case ']':
        if (depth == 0) {
          return false;
        }
        --depth;
        ++At;
        break;
      case ',':
      case ':':
        if (depth == 0) {
          return false;
        }
        ++At;
        continue;
      default:
        At = std::min(
            Text.find_first_of(depth == 0 ? " \t\r\n\"{}[],:" : "\"{}[]", At),
            Text.size());
      }
      if (depth == 0) {
        return true;
      }
    }
    return false;
  }

  std::string_view Text;
  std::size_t At = 0;
};

// Splits the text of an object without parsing it, so that values may be nested
// to any depth.
// \returns none if the text is not one object.
std::optional<std::vector<Member>> splitObject(std::string_view text) {
  Scanner in(text);
  std::vector<Member> members;
  if (!in.skip('{')) {
    return std::nullopt;
  }
  bool closed = in.skip('}');
  while (!closed) {
    const std::string_view key = in.takeString();
    const std::string_view value =
        !key.empty() && in.skip(':') ? in.takeValue() : std::string_view{};
    if (value.empty()) {
      return std::nullopt;
    }
    members.push_back({key, value});
    closed = !in.skip(',');
    if (closed && !in.skip('}')) {
      return std::nullopt;
    }
  }
  return in.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

// Splits the text of an array, likewise.
std::optional<std::vector<std::string_view>> splitArray(std::string_view text) {
  Scanner in(text);
  std::vector<std::string_view> values;
  if (!in.skip('[')) {
    return std::nullopt;
  }
  bool closed = in.skip(']');
  while (!closed) {
    values.push_back(in.takeValue());
    closed = !in.skip(',');
    if (values.back().empty() || (closed && !in.skip(']'))) {
      return std::nullopt;
    }
  }
  return in.isAtEnd() ? std::optional(std::move(values)) : std::nullopt;
}

json::value parseParts(std::string_view text, unsigned levels) {
  json::error_code ec;
  json::value whole = json::parse({text.data(), text.size()}, ec);
  if (!ec) {
    return whole;
  }
  if (levels == 0) {
    return nullptr;
  }
  if (const auto members = splitObject(text)) {
    json::object out;
    for (const Member &it : *members) {
      const json::value key = parseParts(it.Key, 0);
      if (key.is_string()) {
        out.insert_or_assign(key.get_string(),
                             parseParts(it.Value, levels - 1));
      }
    }
    return out;
  }
  if (const auto values = splitArray(text)) {
    json::array out;
    for (const std::string_view it : *values) {
      out.push_back(parseParts(it, levels - 1));
    }
    return out;
  }
  return nullptr;
}

} // namespace

json::value parseReadableParts(std::string_view text) {
  return parseParts(text, SplitLevels);
}

} // namespace zinniarail
