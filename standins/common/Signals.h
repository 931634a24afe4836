/// \file
/// Ends a libev loop on SIGINT or SIGTERM.
#pragma once

#include <csignal>

#include <ev.h>

namespace zinniarail::standins {

/// Breaks the loop when the process is asked to stop.
class StopSignals {
public:
  explicit StopSignals(struct ev_loop *loop) : Loop(loop) {
    ev_signal_init(&Interrupt, &StopSignals::stop, SIGINT);
    ev_signal_init(&Terminate, &StopSignals::stop, SIGTERM);
    ev_signal_start(Loop, &Interrupt);
    ev_signal_start(Loop, &Terminate);
  }
  ~StopSignals() {
    ev_signal_stop(Loop, &Interrupt);
    ev_signal_stop(Loop, &Terminate);
  }
  StopSignals(const StopSignals &) = delete;
  StopSignals &operator=(const StopSignals &) = delete;

private:
  static void stop(struct ev_loop *loop, ev_signal * /*it*/, int /*events*/) {
    ev_break(loop, EVBREAK_ALL);
  }

  struct ev_loop *Loop;
  ev_signal Interrupt{};
  ev_signal Terminate{};
};

} // namespace zinniarail::standins
