/// \file
/// The platform's store for tests: objects with revisions, lists and watches on
/// a loopback port, and the outages that it can be told to have.
#pragma once

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <ev.h>

#include "common/Net.h"
#include "http/Server.h"

namespace zinniarail::store {

class FakeStore {
public:
  enum class Outages { None, NotFound, TooMany, Unavailable, Reset, Silence };

  explicit FakeStore(struct ev_loop *loop)
      : Server(loop, {[](const http::Request &) { return true; },
                      [this](http::ExchangeId id, http::Request request) {
                        serve(id, request);
                      },
                      [this](http::ExchangeId id) {
                        std::erase_if(Watches, [&](const Watch &it) {
                          return it.Id == id;
                        });
                      }}) {
    for (unsigned port = 20000; Address.empty() && port < 21000; ++port) {
      const std::string address =
          standins::loopbackAddress("9.1:" + std::to_string(port));
      if (Server.listen(address)) {
        Address = address;
      }
    }
  }

  std::string Address;
  Outages Outage = Outages::None;
  bool HistoryGone = false; ///< Watches from before now answer 410.
  std::map<std::string, unsigned> Calls; ///< By method and first word of use.
  unsigned LatestReads = 0;

  void put(const std::string &kind, const std::string &name,
           boost::json::value content) {
    const std::uint64_t revision = ++LastRevision;
    Objects[kind][name] = {revision, content};
    publish(kind, object(kind, name), false);
  }

  void remove(const std::string &kind, const std::string &name) {
    auto gone = object(kind, name).as_object();
    gone["metadata"].as_object()["revision"] = ++LastRevision;
    Objects[kind].erase(name);
    publish(kind, gone, true);
  }

  /// Loses what changed without a word to whoever waits.
  void removeSilently(const std::string &kind, const std::string &name) {
    ++LastRevision;
    Objects[kind].erase(name);
  }

  unsigned calls() const {
    unsigned all = 0;
    for (const auto &[key, count] : Calls) {
      all += count;
    }
    return all;
  }

private:
  struct Stored {
    std::uint64_t Revision = 0;
    boost::json::value Content;
  };
  struct Watch {
    http::ExchangeId Id = 0;
    std::string Kind;
  };

  boost::json::value object(const std::string &kind, const std::string &name) {
    const Stored &it = Objects[kind][name];
    return {{"metadata",
             {{"name", name}, {"revision", it.Revision}, {"deleting", false}}},
            {"specification", it.Content},
            {"status", nullptr}};
  }

  void answer(http::ExchangeId id, unsigned status,
              const boost::json::value &body) {
    Server.answer(id, {status, {}, boost::json::serialize(body)});
  }

  void publish(const std::string &kind, const boost::json::value &changed,
               bool deleted) {
    std::vector<Watch> mine;
    std::erase_if(Watches, [&](const Watch &it) {
      if (it.Kind == kind) {
        mine.push_back(it);
      }
      return it.Kind == kind;
    });
    for (const Watch &it : mine) {
      answer(it.Id, 200,
             {{"events",
               boost::json::array{{{"deleted", deleted}, {"object", changed}}}},
              {"as_of", LastRevision}});
    }
  }

  void serve(http::ExchangeId id, const http::Request &request) {
    const std::string path(http::pathOf(request.Target));
    const std::string kind = path.substr(std::string("/objects/").size());
    const std::string from = http::queryParameter(request.Target, "watch");
    const bool cheap =
        http::queryParameter(request.Target, "serializable") == "1";
    ++Calls[request.Method + (from.empty() ? "" : " watch")];
    LatestReads += request.Method == "GET" && !cheap ? 1 : 0;
    switch (Outage) {
    case Outages::None:
      break;
    case Outages::NotFound:
      return answer(id, 404, nullptr);
    case Outages::TooMany:
      return answer(id, 429, nullptr);
    case Outages::Unavailable:
      return answer(id, 503, nullptr);
    case Outages::Reset: // No status: what the client reads is no response.
      return Server.answer(id, {0, {}, ""});
    case Outages::Silence:
      return;
    }
    if (request.Method == "POST") {
      return create(id, kind, request.Body);
    }
    if (!from.empty()) {
      if (HistoryGone) {
        return answer(id, 410, nullptr);
      }
      Watches.push_back({id, kind});
      return;
    }
    boost::json::array items;
    for (const auto &[name, it] : Objects[kind]) {
      items.push_back(object(kind, name));
    }
    answer(id, 200,
           {{"items", items}, {"has_more", false}, {"as_of", LastRevision}});
  }

  void create(http::ExchangeId id, const std::string &kind,
              const std::string &body) {
    const auto read = boost::json::parse(body);
    const std::string name = read.at("metadata").at("name").as_string().c_str();
    if (Objects[kind].contains(name)) {
      return answer(id, 409, object(kind, name));
    }
    put(kind, name, read.at("specification"));
    answer(id, 200, object(kind, name));
  }

  http::Server Server;
  std::uint64_t LastRevision = 1;
  std::map<std::string, std::map<std::string, Stored>> Objects;
  std::vector<Watch> Watches;
};

} // namespace zinniarail::store
