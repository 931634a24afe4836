/// \file
/// The task that speaks to the other instances. It owns the connections
/// between instances, on a thread with an event loop of its own, and the
/// claims that this instance holds.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "zinniarail/control/Messages.h"
#include "zinniarail/core/Result.h"
#include "zinniarail/gateway/Messages.h"
#include "zinniarail/peers/Messages.h"
#include "zinniarail/settings/Settings.h"

namespace zinniarail {

/// Why the task could not start, in words for an operator.
struct PeersError {
  std::string Message;
};

/// The peers task. Its thread lives from start() to stop().
class PeersTask {
public:
  /// \param toGateway posts to the gateway task; called on this task's thread.
  /// \param toControl posts to the control task; likewise.
  PeersTask(Settings settings, std::function<void(gateway::Message)> toGateway,
            std::function<void(control::Message)> toControl);
  /// Stops the task if it still runs.
  ~PeersTask();
  PeersTask(const PeersTask &) = delete;
  PeersTask &operator=(const PeersTask &) = delete;

  /// Listens on Settings.PeerAddress and starts the thread.
  /// \returns an error when it cannot listen there; the thread is gone then.
  Result<void, PeersError> start();

  /// Ends the thread and closes every connection. Claims that were not handed
  /// over are lost; post StopBegun first and wait for ClaimsHandedOver.
  void stop();

  /// Where the other tasks post. Valid for the task's lifetime; messages that
  /// are posted before start() are handled after it.
  peers::Inbox &inbox();

private:
  struct Running;
  std::unique_ptr<Running> Core;
};

} // namespace zinniarail
