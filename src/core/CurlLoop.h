/// \file
/// libcurl's multi interface on a libev loop: sockets, timeouts and what has
/// finished. The clients above it own the transfers.
#pragma once

#include <cstdint>
#include <functional>

#include <curl/curl.h>
#include <ev.h>

namespace zinniarail {

/// Drives easy handles. Used on one thread, that of its loop.
class CurlLoop {
public:
  /// When to do what libcurl wants done by time.
  enum class Timeouts : std::uint8_t {
    OnLoop, ///< As soon as the loop comes to it.
    OnRun,  ///< When the owner calls runDue.
  };

  /// Called for each handle that is done, which is removed already.
  using Finished = std::function<void(CURL *easy, CURLcode code)>;

  /// \param loop outlives this.
  /// \param keptConnections idle ones, at most.
  CurlLoop(struct ev_loop *loop, long keptConnections, Timeouts timeouts,
           Finished finished);
  /// All handles must have been removed or finished.
  ~CurlLoop();
  CurlLoop(const CurlLoop &) = delete;
  CurlLoop &operator=(const CurlLoop &) = delete;

  /// Starts a handle's transfer. Finished follows, never from within.
  void add(CURL *easy) { curl_multi_add_handle(Multi, easy); }

  /// Drops a handle; Finished does not follow.
  void remove(CURL *easy) { curl_multi_remove_handle(Multi, easy); }

  /// Does what is due by time, with Timeouts::OnRun.
  /// \returns whether anything was.
  bool runDue();

private:
  void act(curl_socket_t socket, int flags);
  static int onSocket(CURL *, curl_socket_t socket, int what, void *self,
                      void *watcher);
  static int onTimer(CURLM *, long milliseconds, void *self);
  static void onReady(struct ev_loop *, ev_io *it, int events);
  static void onTimeout(struct ev_loop *, ev_timer *it, int);

  struct ev_loop *Loop;
  Timeouts When;
  Finished Done;
  CURLM *Multi;
  ev_timer Timer{};
  bool Due = false;
};

} // namespace zinniarail
