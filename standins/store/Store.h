/// \file
/// The platform's metadata store as its page describes it: objects of kinds,
/// with revisions, lists, watches and conditional writes, and the faults that
/// it can be told to have.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <boost/json/value.hpp>
#include <ev.h>

#include "http/Server.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// How the store fails, for every call.
enum class Outage : std::uint8_t {
  None,
  NotFound,    ///< 404
  TooMany,     ///< 429
  Unavailable, ///< 503
  Garbage,     ///< Bytes that are no response.
  Silence,     ///< Calls are never answered.
};

/// What the store suffers. Change them at any time.
struct StoreFaults {
  Outage Out = Outage::None;
  Duration Delay{0};      ///< Of each answer.
  double LoseAnswers = 0; ///< Share of writes that are done and not answered.
};

/// Used on one thread, that of its loop.
class Store {
public:
  /// \param loop outlives the store.
  explicit Store(struct ev_loop *loop, std::uint64_t seed = 1);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  bool listen(const std::string &address);

  /// Writes as an operator or an upstream does, beside every fault.
  void put(const std::string &kind, const std::string &name,
           boost::json::value content);
  void remove(const std::string &kind, const std::string &name);

  /// Drops the history without a word: watches from before hear nothing of it,
  /// and are cut.
  void forgetHistory();

  /// Ends every call that waits, as if its connection broke.
  void cutWatches();

  /// An object's content; null when there is none.
  const boost::json::value *find(const std::string &kind,
                                 const std::string &name) const;

  StoreFaults Faults;
  std::map<std::string, unsigned> Calls; ///< "GET", "GET watch", "POST" ...
  unsigned LatestReads = 0;              ///< Those that may not lag.

  unsigned calls() const;

  /// Watches that wait for a change.
  std::size_t waiting() const { return Watches.size(); }

private:
  struct Stored {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    boost::json::value Content;
    boost::json::value Status;
  };
  struct Change {
    std::uint64_t Revision = 0;
    std::string Kind;
    boost::json::value Event;
  };
  struct Watch {
    http::ExchangeId Id = 0;
    std::string Kind;
    std::uint64_t After = 0;
    Instant Until{};
  };
  struct Late {
    Instant At{};
    http::ExchangeId Id = 0;
    http::Response Response;
  };

  void serve(http::ExchangeId id, const http::Request &request);
  void read(http::ExchangeId id, const std::string &kind,
            const std::string &name, const http::Request &request);
  void watch(http::ExchangeId id, const std::string &kind, std::uint64_t after,
             Duration wait);
  void write(http::ExchangeId id, const std::string &kind,
             const std::string &name, const http::Request &request);
  void answer(http::ExchangeId id, unsigned status,
              const boost::json::value &body);
  void fail(http::ExchangeId id);
  void note(const std::string &kind, const boost::json::value &object,
            bool deleted);
  boost::json::value describe(const std::string &name, const Stored &it) const;
  void tick();

  struct ev_loop *Loop;
  Random Draws;
  http::Server Server;
  ev_timer Timer{};
  std::uint64_t Revision = 1;
  std::uint64_t HistoryFrom = 1; ///< Changes beyond it are known.
  std::map<std::string, std::map<std::string, Stored>> Objects;
  std::deque<Change> History;
  std::list<Watch> Watches;
  std::list<Late> Answers;
};

} // namespace zinniarail::standins
