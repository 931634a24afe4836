/// \file
/// How callers, upstreams and the platform spell what they tell each other:
/// names of header fields, and the calls that an instance answers itself.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/Message.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::proxy {

/// A caller's question which instances to use.
struct ResolveQuestion {
  std::string Host;
  std::string Domain; ///< The failure domain that the caller is in.
};

/// The vocabulary of one environment.
struct Dialect {
  std::string RequestId;        ///< Field; echoed by upstreams.
  std::string Deadline;         ///< Field; milliseconds that are left.
  std::string ExpectedInstance; ///< Field; the upstream that is meant.
  std::string NotExecuted;      ///< Field; its request was not run.
  std::string Signature;        ///< Field; on each response of an upstream.
  std::string InstanceId;       ///< Field; the upstream that answered.

  /// Reads a load report from a response.
  std::optional<balance::LoadReport> (*ReadLoad)(const http::Headers &);
  /// Reads how long an upstream stays cold from a health response.
  Duration (*ReadColdFor)(const http::Headers &);
  /// Whether a request asks if the instance is ready.
  bool (*IsReadyQuestion)(const http::Request &);
  /// Reads a question for addresses; none when it is something else.
  std::optional<ResolveQuestion> (*ReadResolve)(const http::Request &);
  /// Writes the answer.
  http::Response (*WriteResolved)(const std::vector<std::string> &addresses,
                                  Duration keepFor);
};

} // namespace zinniarail::proxy
