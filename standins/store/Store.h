/// \file
/// In-memory stand-in for the platform's metadata store: objects grouped by
/// kind, with revisions, paged lists, watches and conditional writes, and with
/// faults that tests can inject.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/json/value.hpp>
#include <ev.h>

#include "http/Server.h"
#include "zinniarail/core/Random.h"

namespace zinniarail::standins {

/// How the store responds to every call during an outage.
enum class OutageMode : std::uint8_t {
  None,
  NotFound,        ///< 404
  TooManyRequests, ///< 429
  Unavailable,     ///< 503
  Garbage,         ///< Bytes that are not an HTTP response.
  NoResponse,      ///< Calls stay open without a response.
};

/// Injected faults of the store. They may change at any time.
struct StoreFaults {
  OutageMode ActiveOutage = OutageMode::None;
  Duration Delay{0}; ///< Added to each response, except in an outage.
  /// Fraction of writes that are applied but whose connection closes without a
  /// response.
  double LostResponseFraction = 0;
  /// A change does not end the watches that wait for it; they end when their
  /// wait is over.
  bool LoseNotifications = false;
  /// Reads that must not be stale get 429.
  bool RefuseLatestReads = false;
};

/// Serves the store over HTTP. Used only on the thread of its loop.
class Store {
public:
  /// \param loop event loop; it must outlive the store.
  explicit Store(struct ev_loop *loop, std::uint64_t seed = 1);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  bool listen(const std::string &address);

  /// Writes an object as an operator or an upstream would, unaffected by the
  /// injected faults. Watches on its kind are notified.
  void put(const std::string &kind, const std::string &name,
           boost::json::value content);
  void remove(const std::string &kind, const std::string &name);

  /// As put, with the bytes of a JSON value, which need not be valid.
  void putBytes(const std::string &kind, const std::string &name,
                const std::string &bytes);

  /// Discards the history of changes. Watches from an earlier revision get 410
  /// once their kind has changed again.
  void dropHistory();

  /// Discards the history of changes and disconnects all watches.
  void compactHistory();

  /// The contents of the store at one moment.
  struct Copy;
  Copy takeCopy() const;

  /// Replaces the contents and the revision by those of a copy, and starts the
  /// next era. Pending watches keep waiting; watches from a revision that the
  /// store doesn't have get 410.
  void restore(const Copy &copy);

  /// Until endStaleReads, reads that may be stale reflect the store as it is
  /// now.
  void beginStaleReads();
  void endStaleReads();

  /// Closes the connection of every pending watch without a response.
  void disconnectWatches();

  /// \returns the object's content, or null if the object does not exist.
  const boost::json::value *find(const std::string &kind,
                                 const std::string &name) const;

  /// \returns the object's status, or null if the object does not exist.
  const boost::json::value *findStatus(const std::string &kind,
                                       const std::string &name) const;

  StoreFaults Faults;
  /// Number of calls by method; watches count as "GET watch".
  std::map<std::string, unsigned> Calls;
  /// Number of GET calls, watches included, that must not be stale: those
  /// without serializable=1.
  unsigned LatestReads = 0;

  unsigned totalCalls() const;

  /// Number of watches that wait for a change.
  std::size_t pendingWatches() const { return Watches.size(); }

  std::uint64_t era() const { return Era; }

private:
  struct StoredObject {
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
    std::uint64_t AfterRevision = 0;
    bool MayBeStale = false;
    Instant Deadline{};
  };
  struct DelayedResponse {
    Instant SendAt{};
    http::ExchangeId Id = 0;
    http::Response Response;
  };

  std::string serialize(const boost::json::value &body) const;
  void handleRequest(http::ExchangeId id, const http::Request &request);
  void handleRead(http::ExchangeId id, const std::string &kind,
                  const std::string &name, const http::Request &request);
  void handleWatch(Watch watch, Duration wait);
  void answerAffectedWatches(const std::string &kind);
  void handleWrite(http::ExchangeId id, const std::string &kind,
                   const std::string &name, bool isStatus,
                   const http::Request &request);
  void putStatus(const std::string &kind, const std::string &name,
                 boost::json::value status);
  void respond(http::ExchangeId id, unsigned status,
               const boost::json::value &body);
  void respondWithOutage(http::ExchangeId id);
  http::Headers eraHeader() const;
  void recordChange(const std::string &kind, const boost::json::value &object,
                    bool deleted);
  boost::json::value toJson(const std::string &name,
                            const StoredObject &it) const;
  void tick();

  struct ev_loop *Loop;
  Random Rng;
  http::Server Server;
  ev_timer Timer{};
  std::uint64_t Era = 1; ///< Stated in all responses.
  std::uint64_t Revision = 1;
  std::uint64_t CompactedRevision = 1; ///< History holds all later changes.
  using ObjectsByKind =
      std::map<std::string, std::map<std::string, StoredObject>>;
  ObjectsByKind Objects;
  std::unique_ptr<const Copy> StaleCopy; ///< What stale reads see, if set.
  /// The bytes of putBytes, by the string that stands for them in the objects.
  std::map<std::string, std::string> Verbatim;
  std::deque<Change> History;
  std::list<Watch> Watches;
  std::list<DelayedResponse> DelayedResponses;
};

struct Store::Copy {
  std::uint64_t Revision = 0;
  ObjectsByKind Objects;
};

} // namespace zinniarail::standins
