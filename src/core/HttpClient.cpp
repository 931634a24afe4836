#include "core/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

#include "core/CurlLoop.h"

namespace zinniarail {

namespace {

constexpr long MaxIdleConnections = 16;

// A lost SYN is retransmitted only after one second. Giving up earlier lets a
// retry connect sooner.
constexpr long ConnectTimeoutMs = 500;

// Limit for all heads of a response, interim ones included, and its trailers.
constexpr std::size_t MaxHeadBytes = std::size_t{64} << 10;

struct EasyDeleter {
  void operator()(CURL *it) const { curl_easy_cleanup(it); }
};
struct HeadersDeleter {
  void operator()(curl_slist *it) const { curl_slist_free_all(it); }
};

struct Transfer {
  HttpRequest Request;
  HttpReply Reply;
  HttpClient::Callback OnDone;
  bool Sent = false; ///< Bytes may have been sent.
  std::size_t HeadBytes = 0;
  bool IsHeadComplete = false; ///< Of the last response, not an interim one.
  bool HasInvalidLine = false; ///< In its head or its trailers.
  std::unique_ptr<CURL, EasyDeleter> Easy;
  std::unique_ptr<curl_slist, HeadersDeleter> Headers;
};

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user) {
  auto &it = *static_cast<Transfer *>(user);
  if (it.Reply.Body.size() + size > it.Request.MaxBodyBytes) {
    it.Reply.Result = HttpReply::Outcome::TooLarge;
    return 0;
  }
  it.Reply.Body.append(data, size);
  return size;
}

// Whether a status line has a code from 100 to 599. libcurl also takes signs,
// fewer digits, and the first three of more digits.
bool hasValidStatus(std::string_view line) {
  constexpr std::size_t codeDigits = 3;
  const std::size_t at = line.find(' ');
  if (at == std::string_view::npos) {
    return false;
  }
  const std::string_view code = line.substr(at + 1, codeDigits);
  const std::string_view rest = line.substr(at + 1 + code.size());
  const bool isNumber =
      code.size() == codeDigits &&
      std::all_of(code.begin(), code.end(),
                  [](unsigned char c) { return std::isdigit(c) != 0; });
  return isNumber && code.front() >= '1' && code.front() <= '5' &&
         (rest.empty() || rest.front() == ' ' || rest.front() == '\r' ||
          rest.front() == '\n');
}

// Whether a line has the name of a field and a colon. libcurl passes over other
// lines, and so over a length whose name has a blank behind it.
bool hasValidName(std::string_view line) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  const std::string_view name = line.substr(0, line.find(':'));
  return !name.empty() && name.size() < line.size() &&
         std::all_of(name.begin(), name.end(), [&](unsigned char c) {
           return (c < 0x80 && std::isalnum(c) != 0) ||
                  marks.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

// libcurl takes a head for complete that ends with the connection.
void noteHeadLine(Transfer &it, std::string_view line) {
  if (line.starts_with("HTTP/")) { // An interim response may precede it.
    it.IsHeadComplete = false;
    it.HasInvalidLine = it.HasInvalidLine || !hasValidStatus(line);
  } else if (line == "\r\n" || line == "\n") {
    it.IsHeadComplete = true;
  } else {
    it.HasInvalidLine = it.HasInvalidLine || !hasValidName(line);
  }
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user) {
  constexpr std::size_t maxLine = 256;
  auto &it = *static_cast<Transfer *>(user);
  it.HeadBytes += size;
  if (it.HeadBytes > MaxHeadBytes) {
    return 0; // Ends the transfer.
  }
  const std::string &name = it.Request.RequestedHeader;
  const std::string_view line(data, size);
  noteHeadLine(it, line);
  if (it.HasInvalidLine) {
    return 0;
  }
  const auto equalIgnoringCase = [](char a, char b) {
    return a == std::tolower(static_cast<unsigned char>(b));
  };
  if (name.empty() || line.size() <= name.size() || line.size() > maxLine ||
      line[name.size()] != ':' ||
      !std::equal(name.begin(), name.end(), line.begin(), equalIgnoringCase)) {
    return size;
  }
  const auto from = line.find_first_not_of(" \t", name.size() + 1);
  const auto to = line.find_last_not_of(" \t\r\n");
  if (from != std::string_view::npos && to >= from) {
    it.Reply.Header = line.substr(from, to - from + 1);
  }
  return size;
}

// Stops libcurl's automatic resend on a broken keep-alive connection: a write
// that had taken effect would be answered with a conflict, and a broken watch
// would seem to continue.
int preventResend(void *user, char *, char *, int, int) {
  auto &it = *static_cast<Transfer *>(user);
  return std::exchange(it.Sent, true) ? CURL_PREREQFUNC_ABORT
                                      : CURL_PREREQFUNC_OK;
}

void ensureCurlInitialized() {
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_ALL);
  (void)Initialized;
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
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &preventResend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
  if (it.Request.Method == "PUT" || it.Request.Method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, it.Request.Body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(it.Request.Body.size()));
  }
}

void setResult(Transfer &it, CURLcode code) {
  if (it.Reply.Result == HttpReply::Outcome::TooLarge) {
    return;
  }
  if (code != CURLE_OK || !it.IsHeadComplete || it.HasInvalidLine) {
    it.Reply.TimedOut = code == CURLE_OPERATION_TIMEDOUT;
    it.Reply.Result =
        it.Sent ? HttpReply::Outcome::Broken : HttpReply::Outcome::NotSent;
    return;
  }
  long status = 0;
  curl_easy_getinfo(it.Easy.get(), CURLINFO_RESPONSE_CODE, &status);
  it.Reply.Status = static_cast<int>(status);
  it.Reply.Result = HttpReply::Outcome::Answered;
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
    : Curl((ensureCurlInitialized(), loop), MaxIdleConnections,
           CurlLoop::TimeoutMode::Automatic,
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
  setResult(*node.mapped(), code);
  node.mapped()->OnDone(std::move(node.mapped()->Reply));
}

HttpClient::HttpClient(struct ev_loop *loop)
    : Implementation(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest request, Callback done) {
  auto it = std::make_unique<Transfer>();
  it->Request = std::move(request);
  it->OnDone = std::move(done);
  it->Easy.reset(curl_easy_init());
  configure(*it);
  CURL *easy = it->Easy.get();
  Implementation->Running.emplace(it.get(), std::move(it));
  Implementation->Curl.add(easy);
}

} // namespace zinniarail
