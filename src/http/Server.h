/// \file
/// HTTP/1.1 server: takes whole requests and sends whole responses, in the
/// order of the requests. A pipelined request is dispatched before earlier ones
/// on its connection have their responses, unless it must wait for these.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/beast/core/error.hpp>
#include <ev.h>

#include "http/Message.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Configuration.h"

namespace zinniarail::http {

/// Identifies a request until its response is sent; unique in its server.
using ExchangeId = std::uint64_t;

/// About what a connection takes without any request.
constexpr std::size_t IdleBytes = std::size_t{2} << 10;

/// A server's part of what all servers of a process share.
struct ServerShare {
  /// Counts the bytes held for callers, which then give way when there are too
  /// many; null: they are not counted. Must outlive the server and its
  /// requests.
  ByteBudget *Budget = nullptr;
  /// Beyond it, connections without progress for the longest time are closed,
  /// or new ones wait to be accepted.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
};

/// Limits of the requests to servers that need no large ones: those for
/// addresses, readiness, other instances and operators.
constexpr CallerLimits InternalLimits{.MaxHeaderBytes = std::size_t{32} << 10,
                                      .MaxBodyBytes = std::size_t{256} << 10};

/// Callbacks of a server.
struct ServerHandlers {
  /// Whether a pipelined request may be dispatched before earlier ones on its
  /// connection have their responses. One that must run at most once may not:
  /// if an earlier response closes the connection, the caller assumes that the
  /// request did not run and repeats it.
  std::function<bool(const Request &)> MayRunConcurrently;
  std::function<void(ExchangeId, Request)> OnRequest;
  /// The exchange ended without its response: the caller disconnected, or an
  /// earlier response closed the connection. A later response is ignored.
  std::function<void(ExchangeId)> OnAbandoned;
  /// Builds the response to a request that is refused for want of memory before
  /// it is dispatched; its body may be missing. Empty: a plain 503.
  std::function<Response(const Request &)> RefuseForMemory = {};
};

/// Owns the listening socket and its connections. Used on one thread, that of
/// its loop. OnRequest is called from the loop, never from within sendResponse;
/// OnAbandoned may be called from within sendResponse, for other exchanges.
class Server {
public:
  /// \param loop event loop; must outlive the server.
  Server(struct ev_loop *loop, ServerHandlers handlers, ServerShare share = {});
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Listens on "ip:port".
  /// \returns whether the port could be bound.
  bool listen(const std::string &address);

  /// Closes the listening socket; open connections are still served.
  void stopListening();

  /// Sets the limits of the requests that are read from now on.
  void setLimits(const CallerLimits &limits) { Limits = limits; }

  /// Sets how many requests are taken in one iteration of the loop; connections
  /// with more take turns. At least 1.
  void setMaxRequestsPerIteration(std::size_t most) {
    MaxRequestsPerIteration = most;
  }

  /// Makes connections give way while more bytes are held than there may be.
  /// To be called from time to time: who stalls doesn't show by itself.
  void relieve();

  /// Closes the connection with the most unread response bytes, among those
  /// whose callers have stopped reading. \returns whether there was one.
  bool closeSlowReader();

  /// Sends the response of an exchange; does nothing if the exchange has ended.
  void sendResponse(ExchangeId id, Response response);

  /// Sends raw bytes, unchanged, as the response of an exchange.
  /// \param close whether the connection closes after these bytes.
  void sendRawResponse(ExchangeId id, std::string bytes, bool close);

  /// From now on, connections close after their responses: those to all
  /// requests that have been read. None is read behind an open one any more.
  void closeAfterResponses() { CloseAfterResponses = true; }

  /// Closes the connections with no request being read or answered.
  void closeIdle();

  /// Requests that were read and whose response was not, plus connections with
  /// unwritten response bytes or with requests that await their turn.
  std::size_t openExchanges() const;

  std::size_t connections() const { return Connections.size(); }

private:
  struct Exchange;
  struct Connection;
  struct OutputPart;
  struct HolderList;

  static Exchange &findExchange(Connection &connection, ExchangeId id);
  void accept();
  void logAcceptFailure();
  void readFrom(Connection &connection);
  std::size_t maxUnparsedBytes() const;
  bool mayParse(const Connection &connection) const;
  bool receive(Connection &connection);
  std::size_t parseSome(Connection &connection, boost::beast::error_code &ec);
  void parse(Connection &connection);
  bool mayTakeRequest(std::size_t taken);
  void awaitTurn(Connection &connection);
  void startTurnTimer();
  void stopAwaitingTurn(Connection &connection);
  void takeTurns();
  void dispatchRequests(Connection &connection);
  void rejectRequest(Connection &connection, unsigned status);
  void rejectWith(Connection &connection, const Response &response,
                  bool isHead);
  Response makeMemoryRefusal(const Request &request) const;
  bool mayDispatch(const Connection &connection) const;
  static void describeRequest(const Connection &connection, Holder &holder);
  template <typename Describe> HolderList listHolders(Describe describe) const;
  std::size_t maxBodySize(const Connection &connection) const;
  std::size_t largeRoomWanted(const Connection &connection) const;
  bool hasLargeRoom(const Connection &connection) const;
  bool takeRoom(Connection &connection);
  void admitWaiting();
  void admit(Connection &connection);
  void stopWaiting(Connection &connection);
  void onRoomWaitOver(Connection &connection);
  void giveWay(Connection &connection, Relief way);
  bool relieveLarge(const Connection &connection);
  void relieveSmall();
  void relieveResponses();
  void updateCharge(Connection &connection);
  void prepareRequest(Connection &connection);
  void finishRequest(Connection &connection);
  void startWatching(Connection &connection);
  bool makeRoomForConnection();
  void pauseAccepting();
  void appendOutput(Connection &connection, std::string bytes);
  void recordSent(Connection &connection, std::size_t n);
  void flushResponses(Connection &connection);
  void writeTo(Connection &connection);
  void onOutputWritten(Connection &connection);
  void setTimer(Connection &connection);
  void onTimer(Connection &connection);
  void closeConnection(Connection &connection);
  /// Ends the exchanges of a connection; later responses to them are ignored.
  /// \returns those that were dispatched and have no response.
  std::vector<ExchangeId> endExchanges(Connection &connection);
  /// Called last: a handler may respond to any other exchange of the server.
  void reportAbandoned(const std::vector<ExchangeId> &abandoned);

  struct ev_loop *Loop;
  ServerHandlers Handlers;
  ByteBudget *Budget;
  std::size_t MaxConnections;
  std::size_t MaxRequestsPerIteration = 256;
  std::size_t RequestsTaken = 0; ///< In the iteration TakenInIteration.
  unsigned TakenInIteration = 0;
  /// Connections with more requests than they could take at once, in order.
  std::deque<Connection *> AwaitingTurn;
  ev_timer TurnTimer{};     ///< Active while AwaitingTurn is not empty.
  ev_timer AcceptTimer{};   ///< Active while accepting pauses.
  ev_prepare RoomWatcher{}; ///< Active while AwaitingRoom is not empty.
  /// Connections whose large bodies wait for room, in order of arrival.
  std::deque<Connection *> AwaitingRoom;
  /// Bytes held of large bodies when AwaitingRoom was last gone through.
  std::size_t LargeHeldAtCheck = 0;
  Instant AcceptFailureLoggedAt{};
  CallerLimits Limits;
  int Listener = -1;
  ev_io AcceptWatcher{};
  bool CloseAfterResponses = false;
  ExchangeId LastId = 0;
  std::uint64_t LastConnection = 0;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  /// The connections of the dispatched requests without a response.
  std::unordered_map<ExchangeId, Connection *> Unanswered;
};

} // namespace zinniarail::http
