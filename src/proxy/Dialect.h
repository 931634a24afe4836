/// \file
/// The platform's HTTP conventions: the names and formats of its header fields,
/// and the requests that an instance answers itself instead of forwarding them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/Message.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::proxy {

/// A caller's request for the addresses of the instances to use.
struct ResolveRequest {
  std::string Host;   ///< The host that the caller wants to reach.
  std::string Domain; ///< The failure domain that the caller is in.
};

/// Header names and message formats of one platform.
struct Dialect {
  // Names of header fields.
  std::string RequestId;        ///< The caller's request id; upstreams echo it.
  std::string Deadline;         ///< Milliseconds until the caller's deadline.
  std::string ExpectedInstance; ///< Id of the upstream that a request is for.
  std::string NotExecuted; ///< Marks a response to a request that did not run.
  std::string Signature;   ///< Sent by upstreams with each successful response.
  std::string InstanceId;  ///< Id of the upstream that responded.
  std::string ApiKey;      ///< The caller's key; never sent to an upstream.
  std::string Customer;    ///< Name of the customer that holds the key.
  /// All responses of an upstream that leaves contain it, with LeavingValue.
  std::string Leaving;
  std::string LeavingValue;

  /// Reads the load report from a response; none when it is absent or invalid.
  std::optional<balance::LoadReport> (*ReadLoad)(const http::Headers &);
  /// Reads the requests per second that an upstream takes from all instances;
  /// none when the response names no limit or an invalid one.
  std::optional<double> (*ReadRateLimit)(const http::Headers &);
  /// Reads the remaining warm-up time of an upstream from a health check's
  /// response; zero when it is warm.
  Duration (*ReadRemainingWarmup)(const http::Headers &);
  /// Whether a request is a readiness check of the instance.
  bool (*IsReadinessCheck)(const http::Request &);
  /// Parses a request for addresses; none when it is another request.
  std::optional<ResolveRequest> (*ReadResolveRequest)(const http::Request &);
  /// Builds the response to a request for addresses.
  /// \param ttl how long the caller may use the addresses.
  http::Response (*WriteResolveResponse)(
      const std::vector<std::string> &addresses, Duration ttl);
};

} // namespace zinniarail::proxy
