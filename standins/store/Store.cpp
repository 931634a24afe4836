#include "store/Store.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace zinniarail::standins {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned Gone = 410;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.01;
constexpr const char *PathPrefix = "/objects/";

std::uint64_t parseNumber(const std::string &text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

Store::Store(struct ev_loop *loop, std::uint64_t seed)
    : Loop(loop), Rng(seed),
      Server(loop,
             {[](const http::Request &) { return true; },
              [this](http::ExchangeId id, const http::Request &request) {
                handleRequest(id, request);
              },
              [this](http::ExchangeId id) {
                Watches.remove_if([&](const Watch &it) { return it.Id == id; });
              }}) {
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Store *>(it->data)->tick();
      },
      TickSeconds, TickSeconds);
  Timer.data = this;
  ev_timer_start(Loop, &Timer);
}

Store::~Store() { ev_timer_stop(Loop, &Timer); }

bool Store::listen(const std::string &address) {
  return Server.listen(address);
}

unsigned Store::totalCalls() const {
  unsigned total = 0;
  for (const auto &[name, count] : Calls) {
    total += count;
  }
  return total;
}

const json::value *Store::find(const std::string &kind,
                               const std::string &name) const {
  const auto objects = Objects.find(kind);
  if (objects == Objects.end()) {
    return nullptr;
  }
  const auto it = objects->second.find(name);
  return it == objects->second.end() ? nullptr : &it->second.Content;
}

json::value Store::toJson(const std::string &name,
                          const StoredObject &it) const {
  return {{"metadata",
           {{"name", name},
            {"revision", it.Revision},
            {"created", it.Created},
            {"finalizers", json::array{}},
            {"deleting", false}}},
          {"specification", it.Content},
          {"status", it.Status}};
}

// Writing equal content keeps the revision and notifies no watch.
void Store::put(const std::string &kind, const std::string &name,
                json::value content) {
  StoredObject &it = Objects[kind][name];
  if (it.Revision != 0 && it.Content == content) {
    return;
  }
  it.Revision = ++Revision;
  it.Created = it.Created == 0 ? Revision : it.Created;
  it.Content = std::move(content);
  recordChange(kind, toJson(name, it), false);
}

void Store::putStatus(const std::string &kind, const std::string &name,
                      json::value status) {
  StoredObject &it = Objects[kind][name];
  if (it.Status == status) {
    return;
  }
  it.Revision = ++Revision;
  it.Status = std::move(status);
  recordChange(kind, toJson(name, it), false);
}

const json::value *Store::findStatus(const std::string &kind,
                                     const std::string &name) const {
  const auto objects = Objects.find(kind);
  if (objects == Objects.end()) {
    return nullptr;
  }
  const auto it = objects->second.find(name);
  return it == objects->second.end() ? nullptr : &it->second.Status;
}

void Store::putBytes(const std::string &kind, const std::string &name,
                     const std::string &bytes) {
  const std::string key = "verbatim-" + std::to_string(Verbatim.size() + 1);
  Verbatim.emplace(json::serialize(json::value(key)), bytes);
  put(kind, name, json::value(key));
}

std::string Store::serialize(const json::value &body) const {
  std::string out = json::serialize(body);
  for (const auto &[key, bytes] : Verbatim) {
    std::size_t at = 0;
    while ((at = out.find(key, at)) != std::string::npos) {
      out.replace(at, key.size(), bytes);
      at += bytes.size();
    }
  }
  return out;
}

void Store::remove(const std::string &kind, const std::string &name) {
  auto &objects = Objects[kind];
  const auto it = objects.find(name);
  if (it == objects.end()) {
    return;
  }
  it->second.Revision = ++Revision;
  const json::value finalState = toJson(name, it->second);
  objects.erase(it);
  recordChange(kind, finalState, true);
}

void Store::recordChange(const std::string &kind, const json::value &object,
                         bool deleted) {
  const json::value event{{"deleted", deleted}, {"object", object}};
  History.push_back({Revision, kind, event});
  if (!Faults.LoseNotifications) {
    answerAffectedWatches(kind);
  }
}

void Store::answerAffectedWatches(const std::string &kind) {
  std::list<Watch> affected;
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto next = std::next(it);
    if (it->Kind == kind && !(it->MayBeStale && StaleCopy)) {
      affected.splice(affected.end(), Watches, it);
    }
    it = next;
  }
  for (const Watch &it : affected) {
    handleWatch(it, Duration{0});
  }
}

void Store::beginStaleReads() {
  StaleCopy = std::make_unique<const Copy>(takeCopy());
}

void Store::endStaleReads() { StaleCopy.reset(); }

void Store::dropHistory() {
  History.clear();
  CompactedRevision = Revision;
}

void Store::compactHistory() {
  dropHistory();
  disconnectWatches();
}

Store::Copy Store::takeCopy() const { return {Revision, Objects}; }

void Store::restore(const Copy &copy) {
  ++Era;
  Revision = copy.Revision;
  Objects = copy.Objects;
  History.clear();
  CompactedRevision = Revision;
}

http::Headers Store::eraHeader() const {
  return {{"Store-Era", std::to_string(Era)}};
}

void Store::disconnectWatches() {
  const auto disconnected = std::exchange(Watches, {});
  for (const Watch &it : disconnected) {
    Server.sendRawResponse(it.Id, "", true);
  }
}

void Store::handleRequest(http::ExchangeId id, const http::Request &request) {
  const std::string path(http::pathOf(request.Target));
  const bool isWatch = !http::queryParameter(request.Target, "watch").empty();
  const bool mayBeStale =
      http::queryParameter(request.Target, "serializable") == "1";
  ++Calls[request.Method + (isWatch ? " watch" : "")];
  LatestReads += request.Method == "GET" && !mayBeStale ? 1 : 0;
  if (Faults.ActiveOutage != OutageMode::None) {
    return respondWithOutage(id);
  }
  if (Faults.RefuseLatestReads && request.Method == "GET" && !mayBeStale) {
    return respond(id, TooManyRequests, nullptr);
  }
  if (!path.starts_with(PathPrefix)) {
    return respond(id, NotFound, nullptr);
  }
  const std::string objectPath = path.substr(std::string(PathPrefix).size());
  const std::size_t slash = objectPath.find('/');
  const std::string kind = objectPath.substr(0, slash);
  std::string name =
      slash == std::string::npos ? "" : objectPath.substr(slash + 1);
  const std::string statusSuffix = "/status";
  const bool isStatus = name.ends_with(statusSuffix);
  if (isStatus) {
    name.resize(name.size() - statusSuffix.size());
  }
  if (request.Method == "GET") {
    handleRead(id, kind, name, request);
  } else {
    handleWrite(id, kind, name, isStatus, request);
  }
}

void Store::respondWithOutage(http::ExchangeId id) {
  switch (Faults.ActiveOutage) {
  case OutageMode::NotFound:
    return Server.sendResponse(id, {NotFound, eraHeader(), ""});
  case OutageMode::TooManyRequests:
    return Server.sendResponse(id, {TooManyRequests, eraHeader(), ""});
  case OutageMode::Unavailable:
    return Server.sendResponse(id, {Unavailable, eraHeader(), ""});
  case OutageMode::Garbage:
    return Server.sendRawResponse(id, "\x01\x02 garbage\r\n\r\n", true);
  case OutageMode::NoResponse:
  case OutageMode::None:
    return;
  }
}

void Store::handleRead(http::ExchangeId id, const std::string &kind,
                       const std::string &name, const http::Request &request) {
  const bool mayBeStale =
      http::queryParameter(request.Target, "serializable") == "1";
  const std::string afterRevision =
      http::queryParameter(request.Target, "watch");
  if (!afterRevision.empty()) {
    const auto wait =
        parseNumber(http::queryParameter(request.Target, "wait_ms"));
    return handleWatch(
        {id, kind, parseNumber(afterRevision), mayBeStale, Instant{}},
        std::chrono::milliseconds{wait});
  }
  const bool isStale = mayBeStale && StaleCopy;
  const auto found =
      isStale ? StaleCopy->Objects.find(kind) : Objects.find(kind);
  const std::map<std::string, StoredObject> none;
  const auto &objects = found == (isStale ? StaleCopy->Objects : Objects).end()
                            ? none
                            : found->second;
  if (!name.empty()) {
    const auto it = objects.find(name);
    return it == objects.end() ? respond(id, NotFound, nullptr)
                               : respond(id, Ok, toJson(name, it->second));
  }
  constexpr std::size_t pageSize = 500;
  json::array items;
  const std::string afterName = http::queryParameter(request.Target, "after");
  auto it =
      afterName.empty() ? objects.begin() : objects.upper_bound(afterName);
  for (; it != objects.end() && items.size() < pageSize; ++it) {
    items.push_back(toJson(it->first, it->second));
  }
  respond(id, Ok,
          {{"items", std::move(items)},
           {"has_more", it != objects.end()},
           {"as_of", isStale ? StaleCopy->Revision : Revision}});
}

void Store::handleWatch(Watch watch, Duration wait) {
  const std::uint64_t asOf =
      watch.MayBeStale && StaleCopy ? StaleCopy->Revision : Revision;
  json::array events;
  for (const Change &it : History) {
    if (it.Kind == watch.Kind && it.Revision > watch.AfterRevision &&
        it.Revision <= asOf) {
      events.push_back(it.Event);
    }
  }
  const bool isLost =
      !events.empty() && watch.AfterRevision < CompactedRevision;
  if (isLost || watch.AfterRevision > Revision) {
    return respond(watch.Id, Gone, nullptr);
  }
  if (events.empty() && wait > Duration{0}) {
    watch.Deadline = readClock() + wait;
    Watches.push_back(std::move(watch));
    return;
  }
  respond(watch.Id, Ok, {{"events", std::move(events)}, {"as_of", asOf}});
}

void Store::handleWrite(http::ExchangeId id, const std::string &kind,
                        const std::string &name, bool isStatus,
                        const http::Request &request) {
  json::error_code ec;
  const json::value body = request.Body.empty() ? json::value(json::object{})
                                                : json::parse(request.Body, ec);
  if (ec || !body.is_object()) {
    return respond(id, BadRequest, nullptr);
  }
  const auto &fields = body.get_object();
  const auto *metadata = fields.if_contains("metadata");
  const auto *nameField =
      metadata == nullptr ? nullptr : metadata->as_object().if_contains("name");
  const std::string objectName =
      !name.empty()          ? name
      : nameField == nullptr ? ""
                             : std::string(nameField->as_string().c_str());
  auto &objects = Objects[kind];
  const auto existing = objects.find(objectName);
  std::uint64_t expectedRevision =
      parseNumber(http::queryParameter(request.Target, "revision"));
  if (metadata != nullptr && metadata->as_object().contains("revision")) {
    expectedRevision =
        metadata->as_object().at("revision").to_number<std::uint64_t>();
  }
  if (request.Method == "POST" && existing != objects.end()) {
    return respond(id, Conflict, toJson(objectName, existing->second));
  }
  if (request.Method != "POST" && existing == objects.end()) {
    return respond(id, NotFound, nullptr);
  }
  if (request.Method != "POST" && expectedRevision != 0 &&
      expectedRevision != existing->second.Revision) {
    return respond(id, Conflict, toJson(objectName, existing->second));
  }
  json::value result;
  if (request.Method == "DELETE") {
    result = toJson(objectName, existing->second);
    remove(kind, objectName);
  } else if (isStatus) {
    putStatus(kind, objectName,
              fields.contains("status") ? fields.at("status")
                                        : json::value(nullptr));
    result = toJson(objectName, objects.at(objectName));
  } else {
    put(kind, objectName,
        fields.contains("specification") ? fields.at("specification")
                                         : json::value(nullptr));
    result = toJson(objectName, objects.at(objectName));
  }
  if (drawFraction(Rng) < Faults.LostResponseFraction) {
    return Server.sendRawResponse(id, "", true);
  }
  respond(id, Ok, result);
}

void Store::respond(http::ExchangeId id, unsigned status,
                    const json::value &body) {
  http::Response response{status, eraHeader(),
                          body.is_null() ? "" : serialize(body)};
  response.Fields.push_back({"Content-Type", "application/json"});
  if (Faults.Delay == Duration{0}) {
    return Server.sendResponse(id, response);
  }
  DelayedResponses.push_back(
      {readClock() + Faults.Delay, id, std::move(response)});
}

void Store::tick() {
  const Instant now = readClock();
  while (!DelayedResponses.empty() && DelayedResponses.front().SendAt <= now) {
    const DelayedResponse it = std::move(DelayedResponses.front());
    DelayedResponses.pop_front();
    Server.sendResponse(it.Id, it.Response);
  }
  if (Faults.ActiveOutage != OutageMode::None) {
    return; // Expired watches get no response before the outage ends.
  }
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto current = it++;
    if (current->Deadline <= now) {
      const Watch expired = *current;
      Watches.erase(current);
      handleWatch(expired, Duration{0});
    }
  }
}

} // namespace zinniarail::standins
