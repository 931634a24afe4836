/// \file
/// A one-shot libev timer that runs a callback.
#pragma once

#include <functional>
#include <utility>

#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// Owns a timer; destroying it stops it. The callback may destroy it.
class Timer {
public:
  explicit Timer(struct ev_loop *loop) : Loop(loop) {
    ev_init(&Watcher, &Timer::fired);
    Watcher.data = this;
  }
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Runs the callback once after a delay; replaces an earlier one.
  void start(Duration delay, std::function<void()> callback) {
    stop();
    Callback = std::move(callback);
    ev_now_update(Loop); // the loop's time is that of its last wake-up
    ev_timer_set(&Watcher, std::chrono::duration<double>(delay).count(), 0.);
    ev_timer_start(Loop, &Watcher);
  }

  void stop() { ev_timer_stop(Loop, &Watcher); }

  bool isActive() const { return ev_is_active(&Watcher); }

private:
  static void fired(struct ev_loop * /*loop*/, ev_timer *it, int /*events*/) {
    const auto callback = std::move(static_cast<Timer *>(it->data)->Callback);
    callback();
  }

  struct ev_loop *Loop;
  ev_timer Watcher{};
  std::function<void()> Callback;
};

} // namespace zinniarail::standins
