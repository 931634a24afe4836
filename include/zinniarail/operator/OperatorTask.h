/// \file
/// Overview of the operator module: the task that answers operators on a port
/// of their own: health, state dumps, metrics, the version in force, and the
/// start of a graceful stop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <prometheus/registry.h>

#include "zinniarail/core/Result.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/membership/View.h"

namespace zinniarail {

/// Takes a task's description, on any thread.
using TakeDump = std::function<void(boost::json::object)>;

/// Takes a service's trace, on any thread; none when it isn't recorded.
using TakeTrace = std::function<void(std::optional<std::string>)>;

/// One task that can be asked for its state.
struct DumpSource {
  std::string Name;
  std::function<void(TakeDump)> Ask;
};

/// What the operator task asks of the rest of its process. All are called on
/// its threads.
struct OperatorSources {
  std::string Instance;
  std::string Environment;
  std::function<std::shared_ptr<const View>()> Current; ///< Null at first.
  std::function<bool()> Stopping;
  std::function<void()> Drain; ///< Begins a graceful stop.
  std::vector<DumpSource> Dumps;
  std::function<void(const std::string &service, TakeTrace)> Trace;
  prometheus::Registry *Metrics = nullptr;
};

/// Why the task could not start, in words for an operator.
struct OperatorError {
  std::string Message;
};

/// Owns the operator port and the threads that serve it.
class OperatorTask {
public:
  explicit OperatorTask(OperatorSources sources);
  ~OperatorTask();
  OperatorTask(const OperatorTask &) = delete;
  OperatorTask &operator=(const OperatorTask &) = delete;

  /// Binds the port.
  /// \param address "ip:port"
  Result<void, OperatorError> start(const std::string &address);

  /// Closes the port; waits for answers under way.
  void stop();

private:
  struct Running;
  std::unique_ptr<Running> Core;
};

} // namespace zinniarail
