/// \file
/// HTTP/1.1 requests by libcurl's multi interface on a libev loop. Whole,
/// bounded answers only; one owner, one thread.
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

/// One request.
struct HttpRequest {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;                 ///< Sent with PUT and POST.
  Duration Timeout = std::chrono::seconds{2};
  std::size_t MaxBytes = std::size_t{4} << 20; ///< Of the answer's body.
};

/// How a request ended.
struct HttpReply {
  enum class Ending : std::uint8_t {
    Answered, ///< A whole answer.
    NotSent,  ///< No byte of the request left.
    Lost,     ///< A byte may have left and no whole answer came.
    TooLarge, ///< The answer is beyond MaxBytes.
  };
  Ending How = Ending::Lost;
  bool TimedOut = false; ///< Where there was no answer.
  int Status = 0;
  std::string Etag; ///< As sent, quotes included.
  std::string Body;
};

/// Sends requests. Destroying it drops what is running without a call back.
class HttpClient {
public:
  using Callback = std::function<void(HttpReply)>;

  /// \param loop outlives the client; callbacks run on it.
  explicit HttpClient(struct ev_loop *loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a request. The callback runs once, later, never from within send.
  void send(HttpRequest request, Callback done);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace zinniarail
