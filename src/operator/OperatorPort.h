/// \file
/// HTTP server for operators, on its own port: health, a dump of the state,
/// metrics, the configuration version in force, and a call that begins a
/// graceful stop.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <boost/json/object.hpp>
#include <prometheus/registry.h>

#include "http/Server.h"

namespace zinniarail {

/// The data and callbacks of the process that the port serves.
struct OperatorHandlers {
  std::string InstanceId;
  /// Returns "ready", or the reason why the instance is not ready.
  std::function<std::string()> State;
  std::function<std::uint64_t()> ConfigVersion; ///< 0: no configuration.
  std::function<boost::json::object()> Dump;
  std::function<void()> UpdateGauges; ///< Called before each metrics export.
  std::function<void()> Drain;        ///< Begins a graceful stop.
  const prometheus::Registry *Registry = nullptr;
};

/// Used only on the thread of its event loop.
class OperatorPort {
public:
  OperatorPort(struct ev_loop *loop, OperatorHandlers handlers,
               http::ServerShare share = {});

  /// \returns whether "ip:port" could be bound.
  bool listen(const std::string &address) { return Server.listen(address); }

private:
  http::Response respondTo(const http::Request &request) const;
  http::Response renderMetrics() const;

  OperatorHandlers Handlers;
  http::Server Server;
};

} // namespace zinniarail
