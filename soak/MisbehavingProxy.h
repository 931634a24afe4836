/// \file
/// A proxy between callers and one instance that violates a guarantee on
/// purpose, to verify that the run's checks detect it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <ev.h>

#include "http/ClientPool.h"
#include "http/Server.h"

namespace zinniarail::soak {

/// How a run violates a guarantee on purpose. The values are in the order
/// of the name table of nameOf, and code compares them.
enum class Misbehaviour : std::uint8_t {
  RunTwice,         ///< Forwards each request twice.
  RefuseFalsely,    ///< Reports requests that ran as not run.
  CutAnswers,       ///< Sends half of the body as a complete response.
  DropAnswers,      ///< Closes the connection instead of responding.
  IgnoreDrain,      ///< Sends all requests to a draining upstream.
  IgnoreEvacuation, ///< Sends all requests to an evacuated failure domain.
  IgnoreMove,       ///< Sends all requests to the previous service of a
                    ///< route that was moved.
  Flood,            ///< Sends each request many times.
  CrowdCold,        ///< Floods an upstream during its warm-up.
  EndByItself,      ///< Kills an instance; needs no proxy.
};
constexpr std::size_t MisbehaviourCount = 10;

/// The name of a misbehaviour as a value of the flag --misdeed.
const char *nameOf(Misbehaviour misbehaviour);
/// \returns the misbehaviour of this name, or nothing if the name is unknown.
std::optional<Misbehaviour> findMisbehaviour(const std::string &name);

/// Used only on the thread of its event loop.
class MisbehavingProxy {
public:
  /// \param loop event loop; it must outlive the proxy.
  /// \param instance caller address of the instance that requests go to.
  /// \param upstream address that gets the requests on \p path instead, for
  ///   IgnoreDrain to CrowdCold.
  /// \param path prefix of the request targets that go to \p upstream.
  /// \param customerByKey names of the customers by API key.
  MisbehavingProxy(struct ev_loop *loop, Misbehaviour misbehaviour,
                   std::string instance, std::string upstream, std::string path,
                   std::map<std::string, std::string> customerByKey);

  bool listen(const std::string &address) { return Server.listen(address); }

private:
  void serve(http::ExchangeId id, const http::Request &request);
  void identifyCustomer(http::Headers &fields) const;
  void finish(http::CallId call, const http::CallResult &result);

  Misbehaviour Kind;
  std::string Instance;
  std::string Upstream;
  std::string Path;
  std::map<std::string, std::string> CustomerByKey;
  http::Server Server;
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  std::map<http::CallId, http::ExchangeId> PendingExchanges;
};

} // namespace zinniarail::soak
