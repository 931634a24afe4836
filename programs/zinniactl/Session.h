/// \file
/// Calls that a command makes one after the other, each waited for: to the
/// platform, and to instances' operator ports.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/HttpClient.h"
#include "zinniarail/objects/Objects.h"

namespace zinniarail::ctl {

/// Owns the loop and the connections of one command.
class Session {
public:
  Session(const std::string &platformAddress, Duration timeout);

  objects::Reply get(const std::string &key);
  objects::Reply put(const std::string &key, const std::string &bytes,
                     std::uint64_t version);
  objects::InstanceListing listInstances();

  /// One request to an operator port.
  HttpReply call(const std::string &method, const std::string &address,
                 const std::string &path);
  /// The same to many addresses at once; the answers in the same order.
  std::vector<HttpReply> callAll(const std::string &method,
                                 const std::vector<std::string> &addresses,
                                 const std::string &path);

  void sleep(Duration duration);

private:
  struct LoopDelete {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };

  std::unique_ptr<struct ev_loop, LoopDelete> Loop;
  Duration Timeout;
  objects::Client Platform;
  HttpClient Http;
};

} // namespace zinniarail::ctl
