#include "http/Server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/Sockets.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::http {

namespace {

namespace beast = boost::beast::http;

// Maximum number of connections accepted in one iteration of the loop, so that
// a burst of new connections does not delay the open ones.
constexpr int MaxAcceptsPerWakeup = 64;

// Maximum number of requests of one connection that await their responses;
// further ones stay unparsed.
constexpr std::size_t MaxPipelinedRequests = 32;

constexpr std::size_t ReadChunkBytes = std::size_t{16} << 10;

// Maximum number of bytes read from one connection in one iteration of the
// loop: a fast sender must not keep the loop from the other connections.
constexpr std::size_t MaxReadBytesPerWakeup = std::size_t{64} << 10;

// Unparsed bytes of one connection above which reading pauses, or the limit of
// a request's head if that is larger: a head is parsed only once it is whole.
constexpr std::size_t MinUnparsedLimit = std::size_t{64} << 10;

// How long a closing connection is still read after its last response. Unread
// bytes would make the kernel reset it before the caller has that response.
constexpr Duration LingerTime = std::chrono::seconds{1};

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;

using Parser = beast::request_parser<beast::string_body>;

Request takeRequest(Parser &parser) {
  auto message = parser.release();
  Request request;
  request.Method = std::string(message.method_string());
  request.Target = std::string(message.target());
  for (const auto &it : message.base()) {
    request.Fields.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  request.Body = std::move(message.body());
  return request;
}

unsigned statusForError(const boost::beast::error_code &ec) {
  if (ec == beast::error::body_limit) {
    return PayloadTooLarge;
  }
  return ec == beast::error::header_limit ? HeadersTooLarge : BadRequest;
}

} // namespace

/// A request and its response; a connection keeps them in order of arrival.
struct Server::Exchange {
  ExchangeId Id = 0;
  std::optional<Request> PendingRequest; ///< Set until it is dispatched.
  bool IsHead = false;
  bool ClosesConnection = false; ///< The response closes the connection.
  std::optional<std::string> ResponseBytes; ///< Set once there is a response.
};

/// A connection from a caller.
struct Server::Connection {

  Server *Owner = nullptr;
  int Fd = -1;
  ev_io ReadWatcher{};
  ev_io WriteWatcher{};
  ev_timer Timer{};
  std::string Input;                   ///< Received bytes not parsed yet.
  std::optional<Parser> RequestParser; ///< Set while a request is incomplete.
  std::size_t HeadBytes = 0;           ///< Parsed so far of an incomplete head.
  Instant RequestStartedAt{}; ///< When the request's first bytes were parsed.
  std::deque<Exchange> Exchanges;
  std::string Output;
  bool Closing = false;   ///< Further input is discarded; closes after Output.
  bool Lingering = false; ///< Output is shut down, input still discarded.
  Instant LastActiveAt{}; ///< Time of the last input or emptied Output.
};

Server::Exchange &Server::findExchange(Connection &connection, ExchangeId id) {
  return *std::find_if(connection.Exchanges.begin(), connection.Exchanges.end(),
                       [&](const Exchange &it) { return it.Id == id; });
}

Server::Server(struct ev_loop *loop, ServerHandlers handlers)
    : Loop(loop), Handlers(std::move(handlers)) {}

Server::~Server() {
  stopListening();
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
    it.Fd = fd;
    it.LastActiveAt = readClock();
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
}

std::size_t Server::maxUnparsedBytes() const {
  return std::max(MinUnparsedLimit, Limits.MaxHeaderBytes + ReadChunkBytes);
}

/// \returns false when the connection was closed.
bool Server::receive(Connection &connection) {
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
    if (connection.Closing) {
      continue; // Bytes after a closing response are discarded.
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
  if (!receive(connection)) {
    return;
  }
  if (!connection.Closing) {
    connection.LastActiveAt = readClock();
    parse(connection);
  }
}

void Server::parse(Connection &connection) {
  while (!connection.Closing && !connection.Input.empty() &&
         connection.Exchanges.size() < MaxPipelinedRequests &&
         (connection.Exchanges.empty() ||
          !connection.Exchanges.back().ClosesConnection)) {
    if (!connection.RequestParser) {
      connection.RequestParser.emplace();
      connection.RequestParser->eager(true);
      connection.RequestParser->header_limit(
          static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
      connection.RequestParser->body_limit(Limits.MaxBodyBytes);
      connection.RequestStartedAt = readClock();
      connection.HeadBytes = 0;
    }
    boost::beast::error_code ec;
    const std::size_t used = connection.RequestParser->put(
        boost::asio::buffer(connection.Input.data(), connection.Input.size()),
        ec);
    connection.Input.erase(0, used);
    // The parser does not limit the total of a head that it parses field by
    // field.
    connection.HeadBytes += used;
    if (!connection.RequestParser->is_header_done() &&
        connection.HeadBytes + connection.Input.size() >
            Limits.MaxHeaderBytes) {
      rejectRequest(connection, HeadersTooLarge);
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
    Exchange &exchange = connection.Exchanges.emplace_back();
    exchange.Id = ++LastId;
    exchange.ClosesConnection = !connection.RequestParser->keep_alive();
    exchange.PendingRequest = takeRequest(*connection.RequestParser);
    exchange.IsHead = exchange.PendingRequest->Method == "HEAD";
    connection.RequestParser.reset();
  }
  // Reading pauses while too much input is unparsed.
  if (connection.Input.size() > maxUnparsedBytes() && !connection.Closing) {
    ev_io_stop(Loop, &connection.ReadWatcher);
  } else {
    ev_io_start(Loop, &connection.ReadWatcher);
  }
  setTimer(connection);
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
    if (Unanswered.contains(id)) {
      Handlers.OnRequest(id, std::move(request));
    }
  }
}

void Server::rejectRequest(Connection &connection, unsigned status) {
  Exchange &exchange = connection.Exchanges.emplace_back();
  exchange.ClosesConnection = true;
  exchange.ResponseBytes = serializeResponse({status, {}, {}}, false, true);
  connection.RequestParser.reset();
  connection.Input.clear();
  flushResponses(connection);
}

void Server::sendResponse(ExchangeId id, const Response &response) {
  const auto found = Unanswered.find(id);
  if (found == Unanswered.end()) {
    return;
  }
  const Exchange &exchange = findExchange(*found->second, id);
  const bool shouldClose = exchange.ClosesConnection || CloseAfterResponses;
  sendRawResponse(id, serializeResponse(response, exchange.IsHead, shouldClose),
                  shouldClose);
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
  exchange.ResponseBytes = std::move(bytes);
  flushResponses(connection);
}

void Server::flushResponses(Connection &connection) {
  while (!connection.Closing && !connection.Exchanges.empty() &&
         connection.Exchanges.front().ResponseBytes) {
    connection.Output += *connection.Exchanges.front().ResponseBytes;
    connection.Closing = connection.Exchanges.front().ClosesConnection;
    connection.Exchanges.pop_front();
  }
  std::vector<ExchangeId> abandoned;
  if (connection.Closing) {
    // Requests after a closing response count as not received, and their caller
    // may repeat them.
    abandoned = endExchanges(connection);
    connection.Input.clear();
    connection.RequestParser.reset();
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

void Server::writeTo(Connection &connection) {
  while (!connection.Output.empty()) {
    const ssize_t n =
        send(connection.Fd, connection.Output.data(), connection.Output.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(Loop, &connection.WriteWatcher);
      return;
    }
    if (n < 0) {
      connection.Output.clear();
      ev_io_stop(Loop, &connection.WriteWatcher);
      // readFrom finds the failure and closes the connection, which the callers
      // of this function still use.
      ev_feed_fd_event(Loop, connection.Fd, EV_READ);
      return;
    }
    connection.Output.erase(0, static_cast<std::size_t>(n));
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
  if (connection.Lingering) {
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
  close(connection.Fd);
  const std::vector<ExchangeId> abandoned = endExchanges(connection);
  Connections.erase(&connection);
  reportAbandoned(abandoned);
}

void Server::closeIdle() {
  std::vector<Connection *> idle;
  for (const auto &[it, owned] : Connections) {
    if (it->Exchanges.empty() && it->Output.empty() && !it->RequestParser &&
        !it->Lingering) {
      idle.push_back(it);
    }
  }
  for (Connection *it : idle) {
    it->Closing = true;
    onOutputWritten(*it);
  }
}

std::size_t Server::openExchanges() const {
  return Unanswered.size() +
         static_cast<std::size_t>(std::count_if(
             Connections.begin(), Connections.end(),
             [](const auto &it) { return !it.second->Output.empty(); }));
}

} // namespace zinniarail::http
