#include "intent/DuplicateKeys.h"

#include <set>
#include <string>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>

#include "intent/JsonReader.h"

namespace zinniarail {

namespace {

namespace json = boost::json;
using Ec = json::error_code;

// An object or an array that is being read.
struct Level {
  bool IsObject = false;
  std::set<std::string, std::less<>> Keys;
  std::string Key;       // the last one
  std::size_t Count = 0; // elements begun
};

// Names are Boost.JSON's.
// NOLINTBEGIN(readability-identifier-naming)
struct Handler {
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(Ec &) { return true; }
  bool on_document_end(Ec &) { return true; }
  bool on_object_begin(Ec &) { return enter(true); }
  bool on_object_end(std::size_t, Ec &) { return leave(); }
  bool on_array_begin(Ec &) { return enter(false); }
  bool on_array_end(std::size_t, Ec &) { return leave(); }
  bool on_key_part(std::string_view part, std::size_t, Ec &) {
    Pending += part;
    return true;
  }
  bool on_key(std::string_view rest, std::size_t, Ec &) {
    Level &it = Levels.back();
    it.Key = Pending.append(rest);
    Pending.clear();
    if (!it.Keys.insert(it.Key).second) {
      addFault(Out, path(), "is there twice");
    }
    return true;
  }
  bool on_string_part(std::string_view, std::size_t, Ec &) { return true; }
  bool on_string(std::string_view, std::size_t, Ec &) { return begin(); }
  bool on_number_part(std::string_view, Ec &) { return true; }
  bool on_int64(std::int64_t, std::string_view, Ec &) { return begin(); }
  bool on_uint64(std::uint64_t, std::string_view, Ec &) { return begin(); }
  bool on_double(double, std::string_view, Ec &) { return begin(); }
  bool on_bool(bool, Ec &) { return begin(); }
  bool on_null(Ec &) { return begin(); }
  bool on_comment_part(std::string_view, Ec &) { return true; }
  bool on_comment(std::string_view, Ec &) { return true; }

  // A value begins.
  bool begin() {
    if (!Levels.empty()) {
      ++Levels.back().Count;
    }
    return true;
  }
  bool enter(bool isObject) {
    begin();
    Levels.push_back({.IsObject = isObject});
    return true;
  }
  bool leave() {
    Levels.pop_back();
    return true;
  }
  std::string path() const {
    std::string out;
    for (const Level &it : Levels) {
      out += "/";
      out += it.IsObject ? clip(it.Key) : std::to_string(it.Count - 1);
    }
    return out;
  }

  Faults &Out;
  std::vector<Level> Levels;
  std::string Pending; // of a key that comes in parts
};
// NOLINTEND(readability-identifier-naming)

} // namespace

void findDuplicateKeys(std::string_view text, Faults &faults) {
  json::basic_parser<Handler> parser(json::parse_options(),
                                     Handler{.Out = faults});
  Ec ec;
  parser.write_some(false, text.data(), text.size(), ec);
}

} // namespace zinniarail
