/// \file
/// An HTTP client for the stand-ins: libcurl's multi interface on a libev loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <ev.h>

#include "zinniarail/core/Time.h"

namespace zinniarail {
class CurlLoop;
}

namespace zinniarail::standins {

/// A request to send.
struct Call {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers; ///< "Name: value"
  std::string Body;
  Duration Timeout = std::chrono::seconds{5};
};

/// What came back.
struct Reply {
  CURLcode Code = CURLE_OK; ///< CURLE_OK: a whole answer.
  long Status = 0;
  /// By name in lower case.
  std::unordered_map<std::string, std::string> Headers;
  std::string Body;
  /// Whether the call may have been read: sending began at least once.
  bool MayHaveArrived = false;

  bool isWhole() const { return Code == CURLE_OK; }
  /// A header by its name in lower case, or "".
  std::string header(const std::string &name) const;
};

/// Sends calls over kept connections.
class HttpClient {
public:
  using Callback = std::function<void(const Reply &)>;

  explicit HttpClient(struct ev_loop *loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a call. The callback runs on the loop, once.
  void start(Call call, Callback callback);
  std::size_t open() const { return Transfers.size(); }

private:
  struct Transfer;
  void finish(CURL *easy, CURLcode code);
  CURL *takeHandle();
  static int onPrerequest(void *transfer, char *, char *, int, int);
  static std::size_t onBody(char *data, std::size_t size, std::size_t n,
                            void *transfer);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t n,
                              void *transfer);

  std::unique_ptr<CurlLoop> Curl;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers;
  std::vector<CURL *> Spare;
};

} // namespace zinniarail::standins
