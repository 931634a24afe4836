/// \file
/// Takes whole requests from callers and gives whole answers back, over
/// libmicrohttpd on the gateway's own loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <ev.h>
#include <microhttpd.h>

#include "gateway/CallerDoor.h"
#include "gateway/Http.h"

namespace zinniarail::gateway {

/// What callers do.
struct CallerHandlers {
  /// A whole request; its answer may be given before this returns.
  std::function<void(std::uint64_t id, std::shared_ptr<Request>)> Arrived;
  /// The caller went away before its answer; the id is void from now on.
  std::function<void(std::uint64_t id)> Gone;
};

/// Owns the caller port and its connections. Used on its loop's thread.
class CallerServer {
public:
  /// \param address "ip:port"; whether it could be bound says isOpen.
  /// \param quietLimit whole seconds after which a caller that sends nothing,
  /// or takes nothing, is cut off, unless it waits for its answer.
  CallerServer(struct ev_loop *loop, const std::string &address,
               CallerHandlers handlers,
               Duration quietLimit = std::chrono::seconds{120});
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Whether the port could be bound.
  bool isOpen() const { return Daemon != nullptr; }

  /// Gives a request its answer. Does nothing when the caller is gone.
  void answer(std::uint64_t id, Answer content);

  /// Does what is due at once. To be called before each wait of the loop,
  /// until it returns false.
  /// \returns whether anything was done.
  bool run();

  /// From now on each answer ends its connection.
  void closeAfterAnswers() { Closing = true; }

  /// Requests that have begun to arrive and are not yet answered whole.
  std::size_t openRequests() const { return Requests; }

  /// Open connections, idle ones included.
  std::size_t connections() const { return Connections + Door.waiting(); }

  /// Bytes of answers' bodies that callers have not taken yet.
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  struct Connection;
  struct Exchange;
  struct Body;

  static MHD_Result onRequest(void *self, MHD_Connection *, const char *url,
                              const char *method, const char *version,
                              const char *data, size_t *size, void **exchange);
  static void *onTarget(void *self, const char *target, MHD_Connection *);
  static void onDone(void *self, MHD_Connection *, void **exchange,
                     MHD_RequestTerminationCode);
  static void onConnection(void *self, MHD_Connection *, void **connection,
                           MHD_ConnectionNotificationCode);

  void admit(int fd);
  MHD_Result takeHead(Exchange &exchange, const char *method,
                      const char *version);
  MHD_Result takeBody(Exchange &exchange, const char *data, size_t *size);
  MHD_Result takeEnd(Exchange &exchange);
  MHD_Result refuseEarly(Exchange &exchange, const Answer &content);
  MHD_Result reply(Exchange &exchange);
  MHD_Response *makeResponse(Answer &content, bool head);
  void watchGone();
  void lookAtClose(Connection &connection);
  void arm();

  struct ev_loop *Loop;
  CallerHandlers Handlers;
  CallerDoor Door;
  MHD_Daemon *Daemon = nullptr;
  int GoneWatch = -1; ///< An epoll set that hears only of callers that close.
  ev_io DaemonReady{};
  ev_io GoneReady{};
  ev_timer Timer{};
  bool Due = false;
  bool Closing = false;
  std::size_t Requests = 0;
  std::size_t Connections = 0;
  std::size_t AnswerBytes = 0;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, Exchange *> Waiting;
};

} // namespace zinniarail::gateway
