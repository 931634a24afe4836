#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include <boost/json.hpp>

#include "trace/Fields.h"

namespace zinniarail::trace {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxText = 256;     // bytes of one name or key
constexpr std::size_t MaxItems = 10'000; // of one array or map
constexpr std::size_t MaxQuoted = 64;    // bytes of input repeated in an error
constexpr std::int64_t MaxMicros = 1'000'000'000'000'000; // 31 years
// Where the replay's time begins: beyond every span that the engine knows.
constexpr Instant ReplayStart{std::chrono::hours{1}};

template <typename T> struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};

template <typename T>
std::optional<std::size_t> indexOf(const json::value &value) {
  const auto &all = Names<T>::All;
  const json::string *text = value.if_string();
  const auto at = text == nullptr ? all.end()
                                  : std::find(all.begin(), all.end(),
                                              std::string_view(*text));
  return at == all.end()
             ? std::nullopt
             : std::optional<std::size_t>(std::distance(all.begin(), at));
}

/// Reads one object; the first fault of all stays, the rest is skipped.
class Reader {
public:
  Reader(const json::value &value, std::string path, ReadError &error)
      : In(value.if_object()), Path(std::move(path)), Error(error) {
    if (In == nullptr) {
      fail(Path, "must be an object");
    }
  }

  template <typename T> void operator()(const char *key, T &field) {
    const json::value *it = find(key);
    if (it != nullptr) {
      read(*it, pathOf(key), field);
    } else {
      fail(pathOf(key), "is required");
    }
  }
  template <typename T> void spare(const char *key, T &field) {
    if (const json::value *it = find(key)) {
      read(*it, pathOf(key), field);
    }
  }
  void told(Input &input) {
    const int n = has("event") + has("replan") + has("validUntil");
    if (n != 1) {
      fail(Path, "must have one of event, replan, validUntil");
    } else if (has("event") != 0) {
      (*this)("event", input.emplace<Event>());
    } else if (has("replan") != 0) {
      (*this)("replan", input.emplace<Replanned>().Plan);
    } else {
      (*this)("validUntil", input.emplace<ViewConfirmed>().ValidUntil);
    }
  }
  /// To be called when all fields were read.
  void finish() {
    if (In != nullptr && Known < In->size()) {
      for (const auto &it : *In) {
        if (std::find(Keys.begin(), Keys.end(), it.key()) == Keys.end()) {
          fail(pathOf(it.key()), "is not a known key");
        }
      }
    }
  }

private:
  void fail(std::string field, std::string message) {
    if (Error.Message.empty()) {
      Error.Field = std::move(field);
      Error.Message = std::move(message);
    }
  }
  std::string pathOf(std::string_view key) const {
    const std::string last(key.substr(0, MaxQuoted));
    return Path.empty() ? last : Path + "/" + last;
  }
  int has(const char *key) const {
    return In != nullptr && In->contains(key) ? 1 : 0;
  }
  const json::value *find(const char *key) {
    const json::value *it = In == nullptr ? nullptr : In->if_contains(key);
    if (it != nullptr) {
      Keys.emplace_back(key);
      ++Known;
    }
    return it;
  }

  std::optional<std::int64_t> micros(const json::value &value,
                                     const std::string &path) {
    const std::int64_t *n = value.if_int64();
    if (n == nullptr || *n < -MaxMicros || *n > MaxMicros) {
      fail(path, "must be whole microseconds, within 31 years");
      return std::nullopt;
    }
    return *n;
  }

  void read(const json::value &value, const std::string &path, Instant &out) {
    out = ReplayStart + Duration(micros(value, path).value_or(0));
  }
  void read(const json::value &value, const std::string &path, Duration &out) {
    out = Duration(micros(value, path).value_or(0));
  }
  void read(const json::value &value, const std::string &path, bool &out) {
    if (!value.is_bool()) {
      fail(path, "must be true or false");
      return;
    }
    out = value.get_bool();
  }
  void read(const json::value &value, const std::string &path,
            std::uint64_t &out) {
    json::error_code ec;
    const auto n = value.to_number<std::uint64_t>(ec);
    if (ec || value.is_double()) {
      fail(path, "must be a whole number from 0 on");
      return;
    }
    out = n;
  }
  void read(const json::value &value, const std::string &path, unsigned &out) {
    std::uint64_t n = 0;
    read(value, path, n);
    if (n > std::numeric_limits<unsigned>::max()) {
      fail(path, "must be below 2^32");
      return;
    }
    out = static_cast<unsigned>(n);
  }
  void read(const json::value &value, const std::string &path, double &out) {
    const json::string *text = value.if_string();
    double n = 0;
    if (text != nullptr) {
      const char *end = text->data() + text->size();
      const auto [at, ec] = std::from_chars(text->data(), end, n);
      if (ec == std::errc{} && at == end && std::isfinite(n) && n >= 0) {
        out = n;
        return;
      }
    }
    fail(path, "must be a number from 0 on, as text");
  }
  void read(const json::value &value, const std::string &path,
            std::string &out) {
    const json::string *text = value.if_string();
    if (text == nullptr || text->size() > MaxText) {
      fail(path, "must be text of at most 256 bytes");
      return;
    }
    out = *text;
  }
  void read(const json::value &value, const std::string &path,
            std::map<std::string, std::string> &out) {
    const json::object *object = value.if_object();
    if (object == nullptr || object->size() > MaxItems) {
      fail(path, "must be an object of at most 10000");
      return;
    }
    for (const auto &it : *object) {
      read(it.value(), path + "/" + std::string(it.key()), out[it.key()]);
    }
  }
  template <typename T>
  void read(const json::value &value, const std::string &path,
            std::vector<T> &out) {
    const json::array *items = value.if_array();
    if (items == nullptr || items->size() > MaxItems) {
      fail(path, "must be an array of at most 10000");
      return;
    }
    for (const json::value &it : *items) {
      const std::string at = path + "/" + std::to_string(out.size());
      read(it, at, out.emplace_back());
    }
  }
  template <typename T>
  void read(const json::value &value, const std::string &path, T &out) {
    if constexpr (std::is_same_v<T, RequestId> ||
                  std::is_same_v<T, AttemptId>) {
      std::uint64_t n = 0;
      read(value, path, n);
      out = T{n};
    } else if constexpr (std::is_enum_v<T>) {
      const auto n = indexOf<T>(value);
      if (!n) {
        fail(path, "is not a known name");
        return;
      }
      out = static_cast<T>(*n);
    } else if constexpr (IsVariant<T>::value) {
      readVariant(value, path, out);
    } else {
      Reader inner(value, path, Error);
      walk(inner, out);
      inner.finish();
    }
  }

  template <std::size_t N = 0, typename T>
  static void emplaceAt(std::size_t n, T &out) {
    if constexpr (N < std::variant_size_v<T>) {
      if (n == N) {
        out.template emplace<N>();
        return;
      }
      emplaceAt<N + 1>(n, out);
    }
  }
  template <typename T>
  void readVariant(const json::value &value, const std::string &path, T &out) {
    Reader inner(value, path, Error);
    const json::value *type = inner.find("type");
    const auto n = type == nullptr ? std::nullopt : indexOf<T>(*type);
    if (!n) {
      fail(inner.pathOf("type"), "is not a known name");
      return;
    }
    emplaceAt(*n, out);
    std::visit([&](auto &it) { walk(inner, it); }, out);
    inner.finish();
  }

  const json::object *In;
  std::string Path;
  ReadError &Error;
  std::size_t Known = 0;
  std::vector<std::string> Keys;
};

template <typename T>
bool readLine(std::string_view line, T &out, ReadError &error) {
  json::error_code ec;
  const json::value value = json::parse(line, ec);
  if (ec) {
    error.Message = "is no JSON: " + ec.message();
    return false;
  }
  Reader reader(value, "", error);
  walk(reader, out);
  reader.finish();
  return error.Message.empty();
}

std::string_view takeLine(std::string_view &text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return line;
}

} // namespace

Result<Trace, ReadError> readTrace(std::string_view text) {
  if (text.size() > MaxTraceBytes) {
    return ReadError{1, "", "the trace is longer than 16 MiB"};
  }
  Trace trace;
  ReadError error{1, "", ""};
  if (!readLine(takeLine(text), trace.Start, error)) {
    return error;
  }
  if (trace.Start.Version != FormatVersion) {
    return ReadError{1, "trace", "must be 1, the only known version"};
  }
  trace.Start.At = ReplayStart;
  while (!text.empty()) {
    ++error.Line;
    const std::string_view line = takeLine(text);
    if (trace.CutShort) {
      return ReadError{error.Line, "", "follows the end of the recording"};
    }
    if (line == FullLine) {
      trace.CutShort = true;
    } else if (!readLine(line, trace.Steps.emplace_back(), error)) {
      return error;
    }
  }
  return trace;
}

} // namespace zinniarail::trace
