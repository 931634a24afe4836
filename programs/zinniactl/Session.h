/// \file
/// Calls that a command makes one after the other, each waited for: to the
/// platform, and to instances' operator ports.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/Http.h"
#include "zinniarail/platform/Platform.h"

namespace zinniarail::ctl {

/// Owns the loop and the connections of one command.
class Session {
public:
  Session(const std::string &platformAddress, Duration timeout);

  platform::Reply get(const std::string &key);
  platform::Reply put(const std::string &key, const std::string &bytes,
                      std::uint64_t version);
  platform::InstanceListing listInstances();

  /// One request to an operator port.
  platform::HttpReply call(const std::string &method,
                           const std::string &address, const std::string &path);
  /// The same to many addresses at once; the answers in the same order.
  std::vector<platform::HttpReply>
  callAll(const std::string &method, const std::vector<std::string> &addresses,
          const std::string &path);

  void sleep(Duration duration);

private:
  struct LoopDelete {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };

  std::unique_ptr<struct ev_loop, LoopDelete> Loop;
  Duration Timeout;
  platform::Client Platform;
  platform::HttpClient Http;
};

} // namespace zinniarail::ctl
