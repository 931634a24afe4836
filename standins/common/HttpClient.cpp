#include "common/HttpClient.h"

#include <algorithm>
#include <cctype>

namespace zinniarail::standins {

namespace {

constexpr long KeptConnections = 4096;

/// One socket of libcurl's on the loop.
struct SocketWatch {
  ev_io Watcher{};
  HttpClient *Client = nullptr;
};

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
    : Loop(loop), Multi(curl_multi_init()), Wake(loop) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, KeptConnections);
}

HttpClient::~HttpClient() {
  for (const auto &[easy, transfer] : Transfers) {
    curl_multi_remove_handle(Multi, easy);
    curl_easy_cleanup(easy);
  }
  for (CURL *easy : Spare) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(Multi);
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
  curl_multi_add_handle(Multi, easy);
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

int HttpClient::onSocket(CURL * /*easy*/, curl_socket_t fd, int what,
                         void *self, void *watcher) {
  auto &client = *static_cast<HttpClient *>(self);
  auto *watch = static_cast<SocketWatch *>(watcher);
  if (watch != nullptr) {
    ev_io_stop(client.Loop, &watch->Watcher);
  }
  if (what == CURL_POLL_REMOVE) {
    delete watch;
    return 0;
  }
  if (watch == nullptr) {
    watch = new SocketWatch;
    watch->Client = &client;
    watch->Watcher.data = watch;
    curl_multi_assign(client.Multi, fd, watch);
  }
  const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_init(
      &watch->Watcher,
      [](struct ev_loop *, ev_io *it, int ready) {
        static_cast<SocketWatch *>(it->data)->Client->act(it->fd, ready);
      },
      fd, events);
  ev_io_start(client.Loop, &watch->Watcher);
  return 0;
}

int HttpClient::onTimer(CURLM * /*multi*/, long ms, void *self) {
  auto &client = *static_cast<HttpClient *>(self);
  if (ms < 0) {
    client.Wake.stop();
  } else {
    client.Wake.start(std::chrono::milliseconds{ms},
                      [&client] { client.act(CURL_SOCKET_TIMEOUT, 0); });
  }
  return 0;
}

void HttpClient::act(curl_socket_t fd, int events) {
  const int ready = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                    ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  int running = 0;
  curl_multi_socket_action(Multi, fd, ready, &running);
  collect();
}

void HttpClient::collect() {
  int left = 0;
  while (const CURLMsg *message = curl_multi_info_read(Multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL *easy = message->easy_handle;
    const CURLcode code = message->data.result;
    const auto node = Transfers.extract(easy);
    auto &answer = node.mapped()->Answer;
    answer.Code = code;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.Status);
    curl_multi_remove_handle(Multi, easy);
    Spare.push_back(easy);
    node.mapped()->Done(answer);
  }
}

} // namespace zinniarail::standins
