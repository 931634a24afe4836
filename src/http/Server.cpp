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

// Connections taken at one turn of the loop, so that the others get theirs.
constexpr int MostAccepts = 64;

// Requests of one connection that wait for their answers at a time; more stay
// unparsed.
constexpr std::size_t MostPipelined = 32;

// Bytes read at a time.
constexpr std::size_t ChunkBytes = std::size_t{16} << 10;

// Unparsed bytes of one connection beyond a whole head; then reading rests.
constexpr std::size_t MostUnparsed = std::size_t{64} << 10;

// How long a connection that we end is read on, so that bytes on their way do
// not make the system reset it before the caller has the last response.
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

unsigned statusOf(const boost::beast::error_code &ec) {
  if (ec == beast::error::body_limit) {
    return PayloadTooLarge;
  }
  return ec == beast::error::header_limit ? HeadersTooLarge : BadRequest;
}

} // namespace

/// One request and the place of its response.
struct Server::Slot {
  ExchangeId Id = 0;
  std::optional<Request> Held; ///< Not handed on yet.
  bool ToHead = false;
  bool LastOne = false; ///< The connection ends behind its response.
  std::optional<std::string> Bytes;
};

/// One caller's connection.
struct Server::Connection {

  Server *Owner = nullptr;
  int Fd = -1;
  ev_io Readable{};
  ev_io Writable{};
  ev_timer Timer{};
  std::string Input;
  std::optional<Parser> Parsing; ///< Of a request that has begun.
  Instant BeganAt{};             ///< When it did.
  std::deque<Slot> Slots;
  std::string Output;
  bool Ending = false; ///< Nothing more is read; ends once all is written.
  bool Lingering = false;
  Instant ActiveAt{};
};

Server::Slot &Server::slotOf(Connection &connection, ExchangeId id) {
  return *std::find_if(connection.Slots.begin(), connection.Slots.end(),
                       [&](const Slot &it) { return it.Id == id; });
}

Server::Server(struct ev_loop *loop, ServerHandlers handlers)
    : Loop(loop), Handlers(std::move(handlers)) {}

Server::~Server() {
  stopListening();
  for (auto &[it, owned] : Open) {
    ev_io_stop(Loop, &it->Readable);
    ev_io_stop(Loop, &it->Writable);
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
      &Arrival,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<Server *>(it->data)->accept();
      },
      Listener, EV_READ);
  Arrival.data = this;
  ev_io_start(Loop, &Arrival);
  return true;
}

void Server::stopListening() {
  if (Listener >= 0) {
    ev_io_stop(Loop, &Arrival);
    close(Listener);
    Listener = -1;
  }
}

// Without descriptors each turn of the loop fails again; one line a second
// tells of it.
void Server::noteNotTaken() {
  const int error = errno;
  const Instant now = readClock();
  const bool isFailure = error != EAGAIN && error != EWOULDBLOCK &&
                         error != EINTR && error != ECONNABORTED;
  if (isFailure && now - NotTakenAt >= std::chrono::seconds{1}) {
    NotTakenAt = now;
    logEvent(EventId::ConnectionNotTaken, std::strerror(error));
  }
}

void Server::accept() {
  for (int n = 0; n < MostAccepts; ++n) {
    const int fd =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      noteNotTaken();
      return;
    }
    disableDelay(fd);
    auto owned = std::make_unique<Connection>();
    Connection &it = *owned;
    Open.emplace(&it, std::move(owned));
    it.Owner = this;
    it.Fd = fd;
    it.ActiveAt = readClock();
    ev_io_init(
        &it.Readable,
        [](struct ev_loop *, ev_io *watcher, int) {
          auto *connection = static_cast<Connection *>(watcher->data);
          connection->Owner->readFrom(*connection);
        },
        fd, EV_READ);
    ev_io_init(
        &it.Writable,
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
    it.Readable.data = it.Writable.data = it.Timer.data = &it;
    ev_io_start(Loop, &it.Readable);
    setTimer(it);
  }
}

/// \returns false when the connection is no more.
bool Server::receive(Connection &connection) {
  std::array<char, ChunkBytes> chunk;
  while (true) {
    const ssize_t n =
        recv(connection.Fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    if (n <= 0) {
      drop(connection);
      return false;
    }
    if (connection.Ending) {
      continue; // Bytes behind a closing response count as not read.
    }
    connection.Input.append(chunk.data(), static_cast<std::size_t>(n));
    if (static_cast<std::size_t>(n) < chunk.size() ||
        connection.Input.size() > MostUnparsed) {
      return true;
    }
  }
}

void Server::readFrom(Connection &connection) {
  if (!receive(connection)) {
    return;
  }
  if (!connection.Ending) {
    connection.ActiveAt = readClock();
    parse(connection);
  }
}

void Server::parse(Connection &connection) {
  while (!connection.Ending && !connection.Input.empty() &&
         connection.Slots.size() < MostPipelined &&
         (connection.Slots.empty() || !connection.Slots.back().LastOne)) {
    if (!connection.Parsing) {
      connection.Parsing.emplace();
      connection.Parsing->eager(true);
      connection.Parsing->header_limit(
          static_cast<std::uint32_t>(Limits.HeadBytes));
      connection.Parsing->body_limit(Limits.BodyBytes);
      connection.BeganAt = readClock();
    }
    boost::beast::error_code ec;
    const std::size_t used = connection.Parsing->put(
        boost::asio::buffer(connection.Input.data(), connection.Input.size()),
        ec);
    connection.Input.erase(0, used);
    if (ec == beast::error::need_more) {
      break;
    }
    if (ec) {
      refuse(connection, statusOf(ec));
      break;
    }
    if (!connection.Parsing->is_done()) {
      if (used == 0) {
        break;
      }
      continue;
    }
    Slot &slot = connection.Slots.emplace_back();
    slot.Id = ++LastId;
    slot.LastOne = !connection.Parsing->keep_alive();
    slot.Held = takeRequest(*connection.Parsing);
    slot.ToHead = slot.Held->Method == "HEAD";
    connection.Parsing.reset();
  }
  // A connection that sends more than it may is read again once it is parsed.
  if (connection.Input.size() > MostUnparsed && !connection.Ending) {
    ev_io_stop(Loop, &connection.Readable);
  } else {
    ev_io_start(Loop, &connection.Readable);
  }
  setTimer(connection);
  handOn(connection);
}

void Server::handOn(Connection &connection) {
  // The handler may answer at once and so change the list.
  std::vector<std::pair<ExchangeId, Request>> ready;
  bool first = true;
  for (Slot &it : connection.Slots) {
    if (it.Held) {
      if (!first && !Handlers.MayOvertake(*it.Held)) {
        break;
      }
      Waiting.emplace(it.Id, &connection);
      ready.emplace_back(it.Id, std::move(*it.Held));
      it.Held.reset();
    }
    first = false;
  }
  for (auto &[id, request] : ready) {
    if (Waiting.contains(id)) { // No earlier answer closed the connection.
      Handlers.Arrived(id, std::move(request));
    }
  }
}

void Server::refuse(Connection &connection, unsigned status) {
  Slot &slot = connection.Slots.emplace_back();
  slot.LastOne = true;
  slot.Bytes = printResponse({status, {}, {}}, false, true);
  connection.Parsing.reset();
  connection.Input.clear();
  flush(connection);
}

void Server::answer(ExchangeId id, const Response &response) {
  const auto found = Waiting.find(id);
  if (found == Waiting.end()) {
    return;
  }
  const Slot &slot = slotOf(*found->second, id);
  const bool last = slot.LastOne || Closing;
  answerBytes(id, printResponse(response, slot.ToHead, last), last);
}

void Server::answerBytes(ExchangeId id, std::string bytes, bool close) {
  const auto found = Waiting.find(id);
  if (found == Waiting.end()) {
    return;
  }
  Connection &connection = *found->second;
  Waiting.erase(found);
  Slot &slot = slotOf(connection, id);
  slot.LastOne = close;
  slot.Bytes = std::move(bytes);
  flush(connection);
}

void Server::flush(Connection &connection) {
  while (!connection.Ending && !connection.Slots.empty() &&
         connection.Slots.front().Bytes) {
    connection.Output += *connection.Slots.front().Bytes;
    connection.Ending = connection.Slots.front().LastOne;
    connection.Slots.pop_front();
  }
  if (connection.Ending) {
    // What stands behind a closing response counts as not read.
    for (const Slot &it : connection.Slots) {
      if (Waiting.erase(it.Id) != 0) {
        Handlers.Gone(it.Id);
      }
    }
    connection.Slots.clear();
    connection.Input.clear();
    connection.Parsing.reset();
    ev_io_start(Loop, &connection.Readable);
  }
  writeTo(connection);
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
      ev_io_start(Loop, &connection.Writable);
      return;
    }
    if (n < 0) {
      connection.Output.clear();
      ev_io_stop(Loop, &connection.Writable);
      // The reader finds the end; the connection must outlive its caller here.
      ev_feed_fd_event(Loop, connection.Fd, EV_READ);
      return;
    }
    connection.Output.erase(0, static_cast<std::size_t>(n));
  }
  ev_io_stop(Loop, &connection.Writable);
  connection.ActiveAt = readClock();
  endWriting(connection);
}

void Server::endWriting(Connection &connection) {
  if (connection.Ending && !connection.Lingering) {
    connection.Lingering = true;
    shutdown(connection.Fd, SHUT_WR);
  }
  setTimer(connection);
  const bool someWait =
      !connection.Input.empty() ||
      (!connection.Slots.empty() && connection.Slots.front().Held);
  if (!connection.Ending && someWait) {
    ev_feed_event(Loop, &connection.Readable, EV_READ);
  }
}

void Server::setTimer(Connection &connection) {
  const Instant now = readClock();
  Instant due = Instant::max();
  if (connection.Lingering) {
    due = connection.ActiveAt + LingerTime;
  } else if (connection.Parsing && !connection.Ending) {
    due = connection.Parsing->is_header_done()
              ? connection.ActiveAt + Limits.IdleTime
              : connection.BeganAt + Limits.HeadTime;
  } else if (connection.Slots.empty() || !connection.Output.empty()) {
    due = connection.ActiveAt + Limits.IdleTime;
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
  if (!connection.Lingering && connection.Parsing && !connection.Ending) {
    return refuse(connection, RequestTimeout);
  }
  drop(connection);
}

void Server::drop(Connection &connection) {
  ev_io_stop(Loop, &connection.Readable);
  ev_io_stop(Loop, &connection.Writable);
  ev_timer_stop(Loop, &connection.Timer);
  close(connection.Fd);
  const auto owned = std::move(Open.extract(&connection).mapped());
  for (const Slot &it : owned->Slots) {
    if (Waiting.erase(it.Id) != 0) {
      Handlers.Gone(it.Id);
    }
  }
}

void Server::closeIdle() {
  std::vector<Connection *> idle;
  for (const auto &[it, owned] : Open) {
    if (it->Slots.empty() && it->Output.empty() && !it->Parsing &&
        !it->Lingering) {
      idle.push_back(it);
    }
  }
  for (Connection *it : idle) {
    it->Ending = true;
    endWriting(*it);
  }
}

std::size_t Server::openExchanges() const {
  return Waiting.size() + static_cast<std::size_t>(std::count_if(
                              Open.begin(), Open.end(), [](const auto &it) {
                                return !it.second->Output.empty();
                              }));
}

} // namespace zinniarail::http
