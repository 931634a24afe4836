#include "http/Server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <vector>

#include "http/ServerConnection.h"
#include "http/Sockets.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::http {

namespace {

// Maximum number of connections accepted in one iteration of the loop, so that
// a burst of new connections does not delay the open ones.
constexpr int MaxAcceptsPerWakeup = 64;

// Maximum number of requests of one connection that await their responses;
// further ones stay unparsed.
constexpr std::size_t MaxPipelinedRequests = 32;

// Maximum number of requests that a connection takes before others with more
// requests have their turn.
constexpr std::size_t MaxRequestsPerTurn = 8;

// Memory for input that an idle connection keeps.
constexpr std::size_t MaxKeptInput = std::size_t{4} << 10;

constexpr std::size_t ReadChunkBytes = std::size_t{16} << 10;

// Maximum number of bytes read from one connection in one iteration of the
// loop: a fast sender must not keep the loop from the other connections.
constexpr std::size_t MaxReadBytesPerWakeup = std::size_t{64} << 10;

// How long a closing connection is still read after its last response. Unread
// bytes would make the kernel reset it before the caller has that response.
constexpr Duration LingerTime = std::chrono::seconds{1};

// Unread response bytes of one connection above which its requests stay
// unparsed: a caller may send many while it reads no response.
constexpr std::size_t MaxUnreadBytes = std::size_t{64} << 10;

// Responses up to this size are joined, so that one call sends several.
constexpr std::size_t MaxJoinedBytes = std::size_t{16} << 10;

constexpr unsigned Http11 = 11; // As Beast numbers versions.

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;

Request takeRequest(Parser &parser) {
  auto message = parser.release();
  Request request = headOf(message);
  request.Body = std::move(message.body());
  return request;
}

// With other transfer codings the end of a body is unknown, and bytes of the
// body would be read as the next request (RFC 9112, section 6.3). Before
// HTTP/1.1 there are none (section 6.1).
bool isFramingKnown(const Parser::value_type &message) {
  const auto [first, last] =
      message.base().equal_range(beast::field::transfer_encoding);
  return first == last ||
         (std::next(first) == last && message.version() >= Http11 &&
          isSameHeaderName(std::string_view(first->value()), "chunked"));
}

unsigned statusForError(const boost::beast::error_code &ec) {
  if (ec == beast::error::body_limit) {
    return PayloadTooLarge;
  }
  return ec == beast::error::header_limit ? HeadersTooLarge : BadRequest;
}

} // namespace

Server::Exchange &Server::findExchange(Connection &connection, ExchangeId id) {
  return *std::find_if(connection.Exchanges.begin(), connection.Exchanges.end(),
                       [&](const Exchange &it) { return it.Id == id; });
}

Server::Server(struct ev_loop *loop, ServerHandlers handlers, ServerShare share)
    : Loop(loop), Handlers(std::move(handlers)), Budget(share.Budget),
      MaxConnections(share.MaxConnections) {
  ev_timer_init(
      &AcceptTimer,
      [](struct ev_loop *, ev_timer *it, int) {
        auto *server = static_cast<Server *>(it->data);
        if (server->Listener >= 0) {
          ev_io_start(server->Loop, &server->AcceptWatcher);
        }
      },
      0, 0);
  ev_prepare_init(&RoomWatcher, [](struct ev_loop *, ev_prepare *it, int) {
    static_cast<Server *>(it->data)->admitWaiting();
  });
  ev_timer_init(
      &TurnTimer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<Server *>(it->data)->takeTurns();
      },
      0, 0);
  AcceptTimer.data = RoomWatcher.data = TurnTimer.data = this;
}

Server::~Server() {
  stopListening();
  ev_prepare_stop(Loop, &RoomWatcher);
  ev_timer_stop(Loop, &TurnTimer);
  for (auto &[it, owned] : Connections) {
    ev_io_stop(Loop, &it->ReadWatcher);
    ev_io_stop(Loop, &it->WriteWatcher);
    ev_timer_stop(Loop, &it->Timer);
    close(it->Fd);
  }
}

bool Server::listen(const std::string &address) {
  Listener = listenOn(address);
  if (Listener < 0) {
    return false;
  }
  ev_io_init(
      &AcceptWatcher,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<Server *>(it->data)->accept();
      },
      Listener, EV_READ);
  AcceptWatcher.data = this;
  ev_io_start(Loop, &AcceptWatcher);
  return true;
}

void Server::stopListening() {
  if (Listener >= 0) {
    ev_io_stop(Loop, &AcceptWatcher);
    ev_timer_stop(Loop, &AcceptTimer);
    close(Listener);
    Listener = -1;
  }
}

// While no file descriptor is free, accept4 fails in each iteration of the
// loop; at most one line a second is logged.
void Server::logAcceptFailure() {
  const int error = errno;
  const Instant now = readClock();
  const bool isFailure = error != EAGAIN && error != EWOULDBLOCK &&
                         error != EINTR && error != ECONNABORTED;
  if (isFailure && now - AcceptFailureLoggedAt >= std::chrono::seconds{1}) {
    AcceptFailureLoggedAt = now;
    logEvent(EventId::ConnectionNotTaken, std::strerror(error));
  }
}

void Server::accept() {
  for (int n = 0; n < MaxAcceptsPerWakeup; ++n) {
    if (Connections.size() >= MaxConnections && !makeRoomForConnection()) {
      return pauseAccepting();
    }
    const int fd =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      logAcceptFailure();
      return;
    }
    setTcpNoDelay(fd);
    auto owned = std::make_unique<Connection>();
    Connection &it = *owned;
    Connections.emplace(&it, std::move(owned));
    it.Owner = this;
    it.Id = ++LastConnection;
    it.Fd = fd;
    it.LastActiveAt = it.InputProgressAt = readClock();
    it.SmallRoom = it.LargeRoom = Charge(Budget);
    it.SmallRoom.set(HeldKind::Small, IdleBytes);
    startWatching(it);
  }
}

void Server::startWatching(Connection &it) {
  const int fd = it.Fd;
  ev_io_init(
      &it.ReadWatcher,
      [](struct ev_loop *, ev_io *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->readFrom(*connection);
      },
      fd, EV_READ);
  ev_io_init(
      &it.WriteWatcher,
      [](struct ev_loop *, ev_io *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->writeTo(*connection);
      },
      fd, EV_WRITE);
  ev_timer_init(
      &it.Timer,
      [](struct ev_loop *, ev_timer *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->onTimer(*connection);
      },
      0, 0);
  it.ReadWatcher.data = it.WriteWatcher.data = it.Timer.data = &it;
  ev_io_start(Loop, &it.ReadWatcher);
  setTimer(it);
}

std::size_t Server::maxUnparsedBytes() const {
  return std::max(MinUnparsedLimit, Limits.MaxHeaderBytes + ReadChunkBytes);
}

/// \returns false when the connection was closed.
bool Server::receive(Connection &connection) {
  if (!connection.takesNoRequests() &&
      connection.Input.size() > maxUnparsedBytes()) {
    return true; // It is called to parse more, after output was written.
  }
  std::array<char, ReadChunkBytes> chunk;
  std::size_t received = 0;
  while (received < MaxReadBytesPerWakeup) {
    const ssize_t n =
        recv(connection.Fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    if (n <= 0) {
      closeConnection(connection);
      return false;
    }
    received += static_cast<std::size_t>(n);
    if (connection.takesNoRequests()) {
      continue; // Bytes after a closing response are discarded.
    }
    connection.InputProgress += static_cast<std::size_t>(n);
    if (connection.InputProgress >= MinProgressBytes) {
      connection.InputProgress = 0;
      connection.InputProgressAt = readClock();
    }
    connection.Input.append(chunk.data(), static_cast<std::size_t>(n));
    if (static_cast<std::size_t>(n) < chunk.size() ||
        connection.Input.size() > maxUnparsedBytes()) {
      return true;
    }
  }
  return true;
}

void Server::readFrom(Connection &connection) {
  if (connection.AwaitsRoom || connection.AwaitsTurn || !receive(connection)) {
    return;
  }
  if (connection.Closing) {
    return;
  }
  connection.LastActiveAt = readClock();
  if (AwaitingTurn.empty()) {
    parse(connection);
  } else {
    awaitTurn(connection);
    setTimer(connection);
    updateCharge(connection);
  }
  relieve();
}

// Whether a connection that has taken some requests may take another.
bool Server::mayTakeRequest(std::size_t taken) {
  if (TakenInIteration != ev_iteration(Loop)) {
    TakenInIteration = ev_iteration(Loop);
    RequestsTaken = 0;
  }
  return taken < MaxRequestsPerTurn && RequestsTaken < MaxRequestsPerIteration;
}

void Server::awaitTurn(Connection &connection) {
  ev_io_stop(Loop, &connection.ReadWatcher);
  connection.AwaitsTurn = true;
  AwaitingTurn.push_back(&connection);
  startTurnTimer();
}

void Server::startTurnTimer() {
  if (!ev_is_active(&TurnTimer)) {
    ev_timer_set(&TurnTimer, 0, 0);
    ev_timer_start(Loop, &TurnTimer);
  }
}

void Server::stopAwaitingTurn(Connection &connection) {
  if (std::exchange(connection.AwaitsTurn, false)) {
    std::erase(AwaitingTurn, &connection);
  }
}

// Lets each connection that waits have one turn, or as many as may have one in
// this iteration of the loop. The others wait for the next.
void Server::takeTurns() {
  for (std::size_t n = AwaitingTurn.size();
       n > 0 && !AwaitingTurn.empty() && mayTakeRequest(0); --n) {
    Connection &next = *AwaitingTurn.front();
    AwaitingTurn.pop_front();
    next.AwaitsTurn = false;
    parse(next);
    relieve();
  }
  if (!AwaitingTurn.empty()) {
    startTurnTimer();
  }
}

bool Server::mayParse(const Connection &connection) const {
  // Before a close, what comes behind an open request stays unread: its caller
  // sends it again elsewhere, and whatever was read gets its response here.
  const bool endsHere = CloseAfterResponses && !connection.Exchanges.empty();
  if (endsHere || connection.takesNoRequests() || connection.Input.empty() ||
      connection.Exchanges.size() >= MaxPipelinedRequests ||
      connection.unreadBytes() >= MaxUnreadBytes) {
    return false;
  }
  if (Budget == nullptr) {
    return true;
  }
  // While responses are short of room, each caller gets one at a time.
  const bool isFree = connection.Exchanges.empty() && connection.Output.empty();
  return (isFree || !Budget->isOver(HeldKind::Response)) &&
         connection.pendingBytes() < MinUnparsedLimit;
}

// Starts the parser of a request at its first bytes. A body that grows without
// a known length would be copied each time that it outgrows its memory; memory
// that is reserved and not written to costs nothing.
void Server::prepareRequest(Connection &connection) {
  if (!connection.RequestParser) {
    connection.RequestParser.emplace();
    connection.RequestParser->eager(true);
    connection.RequestParser->header_limit(
        static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
    connection.RequestParser->body_limit(Limits.MaxBodyBytes);
    connection.RequestStartedAt = readClock();
    connection.HeadBytes = connection.HeadFields = 0;
    connection.InputProgressAt = connection.RequestStartedAt;
  }
  std::string &body = connection.RequestParser->get().body();
  if (body.size() > MaxSmallBody &&
      body.capacity() - body.size() < connection.Input.size()) {
    body.reserve(Limits.MaxBodyBytes);
  }
}

void Server::finishRequest(Connection &connection) {
  Exchange &exchange = connection.Exchanges.emplace_back();
  exchange.Id = ++LastId;
  exchange.ClosesConnection = !connection.RequestParser->keep_alive();
  exchange.PendingRequest = takeRequest(*connection.RequestParser);
  exchange.PendingRequest->Connection = connection.Id;
  exchange.IsHead = exchange.PendingRequest->Method == "HEAD";
  Charge &held = exchange.PendingRequest->Held;
  const bool isLarge = connection.LargeRoom.bytes() > 0;
  held = isLarge ? std::exchange(connection.LargeRoom, Charge(Budget))
                 : Charge(Budget);
  held.set(isLarge ? HeldKind::Large : HeldKind::Small,
           memoryOf(*exchange.PendingRequest));
  connection.RequestParser.reset();
  connection.InputProgressAt = readClock();
}

// Parses more of the request that is being read.
// \returns the number of bytes that were parsed.
std::size_t Server::parseSome(Connection &connection,
                              boost::beast::error_code &ec) {
  Parser &parser = *connection.RequestParser;
  const bool wasHead = !parser.is_header_done();
  const std::size_t used = parser.put(
      boost::asio::buffer(connection.Input.data(), connection.Input.size()),
      ec);
  if (wasHead && parser.is_header_done()) {
    connection.HeadFields = countFields(parser.get());
  } else if (wasHead) {
    connection.HeadFields +=
        countLines(std::string_view(connection.Input).substr(0, used));
  }
  connection.Input.erase(0, used);
  // The parser does not limit the total of a head that it parses field by
  // field.
  connection.HeadBytes += used;
  return used;
}

void Server::parse(Connection &connection) {
  std::size_t taken = 0;
  while (mayParse(connection)) {
    if (!mayTakeRequest(taken)) {
      awaitTurn(connection);
      break;
    }
    if (!takeRoom(connection)) {
      break;
    }
    prepareRequest(connection);
    boost::beast::error_code ec;
    const std::size_t used = parseSome(connection, ec);
    if (!connection.RequestParser->is_header_done() &&
        connection.HeadBytes + connection.Input.size() >
            Limits.MaxHeaderBytes) {
      rejectRequest(connection, HeadersTooLarge);
      break;
    }
    if (connection.RequestParser->is_header_done() &&
        !isFramingKnown(connection.RequestParser->get())) {
      rejectRequest(connection, BadRequest);
      break;
    }
    if (ec == beast::error::need_more) {
      break;
    }
    if (ec) {
      rejectRequest(connection, statusForError(ec));
      break;
    }
    if (!connection.RequestParser->is_done()) {
      if (used == 0) {
        break;
      }
      continue;
    }
    finishRequest(connection);
    ++taken;
    ++RequestsTaken;
  }
  if (connection.Input.empty() && connection.Input.capacity() > MaxKeptInput) {
    std::string().swap(connection.Input);
  }
  // Reading pauses while too much input is unparsed.
  const bool hasEnough = connection.Input.size() > maxUnparsedBytes();
  if (connection.AwaitsRoom || connection.AwaitsTurn ||
      (hasEnough && !connection.Closing)) {
    ev_io_stop(Loop, &connection.ReadWatcher);
  } else {
    ev_io_start(Loop, &connection.ReadWatcher);
  }
  setTimer(connection);
  updateCharge(connection);
  dispatchRequests(connection);
}

void Server::dispatchRequests(Connection &connection) {
  // A handler may respond at once, which changes the list of exchanges.
  std::vector<std::pair<ExchangeId, Request>> ready;
  bool first = true;
  for (Exchange &it : connection.Exchanges) {
    if (it.PendingRequest) {
      if (!first && !Handlers.MayRunConcurrently(*it.PendingRequest)) {
        break;
      }
      Unanswered.emplace(it.Id, &connection);
      ready.emplace_back(it.Id, std::move(*it.PendingRequest));
      it.PendingRequest.reset();
    }
    first = false;
  }
  for (auto &[id, request] : ready) {
    // An earlier handler may have ended the exchange.
    if (!Unanswered.contains(id)) {
      continue;
    }
    if (mayDispatch(connection)) {
      Handlers.OnRequest(id, std::move(request));
    } else {
      ++Budget->Refused;
      request.Held = Charge();
      sendResponse(id, makeMemoryRefusal(request));
    }
  }
}

void Server::rejectRequest(Connection &connection, unsigned status) {
  rejectWith(connection, {status, {}, {}}, false);
}

// Responds to the request that is being read and closes the connection.
void Server::rejectWith(Connection &connection, const Response &response,
                        bool isHead) {
  Exchange &exchange = connection.Exchanges.emplace_back();
  exchange.ClosesConnection = true;
  exchange.ResponseBytes = serializeResponse(response, isHead, true);
  connection.RequestParser.reset();
  std::string().swap(connection.Input);
  connection.LargeRoom.set(HeldKind::Large, 0);
  updateCharge(connection);
  flushResponses(connection);
}

void Server::sendResponse(ExchangeId id, Response response) {
  const auto found = Unanswered.find(id);
  if (found == Unanswered.end()) {
    return;
  }
  Exchange &exchange = findExchange(*found->second, id);
  // Requests behind a closing response count as not read, so that only the last
  // response may close the connection.
  const bool isLast = &exchange == &found->second->Exchanges.back();
  const bool shouldClose =
      exchange.ClosesConnection || (CloseAfterResponses && isLast);
  std::string bytes = serializeResponseHead(response, shouldClose);
  response.Held = Charge();
  if (!exchange.IsHead && hasBody(response.Status)) {
    if (response.Body.size() <= MaxJoinedBytes) {
      bytes += response.Body;
    } else {
      exchange.ResponseBody = std::move(response.Body);
    }
  }
  sendRawResponse(id, std::move(bytes), shouldClose);
}

void Server::sendRawResponse(ExchangeId id, std::string bytes, bool close) {
  const auto found = Unanswered.find(id);
  if (found == Unanswered.end()) {
    return;
  }
  Connection &connection = *found->second;
  Unanswered.erase(found);
  Exchange &exchange = findExchange(connection, id);
  exchange.ClosesConnection = close;
  exchange.ResponseHeld = Charge(Budget);
  exchange.ResponseHeld.set(HeldKind::Response,
                            bytes.size() + exchange.ResponseBody.size());
  exchange.ResponseBytes = std::move(bytes);
  flushResponses(connection);
}

void Server::appendOutput(Connection &connection, std::string bytes) {
  if (bytes.empty()) {
    return;
  }
  if (connection.Output.empty()) {
    connection.OutputProgressAt = readClock();
    connection.OutputProgress = 0;
  }
  connection.OutputBytes += bytes.size();
  if (!connection.Output.empty() &&
      connection.Output.back().Bytes.size() + bytes.size() <= MaxJoinedBytes) {
    connection.Output.back().Bytes += bytes;
  } else {
    connection.Output.push_back({std::move(bytes), Charge(Budget)});
  }
  OutputPart &last = connection.Output.back();
  last.Held.set(HeldKind::Response, last.Bytes.size());
}

void Server::flushResponses(Connection &connection) {
  while (!connection.Closing && !connection.Exchanges.empty() &&
         connection.Exchanges.front().ResponseBytes) {
    Exchange &first = connection.Exchanges.front();
    first.ResponseHeld = Charge();
    appendOutput(connection, std::move(*first.ResponseBytes));
    appendOutput(connection, std::move(first.ResponseBody));
    connection.Closing = first.ClosesConnection;
    connection.Exchanges.pop_front();
  }
  std::vector<ExchangeId> abandoned;
  if (connection.Closing) {
    // Requests after a closing response count as not received, and their caller
    // may repeat them.
    abandoned = endExchanges(connection);
    std::string().swap(connection.Input);
    connection.RequestParser.reset();
    stopWaiting(connection);
    stopAwaitingTurn(connection);
    connection.LargeRoom.set(HeldKind::Large, 0);
    updateCharge(connection);
    ev_io_start(Loop, &connection.ReadWatcher);
  }
  writeTo(connection);
  reportAbandoned(abandoned);
}

std::vector<ExchangeId> Server::endExchanges(Connection &connection) {
  std::vector<ExchangeId> abandoned;
  for (const Exchange &it : connection.Exchanges) {
    if (Unanswered.erase(it.Id) != 0) {
      abandoned.push_back(it.Id);
    }
  }
  connection.Exchanges.clear();
  return abandoned;
}

void Server::reportAbandoned(const std::vector<ExchangeId> &abandoned) {
  for (const ExchangeId id : abandoned) {
    Handlers.OnAbandoned(id);
  }
}

void Server::recordSent(Connection &connection, std::size_t n) {
  connection.OutputSent += n;
  connection.OutputBytes -= n;
  connection.OutputProgress += n;
  if (connection.OutputProgress >= MinProgressBytes) {
    connection.OutputProgress = 0;
    connection.OutputProgressAt = readClock();
  }
  if (connection.OutputSent == connection.Output.front().Bytes.size()) {
    connection.Output.pop_front();
    connection.OutputSent = 0;
  }
}

void Server::writeTo(Connection &connection) {
  while (!connection.Output.empty()) {
    const std::string &bytes = connection.Output.front().Bytes;
    const int more = connection.Output.size() > 1 ? MSG_MORE : 0;
    const ssize_t n = send(connection.Fd, bytes.data() + connection.OutputSent,
                           bytes.size() - connection.OutputSent,
                           MSG_NOSIGNAL | MSG_DONTWAIT | more);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(Loop, &connection.WriteWatcher);
      return;
    }
    if (n < 0) {
      connection.Output.clear();
      connection.OutputSent = connection.OutputBytes = 0;
      ev_io_stop(Loop, &connection.WriteWatcher);
      // readFrom finds the failure and closes the connection, which the callers
      // of this function still use.
      ev_feed_fd_event(Loop, connection.Fd, EV_READ);
      return;
    }
    recordSent(connection, static_cast<std::size_t>(n));
  }
  ev_io_stop(Loop, &connection.WriteWatcher);
  connection.LastActiveAt = readClock();
  onOutputWritten(connection);
}

void Server::onOutputWritten(Connection &connection) {
  if (connection.Closing && !connection.Lingering) {
    connection.Lingering = true;
    shutdown(connection.Fd, SHUT_WR);
  }
  setTimer(connection);
  const bool hasUnhandledInput = !connection.Input.empty() ||
                                 (!connection.Exchanges.empty() &&
                                  connection.Exchanges.front().PendingRequest);
  if (!connection.Closing && hasUnhandledInput) {
    ev_feed_event(Loop, &connection.ReadWatcher, EV_READ);
  }
}

void Server::setTimer(Connection &connection) {
  const Instant now = readClock();
  Instant due = Instant::max();
  if (connection.AwaitsRoom) {
    due = connection.RoomAwaitedSince + MaxRoomWait;
  } else if (connection.Lingering) {
    due = connection.LastActiveAt + LingerTime;
  } else if (connection.RequestParser && !connection.Closing) {
    due = connection.RequestParser->is_header_done()
              ? connection.LastActiveAt + Limits.IdleTimeout
              : connection.RequestStartedAt + Limits.HeaderTimeout;
  } else if (connection.Exchanges.empty() || !connection.Output.empty()) {
    due = connection.LastActiveAt + Limits.IdleTimeout;
  }
  ev_timer_stop(Loop, &connection.Timer);
  if (due == Instant::max()) {
    return;
  }
  const std::chrono::duration<double> left = std::max(due - now, Duration{0});
  ev_timer_set(&connection.Timer, left.count(), 0);
  ev_timer_start(Loop, &connection.Timer);
}

void Server::onTimer(Connection &connection) {
  if (connection.AwaitsRoom) {
    return onRoomWaitOver(connection);
  }
  if (!connection.Lingering && connection.RequestParser &&
      !connection.Closing) {
    return rejectRequest(connection, RequestTimeout);
  }
  closeConnection(connection);
}

void Server::closeConnection(Connection &connection) {
  ev_io_stop(Loop, &connection.ReadWatcher);
  ev_io_stop(Loop, &connection.WriteWatcher);
  ev_timer_stop(Loop, &connection.Timer);
  stopWaiting(connection);
  stopAwaitingTurn(connection);
  close(connection.Fd);
  const std::vector<ExchangeId> abandoned = endExchanges(connection);
  Connections.erase(&connection);
  reportAbandoned(abandoned);
}

void Server::closeIdle() {
  std::vector<Connection *> idle;
  for (const auto &[it, owned] : Connections) {
    if (it->Exchanges.empty() && it->Output.empty() && !it->RequestParser &&
        !it->AwaitsTurn && !it->Lingering) {
      idle.push_back(it);
    }
  }
  for (Connection *it : idle) {
    it->Closing = true;
    onOutputWritten(*it);
  }
}

std::size_t Server::openExchanges() const {
  std::size_t out = AwaitingTurn.size();
  for (const auto &[it, owned] : Connections) {
    out += it->Exchanges.size() + (it->Output.empty() ? 0 : 1);
  }
  return out;
}

} // namespace zinniarail::http
