#include "common/HttpServer.h"

#include <arpa/inet.h>
#include <cstdio>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "zinniarail/settings/Settings.h"

namespace zinniarail::standins {

namespace {

constexpr std::size_t BodyLimit = 16U << 20U;
constexpr std::size_t ConnectionMemory = 64U << 10U; // room for long headers
constexpr int Backlog = 1024;

std::optional<sockaddr_in> toSocketAddress(const std::string &address) {
  const SocketAddress it = parseAddress(address);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  if (inet_pton(AF_INET, it.Host.c_str(), &out.sin_addr) != 1) {
    return std::nullopt;
  }
  out.sin_port = htons(it.Port);
  return out;
}

/// A body that ends too early, as a response reader.
struct ShortBody {
  std::string Bytes;
};

ssize_t readShort(void *context, std::uint64_t position, char *buf,
                  std::size_t max) {
  const auto &bytes = static_cast<ShortBody *>(context)->Bytes;
  if (position >= bytes.size()) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  return static_cast<ssize_t>(bytes.copy(buf, max, position));
}

void freeShort(void *context) { delete static_cast<ShortBody *>(context); }

MHD_Response *makeResponse(const Answer &answer) {
  if (answer.MissingBytes == 0) {
    return MHD_create_response_from_buffer(
        answer.Body.size(), const_cast<char *>(answer.Body.data()),
        MHD_RESPMEM_MUST_COPY);
  }
  constexpr std::size_t block = 4096;
  return MHD_create_response_from_callback(
      answer.Body.size() + answer.MissingBytes, block, &readShort,
      new ShortBody{answer.Body}, &freeShort);
}

} // namespace

std::string Exchange::path() const {
  return Target.substr(0, Target.find('?'));
}

std::string Exchange::argument(const char *name) const {
  const char *it = Connection == nullptr
                       ? nullptr
                       : MHD_lookup_connection_value(
                             Connection, MHD_GET_ARGUMENT_KIND, name);
  return it == nullptr ? "" : it;
}

std::string Exchange::header(const char *name) const {
  const char *it =
      Connection == nullptr
          ? nullptr
          : MHD_lookup_connection_value(Connection, MHD_HEADER_KIND, name);
  return it == nullptr ? "" : it;
}

void Exchange::answer(Answer answer) {
  if (Phase != Phases::Open) {
    return;
  }
  Reply = std::move(answer);
  settle();
}

void Exchange::abort() {
  if (Phase == Phases::Open) {
    settle();
  }
}

void Exchange::settle() {
  Phase = Phases::Decided;
  Gone = nullptr;
  if (!Suspended) {
    return;
  }
  Suspended = false;
  ev_io_stop(Server->Loop, &CloseWatch);
  MHD_resume_connection(Connection);
  // Without a listening socket of its own the library leaves its wake-up out
  // of the epoll set.
  Server->RunTimer.start(Duration::zero(),
                         [server = Server] { server->run(); });
}

void Exchange::peerGone() {
  const auto gone = std::exchange(Gone, nullptr);
  settle();
  if (gone) {
    gone();
  }
}

MHD_Result Exchange::finish() {
  if (!Reply) {
    return MHD_NO;
  }
  MHD_Response *response = makeResponse(*Reply);
  for (const auto &[name, value] : Reply->Headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto result = MHD_queue_response(Connection, Reply->Status, response);
  MHD_destroy_response(response);
  return result;
}

void Exchange::readable(struct ev_loop *loop, ev_io *it, int /*events*/) {
  char byte = 0;
  const auto n = recv(it->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (n > 0) { // a pipelined request; it waits for this one's answer
    ev_io_stop(loop, it);
    return;
  }
  static_cast<Exchange *>(it->data)->peerGone();
}

HttpServer::HttpServer(struct ev_loop *loop, std::string address,
                       Handler handler, ConnectionRules rules)
    : Loop(loop), Address(std::move(address)), Handle(std::move(handler)),
      Rules(rules), RunTimer(loop) {
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME, 0,
      nullptr, nullptr, &onRequest, this, MHD_OPTION_URI_LOG_CALLBACK,
      &onTarget, this, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, this,
      MHD_OPTION_NOTIFY_CONNECTION, &onConnection, this,
      MHD_OPTION_CONNECTION_LIMIT, Rules.Limit + 1,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemory, MHD_OPTION_END);
  const auto *info = MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init(
      &EpollWatch,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<HttpServer *>(it->data)->run();
      },
      info->epoll_fd, EV_READ);
  EpollWatch.data = this;
  ev_io_start(Loop, &EpollWatch);
}

HttpServer::~HttpServer() {
  refuse();
  closeConnections();
  MHD_run(Daemon);
  ev_io_stop(Loop, &EpollWatch);
  MHD_stop_daemon(Daemon);
}

bool HttpServer::listen() {
  if (Listener >= 0) {
    return true;
  }
  const auto address = toSocketAddress(Address);
  if (!address) {
    return false;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&*address),
           sizeof *address) != 0 ||
      ::listen(fd, Backlog) != 0) {
    close(fd);
    return false;
  }
  Listener = fd;
  ev_io_init(
      &ListenWatch,
      [](struct ev_loop *, ev_io *it, int) {
        static_cast<HttpServer *>(it->data)->acceptAll();
      },
      fd, EV_READ);
  ListenWatch.data = this;
  ev_io_start(Loop, &ListenWatch);
  return true;
}

void HttpServer::refuse() {
  if (Listener < 0) {
    return;
  }
  ev_io_stop(Loop, &ListenWatch);
  close(std::exchange(Listener, -1));
}

void HttpServer::closeConnections() {
  for (const auto &[fd, timer] : Accepting) {
    close(fd);
  }
  Accepting.clear();
  const auto open = Open; // aborting changes the table
  for (const auto &[connection, exchange] : open) {
    if (const auto it = exchange.lock()) {
      it->abort();
    }
    const auto *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    shutdown(info->connect_fd, SHUT_RDWR);
  }
}

void HttpServer::run() {
  MHD_run(Daemon);
  MHD_UNSIGNED_LONG_LONG ms = 0;
  if (MHD_get_timeout(Daemon, &ms) == MHD_YES) {
    RunTimer.start(std::chrono::milliseconds{ms}, [this] { run(); });
  } else {
    RunTimer.stop();
  }
}

void HttpServer::acceptAll() {
  for (;;) {
    const int fd =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    ++Accepted;
    if (Open.size() + Accepting.size() >= Rules.Limit) {
      ++OverLimit;
      close(fd);
      continue;
    }
    if (Rules.AcceptDelay == Duration::zero()) {
      admit(fd);
      continue;
    }
    auto timer = std::make_unique<Timer>(Loop);
    timer->start(Rules.AcceptDelay, [this, fd] {
      Accepting.erase(fd);
      admit(fd);
    });
    Accepting.emplace(fd, std::move(timer));
  }
}

void HttpServer::admit(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) != 0) {
    close(fd);
    return;
  }
  if (MHD_add_connection(Daemon, fd, reinterpret_cast<sockaddr *>(&peer),
                         size) == MHD_YES) { // closes it otherwise
    run();
  }
}

void *HttpServer::onTarget(void *self, const char *uri, MHD_Connection *it) {
  auto exchange = std::make_shared<Exchange>();
  exchange->Server = static_cast<HttpServer *>(self);
  exchange->Connection = it;
  exchange->Target = uri;
  exchange->Server->Open[it] = exchange;
  return new ExchangePtr(std::move(exchange));
}

MHD_Result HttpServer::onRequest(void *self, MHD_Connection *connection,
                                 const char * /*url*/, const char *method,
                                 const char * /*version*/, const char *upload,
                                 std::size_t *size, void **context) {
  auto &server = *static_cast<HttpServer *>(self);
  const auto exchange = *static_cast<ExchangePtr *>(*context);
  if (!exchange->Started) {
    exchange->Started = true;
    exchange->Method = method;
    return MHD_YES;
  }
  if (*size > 0) {
    if (exchange->Body.size() + *size > BodyLimit) {
      return MHD_NO;
    }
    exchange->Body.append(upload, *size);
    *size = 0;
    return MHD_YES;
  }
  if (exchange->Phase == Exchange::Phases::Reading) {
    exchange->Phase = Exchange::Phases::Open;
    server.Handle(exchange);
  }
  if (exchange->Phase == Exchange::Phases::Decided) {
    return exchange->finish();
  }
  MHD_suspend_connection(connection);
  exchange->Suspended = true;
  const auto *info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  ev_io_init(&exchange->CloseWatch, &Exchange::readable, info->connect_fd,
             EV_READ);
  exchange->CloseWatch.data = exchange.get();
  ev_io_start(server.Loop, &exchange->CloseWatch);
  return MHD_YES;
}

void HttpServer::onCompleted(void * /*self*/, MHD_Connection * /*connection*/,
                             void **context,
                             MHD_RequestTerminationCode /*code*/) {
  const std::unique_ptr<ExchangePtr> holder(
      static_cast<ExchangePtr *>(std::exchange(*context, nullptr)));
  if (!holder) {
    return;
  }
  auto &it = **holder;
  it.Suspended = false;
  ev_io_stop(it.Server->Loop, &it.CloseWatch);
  if (it.Phase == Exchange::Phases::Open) {
    it.peerGone();
  }
  it.Phase = Exchange::Phases::Decided;
  it.Connection = nullptr;
}

void HttpServer::onConnection(void *self, MHD_Connection *connection,
                              void ** /*context*/,
                              MHD_ConnectionNotificationCode code) {
  auto &server = *static_cast<HttpServer *>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    server.Open.emplace(connection, std::weak_ptr<Exchange>{});
  } else {
    server.Open.erase(connection);
  }
}

} // namespace zinniarail::standins
