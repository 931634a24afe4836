/// \file
/// The control task: a thread with a libev loop that owns the connection to
/// the platform and posts views. Its decisions are those of the intent and
/// membership modules.
#pragma once

#include <functional>
#include <memory>

#include "zinniarail/control/Messages.h"
#include "zinniarail/gateway/Messages.h"
#include "zinniarail/membership/Membership.h"
#include "zinniarail/peers/Messages.h"
#include "zinniarail/settings/Settings.h"

namespace zinniarail::control {

/// Where the task posts to. Called on its thread; they must not block.
struct Outboxes {
  std::function<void(gateway::Message)> Gateway;
  std::function<void(peers::Message)> Peers;
};

/// Owns the thread, its loop and its sockets.
class ControlTask {
public:
  ControlTask(const Settings &settings, Outboxes outboxes,
              const ReaderPolicy &policy = {});
  /// Stops the task if it still runs.
  ~ControlTask();
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  void start();
  /// Ends the thread. Calls to the platform that run are dropped.
  void stop();
  /// Lives as long as the task object.
  Inbox &inbox();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace zinniarail::control
