/// \file
/// Drives libcurl's multi interface from a libev loop: sockets, timeouts and
/// finished transfers. The clients that use it own the transfers.
#pragma once

#include <cstdint>
#include <functional>

#include <curl/curl.h>
#include <ev.h>

namespace zinniarail {

/// Runs the transfers of easy handles. Used only on the thread of its loop.
class CurlLoop {
public:
  /// When to process libcurl's timeouts.
  enum class TimeoutMode : std::uint8_t {
    Automatic, ///< On the loop, as soon as they are due.
    Manual,    ///< When the owner calls processDueTimeouts.
  };

  /// Called for each finished handle, after it was removed.
  using FinishedCallback = std::function<void(CURL *easy, CURLcode code)>;

  /// \param loop must outlive this object.
  /// \param maxIdleConnections maximum number of idle keep-alive connections.
  CurlLoop(struct ev_loop *loop, long maxIdleConnections, TimeoutMode mode,
           FinishedCallback onFinished);
  /// All handles must have finished or been removed before the destruction.
  ~CurlLoop();
  CurlLoop(const CurlLoop &) = delete;
  CurlLoop &operator=(const CurlLoop &) = delete;

  /// Starts a handle's transfer. The finished callback is never called from
  /// within this function.
  void add(CURL *easy) { curl_multi_add_handle(Multi, easy); }

  /// Cancels a transfer without calling the finished callback.
  void remove(CURL *easy) { curl_multi_remove_handle(Multi, easy); }

  /// Processes due timeouts in TimeoutMode::Manual.
  /// \returns whether any was due.
  bool processDueTimeouts();

private:
  void processSocket(curl_socket_t socket, int flags);
  static int onSocket(CURL *, curl_socket_t socket, int what, void *self,
                      void *watcher);
  static int onTimer(CURLM *, long milliseconds, void *self);
  static void onSocketReady(struct ev_loop *, ev_io *it, int events);
  static void onTimeout(struct ev_loop *, ev_timer *it, int);

  struct ev_loop *Loop;
  TimeoutMode Mode;
  FinishedCallback OnFinished;
  CURLM *Multi;
  ev_timer Timer{};
  bool IsTimeoutDue = false;
};

} // namespace zinniarail
