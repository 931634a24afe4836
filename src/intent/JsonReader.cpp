#include "intent/JsonReader.h"

#include <algorithm>

namespace zinniarail {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxQuoted = 64; // bytes of input repeated in a fault

std::string range(Bounds bounds) {
  return "must be a whole number from " + std::to_string(bounds.Least) +
         " to " + std::to_string(bounds.Most);
}

} // namespace

std::string clip(std::string_view text) {
  return std::string(text.substr(0, MaxQuoted));
}

void addFault(Faults &faults, std::string path, std::string message) {
  if (faults.size() < MaxFaults) {
    faults.push_back({std::move(path), std::move(message)});
    return;
  }
  if (faults.size() == MaxFaults) {
    faults.push_back({"", "further faults are left out"});
  }
}

JsonReader::JsonReader(const json::value &value, std::string path,
                       Faults &faults)
    : Object(value.if_object()), Path(std::move(path)), Out(faults) {
  if (Object == nullptr) {
    addFault(Out, Path, "must be an object");
  }
}

std::string JsonReader::pathOf(std::string_view key) const {
  return Path + "/" + clip(key);
}

const json::value *JsonReader::find(const char *key, Presence presence) {
  if (Object == nullptr) {
    return nullptr;
  }
  Known.insert(key);
  const json::value *it = Object->if_contains(key);
  if (it == nullptr && presence == Presence::Required) {
    addFault(Out, pathOf(key), "is required");
  }
  return it;
}

void JsonReader::text(const char *key, std::string &target, Presence presence,
                      const std::function<bool(const std::string &)> &accepts,
                      const char *rule) {
  const json::value *it = find(key, presence);
  if (it == nullptr) {
    return;
  }
  if (it->is_string() && accepts(std::string(it->get_string()))) {
    target = it->get_string();
    return;
  }
  addFault(Out, pathOf(key), rule);
}

void JsonReader::name(const char *key, std::string &target, Presence presence) {
  text(
      key, target, presence, [](const std::string &it) { return isName(it); },
      "must be 1 to 64 of [A-Za-z0-9._-], not beginning with a dot");
}

void JsonReader::flag(const char *key, bool &target) {
  const json::value *it = find(key, Presence::Optional);
  if (it == nullptr) {
    return;
  }
  if (it->is_bool()) {
    target = it->get_bool();
    return;
  }
  addFault(Out, pathOf(key), "must be true or false");
}

void JsonReader::whole(const char *key, std::int64_t &target, Bounds bounds,
                       Presence presence) {
  const json::value *it = find(key, presence);
  if (it == nullptr) {
    return;
  }
  const std::int64_t *n = it->if_int64();
  if (n == nullptr || *n < bounds.Least || *n > bounds.Most) {
    addFault(Out, pathOf(key), range(bounds));
    return;
  }
  target = *n;
}

void JsonReader::count(const char *key, unsigned &target, Bounds bounds) {
  std::int64_t n = target;
  whole(key, n, bounds, Presence::Optional);
  target = static_cast<unsigned>(n);
}

void JsonReader::share(const char *key, double &target, double most) {
  const json::value *it = find(key, Presence::Optional);
  if (it == nullptr) {
    return;
  }
  if (it->is_number()) {
    const double n = it->to_number<double>();
    if (n >= 0 && n <= most) {
      target = n;
      return;
    }
  }
  addFault(Out, pathOf(key),
           "must be a number from 0 to " +
               std::to_string(static_cast<std::int64_t>(most)));
}

void JsonReader::milliseconds(const char *key, Duration &target,
                              Bounds bounds) {
  using std::chrono::milliseconds;
  std::int64_t n = std::chrono::duration_cast<milliseconds>(target).count();
  whole(key, n, bounds, Presence::Optional);
  target = milliseconds{n};
}

void JsonReader::list(
    const char *key, std::size_t most,
    const std::function<void(const json::value &, const std::string &)> &each) {
  const json::value *it = find(key, Presence::Optional);
  if (it == nullptr) {
    return;
  }
  const json::array *items = it->if_array();
  if (items == nullptr || items->size() > most) {
    addFault(Out, pathOf(key),
             "must be an array of at most " + std::to_string(most));
    return;
  }
  for (std::size_t n = 0; n < items->size(); ++n) {
    each((*items)[n], pathOf(key) + "/" + std::to_string(n));
  }
}

void JsonReader::finish() {
  if (Object == nullptr) {
    return;
  }
  for (const auto &it : *Object) {
    if (!Known.contains(std::string_view(it.key()))) {
      addFault(Out, pathOf(it.key()), "is not a known key");
    }
  }
}

} // namespace zinniarail
