/// \file
/// Answers operators on a port of their own: health, the state of the process,
/// metrics, the configuration in force, and the start of a graceful stop.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <boost/json/object.hpp>
#include <prometheus/registry.h>

#include "http/Server.h"

namespace zinniarail {

/// What the port asks of its process.
struct OperatorSources {
  std::string Instance;
  /// "ready", or why it is not.
  std::function<std::string()> State;
  std::function<std::uint64_t()> Version; ///< Of the configuration; 0: none.
  std::function<boost::json::object()> Dump;
  std::function<void()> Measure; ///< Brings the gauges up to date.
  std::function<void()> Drain;
  const prometheus::Registry *Registry = nullptr;
};

/// Used on one thread, that of its loop.
class OperatorPort {
public:
  OperatorPort(struct ev_loop *loop, OperatorSources sources);

  /// \returns whether "ip:port" could be bound.
  bool listen(const std::string &address) { return Server.listen(address); }

private:
  http::Response answer(const http::Request &request) const;
  http::Response showMetrics() const;

  OperatorSources Sources;
  http::Server Server;
};

} // namespace zinniarail
