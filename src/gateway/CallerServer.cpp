#include "gateway/CallerServer.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "gateway/Answers.h"

namespace zinniarail::gateway {

namespace {

// A head of HeadLimit and an answer's headers have room in it together.
constexpr std::size_t ConnectionMemory = std::size_t{64} << 10; // bytes
constexpr unsigned ConnectionLimit = 8192;
constexpr std::uint64_t ReserveLimit = std::uint64_t{64} << 10; // bytes
constexpr std::size_t DiscardLimit = std::size_t{64} << 20;     // bytes
constexpr std::string_view Interim = "HTTP/1.1 102 Processing\r\n\r\n";

MHD_Result collectHeader(void *fields, MHD_ValueKind, const char *name,
                         const char *value) {
  static_cast<Headers *>(fields)->push_back(
      {name, value == nullptr ? "" : value});
  return MHD_YES;
}

size_t keepEscapes(void *, MHD_Connection *, char *text) {
  return std::strlen(text);
}

} // namespace

/// One caller's connection.
struct CallerServer::Connection {
  int Fd = -1;
  bool Ended = false;          ///< The caller will send nothing more.
  Exchange *Current = nullptr; ///< That waits for its answer.
};

/// One request on its way to its answer.
struct CallerServer::Exchange {
  CallerServer *Owner = nullptr;
  MHD_Connection *Handle = nullptr;
  Connection *Caller = nullptr;
  std::shared_ptr<Request> Content = std::make_shared<Request>();
  std::size_t Discarded = 0;
  std::uint64_t Id = 0;
  bool HeadTaken = false;
  bool Handed = false;  ///< Its request has been handed on.
  bool Refused = false; ///< Answered before its end; the rest is discarded.
  bool Suspended = false;
  bool Gone = false;
  bool Modern = true; ///< HTTP/1.1: may be sent an interim answer.
  std::optional<Answer> Given;
};

/// An answer's body while it is being taken.
struct CallerServer::Body {
  CallerServer *Owner;
  std::string Bytes;
};

CallerServer::CallerServer(struct ev_loop *loop, const std::string &address,
                           CallerHandlers handlers, Duration quietLimit)
    : Loop(loop), Handlers(std::move(handlers)),
      Door(
          loop, [this](int fd) { admit(fd); }, quietLimit),
      GoneWatch(epoll_create1(EPOLL_CLOEXEC)) {
  if (!Door.open(address)) {
    return;
  }
  const auto quiet = std::chrono::ceil<std::chrono::seconds>(quietLimit);
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
      nullptr, nullptr, &onRequest, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      ConnectionMemory, MHD_OPTION_CONNECTION_LIMIT, ConnectionLimit,
      MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(quiet.count()),
      MHD_OPTION_URI_LOG_CALLBACK, &onTarget, this,
      MHD_OPTION_UNESCAPE_CALLBACK, &keepEscapes, nullptr,
      MHD_OPTION_NOTIFY_COMPLETED, &onDone, this, MHD_OPTION_NOTIFY_CONNECTION,
      &onConnection, this, MHD_OPTION_END);
  if (Daemon == nullptr) {
    return;
  }
  const MHD_DaemonInfo *info =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  const auto due = [](struct ev_loop *, ev_io *it, int) {
    static_cast<CallerServer *>(it->data)->Due = true;
  };
  ev_io_init(&DaemonReady, due, info->epoll_fd, EV_READ);
  DaemonReady.data = this;
  ev_io_start(Loop, &DaemonReady);
  ev_io_init(
      &GoneReady,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<CallerServer *>(it->data)->watchGone();
      },
      GoneWatch, EV_READ);
  GoneReady.data = this;
  ev_io_start(Loop, &GoneReady);
  ev_timer_init(
      &Timer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<CallerServer *>(it->data)->Due = true;
      },
      0, 0);
  Timer.data = this;
}

CallerServer::~CallerServer() {
  if (Daemon != nullptr) {
    for (auto &[id, it] : Waiting) {
      it->Gone = true;
      it->Suspended = false;
      MHD_resume_connection(it->Handle);
    }
    Waiting.clear();
    MHD_stop_daemon(Daemon);
    ev_io_stop(Loop, &DaemonReady);
    ev_io_stop(Loop, &GoneReady);
    ev_timer_stop(Loop, &Timer);
  }
  close(GoneWatch);
}

void CallerServer::admit(int fd) {
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &length);
  MHD_add_connection(Daemon, fd, reinterpret_cast<sockaddr *>(&peer),
                     sizeof peer);
  Due = true;
}

void CallerServer::answer(std::uint64_t id, Answer content) {
  const auto it = Waiting.find(id);
  if (it == Waiting.end()) {
    return;
  }
  Exchange &exchange = *it->second;
  Waiting.erase(it);
  exchange.Given = std::move(content);
  if (exchange.Suspended) {
    exchange.Suspended = false;
    exchange.Caller->Current = nullptr;
    MHD_resume_connection(exchange.Handle);
    Due = true;
  }
}

bool CallerServer::run() {
  if (!Due) {
    return false;
  }
  Due = false;
  MHD_run(Daemon);
  arm();
  return true;
}

void CallerServer::arm() {
  MHD_UNSIGNED_LONG_LONG ms = 0;
  ev_timer_stop(Loop, &Timer);
  if (MHD_get_timeout(Daemon, &ms) != MHD_YES) {
    return;
  }
  if (ms == 0) {
    Due = true;
    return;
  }
  ev_timer_set(&Timer, static_cast<double>(ms) / 1000.0, 0);
  ev_timer_start(Loop, &Timer);
}

void *CallerServer::onTarget(void *self, const char *target,
                             MHD_Connection *handle) {
  auto *owner = static_cast<CallerServer *>(self);
  auto *exchange = new Exchange;
  exchange->Owner = owner;
  exchange->Handle = handle;
  exchange->Content->Target = target;
  const MHD_ConnectionInfo *info =
      MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  exchange->Caller = static_cast<Connection *>(info->socket_context);
  ++owner->Requests;
  return exchange;
}

MHD_Result CallerServer::onRequest(void *, MHD_Connection *, const char *,
                                   const char *method, const char *version,
                                   const char *data, size_t *size,
                                   void **context) {
  auto &exchange = *static_cast<Exchange *>(*context);
  CallerServer &owner = *exchange.Owner;
  if (!exchange.HeadTaken) {
    return owner.takeHead(exchange, method, version);
  }
  if (*size != 0) {
    return owner.takeBody(exchange, data, size);
  }
  return owner.takeEnd(exchange);
}

MHD_Result CallerServer::takeHead(Exchange &exchange, const char *method,
                                  const char *version) {
  exchange.HeadTaken = true;
  exchange.Content->Method = method;
  exchange.Modern = std::strcmp(version, MHD_HTTP_VERSION_1_1) == 0;
  Headers &fields = exchange.Content->Fields;
  MHD_get_connection_values(exchange.Handle, MHD_HEADER_KIND, &collectHeader,
                            &fields);
  const MHD_ConnectionInfo *head = MHD_get_connection_info(
      exchange.Handle, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (head != nullptr && head->header_size > HeadLimit) {
    return refuseEarly(exchange, makeTooLong());
  }
  if (const auto fault = findFramingFault(fields)) {
    return refuseEarly(exchange, makeMalformed(*fault));
  }
  const std::string *length = findHeader(fields, "Content-Length");
  const auto bytes = length == nullptr ? std::nullopt : parseNumber(*length);
  if (bytes && *bytes > BodyLimit) {
    return refuseEarly(exchange, makeTooLarge());
  }
  if (bytes) {
    exchange.Content->Body.reserve(std::min(*bytes, ReserveLimit));
  }
  return MHD_YES;
}

// libmicrohttpd answers early only by closing at once, and the system then
// resets the connection under bytes still on their way, so that the answer may
// be lost. It is sent past it, and the rest is read within a bound.
MHD_Result CallerServer::refuseEarly(Exchange &exchange,
                                     const Answer &content) {
  const std::string bytes = printAnswer(content);
  const int fd = exchange.Caller->Fd;
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
  exchange.Refused = true;
  exchange.Content->Body = {};
  return MHD_YES;
}

MHD_Result CallerServer::takeBody(Exchange &exchange, const char *data,
                                  size_t *size) {
  std::string &body = exchange.Content->Body;
  if (!exchange.Refused && body.size() + *size > BodyLimit) {
    refuseEarly(exchange, makeTooLarge());
  }
  if (exchange.Refused) {
    exchange.Discarded += *size;
  } else {
    body.append(data, *size);
  }
  *size = 0;
  return exchange.Discarded > DiscardLimit ? MHD_NO : MHD_YES;
}

MHD_Result CallerServer::takeEnd(Exchange &exchange) {
  if (exchange.Gone || exchange.Refused) {
    return MHD_NO;
  }
  if (!exchange.Handed) {
    exchange.Handed = true;
    exchange.Id = ++LastId;
    dropHopByHop(exchange.Content->Fields);
    Waiting.emplace(exchange.Id, &exchange);
    Handlers.Arrived(exchange.Id, exchange.Content);
  }
  if (exchange.Given) {
    return reply(exchange);
  }
  if (!exchange.Suspended) {
    exchange.Suspended = true;
    exchange.Caller->Current = &exchange;
    MHD_suspend_connection(exchange.Handle);
    if (exchange.Caller->Ended) {
      lookAtClose(*exchange.Caller);
    }
  }
  return MHD_YES;
}

MHD_Response *CallerServer::makeResponse(Answer &content, bool head) {
  auto *body = new Body{this, std::move(content.Body)};
  AnswerBytes += body->Bytes.size();
  MHD_Response *response =
      MHD_create_response_from_buffer_with_free_callback_cls(
          body->Bytes.size(), body->Bytes.data(),
          [](void *data) {
            auto *it = static_cast<Body *>(data);
            it->Owner->AnswerBytes -= it->Bytes.size();
            delete it;
          },
          body);
  if (head) {
    MHD_set_response_options(response, MHD_RF_INSANITY_HEADER_CONTENT_LENGTH,
                             MHD_RO_END);
  }
  for (const Header &it : content.Fields) {
    MHD_add_response_header(response, it.Name.c_str(), it.Value.c_str());
  }
  if (Closing) {
    MHD_add_response_header(response, "Connection", "close");
  }
  return response;
}

MHD_Result CallerServer::reply(Exchange &exchange) {
  const bool head = exchange.Content->Method == "HEAD";
  const unsigned status = exchange.Given->Status;
  MHD_Response *response = makeResponse(*exchange.Given, head);
  const MHD_Result result =
      MHD_queue_response(exchange.Handle, status, response);
  MHD_destroy_response(response);
  return result;
}

void CallerServer::onDone(void *self, MHD_Connection *, void **context,
                          MHD_RequestTerminationCode) {
  auto *owner = static_cast<CallerServer *>(self);
  auto *exchange = static_cast<Exchange *>(*context);
  if (exchange == nullptr) {
    return;
  }
  if (exchange->Caller->Current == exchange) {
    exchange->Caller->Current = nullptr;
  }
  if (owner->Waiting.erase(exchange->Id) != 0) {
    owner->Handlers.Gone(exchange->Id);
  }
  --owner->Requests;
  delete exchange;
  *context = nullptr;
}

void CallerServer::onConnection(void *self, MHD_Connection *handle,
                                void **context,
                                MHD_ConnectionNotificationCode code) {
  auto *owner = static_cast<CallerServer *>(self);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    --owner->Connections;
    delete static_cast<Connection *>(*context);
    return;
  }
  const MHD_ConnectionInfo *info =
      MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD);
  auto *connection = new Connection{.Fd = info->connect_fd};
  *context = connection;
  ++owner->Connections;
  epoll_event event{.events = EPOLLRDHUP | EPOLLET,
                    .data = {.ptr = connection}};
  epoll_ctl(owner->GoneWatch, EPOLL_CTL_ADD, connection->Fd, &event);
}

void CallerServer::watchGone() {
  std::array<epoll_event, 64> events{};
  const int n =
      epoll_wait(GoneWatch, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < n; ++i) {
    auto &connection = *static_cast<Connection *>(events[i].data.ptr);
    connection.Ended = true;
    if ((events[i].events & (EPOLLHUP | EPOLLERR)) == 0) {
      lookAtClose(connection);
      continue;
    }
    Exchange *exchange = connection.Current;
    if (exchange == nullptr) {
      continue; // libmicrohttpd finds out by itself
    }
    connection.Current = nullptr;
    exchange->Gone = true;
    exchange->Suspended = false;
    Waiting.erase(exchange->Id);
    MHD_resume_connection(exchange->Handle);
    Due = true;
    Handlers.Gone(exchange->Id);
  }
}

// A caller that ended its side of the connection may have gone or may wait for
// its answer. An interim answer, which every HTTP/1.1 caller must pass over,
// makes the system of one that has gone reset the connection.
void CallerServer::lookAtClose(Connection &connection) {
  if (connection.Current != nullptr && connection.Current->Modern) {
    send(connection.Fd, Interim.data(), Interim.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  }
}

} // namespace zinniarail::gateway
