#include "http/ClientPool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/Sockets.h"

namespace zinniarail::http {

namespace {

namespace beast = boost::beast::http;

using Parser = beast::response_parser<beast::string_body>;

constexpr std::size_t ChunkBytes = std::size_t{16} << 10;
constexpr std::uint32_t MostHeadBytes = std::uint32_t{64} << 10;
constexpr std::uint64_t MostBodyBytes = std::uint64_t{64} << 20;

// Responses to earlier calls that are passed over before the connection is
// given up.
constexpr unsigned MostStrays = 8;

constexpr unsigned FirstFinalStatus = 200;

Response takeResponse(Parser &parser) {
  auto message = parser.release();
  Response response;
  response.Status = message.result_int();
  for (const auto &it : message.base()) {
    response.Fields.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  response.Body = std::move(message.body());
  return response;
}

// The rest that the peer grants, from "Keep-Alive: timeout=N".
Duration grantedRest(const Response &response) {
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
  // A request must reach the peer before it closes.
  constexpr Duration margin = std::chrono::milliseconds{500};
  const Duration granted = std::chrono::seconds{seconds};
  return ec == std::errc{} ? std::max(granted - margin, Duration{0})
                           : Duration::max();
}

} // namespace

/// One connection to an upstream.
struct ClientPool::Connection {
  ClientPool *Owner = nullptr;
  std::string Address;
  int Fd = -1;
  ev_io Readable{};
  ev_io Writable{};
  ev_timer Timer{}; ///< Of connecting.
  bool Connecting = true;
  bool Used = false; ///< It carried a call before this one.
  std::optional<Call> Current;
  std::size_t Written = 0; ///< Of the current call's bytes.
  std::string Input;
  std::optional<Parser> Parsing;
  unsigned Strays = 0;
  bool AnyBytes = false;
  Instant RestingSince{};
  Duration MayRest = Duration::max();
  bool PeerClosed = false;
};

ClientPool::ClientPool(struct ev_loop *loop, Handler ended)
    : Loop(loop), Ended(std::move(ended)) {
  ev_async_init(&Wake, [](struct ev_loop *, ev_async *it, int) {
    static_cast<ClientPool *>(it->data)->deliver();
  });
  Wake.data = this;
  ev_async_start(Loop, &Wake);
}

ClientPool::~ClientPool() {
  ev_async_stop(Loop, &Wake);
  while (!Open.empty()) {
    drop(*Open.begin()->first);
  }
}

void ClientPool::start(Call call) {
  Endpoint &endpoint = Endpoints[call.Address];
  Connection *connection = takeIdle(endpoint, call.LongestRest);
  if (connection == nullptr) {
    connection = open(endpoint, call);
  }
  if (connection == nullptr) {
    CallResult result;
    result.Error = std::strerror(errno);
    return post(call.Id, std::move(result));
  }
  begin(*connection, std::move(call));
}

// The most recently used first, so that the others may be closed by their
// peer. One with bytes to read, or closed, is of no use.
ClientPool::Connection *ClientPool::takeIdle(Endpoint &endpoint,
                                             Duration longestRest) {
  const Instant now = readClock();
  while (!endpoint.Idle.empty()) {
    Connection &it = *endpoint.Idle.back();
    const Duration rested = now - it.RestingSince;
    if (rested > longestRest) {
      return nullptr; // The others rested longer still.
    }
    char byte = 0;
    const ssize_t n = recv(it.Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool quiet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (quiet && rested <= it.MayRest) {
      endpoint.Idle.pop_back();
      return &it;
    }
    drop(it);
  }
  return nullptr;
}

ClientPool::Connection *ClientPool::open(Endpoint &endpoint, const Call &call) {
  const auto address = readAddress(call.Address);
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
  Open.emplace(&it, std::move(owned));
  ++endpoint.Open;
  it.Owner = this;
  it.Address = call.Address;
  it.Fd = fd;
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
  const std::chrono::duration<double> timeout = call.ConnectTimeout;
  ev_timer_init(
      &it.Timer,
      [](struct ev_loop *, ev_timer *watcher, int) {
        auto *connection = static_cast<Connection *>(watcher->data);
        connection->Owner->fail(*connection, "no connection in time");
      },
      timeout.count(), 0);
  it.Readable.data = it.Writable.data = it.Timer.data = &it;
  ev_io_start(Loop, &it.Writable);
  ev_timer_start(Loop, &it.Timer);
  return &it;
}

void ClientPool::begin(Connection &connection, Call call) {
  Running.emplace(call.Id, &connection);
  connection.Current = std::move(call);
  connection.Written = 0;
  connection.Strays = 0;
  connection.AnyBytes = false;
  if (!connection.Connecting) {
    writeTo(connection);
  }
}

void ClientPool::writeTo(Connection &connection) {
  if (connection.Connecting) {
    ev_timer_stop(Loop, &connection.Timer);
    if (const int error = takeError(connection.Fd); error != 0) {
      return fail(connection, std::strerror(error));
    }
    connection.Connecting = false;
    ev_io_start(Loop, &connection.Readable);
  }
  if (!connection.Current) {
    ev_io_stop(Loop, &connection.Writable);
    return;
  }
  const std::string &bytes = connection.Current->Bytes;
  while (connection.Written < bytes.size()) {
    const ssize_t n =
        send(connection.Fd, bytes.data() + connection.Written,
             bytes.size() - connection.Written, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(Loop, &connection.Writable);
      return;
    }
    if (n < 0) {
      // What was answered before the peer closed is still to be read.
      ev_io_stop(Loop, &connection.Writable);
      ev_feed_fd_event(Loop, connection.Fd, EV_READ);
      return;
    }
    connection.Written += static_cast<std::size_t>(n);
  }
  ev_io_stop(Loop, &connection.Writable);
}

/// \param ended set when the peer closed or the connection broke.
/// \param error set to why it broke; 0 when the peer closed it.
/// \returns whether bytes came.
bool ClientPool::receive(Connection &connection, bool &ended, int &error) {
  std::array<char, ChunkBytes> chunk;
  bool any = false;
  while (true) {
    const ssize_t n =
        recv(connection.Fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n > 0) {
      connection.Input.append(chunk.data(), static_cast<std::size_t>(n));
      any = true;
      if (static_cast<std::size_t>(n) < chunk.size()) {
        return true;
      }
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return any;
    }
    ended = true;
    error = n < 0 ? errno : 0;
    return any;
  }
}

void ClientPool::readFrom(Connection &connection) {
  bool ended = false;
  int error = 0;
  const bool any = receive(connection, ended, error);
  if (!connection.Current) {
    if (any || ended) { // A resting connection has nothing to say.
      drop(connection);
    }
    return;
  }
  connection.AnyBytes = connection.AnyBytes || any;
  if (parse(connection)) {
    return; // The call is over, and the connection perhaps as well.
  }
  if (!ended) {
    return;
  }
  if (error == 0 && connection.Parsing) {
    // A response without a length ends with its connection.
    boost::beast::error_code ec;
    connection.Parsing->put_eof(ec);
    if (!ec && connection.Parsing->is_done()) {
      connection.PeerClosed = true;
      return finish(connection);
    }
  }
  fail(connection, error == 0 ? "closed by the peer" : std::strerror(error));
}

/// \returns whether the call is over.
bool ClientPool::parse(Connection &connection) {
  while (!connection.Input.empty()) {
    if (!connection.Parsing) {
      connection.Parsing.emplace();
      connection.Parsing->eager(true);
      connection.Parsing->header_limit(MostHeadBytes);
      connection.Parsing->body_limit(MostBodyBytes);
      connection.Parsing->skip(connection.Current->IsHead);
    }
    boost::beast::error_code ec;
    const std::size_t used = connection.Parsing->put(
        boost::asio::buffer(connection.Input.data(), connection.Input.size()),
        ec);
    connection.Input.erase(0, used);
    if (ec && ec != beast::error::need_more) {
      fail(connection, "not a response: " + ec.message());
      return true;
    }
    if (connection.Parsing->is_done()) {
      finish(connection);
      return true;
    }
    if (used == 0 || ec == beast::error::need_more) {
      return false;
    }
  }
  return false;
}

// A whole response is there: the call's own, an interim one, or a stray one.
void ClientPool::finish(Connection &connection) {
  const bool keeps = connection.Parsing->keep_alive();
  CallResult result;
  result.Response = takeResponse(*connection.Parsing);
  connection.Parsing.reset();
  const Call &call = *connection.Current;
  const std::string *echo =
      call.EchoName.empty() ? nullptr
                            : findHeader(result.Response.Fields, call.EchoName);
  const bool isOwn =
      call.EchoName.empty() || (echo != nullptr && *echo == call.EchoValue);
  if (result.Response.Status < FirstFinalStatus || !isOwn) {
    if (++connection.Strays > MostStrays || !keeps) {
      return fail(connection, "only responses to other requests");
    }
    if (!connection.Input.empty()) {
      ev_feed_event(Loop, &connection.Readable, EV_READ);
    }
    return;
  }
  result.How = Ending::Answered;
  result.OnKept = connection.Used;
  result.Opened = !connection.Used;
  result.AnyBytes = true;
  const CallId id = call.Id;
  // A request that the peer has not read to its end, and bytes that belong to
  // no request, leave the connection in doubt.
  const bool clean = connection.Written == call.Bytes.size() &&
                     connection.Input.empty() && !connection.PeerClosed;
  connection.MayRest =
      std::min(connection.MayRest, grantedRest(result.Response));
  Running.erase(id);
  connection.Current.reset();
  if (keeps && clean) {
    rest(connection);
  } else {
    drop(connection);
  }
  Ended(id, std::move(result));
}

void ClientPool::rest(Connection &connection) {
  connection.Used = true;
  connection.RestingSince = readClock();
  Endpoints[connection.Address].Idle.push_back(&connection);
}

void ClientPool::fail(Connection &connection, const std::string &error) {
  CallResult result;
  result.How = connection.Written == 0 ? Ending::NotSent : Ending::Broken;
  result.Error = error;
  result.OnKept = connection.Used;
  result.Opened = !connection.Used;
  result.AnyBytes = connection.AnyBytes;
  if (!connection.Current) {
    return drop(connection);
  }
  const CallId id = connection.Current->Id;
  drop(connection);
  Ended(id, std::move(result));
}

void ClientPool::cancel(CallId id) {
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return;
  }
  Connection &connection = *it->second;
  CallResult result;
  result.How = connection.Written == 0 ? Ending::NotSent : Ending::Broken;
  result.Error = "cancelled";
  result.Cancelled = true;
  result.OnKept = connection.Used;
  result.Opened = !connection.Used;
  result.AnyBytes = connection.AnyBytes;
  drop(connection);
  post(id, std::move(result));
}

void ClientPool::closeIdle(const std::string &address) {
  const auto it = Endpoints.find(address);
  if (it == Endpoints.end()) {
    return;
  }
  while (!it->second.Idle.empty()) {
    drop(*it->second.Idle.back());
  }
  if (it->second.Open == 0) {
    Endpoints.erase(it);
  }
}

std::size_t ClientPool::connections(const std::string &address) const {
  const auto it = Endpoints.find(address);
  return it == Endpoints.end() ? 0 : it->second.Open;
}

void ClientPool::drop(Connection &connection) {
  ev_io_stop(Loop, &connection.Readable);
  ev_io_stop(Loop, &connection.Writable);
  ev_timer_stop(Loop, &connection.Timer);
  close(connection.Fd);
  if (connection.Current) {
    Running.erase(connection.Current->Id);
  }
  Endpoint &endpoint = Endpoints[connection.Address];
  std::erase(endpoint.Idle, &connection);
  --endpoint.Open;
  Open.erase(&connection);
}

void ClientPool::post(CallId id, CallResult result) {
  Results.emplace_back(id, std::move(result));
  ev_async_send(Loop, &Wake);
}

void ClientPool::deliver() {
  auto results = std::exchange(Results, {});
  for (auto &[id, result] : results) {
    Ended(id, std::move(result));
  }
}

} // namespace zinniarail::http
