#include "common/HttpClient.h"

#include <algorithm>
#include <cctype>

#include "core/CurlLoop.h"

namespace zinniarail::standins {

namespace {

constexpr long KeptConnections = 4096;

} // namespace

struct HttpClient::Transfer {
  Call Sent;
  Callback Done;
  Reply Answer;
  curl_slist *Headers = nullptr;

  ~Transfer() { curl_slist_free_all(Headers); }
};

std::string Reply::header(const std::string &name) const {
  const auto it = Headers.find(name);
  return it == Headers.end() ? "" : it->second;
}

HttpClient::HttpClient(struct ev_loop *loop)
    : Curl(std::make_unique<CurlLoop>(
          loop, KeptConnections, CurlLoop::Timeouts::OnLoop,
          [this](CURL *easy, CURLcode code) { finish(easy, code); })) {}

HttpClient::~HttpClient() {
  for (const auto &[easy, transfer] : Transfers) {
    Curl->remove(easy);
    curl_easy_cleanup(easy);
  }
  for (CURL *easy : Spare) {
    curl_easy_cleanup(easy);
  }
}

CURL *HttpClient::takeHandle() {
  if (Spare.empty()) {
    return curl_easy_init();
  }
  CURL *out = Spare.back();
  Spare.pop_back();
  curl_easy_reset(out);
  return out;
}

void HttpClient::start(Call call, Callback callback) {
  CURL *easy = takeHandle();
  auto owned = std::make_unique<Transfer>();
  auto &transfer = *owned;
  transfer.Sent = std::move(call);
  transfer.Done = std::move(callback);
  Transfers[easy] = std::move(owned);

  for (const auto &it : transfer.Sent.Headers) {
    transfer.Headers = curl_slist_append(transfer.Headers, it.c_str());
  }
  // Without it libcurl waits for "100 Continue" on long bodies.
  transfer.Headers = curl_slist_append(transfer.Headers, "Expect:");
  const auto &sent = transfer.Sent;
  curl_easy_setopt(easy, CURLOPT_URL, sent.Url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.Method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.Headers);
  if (sent.Method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sent.Body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(sent.Body.size()));
  }
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(sent.Timeout);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(ms.count()));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onPrerequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  Curl->add(easy);
}

// libcurl sends a call anew when a kept connection turns out dead, whether or
// not it was read there. Only a GET may run twice.
int HttpClient::onPrerequest(void *transfer, char *, char *, int, int) {
  auto &it = *static_cast<Transfer *>(transfer);
  if (it.Answer.MayHaveArrived && it.Sent.Method != "GET") {
    return CURL_PREREQFUNC_ABORT;
  }
  it.Answer.MayHaveArrived = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t HttpClient::onBody(char *data, std::size_t size, std::size_t n,
                               void *transfer) {
  static_cast<Transfer *>(transfer)->Answer.Body.append(data, size * n);
  return size * n;
}

std::size_t HttpClient::onHeader(char *data, std::size_t size, std::size_t n,
                                 void *transfer) {
  const std::string line(data, size * n);
  auto &headers = static_cast<Transfer *>(transfer)->Answer.Headers;
  const auto colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    headers.clear(); // an interim answer's headers don't count
  } else if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char it) { return std::tolower(it); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    headers[std::move(name)] = first == std::string::npos || last < first
                                   ? ""
                                   : line.substr(first, last - first + 1);
  }
  return size * n;
}

void HttpClient::finish(CURL *easy, CURLcode code) {
  const auto node = Transfers.extract(easy);
  auto &answer = node.mapped()->Answer;
  answer.Code = code;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.Status);
  Spare.push_back(easy);
  node.mapped()->Done(answer);
}

} // namespace zinniarail::standins
