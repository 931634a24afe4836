#include "platform-standin/Platform.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace zinniarail::standins {

namespace json = boost::json;
using Outages = CallFaults::Outages;

namespace {

const char *const Kinds[] = {"get",   "put",       "delete",        "list",
                             "watch", "instances", "watchInstances"};

Answer jsonAnswer(const json::value &body, unsigned status = 200) {
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::string quoted(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

std::uint64_t toNumber(const std::string &text) {
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

/// Reads an entity tag; 0, which no object has, when it is none of ours.
std::uint64_t toVersion(const std::string &tag) {
  const bool whole = tag.size() > 2 && tag.front() == '"' && tag.back() == '"';
  return whole ? toNumber(tag.substr(1, tag.size() - 2)) : 0;
}

std::optional<Outages> toOutage(const std::string &name) {
  if (name == "none") {
    return Outages::None;
  }
  if (name == "503") {
    return Outages::Unavailable;
  }
  if (name == "close") {
    return Outages::Close;
  }
  return name == "hang" ? std::optional(Outages::Hang) : std::nullopt;
}

void runLater(struct ev_loop *loop, Duration delay,
              std::function<void()> callback) {
  auto timer = std::make_shared<Timer>(loop);
  timer->start(delay, [timer, callback = std::move(callback)] { callback(); });
}

const char *updateKind(const std::string &method) {
  return method == "PUT" ? "put" : "delete";
}

} // namespace

Platform::Platform(struct ev_loop *loop, json::array instances,
                   Duration instanceLag)
    : Loop(loop), Truth(std::move(instances)), Published(Truth),
      InstanceLag(instanceLag) {
  for (const char *kind : Kinds) {
    Faults[kind];
    Counts[kind];
  }
}

void Platform::handle(const ExchangePtr &caller) {
  const auto path = caller->path();
  const std::string objectsPath = "/objects/";
  const std::string watchPath = "/watch/";
  if (path.starts_with("/control/")) {
    control(caller);
  } else if (path == "/objects" && caller->Method == "GET") {
    list(caller);
  } else if (path.starts_with(objectsPath)) {
    objects(caller, path.substr(objectsPath.size()));
  } else if (path.starts_with(watchPath) && caller->Method == "GET") {
    watch(caller, path.substr(watchPath.size()));
  } else if (path == "/watch-instances" && caller->Method == "GET") {
    watch(caller, "");
  } else if (path == "/instances" && caller->Method == "GET") {
    if (begin(caller, "instances")) {
      finish(caller, "instances", instances());
    }
  } else {
    caller->answer({404, {}, "no such call\n"});
  }
}

/// Counts the call and applies an outage.
/// \returns false when nothing more is to be done for it.
bool Platform::begin(const ExchangePtr &caller, const std::string &kind) {
  auto &counts = Counts[kind];
  ++counts.Calls;
  counts.BytesIn += caller->Target.size() + caller->Body.size();
  const auto outage = Faults[kind].Outage;
  if (outage == Outages::None) {
    return true;
  }
  ++counts.Faulted;
  if (outage == Outages::Unavailable) {
    caller->answer({503, {}, "outage\n"});
  } else if (outage == Outages::Close) {
    caller->abort();
  } else { // the callback holds the exchange until the peer gives up
    caller->onGone([caller] {});
  }
  return false;
}

void Platform::finish(const ExchangePtr &caller, const std::string &kind,
                      Answer answer) {
  auto &faults = Faults[kind];
  auto &counts = Counts[kind];
  const bool wrote = answer.Status / 100 == 2 && caller->Method != "GET";
  const bool drop = wrote && faults.DropAnswers != 0;
  if (drop && faults.DropAnswers > 0) {
    --faults.DropAnswers;
  }
  counts.Faulted += drop ? 1 : 0;
  counts.BytesOut += drop ? 0 : answer.Body.size();
  auto send = [caller, drop, answer = std::move(answer)]() mutable {
    if (drop) {
      caller->abort();
    } else {
      caller->answer(std::move(answer));
    }
  };
  if (faults.Delay == Duration::zero()) {
    send();
  } else {
    runLater(Loop, faults.Delay, std::move(send));
  }
}

void Platform::objects(const ExchangePtr &caller, const std::string &key) {
  if (!isKey(key)) {
    caller->answer({400, {}, "not a key\n"});
  } else if (caller->Method == "PUT" || caller->Method == "DELETE") {
    update(caller, key);
  } else if (caller->Method != "GET") {
    caller->answer({405, {}, "no such method\n"});
  } else if (begin(caller, "get")) {
    const auto *found = findObject(Objects, key);
    if (found == nullptr || !found->Bytes) {
      finish(caller, "get", {404, {}, "no such object\n"});
    } else {
      finish(caller, "get",
             {200, {{"ETag", quoted(found->Version)}}, *found->Bytes});
    }
  }
}

void Platform::update(const ExchangePtr &caller, const std::string &key) {
  const std::string kind = updateKind(caller->Method);
  if (!begin(caller, kind)) {
    return;
  }
  Precondition condition;
  condition.Absent = caller->header("If-None-Match") == "*";
  if (const auto tag = caller->header("If-Match"); !tag.empty()) {
    condition.Match = toVersion(tag);
  }
  const auto result = kind == "put"
                          ? putObject(Objects, key, caller->Body, condition)
                          : deleteObject(Objects, key, condition);
  Answer answer{result.Status, {}, ""};
  if (result.Version != 0) {
    answer.Headers.emplace_back("ETag", quoted(result.Version));
  }
  finish(caller, kind, std::move(answer));
  if (result.Status / 100 == 2) {
    notify(key);
  }
}

void Platform::list(const ExchangePtr &caller) {
  if (!begin(caller, "list")) {
    return;
  }
  json::array out;
  for (const auto &[key, version] :
       listObjects(Objects, caller->argument("prefix"))) {
    out.push_back(json::object{{"key", key}, {"version", version}});
  }
  finish(caller, "list", jsonAnswer(out));
}

Answer Platform::instances() const {
  auto answer = jsonAnswer(Published);
  answer.Headers.emplace_back("ETag", quoted(ListVersion));
  return answer;
}

/// \returns what a watch answers, or nothing while there is no change.
std::optional<Answer> Platform::changed(const std::string &key,
                                        std::uint64_t after) const {
  if (key.empty()) {
    return ListVersion > after ? std::optional(instances()) : std::nullopt;
  }
  const auto *found = findObject(Objects, key);
  if (found == nullptr || found->Version <= after) {
    return std::nullopt;
  }
  const std::string tag = quoted(found->Version);
  if (found->Bytes) {
    return Answer{200, {{"ETag", tag}}, *found->Bytes};
  }
  if (after == 0) { // that it is gone is no news to one who never had it
    return std::nullopt;
  }
  return Answer{404, {{"ETag", tag}}, "deleted\n"};
}

void Platform::watch(const ExchangePtr &caller, std::string key) {
  const std::string kind = key.empty() ? "watchInstances" : "watch";
  if (!begin(caller, kind)) {
    return;
  }
  const auto after = toNumber(caller->argument("after"));
  if (auto answer = changed(key, after)) {
    finish(caller, kind, std::move(*answer));
    return;
  }
  const std::chrono::milliseconds wait{toNumber(caller->argument("waitMs"))};
  Watches.push_front(
      {caller, std::move(key), after, std::make_unique<Timer>(Loop)});
  const auto it = Watches.begin();
  it->Wait->start(wait, [this, it, kind] {
    const auto caller = it->Caller;
    Watches.erase(it);
    finish(caller, kind, {304, {}, ""});
  });
  caller->onGone([this, it] { Watches.erase(it); });
}

void Platform::notify(const std::string &key) {
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto next = std::next(it);
    if (it->Key == key) {
      if (auto answer = changed(key, it->After)) {
        const auto caller = it->Caller;
        Watches.erase(it);
        caller->onGone(nullptr);
        finish(caller, key.empty() ? "watchInstances" : "watch",
               std::move(*answer));
      }
    }
    it = next;
  }
}

/// Ends the waiting watches of a kind as its outage begins.
void Platform::endWatches(const std::string &kind, Outages outage) {
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto next = std::next(it);
    if (it->Key.empty() == (kind == "watchInstances")) {
      const auto caller = it->Caller;
      Watches.erase(it);
      caller->onGone([caller] {});
      if (outage == Outages::Unavailable) {
        caller->answer({503, {}, "outage\n"});
      } else if (outage == Outages::Close) {
        caller->abort();
      }
    }
    it = next;
  }
}

void Platform::control(const ExchangePtr &caller) {
  const auto path = caller->path();
  try {
    if (path == "/control/counters") {
      caller->answer(counters());
    } else if (path == "/control/faults" && caller->Method == "POST") {
      setFaults(caller);
    } else if (path == "/control/instances" && caller->Method == "POST") {
      setInstances(caller);
    } else {
      caller->answer({404, {}, "no such control\n"});
    }
  } catch (const std::exception &error) {
    caller->answer({400, {}, std::string(error.what()) + "\n"});
  }
}

void Platform::setFaults(const ExchangePtr &caller) {
  const auto body = json::parse(caller->Body).as_object();
  std::vector<std::string> kinds(std::begin(Kinds), std::end(Kinds));
  if (const auto *named = body.if_contains("kinds")) {
    kinds = json::value_to<std::vector<std::string>>(*named);
  }
  for (const auto &kind : kinds) {
    auto &faults = Faults.at(kind);
    if (const auto *it = body.if_contains("delayMs")) {
      faults.Delay = std::chrono::milliseconds{it->to_number<int>()};
    }
    if (const auto *it = body.if_contains("dropAnswerAfterWrite")) {
      faults.DropAnswers = it->to_number<int>();
    }
    if (const auto *it = body.if_contains("outage")) {
      faults.Outage = toOutage(json::value_to<std::string>(*it)).value();
    }
    if (faults.Outage != Outages::None && kind.starts_with("watch")) {
      endWatches(kind, faults.Outage);
    }
  }
  caller->answer(jsonAnswer(json::object{{"kinds", json::value_from(kinds)}}));
}

void Platform::setInstances(const ExchangePtr &caller) {
  const auto body = json::parse(caller->Body);
  const auto find = [this](const json::value &id) {
    return std::find_if(Truth.begin(), Truth.end(), [&](const json::value &it) {
      return it.at("id") == id;
    });
  };
  if (body.is_array()) {
    Truth = body.as_array();
  } else {
    for (const auto &it : body.at("update").as_array()) {
      if (const auto old = find(it.at("id")); old == Truth.end()) {
        Truth.push_back(it);
      } else {
        for (const auto &field : it.as_object()) {
          old->as_object()[field.key()] = field.value();
        }
      }
    }
    if (const auto *gone = body.as_object().if_contains("remove")) {
      for (const auto &id : gone->as_array()) {
        if (const auto old = find(id); old != Truth.end()) {
          Truth.erase(old);
        }
      }
    }
  }
  runLater(Loop, InstanceLag, [this, now = Truth]() mutable {
    Published = std::move(now);
    publishInstances();
  });
  caller->answer(jsonAnswer(Truth));
}

void Platform::publishInstances() {
  ++ListVersion;
  notify("");
}

Answer Platform::counters() const {
  json::object calls;
  std::uint64_t all = 0;
  for (const auto &[kind, it] : Counts) {
    all += it.Calls;
    calls[kind] = json::object{{"calls", it.Calls},
                               {"bytesIn", it.BytesIn},
                               {"bytesOut", it.BytesOut},
                               {"faulted", it.Faulted}};
  }
  return jsonAnswer(json::object{{"calls", all},
                                 {"byKind", calls},
                                 {"waitingWatches", Watches.size()},
                                 {"objects", Objects.Objects.size()},
                                 {"lastVersion", Objects.LastVersion}});
}

} // namespace zinniarail::standins
