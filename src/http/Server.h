/// \file
/// Serves HTTP/1.1 connections: whole requests in, whole responses out, in the
/// order of the requests. Requests that were sent behind others are handed on
/// before those are answered, unless they must wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <ev.h>

#include "http/Message.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Configuration.h"

namespace zinniarail::http {

/// One request until its answer, unique in its process.
using ExchangeId = std::uint64_t;

/// Who serves the requests.
struct ServerHandlers {
  /// Whether a request may be handed on while those before it on its connection
  /// still wait. One that runs once at most may not: behind a response that
  /// closes the connection it counts as not read, and the caller repeats it.
  std::function<bool(const Request &)> MayOvertake;
  std::function<void(ExchangeId, Request)> Arrived;
  /// The caller went away; an answer to it does nothing any more.
  std::function<void(ExchangeId)> Gone;
};

/// Owns the listening socket and its connections. Used on one thread, that of
/// its loop. Handlers are called from the loop, never from within answer.
class Server {
public:
  /// \param loop outlives the server.
  Server(struct ev_loop *loop, ServerHandlers handlers);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Listens on "ip:port".
  /// \returns whether the port could be bound.
  bool listen(const std::string &address);

  /// Closes the listening socket; connections go on.
  void stopListening();

  /// Bounds for what is read from now on.
  void setLimits(const CallerLimits &limits) { Limits = limits; }

  /// Gives an exchange its response.
  void answer(ExchangeId id, const Response &response);

  /// Gives an exchange the bytes that are to be its response.
  /// \param close ends the connection behind them.
  void answerBytes(ExchangeId id, std::string bytes, bool close);

  /// Every response closes its connection from now on.
  void closeAfterAnswers() { Closing = true; }

  /// Closes the connections on which nothing waits for an answer.
  void closeIdle();

  /// Exchanges without their whole answer written.
  std::size_t openExchanges() const;

  std::size_t connections() const { return Open.size(); }

private:
  struct Slot;
  struct Connection;

  static Slot &slotOf(Connection &connection, ExchangeId id);
  void accept();
  void noteNotTaken();
  void readFrom(Connection &connection);
  bool receive(Connection &connection);
  void parse(Connection &connection);
  void handOn(Connection &connection);
  void refuse(Connection &connection, unsigned status);
  void flush(Connection &connection);
  void writeTo(Connection &connection);
  void endWriting(Connection &connection);
  void setTimer(Connection &connection);
  void onTimer(Connection &connection);
  void drop(Connection &connection);

  struct ev_loop *Loop;
  ServerHandlers Handlers;
  Instant NotTakenAt{}; ///< When a connection could not be accepted.
  CallerLimits Limits;
  int Listener = -1;
  ev_io Arrival{};
  bool Closing = false;
  ExchangeId LastId = 0;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Open;
  std::unordered_map<ExchangeId, Connection *> Waiting;
};

} // namespace zinniarail::http
