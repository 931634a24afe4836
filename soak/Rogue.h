/// \file
/// Stands in an instance's place before its callers and breaks a promise on
/// purpose, to show that the run's checks see it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <ev.h>

#include "http/ClientPool.h"
#include "http/Server.h"

namespace zinniarail::soak {

/// A promise that is broken on purpose.
enum class Misdeed : std::uint8_t {
  RunTwice,         ///< Hands each request on twice.
  RefuseFalsely,    ///< Says that a request that ran did not.
  CutAnswers,       ///< Gives half of an answer as a whole one.
  DropAnswers,      ///< Closes the connection in place of the answer.
  IgnoreDrain,      ///< Sends all to one upstream, though it leaves,
  IgnoreEvacuation, ///< or though its failure domain is out,
  IgnoreMove,       ///< or though a route has moved to another service.
  Flood,            ///< Sends each to one upstream many times.
  CrowdCold,        ///< Sends all to one upstream, though it is cold.
  EndByItself,      ///< An instance ends, and nobody asked it to.
};
constexpr std::size_t MisdeedCount = 10;

const char *nameOf(Misdeed misdeed);
std::optional<Misdeed> misdeedNamed(const std::string &name);

/// Used on one thread, that of its loop.
class Rogue {
public:
  /// \param loop outlives it.
  /// \param instance the real one's caller address.
  /// \param upstream where misdeeds that pass it by send requests,
  /// \param path if these are on this path.
  Rogue(struct ev_loop *loop, Misdeed misdeed, std::string instance,
        std::string upstream, std::string path);

  bool listen(const std::string &address) { return Server.listen(address); }

private:
  void serve(http::ExchangeId id, const http::Request &request);
  void finish(http::CallId call, const http::CallResult &result);

  Misdeed What;
  std::string Instance;
  std::string Upstream;
  std::string Path;
  http::Server Server;
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  std::map<http::CallId, http::ExchangeId> Waiting;
};

} // namespace zinniarail::soak
