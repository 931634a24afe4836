#include <charconv>

#include <boost/json.hpp>

#include "trace/Fields.h"

namespace zinniarail::trace {

namespace {

namespace json = boost::json;

template <typename T> struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};

class Writer {
public:
  explicit Writer(Instant start) : Start(start) {}

  template <typename T> void operator()(const char *key, const T &field) {
    Out[key] = valueOf(field);
  }
  template <typename T> void spare(const char *key, const T &field) {
    if constexpr (requires { field.empty(); }) {
      if (!field.empty()) {
        (*this)(key, field);
      }
    } else if (field != T{}) {
      (*this)(key, field);
    }
  }
  void told(const Input &input) {
    if (const auto *it = std::get_if<Event>(&input)) {
      (*this)("event", *it);
    } else if (const auto *it = std::get_if<Replanned>(&input)) {
      (*this)("replan", it->Plan);
    } else {
      (*this)("validUntil", std::get<ViewConfirmed>(input).ValidUntil);
    }
  }

  json::object Out;

private:
  template <typename T> json::value valueOf(const T &it) {
    if constexpr (std::is_same_v<T, RequestId> ||
                  std::is_same_v<T, AttemptId>) {
      return static_cast<std::uint64_t>(it);
    } else if constexpr (std::is_enum_v<T>) {
      return json::string(Names<T>::All.at(static_cast<std::size_t>(it)));
    } else if constexpr (std::is_same_v<T, double>) {
      // As text: Boost.JSON does not read back every number exactly.
      std::array<char, 32> buf{};
      const auto end =
          std::to_chars(buf.data(), buf.data() + buf.size(), it).ptr;
      return json::string(buf.data(), end - buf.data());
    } else if constexpr (std::is_same_v<T, Instant>) {
      return (it - Start).count();
    } else if constexpr (std::is_same_v<T, Duration>) {
      return it.count();
    } else if constexpr (std::is_arithmetic_v<T>) {
      return it;
    } else if constexpr (std::is_same_v<T, std::string>) {
      return json::string(it);
    } else if constexpr (std::is_same_v<T,
                                        std::map<std::string, std::string>>) {
      json::object out;
      for (const auto &[name, value] : it) {
        out[name] = value;
      }
      return out;
    } else if constexpr (IsVariant<T>::value) {
      return variantOf(it);
    } else if constexpr (requires { it.begin(); }) {
      json::array out;
      for (const auto &each : it) {
        out.push_back(valueOf(each));
      }
      return out;
    } else {
      return objectOf(it);
    }
  }
  template <typename T> json::object objectOf(T it) { // walk takes a variable
    Writer inner(Start);
    walk(inner, it);
    return std::move(inner.Out);
  }
  template <typename T> json::value variantOf(const T &it) {
    json::object out{{"type", Names<T>::All.at(it.index())}};
    std::visit(
        [&](const auto &each) {
          for (auto &field : objectOf(each)) {
            out[field.key()] = std::move(field.value());
          }
        },
        it);
    return out;
  }

  Instant Start;
};

} // namespace

std::string writeStep(const Step &step, Instant start) {
  Writer writer(start);
  Step copy = step;
  walk(writer, copy);
  return json::serialize(writer.Out);
}

std::string writeHeader(const Header &header) {
  Writer writer(header.At);
  Header copy = header;
  walk(writer, copy);
  return json::serialize(writer.Out);
}

std::string writeTrace(const Trace &trace) {
  std::string out = writeHeader(trace.Start) + "\n";
  for (const Step &it : trace.Steps) {
    out += writeStep(it, trace.Start.At) + "\n";
  }
  return trace.CutShort ? out + std::string(FullLine) + "\n" : out;
}

} // namespace zinniarail::trace
