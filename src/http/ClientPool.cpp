#include "http/ClientPool.h"

#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/ParsedFields.h"
#include "http/Sockets.h"

namespace zinniarail::http {

namespace {

namespace beast = boost::beast::http;

using Parser = beast::response_parser<beast::string_body>;

constexpr std::size_t ReadChunkBytes = std::size_t{16} << 10;

// Maximum number of bytes read from one connection in one iteration of the
// loop: a fast sender must not keep the loop from the other connections.
constexpr std::size_t MaxReadBytesPerWakeup = std::size_t{64} << 10;

// Limit for the head of a response, and for one chunk's framing and the
// trailers.
constexpr std::uint32_t MaxHeaderBytes = std::uint32_t{64} << 10;

// Limit for what the fields of a response take once they are parsed. A head of
// MaxHeaderBytes with fields of a usual length is below it.
constexpr std::size_t MaxParsedHeadBytes = std::size_t{128} << 10;

// Maximum number of interim responses and responses to other requests that a
// call skips; one more fails the call and closes the connection.
constexpr unsigned MaxStrayResponses = 8;

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;

// How much later than a round trip a call on a stale connection may end: the
// loop may handle its end late.
constexpr Duration StaleMargin = std::chrono::milliseconds{10};

// Larger bodies of requests are not copied next to their heads.
constexpr std::size_t MaxCopiedBody = std::size_t{16} << 10;

std::size_t sizeOf(const Call &call) {
  return call.Bytes.size() + (call.Body ? call.Body->size() : 0);
}

// Sends what follows the first \p sent bytes of a call.
ssize_t sendRest(int fd, const Call &call, std::size_t sent) {
  constexpr int flags = MSG_NOSIGNAL | MSG_DONTWAIT;
  const std::size_t head = call.Bytes.size();
  if (!call.Body) {
    return send(fd, call.Bytes.data() + sent, head - sent, flags);
  }
  if (sent >= head) {
    return send(fd, call.Body->data() + (sent - head),
                call.Body->size() - (sent - head), flags);
  }
  // sendmsg only reads the bytes.
  std::array<iovec, 2> parts{
      iovec{const_cast<char *>(call.Bytes.data()) + sent, head - sent},
      iovec{const_cast<char *>(call.Body->data()), call.Body->size()}};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return sendmsg(fd, &message, flags);
}

// Whether a field is continued on a further line. Joining the lines could add
// to a field what the upstream meant to be another one, so that such a response
// is discarded, as a gateway may (RFC 9112, section 5.2).
bool hasFoldedField(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

// Whether the body comes without a transfer coding or in chunks. No other
// coding is asked for, and none can be removed (RFC 9112, section 6.1, which
// also rules out a coding under HTTP/1.0).
bool isBodyDecodable(const Parser::value_type &message) {
  constexpr unsigned http11 = 11;
  const auto [first, last] =
      message.equal_range(beast::field::transfer_encoding);
  return first == last ||
         (message.version() >= http11 && std::next(first) == last &&
          boost::beast::iequals(first->value(), "chunked"));
}

// What makes a head malformed that could be parsed; empty: nothing.
std::string findHeadError(const Parser::value_type &message) {
  const unsigned status = message.result_int();
  if (status < FirstStatus || status > LastStatus) {
    return "status " + std::to_string(status);
  }
  return isBodyDecodable(message) ? "" : "unknown transfer coding";
}

// Moves the fields of a whole head out of its parser, which would add the
// trailers to them. Trailers must not pass for fields of the head (RFC 9110,
// section 6.5.1); no use is made of them.
Headers takeHeadFields(Parser &parser) {
  Headers out;
  for (const auto &it : parser.get().base()) {
    out.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  parser.get().base().clear();
  return out;
}

// How long a connection may be idle before the peer closes it, from the header
// "Keep-Alive: timeout=N" in seconds.
Duration keepAliveTimeout(const Response &response) {
  const std::string *field = findHeader(response.Fields, "Keep-Alive");
  constexpr std::string_view key = "timeout=";
  const std::size_t at =
      field == nullptr ? std::string::npos : field->find(key);
  if (at == std::string::npos) {
    return Duration::max();
  }
  unsigned seconds = 0;
  const char *first = field->data() + at + key.size();
  const auto [end, ec] =
      std::from_chars(first, field->data() + field->size(), seconds);
  // The next request must reach the peer before it closes the connection.
  constexpr Duration margin = std::chrono::milliseconds{500};
  const Duration advertised = std::chrono::seconds{seconds};
  return ec == std::errc{} ? std::max(advertised - margin, Duration{0})
                           : Duration::max();
}

// \param earlierValue EchoValue of an earlier call; empty if there was none.
bool isResponseTo(const Call &call, const std::string &earlierValue,
                  const Response &response) {
  if (call.EchoHeader.empty()) {
    return true;
  }
  const std::string *echo = findHeader(response.Fields, call.EchoHeader);
  if (call.EchoValue.empty()) {
    return echo == nullptr || earlierValue.empty() || *echo != earlierValue;
  }
  return echo != nullptr && *echo == call.EchoValue;
}

} // namespace

void setRequest(Call &call, const std::shared_ptr<const Request> &request,
                const Headers &extra) {
  call.Bytes = serializeRequestHead(*request, extra);
  if (request->Body.size() <= MaxCopiedBody) {
    call.Bytes += request->Body;
  } else {
    call.Body = std::shared_ptr<const std::string>(request, &request->Body);
  }
}

bool mayBeStale(const CallResult &result) {
  return result.ReusedConnection && !result.ResponseStarted &&
         result.SinceSent <= result.RoundTrip + StaleMargin;
}

/// A connection to an upstream.
struct ClientPool::Connection {
  ClientPool *Owner = nullptr;
  std::string Address;
  int Fd = -1;
  ev_io ReadWatcher{};
  ev_io WriteWatcher{};
  ev_timer ConnectTimer{};
  ev_timer CallTimer{}; ///< Active while CurrentCall has a timeout.
  bool Connecting = true;
  bool Reused = false; ///< An earlier call used this connection.
  std::optional<Call> CurrentCall;
  /// EchoValue of the last call before CurrentCall that had one.
  std::string EarlierEchoValue;
  std::size_t BytesSent = 0; ///< Request bytes of CurrentCall.
  int SendError = 0;  ///< The errno value of the send that failed; 0: none.
  Instant OpenedAt{}; ///< When the connection attempt started.
  Duration RoundTrip{0};
  Instant SentAt{};  ///< When the first byte of CurrentCall was sent.
  std::string Input; ///< Received bytes not parsed yet.
  std::optional<Parser> ResponseParser;
  Headers ResponseFields;    ///< Of the response's head, once that is whole.
  std::size_t HeldBytes = 0; ///< This connection's part of receivedBytes.
  Charge Held;
  /// Of ResponseParser's head: parsed so far, then those of its fields.
  std::size_t HeadBytes = 0;
  std::size_t HeadFields = 0; ///< Parsed of ResponseParser, at least.
  unsigned StrayResponses = 0;
  bool ResponseStarted = false;
  Instant IdleSince{};
  Duration PeerIdleTimeout = Duration::max();
  bool PeerClosed = false;
};

ClientPool::ClientPool(struct ev_loop *loop, Handler onEnded,
                       std::size_t maxHeldBytes, ByteBudget *budget,
                       std::function<bool()> relief)
    : Loop(loop), OnEnded(std::move(onEnded)), MaxHeldBytes(maxHeldBytes),
      Budget(budget), Relief(std::move(relief)) {
  ev_async_init(&Wake, [](struct ev_loop *, ev_async *it, int) {
    static_cast<ClientPool *>(it->data)->deliverResults();
  });
  Wake.data = this;
  ev_async_start(Loop, &Wake);
}

ClientPool::~ClientPool() {
  ev_async_stop(Loop, &Wake);
  Waiting.clear();
  while (!Connections.empty()) {
    closeConnection(*Connections.begin()->first);
  }
}

void ClientPool::start(Call call) {
  if (!Waiting.empty() || !startNow(call)) {
    Waiting.push_back(std::move(call));
  }
}

/// \returns false if the call has to wait for a connection.
bool ClientPool::startNow(Call &call) {
  Endpoint &endpoint = Endpoints[call.Address];
  Connection *connection =
      call.NewConnection ? nullptr : takeIdle(endpoint, call.MaxIdleTime);
  if (connection == nullptr) {
    if (Connections.size() >= MaxConnections && !makeRoomForConnection()) {
      return false;
    }
    connection = openConnection(endpoint, call);
  }
  if (connection == nullptr) {
    CallResult result;
    result.Error = std::strerror(errno);
    postResult(call.Id, std::move(result));
  } else {
    assignCall(*connection, std::move(call));
  }
  return true;
}

// Closes the connection that was idle for longest.
// \returns whether there was one.
bool ClientPool::makeRoomForConnection() {
  Connection *longest = nullptr;
  for (const auto &[address, it] : Endpoints) {
    if (!it.Idle.empty() && (longest == nullptr ||
                             it.Idle.front()->IdleSince < longest->IdleSince)) {
      longest = it.Idle.front();
    }
  }
  if (longest != nullptr) {
    closeConnection(*longest);
  }
  return longest != nullptr;
}

void ClientPool::startWaiting() {
  while (!Waiting.empty() && startNow(Waiting.front())) {
    Waiting.pop_front();
  }
}

// Takes the most recently used connection first, so that the others stay idle
// and their peer may close them. Closes those that the peer closed, that have
// unexpected input, or that were idle for longer than the peer allows.
ClientPool::Connection *ClientPool::takeIdle(Endpoint &endpoint,
                                             Duration maxIdleTime) {
  const Instant now = readClock();
  while (!endpoint.Idle.empty()) {
    Connection &it = *endpoint.Idle.back();
    const Duration idleTime = now - it.IdleSince;
    if (idleTime > maxIdleTime) {
      return nullptr; // The other connections have been idle for longer.
    }
    char byte = 0;
    const ssize_t n = recv(it.Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool hasNoInput = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (hasNoInput && idleTime <= it.PeerIdleTimeout) {
      endpoint.Idle.pop_back();
      return &it;
    }
    closeConnection(it);
  }
  return nullptr;
}

ClientPool::Connection *ClientPool::openConnection(Endpoint &endpoint,
                                                   const Call &call) {
  const auto address = parseIpv4Address(call.Address);
  if (!address) {
    errno = EINVAL;
    return nullptr;
  }
  const int fd = connectTo(*address);
  if (fd < 0) {
    return nullptr;
  }
  auto owned = std::make_unique<Connection>();
  Connection &it = *owned;
  Connections.emplace(&it, std::move(owned));
  ++endpoint.OpenConnections;
  it.Owner = this;
  it.Held = Charge(Budget);
  it.Address = call.Address;
  it.Fd = fd;
  it.OpenedAt = readClock();
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
  const std::chrono::duration<double> timeout = call.ConnectTimeout;
  ev_timer_init(
      &it.ConnectTimer,
      [](struct ev_loop *, ev_timer *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->fail(*connection, "connection attempt timed out");
      },
      timeout.count(), 0);
  ev_timer_init(
      &it.CallTimer,
      [](struct ev_loop *, ev_timer *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->fail(*connection, "call timed out");
      },
      0, 0);
  it.ReadWatcher.data = it.WriteWatcher.data = it.ConnectTimer.data =
      it.CallTimer.data = &it;
  ev_io_start(Loop, &it.WriteWatcher);
  ev_timer_start(Loop, &it.ConnectTimer);
  return &it;
}

void ClientPool::assignCall(Connection &connection, Call call) {
  InFlight.emplace(call.Id, &connection);
  connection.CurrentCall = std::move(call);
  connection.BytesSent = 0;
  connection.StrayResponses = 0;
  connection.ResponseStarted = false;
  if (connection.CurrentCall->Timeout != Duration::max()) {
    const std::chrono::duration<double> timeout =
        connection.CurrentCall->Timeout;
    ev_timer_set(&connection.CallTimer, timeout.count(), 0);
    ev_timer_start(Loop, &connection.CallTimer);
  }
  if (!connection.Connecting) {
    writeTo(connection);
  }
}

void ClientPool::writeTo(Connection &connection) {
  if (connection.Connecting) {
    ev_timer_stop(Loop, &connection.ConnectTimer);
    if (const int error = takeSocketError(connection.Fd); error != 0) {
      return fail(connection, std::strerror(error));
    }
    connection.Connecting = false;
    connection.RoundTrip = readClock() - connection.OpenedAt;
    ev_io_start(Loop, &connection.ReadWatcher);
  }
  if (!connection.CurrentCall) {
    ev_io_stop(Loop, &connection.WriteWatcher);
    return;
  }
  const Call &call = *connection.CurrentCall;
  while (connection.BytesSent < sizeOf(call)) {
    const ssize_t n = sendRest(connection.Fd, call, connection.BytesSent);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(Loop, &connection.WriteWatcher);
      return;
    }
    if (n < 0) {
      // The peer may have sent a response before it closed the connection. The
      // socket reports an error only once: recv won't repeat it.
      connection.SendError = errno;
      ev_io_stop(Loop, &connection.WriteWatcher);
      ev_feed_fd_event(Loop, connection.Fd, EV_READ);
      return;
    }
    if (connection.BytesSent == 0) {
      connection.SentAt = readClock();
    }
    connection.BytesSent += static_cast<std::size_t>(n);
  }
  ev_io_stop(Loop, &connection.WriteWatcher);
}

/// \param closed set to true when the connection was closed or failed.
/// \param error set to the errno value of a failure that was not reported
///   before; 0 if there is none.
/// \returns whether any bytes arrived.
bool ClientPool::receive(Connection &connection, bool &closed, int &error) {
  std::array<char, ReadChunkBytes> chunk;
  std::size_t received = 0;
  while (received < MaxReadBytesPerWakeup) {
    const ssize_t n =
        recv(connection.Fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n > 0) {
      connection.Input.append(chunk.data(), static_cast<std::size_t>(n));
      received += static_cast<std::size_t>(n);
      if (static_cast<std::size_t>(n) < chunk.size()) {
        break;
      }
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    }
    closed = true;
    error = n < 0 ? errno : 0;
    break;
  }
  return received > 0;
}

void ClientPool::readFrom(Connection &connection) {
  bool closed = false;
  int error = 0;
  const bool any = receive(connection, closed, error);
  // EPIPE means that the peer's end had arrived before the reset.
  if (error == 0 && connection.SendError != EPIPE) {
    error = connection.SendError;
  }
  if (!connection.CurrentCall) {
    if (any || closed) { // No input is expected while idle.
      closeConnection(connection);
    }
    return;
  }
  connection.ResponseStarted = connection.ResponseStarted || any;
  if (parse(connection)) {
    return; // The connection may no longer exist.
  }
  if (!closed) {
    recordHeldBytes(connection);
    return enforceMaxHeldBytes();
  }
  if (error == 0 && connection.ResponseParser) {
    // A response without a length ends when the peer closes the connection.
    boost::beast::error_code ec;
    connection.ResponseParser->put_eof(ec);
    if (!ec && connection.ResponseParser->is_done()) {
      connection.PeerClosed = true;
      return handleResponse(connection);
    }
  }
  fail(connection,
       error == 0 ? "connection closed by the peer" : std::strerror(error));
}

/// \returns whether a whole response was handled or the call failed.
bool ClientPool::parse(Connection &connection) {
  while (!connection.Input.empty()) {
    if (!connection.ResponseParser) {
      connection.ResponseParser.emplace();
      connection.ResponseParser->header_limit(MaxHeaderBytes);
      connection.ResponseParser->body_limit(MaxHeldBytes);
      connection.ResponseParser->skip(connection.CurrentCall->IsHead);
    }
    reserveBody(connection);
    const bool wasHead = !connection.ResponseParser->is_header_done();
    boost::beast::error_code ec;
    const std::size_t used = parseSome(connection, ec);
    if (ec && ec != beast::error::need_more) {
      fail(connection, "malformed response: " + ec.message());
      return true;
    }
    const std::size_t unparsed = connection.ResponseParser->is_header_done()
                                     ? 0
                                     : connection.Input.size();
    if (parsedHeadBytes(connection) + unparsed > MaxParsedHeadBytes) {
      fail(connection, "malformed response: too many header fields");
      return true;
    }
    const bool headEnded =
        wasHead && connection.ResponseParser->is_header_done();
    if (headEnded && !takeHead(connection)) {
      return true;
    }
    if (connection.ResponseParser->is_done()) {
      handleResponse(connection);
      return true;
    }
    if (headEnded) {
      continue; // The rest of the input was not given to the parser yet.
    }
    // The parser limits neither the total of a head that arrives field by
    // field nor the framing of chunks.
    const std::size_t head =
        connection.ResponseParser->is_header_done() ? 0 : connection.HeadBytes;
    if (head + connection.Input.size() > MaxHeaderBytes) {
      fail(connection, "malformed response: header or chunk framing too long");
      return true;
    }
    if (used == 0 || ec == beast::error::need_more) {
      return false;
    }
  }
  return false;
}

// Checks a head that has become whole, and takes its fields.
// \returns false if the call failed.
bool ClientPool::takeHead(Connection &connection) {
  const std::string error = findHeadError(connection.ResponseParser->get());
  if (!error.empty()) {
    fail(connection, "malformed response: " + error);
    return false;
  }
  connection.ResponseFields = takeHeadFields(*connection.ResponseParser);
  return true;
}

// Parses more of the response that is being read.
// \returns the number of bytes that were parsed.
std::size_t ClientPool::parseSome(Connection &connection,
                                  boost::beast::error_code &ec) {
  Parser &parser = *connection.ResponseParser;
  const bool wasHead = !parser.is_header_done();
  parser.eager(!wasHead); // Stops at the end of the head.
  const std::size_t used = parser.put(
      boost::asio::buffer(connection.Input.data(), connection.Input.size()),
      ec);
  if (wasHead &&
      hasFoldedField(std::string_view(connection.Input).substr(0, used))) {
    ec = beast::error::bad_field;
  }
  if (wasHead && parser.is_header_done()) {
    connection.HeadFields = countFields(parser.get());
    connection.HeadBytes = countFieldBytes(parser.get());
  } else if (parser.is_done()) {
    connection.HeadFields += countFields(parser.get()); // The trailers.
    connection.HeadBytes += countFieldBytes(parser.get());
  } else if (wasHead) {
    connection.HeadFields +=
        countLines(std::string_view(connection.Input).substr(0, used));
    connection.HeadBytes += used;
  }
  connection.Input.erase(0, used);
  return used;
}

// What the fields of an incomplete response take.
std::size_t ClientPool::parsedHeadBytes(const Connection &connection) {
  return connection.HeadBytes + connection.HeadFields * ParsedFieldBytes;
}

// A body of unknown length would be copied each time that it outgrows its
// memory. Memory that is reserved and not written to costs nothing.
void ClientPool::reserveBody(Connection &connection) const {
  std::string &body = connection.ResponseParser->get().body();
  if (body.size() > MaxSmallBody &&
      body.capacity() - body.size() < connection.Input.size()) {
    body.reserve(MaxHeldBytes);
  }
}

// Handles a whole response: the call's own, an interim one (1xx), or one to an
// earlier call.
void ClientPool::handleResponse(Connection &connection) {
  const bool keepAlive = connection.ResponseParser->keep_alive();
  CallResult result;
  auto &message = connection.ResponseParser->get();
  result.Response.Status = message.result_int();
  result.Response.Fields = std::exchange(connection.ResponseFields, {});
  result.Response.Body = std::move(message.body());
  result.Response.Held = Charge(Budget);
  result.Response.Held.set(HeldKind::Response, memoryOf(result.Response));
  connection.ResponseParser.reset();
  connection.HeadBytes = connection.HeadFields = 0;
  recordHeldBytes(connection);
  const Call &call = *connection.CurrentCall;
  if (result.Response.Status < FirstFinalStatus ||
      !isResponseTo(call, connection.EarlierEchoValue, result.Response)) {
    if (++connection.StrayResponses > MaxStrayResponses || !keepAlive) {
      return fail(connection, "received only responses to other requests");
    }
    if (!connection.Input.empty()) {
      ev_feed_event(Loop, &connection.ReadWatcher, EV_READ);
    }
    return;
  }
  result.Outcome = CallOutcome::Answered;
  result.ReusedConnection = connection.Reused;
  result.OpenedConnection = !connection.Reused;
  result.ResponseStarted = true;
  result.StrayResponses = connection.StrayResponses;
  const CallId id = call.Id;
  // If the request was not sent completely, or if more bytes followed the
  // response, the peer's state is unknown and the connection is not reused.
  const bool isReusable = connection.BytesSent == sizeOf(call) &&
                          connection.Input.empty() && !connection.PeerClosed;
  connection.PeerIdleTimeout =
      std::min(connection.PeerIdleTimeout, keepAliveTimeout(result.Response));
  InFlight.erase(id);
  ev_timer_stop(Loop, &connection.CallTimer);
  if (!call.EchoValue.empty()) {
    connection.EarlierEchoValue = call.EchoValue;
  }
  connection.CurrentCall.reset();
  if (keepAlive && isReusable) {
    returnToIdle(connection);
  } else {
    closeConnection(connection);
  }
  OnEnded(id, std::move(result));
}

void ClientPool::recordHeldBytes(Connection &connection) {
  const std::size_t held = connection.Input.size() +
                           parsedHeadBytes(connection) +
                           (connection.ResponseParser
                                ? connection.ResponseParser->get().body().size()
                                : 0);
  HeldBytes += held - connection.HeldBytes;
  connection.HeldBytes = held;
  connection.Held.set(HeldKind::Response, held);
}

// Fails the call that holds the most. A response without an end outgrows the
// others, so they can still complete.
void ClientPool::enforceMaxHeldBytes() {
  if (HeldBytes <= MaxHeldBytes && !isBudgetExceeded()) {
    return;
  }
  if (Connections.empty()) {
    return; // Relief may have closed all.
  }
  const auto largest = std::max_element(
      Connections.begin(), Connections.end(), [](const auto &a, const auto &b) {
        return a.first->HeldBytes < b.first->HeldBytes;
      });
  if (HeldBytes <= MaxHeldBytes && largest->first->HeldBytes <= MaxSmallBody) {
    return; // Small responses hold little, and others have filled the budget.
  }
  if (Budget != nullptr) {
    ++Budget->Closed;
  }
  fail(*largest->first, "too many bytes of incomplete responses");
}

bool ClientPool::isBudgetExceeded() {
  return Budget != nullptr && Budget->isOver(HeldKind::Response) &&
         !(Relief && Relief() && !Budget->isOver(HeldKind::Response));
}

void ClientPool::returnToIdle(Connection &connection) {
  connection.Reused = true;
  connection.IdleSince = readClock();
  Endpoints[connection.Address].Idle.push_back(&connection);
  if (!Waiting.empty()) {
    ev_async_send(Loop, &Wake);
  }
}

void ClientPool::fail(Connection &connection, const std::string &error) {
  CallResult result;
  result.Outcome =
      connection.BytesSent == 0 ? CallOutcome::NotSent : CallOutcome::Broken;
  result.Error = error;
  result.ReusedConnection = connection.Reused;
  result.OpenedConnection = !connection.Reused;
  result.ResponseStarted = connection.ResponseStarted;
  result.StrayResponses = connection.StrayResponses;
  result.RoundTrip = connection.RoundTrip;
  if (connection.BytesSent > 0) {
    result.SinceSent = readClock() - connection.SentAt;
  }
  if (!connection.CurrentCall) {
    return closeConnection(connection);
  }
  const CallId id = connection.CurrentCall->Id;
  closeConnection(connection);
  OnEnded(id, std::move(result));
}

void ClientPool::cancel(CallId id) {
  const auto waiting = std::ranges::find(Waiting, id, &Call::Id);
  if (waiting != Waiting.end()) {
    Waiting.erase(waiting);
    CallResult result;
    result.Error = "cancelled";
    result.Cancelled = true;
    return postResult(id, std::move(result));
  }
  const auto it = InFlight.find(id);
  if (it == InFlight.end()) {
    return;
  }
  Connection &connection = *it->second;
  CallResult result;
  result.Outcome =
      connection.BytesSent == 0 ? CallOutcome::NotSent : CallOutcome::Broken;
  result.Error = "cancelled";
  result.Cancelled = true;
  result.ReusedConnection = connection.Reused;
  result.OpenedConnection = !connection.Reused;
  result.ResponseStarted = connection.ResponseStarted;
  result.StrayResponses = connection.StrayResponses;
  closeConnection(connection);
  postResult(id, std::move(result));
}

void ClientPool::closeIdle(const std::string &address) {
  const auto it = Endpoints.find(address);
  if (it == Endpoints.end()) {
    return;
  }
  while (!it->second.Idle.empty()) {
    closeConnection(*it->second.Idle.back());
  }
  if (it->second.OpenConnections == 0) {
    Endpoints.erase(it);
  }
}

std::size_t ClientPool::connections(const std::string &address) const {
  const auto it = Endpoints.find(address);
  return it == Endpoints.end() ? 0 : it->second.OpenConnections;
}

void ClientPool::closeConnection(Connection &connection) {
  ev_io_stop(Loop, &connection.ReadWatcher);
  ev_io_stop(Loop, &connection.WriteWatcher);
  ev_timer_stop(Loop, &connection.ConnectTimer);
  ev_timer_stop(Loop, &connection.CallTimer);
  close(connection.Fd);
  HeldBytes -= connection.HeldBytes;
  if (connection.CurrentCall) {
    InFlight.erase(connection.CurrentCall->Id);
  }
  Endpoint &endpoint = Endpoints[connection.Address];
  std::erase(endpoint.Idle, &connection);
  --endpoint.OpenConnections;
  Connections.erase(&connection);
  if (!Waiting.empty()) {
    ev_async_send(Loop, &Wake);
  }
}

void ClientPool::postResult(CallId id, CallResult result) {
  PendingResults.emplace_back(id, std::move(result));
  ev_async_send(Loop, &Wake);
}

void ClientPool::deliverResults() {
  auto results = std::exchange(PendingResults, {});
  for (auto &[id, result] : results) {
    OnEnded(id, std::move(result));
  }
  startWaiting();
}

} // namespace zinniarail::http
