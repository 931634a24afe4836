#include "core/CurlLoop.h"

#include <utility>

namespace zinniarail {

CurlLoop::CurlLoop(struct ev_loop *loop, long maxIdleConnections,
                   TimeoutMode mode, FinishedCallback onFinished)
    : Loop(loop), Mode(mode), OnFinished(std::move(onFinished)),
      Multi(curl_multi_init()) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
  curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  ev_timer_init(&Timer, &onTimeout, 0., 0.);
  Timer.data = this;
}

CurlLoop::~CurlLoop() {
  curl_multi_cleanup(Multi);
  ev_timer_stop(Loop, &Timer);
}

bool CurlLoop::processDueTimeouts() {
  const bool wasDue = IsTimeoutDue;
  while (IsTimeoutDue) {
    IsTimeoutDue = false;
    processSocket(CURL_SOCKET_TIMEOUT, 0);
  }
  return wasDue;
}

void CurlLoop::processSocket(curl_socket_t socket, int flags) {
  int running = 0;
  curl_multi_socket_action(Multi, socket, flags, &running);
  int left = 0;
  while (CURLMsg *message = curl_multi_info_read(Multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      CURL *easy = message->easy_handle;
      const CURLcode code = message->data.result;
      remove(easy); // Invalidates `message`.
      OnFinished(easy, code);
    }
  }
}

int CurlLoop::onSocket(CURL *, curl_socket_t socket, int what, void *self,
                       void *watcher) {
  auto &owner = *static_cast<CurlLoop *>(self);
  auto *it = static_cast<ev_io *>(watcher);
  if (it != nullptr) {
    ev_io_stop(owner.Loop, it);
  }
  if (what == CURL_POLL_REMOVE) {
    curl_multi_assign(owner.Multi, socket, nullptr);
    delete it;
    return 0;
  }
  if (it == nullptr) {
    it = new ev_io{};
    it->data = self;
    ev_init(it, &onSocketReady);
    curl_multi_assign(owner.Multi, socket, it);
  }
  const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_set(it, socket, events);
  ev_io_start(owner.Loop, it);
  return 0;
}

// Called by libcurl, which must not be called back from here: a timeout that is
// due immediately is processed later.
int CurlLoop::onTimer(CURLM *, long milliseconds, void *self) {
  constexpr double millisecondsPerSecond = 1000;
  auto &owner = *static_cast<CurlLoop *>(self);
  ev_timer_stop(owner.Loop, &owner.Timer);
  if (milliseconds == 0 && owner.Mode == TimeoutMode::Manual) {
    owner.IsTimeoutDue = true;
  } else if (milliseconds >= 0) {
    ev_timer_set(&owner.Timer,
                 static_cast<double>(milliseconds) / millisecondsPerSecond, 0.);
    ev_timer_start(owner.Loop, &owner.Timer);
  }
  return 0;
}

void CurlLoop::onSocketReady(struct ev_loop *, ev_io *it, int events) {
  const int flags = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                    ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  static_cast<CurlLoop *>(it->data)->processSocket(it->fd, flags);
}

void CurlLoop::onTimeout(struct ev_loop *, ev_timer *it, int) {
  auto &owner = *static_cast<CurlLoop *>(it->data);
  if (owner.Mode == TimeoutMode::Manual) {
    owner.IsTimeoutDue = true;
  } else {
    owner.processSocket(CURL_SOCKET_TIMEOUT, 0);
  }
}

} // namespace zinniarail
