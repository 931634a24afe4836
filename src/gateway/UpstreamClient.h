/// \file
/// Sends whole requests to upstreams and to other instances over kept
/// connections, and takes whole answers. It never sends a request twice:
/// libcurl's own retry on a connection that died is stopped before it writes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>
#include <ev.h>

#include "core/CurlLoop.h"
#include "gateway/Http.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::gateway {

/// One request on its way out.
struct UpstreamCall {
  std::uint64_t Id = 0; ///< Unique among running calls.
  std::string Address;  ///< "ip:port"
  std::string Echo;     ///< X-Attempt-Id to send and to expect; empty: none.
  std::shared_ptr<const Request> Content;
  Headers Extra; ///< Sent besides the content's own fields.
  Instant Deadline{};
  /// No byte leaves from here on: a process that was paused while the call
  /// was connecting must not send it on a view that has run out.
  Instant SendBefore = Instant::max();
  unsigned Connections = 0; ///< Most open connections to the address; 0: any.
  bool FreshConnection = false;
};

/// How a call ended.
struct CallEnd {
  AttemptEnd End = AttemptEnd::NotSent;
  Answer Content; ///< Where Answered or RefusedUnrun.
  std::optional<LoadReport> Report;
  std::string Error; ///< Why there is no whole answer, for logs.
};

/// What becomes of calls. Called from run, never from start or cancel.
struct CallHandlers {
  std::function<void(std::uint64_t id)> Sent;
  std::function<void(std::uint64_t id, CallEnd end)> Ended;
};

/// Owns the connections. Used on one thread, that of its loop.
class UpstreamClient {
public:
  UpstreamClient(struct ev_loop *loop, CallHandlers handlers);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// Starts a call; Ended follows, and Sent before it if a byte may leave.
  void start(UpstreamCall call, Instant now);

  /// Gives a call up and closes its connection. Ended still follows.
  void cancel(std::uint64_t id);

  /// Does what is due at once and tells the handlers. To be called before
  /// each wait of the loop, until it returns false.
  /// \returns whether anything was done.
  bool run();

  /// Open connections to an address, idle ones included.
  unsigned connections(const std::string &address) const;

  /// Open connections to all addresses, idle ones included.
  unsigned connections() const;

private:
  struct Pool {
    unsigned Open = 0;
    unsigned Limit = 0;
  };
  struct Transfer;
  struct Notice {
    std::uint64_t Id;
    bool Sent;
    CallEnd End;
  };

  static int onPrerequest(void *transfer, char *, char *, int, int);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t n,
                              void *transfer);
  static std::size_t onBody(char *data, std::size_t size, std::size_t n,
                            void *transfer);
  static curl_socket_t openSocket(void *pool, curlsocktype purpose,
                                  struct curl_sockaddr *address);
  static int closeSocket(void *pool, curl_socket_t fd);

  std::unique_ptr<Transfer> makeTransfer();
  void prepare(Transfer &transfer);
  void finish(CURL *easy, CURLcode code);
  void release(std::unique_ptr<Transfer> transfer);
  static CallEnd conclude(Transfer &transfer, CURLcode code);

  CallHandlers Handlers;
  std::unordered_map<std::string, Pool> Pools; // outlive the connections
  CurlLoop Curl;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> Running;
  std::vector<std::unique_ptr<Transfer>> Spare;
  std::vector<Notice> Notices;
};

} // namespace zinniarail::gateway
