/// \file
/// An HTTP server for the stand-ins: libmicrohttpd on a libev loop. It accepts
/// connections itself, so that a stand-in can refuse, delay or cut them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ev.h>
#include <microhttpd.h>

#include "common/Timer.h"

namespace zinniarail::standins {

/// What goes back for one request.
struct Answer {
  unsigned Status = 200;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Bytes that Content-Length promises beyond the body; the connection is
  /// closed where they should follow.
  std::size_t MissingBytes = 0;
};

class HttpServer;

/// One request, whole, and the place for its answer. Held by whoever will
/// answer; once the peer has gone, answering does nothing.
class Exchange {
public:
  std::string Method;
  std::string Target; ///< Path and query as sent.
  std::string Body;

  /// The path without the query.
  std::string path() const;
  /// A query argument, or "" when missing. Not after the peer has gone.
  std::string argument(const char *name) const;
  /// A header, or "" when missing. Not after the peer has gone.
  std::string header(const char *name) const;

  /// Sends the answer. Only the first of answer and abort counts.
  void answer(Answer answer);
  /// Closes the connection without an answer.
  void abort();
  /// Sets what to do when the peer closes before the answer.
  void onGone(std::function<void()> callback) { Gone = std::move(callback); }
  /// True until answered, aborted or gone.
  bool isOpen() const { return Phase == Phases::Open; }

private:
  friend class HttpServer;
  enum class Phases : std::uint8_t { Reading, Open, Decided };

  void settle();
  void peerGone();
  MHD_Result finish();
  static void readable(struct ev_loop *loop, ev_io *it, int events);

  HttpServer *Server = nullptr;
  MHD_Connection *Connection = nullptr;
  Phases Phase = Phases::Reading;
  bool Started = false;
  bool Suspended = false;
  std::optional<Answer> Reply; ///< Missing once decided: close instead.
  std::function<void()> Gone;
  ev_io CloseWatch{};
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// How a server treats connections.
struct ConnectionRules {
  unsigned Limit = 4096; ///< Further connections are closed at once.
  Duration AcceptDelay{0};
};

/// Serves one address. The handler gets each whole request.
class HttpServer {
public:
  using Handler = std::function<void(const ExchangePtr &)>;

  HttpServer(struct ev_loop *loop, std::string address, Handler handler,
             ConnectionRules rules = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Opens the listening socket.
  /// \returns false when the address cannot be bound.
  bool listen();
  /// Closes the listening socket: new connections are refused.
  void refuse();
  /// Closes every connection, also those with a request at work.
  void closeConnections();

  std::size_t connections() const { return Open.size(); }
  /// Connections accepted since the start.
  std::uint64_t accepted() const { return Accepted; }
  /// Connections closed for the limit.
  std::uint64_t overLimit() const { return OverLimit; }

private:
  friend class Exchange;
  void run();
  void acceptAll();
  void admit(int fd);
  static MHD_Result onRequest(void *self, MHD_Connection *connection,
                              const char *url, const char *method,
                              const char *version, const char *upload,
                              std::size_t *size, void **context);
  static void *onTarget(void *self, const char *uri, MHD_Connection *it);
  static void onCompleted(void *self, MHD_Connection *connection,
                          void **context, MHD_RequestTerminationCode code);
  static void onConnection(void *self, MHD_Connection *connection,
                           void **context, MHD_ConnectionNotificationCode code);

  struct ev_loop *Loop;
  std::string Address;
  Handler Handle;
  ConnectionRules Rules;
  MHD_Daemon *Daemon = nullptr;
  int Listener = -1;
  ev_io ListenWatch{};
  ev_io EpollWatch{};
  Timer RunTimer;
  std::unordered_map<MHD_Connection *, std::weak_ptr<Exchange>> Open;
  std::unordered_map<int, std::unique_ptr<Timer>> Accepting;
  std::uint64_t Accepted = 0;
  std::uint64_t OverLimit = 0;
};

} // namespace zinniarail::standins
