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
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

constexpr double TickSeconds = 0.01;
constexpr const char *Prefix = "/objects/";

std::uint64_t numberIn(const std::string &text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

Store::Store(struct ev_loop *loop, std::uint64_t seed)
    : Loop(loop), Draws(seed),
      Server(loop,
             {[](const http::Request &) { return true; },
              [this](http::ExchangeId id, const http::Request &request) {
                serve(id, request);
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

unsigned Store::calls() const {
  unsigned all = 0;
  for (const auto &[name, count] : Calls) {
    all += count;
  }
  return all;
}

const json::value *Store::find(const std::string &kind,
                               const std::string &name) const {
  const auto all = Objects.find(kind);
  if (all == Objects.end()) {
    return nullptr;
  }
  const auto it = all->second.find(name);
  return it == all->second.end() ? nullptr : &it->second.Content;
}

json::value Store::describe(const std::string &name, const Stored &it) const {
  return {{"metadata",
           {{"name", name},
            {"revision", it.Revision},
            {"created", it.Created},
            {"finalizers", json::array{}},
            {"deleting", false}}},
          {"specification", it.Content},
          {"status", it.Status}};
}

// A write that changes nothing is no change.
void Store::put(const std::string &kind, const std::string &name,
                json::value content) {
  Stored &it = Objects[kind][name];
  if (it.Revision != 0 && it.Content == content) {
    return;
  }
  it.Revision = ++Revision;
  it.Created = it.Created == 0 ? Revision : it.Created;
  it.Content = std::move(content);
  note(kind, describe(name, it), false);
}

void Store::remove(const std::string &kind, const std::string &name) {
  auto &all = Objects[kind];
  const auto it = all.find(name);
  if (it == all.end()) {
    return;
  }
  it->second.Revision = ++Revision;
  const json::value last = describe(name, it->second);
  all.erase(it);
  note(kind, last, true);
}

void Store::note(const std::string &kind, const json::value &object,
                 bool deleted) {
  const json::value event{{"deleted", deleted}, {"object", object}};
  History.push_back({Revision, kind, event});
  std::list<Watch> ready;
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto next = std::next(it);
    if (it->Kind == kind) {
      ready.splice(ready.end(), Watches, it);
    }
    it = next;
  }
  for (const Watch &it : ready) {
    watch(it.Id, kind, it.After, Duration{0});
  }
}

void Store::forgetHistory() {
  History.clear();
  HistoryFrom = Revision;
  cutWatches();
}

void Store::cutWatches() {
  const auto all = std::exchange(Watches, {});
  for (const Watch &it : all) {
    Server.sendRawResponse(it.Id, "", true);
  }
}

void Store::serve(http::ExchangeId id, const http::Request &request) {
  const std::string path(http::pathOf(request.Target));
  const bool watches = !http::queryParameter(request.Target, "watch").empty();
  const bool cheap =
      http::queryParameter(request.Target, "serializable") == "1";
  ++Calls[request.Method + (watches ? " watch" : "")];
  LatestReads += request.Method == "GET" && !cheap ? 1 : 0;
  if (Faults.Out != Outage::None) {
    return fail(id);
  }
  if (!path.starts_with(Prefix)) {
    return answer(id, NotFound, nullptr);
  }
  const std::string rest = path.substr(std::string(Prefix).size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.Method == "GET") {
    read(id, kind, name, request);
  } else {
    write(id, kind, name, request);
  }
}

void Store::fail(http::ExchangeId id) {
  switch (Faults.Out) {
  case Outage::NotFound:
    return Server.sendResponse(id, {NotFound, {}, ""});
  case Outage::TooMany:
    return Server.sendResponse(id, {TooMany, {}, ""});
  case Outage::Unavailable:
    return Server.sendResponse(id, {Unavailable, {}, ""});
  case Outage::Garbage:
    return Server.sendRawResponse(id, "\x01\x02 garbage\r\n\r\n", true);
  case Outage::Silence:
  case Outage::None:
    return;
  }
}

void Store::read(http::ExchangeId id, const std::string &kind,
                 const std::string &name, const http::Request &request) {
  const std::string from = http::queryParameter(request.Target, "watch");
  if (!from.empty()) {
    const auto wait = numberIn(http::queryParameter(request.Target, "wait_ms"));
    return watch(id, kind, numberIn(from), std::chrono::milliseconds{wait});
  }
  const auto &all = Objects[kind];
  if (!name.empty()) {
    const auto it = all.find(name);
    return it == all.end() ? answer(id, NotFound, nullptr)
                           : answer(id, Ok, describe(name, it->second));
  }
  constexpr std::size_t page = 500;
  json::array items;
  const std::string after = http::queryParameter(request.Target, "after");
  auto it = after.empty() ? all.begin() : all.upper_bound(after);
  for (; it != all.end() && items.size() < page; ++it) {
    items.push_back(describe(it->first, it->second));
  }
  answer(id, Ok,
         {{"items", std::move(items)},
          {"has_more", it != all.end()},
          {"as_of", Revision}});
}

void Store::watch(http::ExchangeId id, const std::string &kind,
                  std::uint64_t after, Duration wait) {
  json::array events;
  for (const Change &it : History) {
    if (it.Kind == kind && it.Revision > after) {
      events.push_back(it.Event);
    }
  }
  if (!events.empty() && after < HistoryFrom) {
    return answer(id, Gone, nullptr);
  }
  if (events.empty() && wait > Duration{0}) {
    Watches.push_back({id, kind, after, readClock() + wait});
    return;
  }
  answer(id, Ok, {{"events", std::move(events)}, {"as_of", Revision}});
}

void Store::write(http::ExchangeId id, const std::string &kind,
                  const std::string &name, const http::Request &request) {
  json::error_code ec;
  const json::value body = request.Body.empty() ? json::value(json::object{})
                                                : json::parse(request.Body, ec);
  if (ec || !body.is_object()) {
    return answer(id, BadRequest, nullptr);
  }
  const auto &fields = body.get_object();
  const auto *meta = fields.if_contains("metadata");
  const auto *named =
      meta == nullptr ? nullptr : meta->as_object().if_contains("name");
  const std::string target = !name.empty() ? name
                             : named == nullptr
                                 ? ""
                                 : std::string(named->as_string().c_str());
  auto &all = Objects[kind];
  const auto there = all.find(target);
  std::uint64_t wanted =
      numberIn(http::queryParameter(request.Target, "revision"));
  if (meta != nullptr && meta->as_object().contains("revision")) {
    wanted = meta->as_object().at("revision").to_number<std::uint64_t>();
  }
  if (request.Method == "POST" && there != all.end()) {
    return answer(id, Conflict, describe(target, there->second));
  }
  if (request.Method != "POST" && there == all.end()) {
    return answer(id, NotFound, nullptr);
  }
  if (request.Method != "POST" && wanted != 0 &&
      wanted != there->second.Revision) {
    return answer(id, Conflict, describe(target, there->second));
  }
  json::value result;
  if (request.Method == "DELETE") {
    result = describe(target, there->second);
    remove(kind, target);
  } else {
    put(kind, target,
        fields.contains("specification") ? fields.at("specification")
                                         : json::value(nullptr));
    result = describe(target, all.at(target));
  }
  if (drawFraction(Draws) < Faults.LoseAnswers) {
    return Server.sendRawResponse(id, "", true);
  }
  answer(id, Ok, result);
}

void Store::answer(http::ExchangeId id, unsigned status,
                   const json::value &body) {
  http::Response response{status,
                          {{"Content-Type", "application/json"}},
                          body.is_null() ? "" : json::serialize(body)};
  if (Faults.Delay == Duration{0}) {
    return Server.sendResponse(id, response);
  }
  Answers.push_back({readClock() + Faults.Delay, id, std::move(response)});
}

void Store::tick() {
  const Instant now = readClock();
  while (!Answers.empty() && Answers.front().At <= now) {
    const Late it = std::move(Answers.front());
    Answers.pop_front();
    Server.sendResponse(it.Id, it.Response);
  }
  if (Faults.Out != Outage::None) {
    return; // Who waits then hears nothing.
  }
  for (auto it = Watches.begin(); it != Watches.end();) {
    const auto due = it++;
    if (due->Until <= now) {
      const Watch over = *due;
      Watches.erase(due);
      answer(over.Id, Ok, {{"events", json::array{}}, {"as_of", Revision}});
    }
  }
}

} // namespace zinniarail::standins
