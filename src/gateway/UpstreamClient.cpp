#include "gateway/UpstreamClient.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace zinniarail::gateway {

namespace {

constexpr long ConnectTimeoutMs = 250; // an upstream opens in about 1 ms
constexpr long KeptConnections = 16384;
constexpr std::size_t SpareHandles = 256;

std::string_view stripLine(std::string_view line) {
  while (!line.empty() &&
         (line.back() == '\r' || line.back() == '\n' || line.back() == ' ')) {
    line.remove_suffix(1);
  }
  return line;
}

void appendHeader(curl_slist *&list, const std::string &name,
                  const std::string &value) {
  // libcurl's spelling of a field without a value is "Name;".
  const std::string line = value.empty() ? name + ";" : name + ": " + value;
  list = curl_slist_append(list, line.c_str());
}

bool hasLength(const Headers &fields) {
  const std::string *coding = findHeader(fields, "Transfer-Encoding");
  return (coding != nullptr && sameName(*coding, "chunked")) ||
         findHeader(fields, "Content-Length") != nullptr;
}

bool isBodiless(const std::string &method, long status) {
  return method == "HEAD" || status == 204 || status == 304;
}

} // namespace

/// One easy handle with the call that it carries.
struct UpstreamClient::Transfer {
  UpstreamClient *Owner = nullptr;
  CURL *Easy = nullptr;
  curl_slist *List = nullptr;
  UpstreamCall Call;
  Answer Content;
  std::size_t HeaderBytes = 0;
  bool Sent = false;
  bool Resend = false;  ///< libcurl tried to send a second time.
  bool Foreign = false; ///< The answer named another attempt, or none.
  bool InBody = false;

  ~Transfer() {
    curl_slist_free_all(List);
    curl_easy_cleanup(Easy);
  }
};

UpstreamClient::UpstreamClient(struct ev_loop *loop, CallHandlers handlers)
    : Handlers(std::move(handlers)),
      Curl(loop, KeptConnections, CurlLoop::Timeouts::OnRun,
           [this](CURL *easy, CURLcode code) { finish(easy, code); }) {}

UpstreamClient::~UpstreamClient() {
  for (auto &[id, it] : Running) {
    Curl.remove(it->Easy);
  }
}

std::unique_ptr<UpstreamClient::Transfer> UpstreamClient::makeTransfer() {
  if (!Spare.empty()) {
    auto transfer = std::move(Spare.back());
    Spare.pop_back();
    return transfer;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->Owner = this;
  transfer->Easy = curl_easy_init();
  CURL *easy = transfer->Easy;
  Transfer *data = transfer.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, data);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onPrerequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, data);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, data);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, data);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  return transfer;
}

void UpstreamClient::prepare(Transfer &transfer) {
  CURL *easy = transfer.Easy;
  const Request &request = *transfer.Call.Content;
  const bool hasBody = !request.Body.empty() || request.Method == "POST" ||
                       request.Method == "PUT" || request.Method == "PATCH";
  if (hasBody) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.Body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.Body.data());
  } else {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.Method.c_str());
  if (request.Method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  curl_slist *list = curl_slist_append(nullptr, "Expect:");
  if (findHeader(request.Fields, "Accept") == nullptr) {
    list = curl_slist_append(list, "Accept:");
  }
  if (hasBody && findHeader(request.Fields, "Content-Type") == nullptr) {
    list = curl_slist_append(list, "Content-Type:");
  }
  for (const Header &it : request.Fields) {
    appendHeader(list, it.Name, it.Value);
  }
  for (const Header &it : transfer.Call.Extra) {
    appendHeader(list, it.Name, it.Value);
  }
  if (!transfer.Call.Echo.empty()) {
    appendHeader(list, "X-Attempt-Id", transfer.Call.Echo);
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_slist_free_all(transfer.List);
  transfer.List = list;
}

void UpstreamClient::start(UpstreamCall call, Instant now) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(call.Deadline - now);
  if (left.count() <= 0) {
    Notices.push_back({call.Id, false, {.Error = "deadline passed"}});
    return;
  }
  auto transfer = makeTransfer();
  Pool &pool = Pools[call.Address];
  pool.Limit = call.Connections;
  transfer->Call = std::move(call);
  CURL *easy = transfer->Easy;
  const std::string url = "http://" + transfer->Call.Address + "/";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET,
                   transfer->Call.Content->Target.c_str());
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                   transfer->Call.FreshConnection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &pool);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &pool);
  prepare(*transfer);
  const std::uint64_t id = transfer->Call.Id;
  Curl.add(easy);
  Running.emplace(id, std::move(transfer));
}

void UpstreamClient::cancel(std::uint64_t id) {
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return;
  }
  auto transfer = std::move(it->second);
  Running.erase(it);
  Curl.remove(transfer->Easy);
  CallEnd end;
  end.End = transfer->Sent ? AttemptEnd::Broken : AttemptEnd::NotSent;
  end.Error = "cancelled";
  Notices.push_back({id, false, std::move(end)});
  release(std::move(transfer));
}

bool UpstreamClient::run() {
  bool worked = Curl.runDue();
  while (!Notices.empty()) {
    worked = true;
    auto notices = std::move(Notices);
    Notices.clear();
    for (Notice &it : notices) {
      if (it.Sent) {
        Handlers.Sent(it.Id);
      } else {
        Handlers.Ended(it.Id, std::move(it.End));
      }
    }
  }
  return worked;
}

unsigned UpstreamClient::connections(const std::string &address) const {
  const auto it = Pools.find(address);
  return it == Pools.end() ? 0 : it->second.Open;
}

unsigned UpstreamClient::connections() const {
  unsigned n = 0;
  for (const auto &[address, it] : Pools) {
    n += it.Open;
  }
  return n;
}

void UpstreamClient::finish(CURL *easy, CURLcode code) {
  Transfer *transfer = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
  const auto it = Running.find(transfer->Call.Id);
  Notices.push_back({it->first, false, conclude(*transfer, code)});
  auto done = std::move(it->second);
  Running.erase(it);
  release(std::move(done));
}

CallEnd UpstreamClient::conclude(Transfer &transfer, CURLcode code) {
  CallEnd end;
  end.End = transfer.Sent ? AttemptEnd::Broken : AttemptEnd::NotSent;
  if (transfer.Resend) {
    end.Error = "the connection died under the request";
    return end;
  }
  if (transfer.Foreign) {
    end.Error = "the answer names another attempt";
    return end;
  }
  if (code != CURLE_OK) {
    end.Error = curl_easy_strerror(code);
    return end;
  }
  long status = 0;
  curl_easy_getinfo(transfer.Easy, CURLINFO_RESPONSE_CODE, &status);
  const Headers &fields = transfer.Content.Fields;
  if (!isBodiless(transfer.Call.Content->Method, status) &&
      !hasLength(fields)) {
    end.Error = "the answer does not tell its length";
    return end;
  }
  if (const std::string *load = findHeader(fields, "X-Load")) {
    end.Report = parseLoad(*load);
  }
  const std::string *notRun = findHeader(fields, "X-Not-Run");
  const bool refused = status == 503 && notRun != nullptr && *notRun == "1";
  end.End = refused ? AttemptEnd::RefusedUnrun : AttemptEnd::Answered;
  end.Content = std::move(transfer.Content);
  end.Content.Status = static_cast<unsigned>(status);
  return end;
}

void UpstreamClient::release(std::unique_ptr<Transfer> transfer) {
  if (Spare.size() >= SpareHandles) {
    return;
  }
  transfer->Call = {};
  transfer->Content = {};
  transfer->HeaderBytes = 0;
  transfer->Sent = transfer->Resend = false;
  transfer->Foreign = transfer->InBody = false;
  Spare.push_back(std::move(transfer));
}

int UpstreamClient::onPrerequest(void *data, char *, char *, int, int) {
  auto *transfer = static_cast<Transfer *>(data);
  // libcurl sends anew when a kept connection dies before the first byte of
  // an answer. The first send may have been run, so there must be no second.
  if (transfer->Sent) {
    transfer->Resend = true;
    return CURL_PREREQFUNC_ABORT;
  }
  if (readClock() >= transfer->Call.SendBefore) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->Sent = true;
  transfer->Owner->Notices.push_back({transfer->Call.Id, true, {}});
  return CURL_PREREQFUNC_OK;
}

std::size_t UpstreamClient::onHeader(char *data, std::size_t size,
                                     std::size_t n, void *self) {
  auto *transfer = static_cast<Transfer *>(self);
  const std::size_t bytes = size * n;
  transfer->HeaderBytes += bytes;
  if (transfer->HeaderBytes > AnswerHeaderLimit) {
    return 0;
  }
  const std::string_view line = stripLine({data, bytes});
  if (transfer->InBody) {
    return bytes; // a trailer
  }
  if (line.empty()) {
    long status = 0;
    curl_easy_getinfo(transfer->Easy, CURLINFO_RESPONSE_CODE, &status);
    const std::string *echo =
        findHeader(transfer->Content.Fields, "X-Attempt-Id");
    transfer->Foreign = status >= 200 && !transfer->Call.Echo.empty() &&
                        (echo == nullptr || *echo != transfer->Call.Echo);
    // To give up here closes the connection, whose answers are out of step.
    return transfer->Foreign ? 0 : bytes;
  }
  if (line.starts_with("HTTP/")) {
    transfer->Content.Fields.clear(); // an interim answer came before
    return bytes;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return bytes;
  }
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  transfer->Content.Fields.push_back(
      {std::string(line.substr(0, colon)), std::string(value)});
  return bytes;
}

std::size_t UpstreamClient::onBody(char *data, std::size_t size, std::size_t n,
                                   void *self) {
  auto *transfer = static_cast<Transfer *>(self);
  const std::size_t bytes = size * n;
  transfer->InBody = true;
  std::string &body = transfer->Content.Body;
  if (body.size() + bytes > AnswerLimit) {
    return 0;
  }
  body.append(data, bytes);
  return bytes;
}

curl_socket_t UpstreamClient::openSocket(void *data, curlsocktype,
                                         struct curl_sockaddr *address) {
  auto *pool = static_cast<Pool *>(data);
  if (pool->Limit != 0 && pool->Open >= pool->Limit) {
    return CURL_SOCKET_BAD;
  }
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  if (fd >= 0) {
    ++pool->Open;
  }
  return fd;
}

int UpstreamClient::closeSocket(void *data, curl_socket_t fd) {
  --static_cast<Pool *>(data)->Open;
  return close(fd);
}

} // namespace zinniarail::gateway
