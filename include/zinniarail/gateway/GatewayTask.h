/// \file
/// The gateway task: callers in, upstreams out, resolve answers, on one loop
/// and one thread. It owns the sockets to callers and upstreams and the
/// services' engines.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "zinniarail/control/Messages.h"
#include "zinniarail/core/Result.h"
#include "zinniarail/gateway/Messages.h"
#include "zinniarail/peers/Messages.h"
#include "zinniarail/settings/Settings.h"

namespace zinniarail::gateway {

/// Where the task posts to. Called on its thread; they must not block.
struct Outboxes {
  std::function<void(control::Message)> Control;
  std::function<void(peers::Message)> Peers;
};

/// What the task is about, for any thread.
struct Status {
  std::shared_ptr<const View> Current; ///< Null until the first view.
  bool Stopping = false;
};

/// Why the task could not start, in words for an operator.
struct GatewayError {
  std::string Message;
};

/// Owns the loop and its sockets.
class GatewayTask {
public:
  /// \param registry must outlive the task.
  GatewayTask(const Settings &settings, Outboxes outboxes,
              prometheus::Registry &registry);
  ~GatewayTask();
  GatewayTask(const GatewayTask &) = delete;
  GatewayTask &operator=(const GatewayTask &) = delete;

  /// Binds the caller port.
  Result<void, GatewayError> open();

  /// Lets SIGTERM and SIGINT begin a graceful stop. For one task of a process.
  void stopOnSignals();

  /// Runs on the calling thread until a graceful stop, begun by StopWanted, is
  /// done.
  /// \returns Done, or Failed when Settings.StopTimeout cut a request off.
  ExitCode run();

  /// Where the other tasks post. Valid for the task's lifetime.
  Inbox &inbox();

  /// What is in force here. For any thread.
  Status status() const;

private:
  struct Running;
  std::unique_ptr<Running> Core;
};

} // namespace zinniarail::gateway
