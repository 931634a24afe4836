/// \file
/// An HTTP/1.1 client on a libev loop, built on libcurl's multi interface. It
/// delivers only complete responses of bounded size, and is used by one owner
/// on one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail {

/// A request to send.
struct HttpRequest {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;                 ///< Sent with PUT and POST.
  Duration Timeout = std::chrono::seconds{2};
  std::size_t MaxBodyBytes = std::size_t{4} << 20; ///< Limit for the response.
  /// Name of the response header to return, in lower case; empty: none.
  std::string RequestedHeader;
};

/// The response, or how the request failed.
struct HttpReply {
  enum class Outcome : std::uint8_t {
    Answered, ///< A complete response was received.
    NotSent,  ///< No byte of the request was sent.
    /// Bytes may have been sent, but no complete response was received.
    Broken,
    TooLarge, ///< The response body exceeds MaxBodyBytes.
  };
  Outcome Result = Outcome::Broken;
  bool TimedOut = false; ///< Whether it failed because of a timeout.
  int Status = 0;
  /// Value of the response header RequestedHeader; empty if it is missing.
  std::string Header;
  std::string Body;
};

/// Sends requests. Its destructor cancels requests in flight without calling
/// their callbacks.
class HttpClient {
public:
  using Callback = std::function<void(HttpReply)>;

  /// \param loop must outlive the client; callbacks run on it.
  explicit HttpClient(struct ev_loop *loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a request. The callback is called exactly once, but not before send
  /// has returned.
  void send(HttpRequest request, Callback done);

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace zinniarail
