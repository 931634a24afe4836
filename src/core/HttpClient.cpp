#include "core/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

#include "core/CurlLoop.h"

namespace zinniarail {

namespace {

constexpr long MaxIdleConnections = 16;

// A lost opening packet is sent again after a second; a call that is tried
// again has its connection sooner.
constexpr long ConnectTimeoutMs = 500;

struct EasyDelete {
  void operator()(CURL *it) const { curl_easy_cleanup(it); }
};
struct HeadersDelete {
  void operator()(curl_slist *it) const { curl_slist_free_all(it); }
};

struct Transfer {
  HttpRequest Request;
  HttpReply Reply;
  HttpClient::Callback Done;
  bool Sent = false; ///< A byte may have left.
  std::unique_ptr<CURL, EasyDelete> Easy;
  std::unique_ptr<curl_slist, HeadersDelete> Headers;
};

std::size_t takeBody(char *data, std::size_t, std::size_t size, void *user) {
  auto &it = *static_cast<Transfer *>(user);
  if (it.Reply.Body.size() + size > it.Request.MaxBytes) {
    it.Reply.How = HttpReply::Ending::TooLarge;
    return 0;
  }
  it.Reply.Body.append(data, size);
  return size;
}

std::size_t takeHeader(char *data, std::size_t, std::size_t size, void *user) {
  constexpr std::string_view name = "etag:";
  constexpr std::size_t maxEtag = 128;
  const std::string_view line(data, size);
  const auto alike = [](char a, char b) {
    return a == std::tolower(static_cast<unsigned char>(b));
  };
  if (line.size() <= name.size() || line.size() > maxEtag ||
      !std::equal(name.begin(), name.end(), line.begin(), alike)) {
    return size;
  }
  const auto from = line.find_first_not_of(" \t", name.size());
  const auto to = line.find_last_not_of(" \t\r\n");
  if (from != std::string_view::npos && to >= from) {
    static_cast<Transfer *>(user)->Reply.Etag =
        line.substr(from, to - from + 1);
  }
  return size;
}

// On a kept connection that broke libcurl would send the request again by
// itself: a write that took effect would come back as a conflict, and a watch
// that was cut would seem to go on.
int refuseSecondSend(void *user, char *, char *, int, int) {
  auto &it = *static_cast<Transfer *>(user);
  return std::exchange(it.Sent, true) ? CURL_PREREQFUNC_ABORT
                                      : CURL_PREREQFUNC_OK;
}

void ensureCurl() {
  static const CURLcode Ready = curl_global_init(CURL_GLOBAL_ALL);
  (void)Ready;
}

void configure(Transfer &it) {
  using std::chrono::milliseconds;
  CURL *easy = it.Easy.get();
  for (const std::string &header : it.Request.Headers) {
    it.Headers.reset(curl_slist_append(it.Headers.release(), header.c_str()));
  }
  it.Headers.reset(curl_slist_append(it.Headers.release(), "Expect:"));
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
  curl_easy_setopt(easy, CURLOPT_URL, it.Request.Url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.Request.Method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.Headers.get());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(
      easy, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::max<std::int64_t>(
          1, std::chrono::duration_cast<milliseconds>(it.Request.Timeout)
                 .count())));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, takeBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, takeHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &refuseSecondSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
  if (it.Request.Method == "PUT" || it.Request.Method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, it.Request.Body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(it.Request.Body.size()));
  }
}

void conclude(Transfer &it, CURLcode code) {
  if (it.Reply.How == HttpReply::Ending::TooLarge) {
    return;
  }
  if (code != CURLE_OK) {
    it.Reply.TimedOut = code == CURLE_OPERATION_TIMEDOUT;
    it.Reply.How =
        it.Sent ? HttpReply::Ending::Lost : HttpReply::Ending::NotSent;
    return;
  }
  long status = 0;
  curl_easy_getinfo(it.Easy.get(), CURLINFO_RESPONSE_CODE, &status);
  it.Reply.Status = static_cast<int>(status);
  it.Reply.How = HttpReply::Ending::Answered;
}

} // namespace

struct HttpClient::Impl {
  explicit Impl(struct ev_loop *loop);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void finish(CURL *easy, CURLcode code);

  CurlLoop Curl;
  std::map<Transfer *, std::unique_ptr<Transfer>> Running;
};

HttpClient::Impl::Impl(struct ev_loop *loop)
    : Curl((ensureCurl(), loop), MaxIdleConnections, CurlLoop::Timeouts::OnLoop,
           [this](CURL *easy, CURLcode code) { finish(easy, code); }) {}

HttpClient::Impl::~Impl() {
  for (auto &[it, owned] : Running) {
    Curl.remove(it->Easy.get());
  }
}

void HttpClient::Impl::finish(CURL *easy, CURLcode code) {
  char *user = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
  auto node = Running.extract(reinterpret_cast<Transfer *>(user));
  conclude(*node.mapped(), code);
  node.mapped()->Done(std::move(node.mapped()->Reply));
}

HttpClient::HttpClient(struct ev_loop *loop)
    : Self(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest request, Callback done) {
  auto it = std::make_unique<Transfer>();
  it->Request = std::move(request);
  it->Done = std::move(done);
  it->Easy.reset(curl_easy_init());
  configure(*it);
  CURL *easy = it->Easy.get();
  Self->Running.emplace(it.get(), std::move(it));
  Self->Curl.add(easy);
}

} // namespace zinniarail
