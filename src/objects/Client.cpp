#include "zinniarail/objects/Client.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/json.hpp>

#include "core/HttpClient.h"

namespace zinniarail::objects {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr int Ok = 200;
constexpr int Created = 201;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int Missing = 404;
constexpr int PreconditionFailed = 412;
constexpr int PayloadTooLarge = 413;
constexpr int ServerErrors = 500;
constexpr std::size_t MaxTextBytes = 256; // of a field in a list

std::optional<std::uint64_t> parseVersion(std::string_view etag) {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') {
    return std::nullopt;
  }
  etag = etag.substr(1, etag.size() - 2);
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(etag.data(), etag.data() + etag.size(), n);
  if (ec != std::errc{} || end != etag.data() + etag.size()) {
    return std::nullopt;
  }
  return n;
}

bool takeText(const json::object &object, const char *key,
              std::string &target) {
  const json::value *it = object.if_contains(key);
  if (it == nullptr || !it->is_string() ||
      it->get_string().size() > MaxTextBytes) {
    return false;
  }
  target = it->get_string();
  return true;
}

bool takeVersion(const json::object &object, std::uint64_t &target) {
  const json::value *it = object.if_contains("version");
  if (it == nullptr || !it->is_int64() || it->get_int64() < 0) {
    return false;
  }
  target = static_cast<std::uint64_t>(it->get_int64());
  return true;
}

// Parses an array of objects by a reader of one.
template <typename Item, typename ReadItem>
bool parseItems(const std::string &bytes, std::vector<Item> &items,
                ReadItem readItem) {
  json::error_code ec;
  const json::value value = json::parse(bytes, ec);
  if (ec || !value.is_array()) {
    return false;
  }
  std::vector<Item> read;
  for (const json::value &it : value.get_array()) {
    Item item;
    if (!it.is_object() || !readItem(it.get_object(), item)) {
      return false;
    }
    read.push_back(std::move(item));
  }
  items = std::move(read);
  return true;
}

bool readInstance(const json::object &object, Instance &it) {
  std::string state;
  const bool whole = takeText(object, "id", it.Id) &&
                     takeText(object, "domain", it.Domain) &&
                     takeText(object, "callerAddress", it.CallerAddress) &&
                     takeText(object, "peerAddress", it.PeerAddress) &&
                     takeText(object, "operatorAddress", it.OperatorAddress) &&
                     takeText(object, "state", state);
  it.Leaving = state == "leaving";
  return whole && !it.Id.empty() && (state == "live" || it.Leaving);
}

Outcome judgeStatus(int status) {
  switch (status) {
  case Ok:
  case Created:
  case NoContent:
    return Outcome::Done;
  case NotModified:
    return Outcome::NotChanged;
  case Missing:
    return Outcome::NotFound;
  case PreconditionFailed:
    return Outcome::Conflict;
  case PayloadTooLarge:
    return Outcome::TooLarge;
  default:
    return status >= ServerErrors ? Outcome::Unreachable : Outcome::Malformed;
  }
}

Outcome judgeRead(const HttpReply &reply) {
  switch (reply.How) {
  case HttpReply::Ending::Answered:
    return judgeStatus(reply.Status);
  case HttpReply::Ending::TooLarge:
    return Outcome::Malformed;
  case HttpReply::Ending::NotSent:
  case HttpReply::Ending::Lost:
    break;
  }
  return Outcome::Unreachable;
}

// A server error may come after the effect, so it settles nothing.
Outcome judgeWrite(const HttpReply &reply) {
  if (reply.How == HttpReply::Ending::NotSent) {
    return Outcome::Unreachable;
  }
  const Outcome read = judgeRead(reply);
  if (read == Outcome::Unreachable || read == Outcome::NotChanged) {
    return Outcome::Unknown;
  }
  return read;
}

// The version that the answer names, which a read must have.
Reply toReply(Outcome how, HttpReply &http, bool needsVersion) {
  Reply reply{.How = how, .Bytes = std::move(http.Body)};
  const auto version = parseVersion(http.Etag);
  reply.Version = version.value_or(0);
  if (how == Outcome::Done && needsVersion && !version) {
    reply.How = Outcome::Malformed;
  }
  return reply;
}

// A watch that ran its whole wait tells of the time when the wait ended.
Instant asOf(Outcome how, Instant sent, Duration wait) {
  const bool waited = how == Outcome::NotChanged && readClock() >= sent + wait;
  return waited ? sent + wait : sent;
}

std::string toText(Duration wait) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(wait).count());
}

} // namespace

const char *nameOf(Outcome outcome) {
  switch (outcome) {
  case Outcome::Done:
    return "done";
  case Outcome::NotChanged:
    return "not-changed";
  case Outcome::Conflict:
    return "conflict";
  case Outcome::NotFound:
    return "not-found";
  case Outcome::TooLarge:
    return "too-large";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Unreachable:
    return "unreachable";
  case Outcome::Malformed:
    return "malformed";
  }
  return "unnamed";
}

bool parseEntries(const std::string &bytes, std::vector<Entry> &entries) {
  return parseItems(bytes, entries, [](const json::object &object, Entry &it) {
    return takeText(object, "key", it.Key) && takeVersion(object, it.Version);
  });
}

bool parseInstances(const std::string &bytes,
                    std::vector<Instance> &instances) {
  if (!parseItems(bytes, instances, readInstance)) {
    return false;
  }
  std::sort(instances.begin(), instances.end(),
            [](const Instance &a, const Instance &b) { return a.Id < b.Id; });
  return true;
}

struct Client::Impl {
  Impl(struct ev_loop *loop, std::string address, Duration timeout)
      : Http(loop), Base("http://" + std::move(address)), Timeout(timeout) {}

  HttpRequest request(std::string method, const std::string &path,
                      Duration wait = {}) const {
    HttpRequest it;
    it.Method = std::move(method);
    it.Url = Base + path;
    it.Timeout = Timeout + wait;
    return it;
  }

  void count(Outcome how) {
    if (how == Outcome::Unreachable || how == Outcome::Malformed ||
        how == Outcome::Unknown) {
      ++Counts.Failures;
    }
  }

  void read(HttpRequest request, Duration wait, ReplyCallback done);
  void write(HttpRequest request, bool needsVersion, ReplyCallback done);
  void readInstances(HttpRequest request, Duration wait,
                     InstancesCallback done);

  HttpClient Http;
  std::string Base;
  Duration Timeout;
  CallCounts Counts;
};

void Client::Impl::read(HttpRequest request, Duration wait,
                        ReplyCallback done) {
  const Instant sent = readClock();
  Http.send(std::move(request),
            [this, sent, wait, done = std::move(done)](HttpReply http) {
              Reply reply = toReply(judgeRead(http), http, true);
              reply.AsOf = asOf(reply.How, sent, wait);
              count(reply.How);
              done(std::move(reply));
            });
}

void Client::Impl::write(HttpRequest request, bool needsVersion,
                         ReplyCallback done) {
  ++Counts.Writes;
  const Instant sent = readClock();
  Http.send(std::move(request),
            [this, sent, needsVersion, done = std::move(done)](HttpReply http) {
              Reply reply = toReply(judgeWrite(http), http, needsVersion);
              if (reply.How == Outcome::Malformed) {
                reply.How = Outcome::Unknown;
              }
              reply.AsOf = sent;
              count(reply.How);
              done(std::move(reply));
            });
}

void Client::Impl::readInstances(HttpRequest request, Duration wait,
                                 InstancesCallback done) {
  const Instant sent = readClock();
  Http.send(std::move(request), [this, sent, wait, done = std::move(done)](
                                    const HttpReply &http) {
    InstanceListing listing{.How = judgeRead(http),
                            .Version = parseVersion(http.Etag).value_or(0)};
    if (listing.How == Outcome::Done &&
        !parseInstances(http.Body, listing.Instances)) {
      listing.How = Outcome::Malformed;
    }
    listing.AsOf = asOf(listing.How, sent, wait);
    count(listing.How);
    done(std::move(listing));
  });
}

Client::Client(struct ev_loop *loop, std::string address, Duration timeout)
    : Self(std::make_unique<Impl>(loop, std::move(address), timeout)) {}

Client::~Client() = default;

void Client::get(const std::string &key, ReplyCallback done) {
  ++Self->Counts.Reads;
  Self->read(Self->request("GET", "/objects/" + key), {}, std::move(done));
}

void Client::put(const std::string &key, std::string bytes,
                 std::uint64_t version, ReplyCallback done) {
  HttpRequest it = Self->request("PUT", "/objects/" + key);
  it.Headers.push_back(version == 0
                           ? "If-None-Match: *"
                           : "If-Match: \"" + std::to_string(version) + "\"");
  it.Headers.emplace_back("Content-Type: application/octet-stream");
  it.Body = std::move(bytes);
  Self->write(std::move(it), true, std::move(done));
}

void Client::remove(const std::string &key, std::uint64_t version,
                    ReplyCallback done) {
  HttpRequest it = Self->request("DELETE", "/objects/" + key);
  it.Headers.push_back("If-Match: \"" + std::to_string(version) + "\"");
  Self->write(std::move(it), false, std::move(done));
}

void Client::list(const std::string &prefix, ListingCallback done) {
  ++Self->Counts.Lists;
  Self->Http.send(
      Self->request("GET", "/objects?prefix=" + prefix),
      [self = Self.get(), done = std::move(done)](const HttpReply &http) {
        Listing listing{.How = judgeRead(http)};
        if (listing.How == Outcome::Done &&
            !parseEntries(http.Body, listing.Entries)) {
          listing.How = Outcome::Malformed;
        }
        self->count(listing.How);
        done(std::move(listing));
      });
}

void Client::watch(const std::string &key, std::uint64_t after, Duration wait,
                   ReplyCallback done) {
  ++Self->Counts.Watches;
  Self->read(Self->request("GET",
                           "/watch/" + key + "?after=" + std::to_string(after) +
                               "&waitMs=" + toText(wait),
                           wait),
             wait, std::move(done));
}

void Client::listInstances(InstancesCallback done) {
  ++Self->Counts.Lists;
  Self->readInstances(Self->request("GET", "/instances"), {}, std::move(done));
}

void Client::watchInstances(std::uint64_t after, Duration wait,
                            InstancesCallback done) {
  ++Self->Counts.Watches;
  Self->readInstances(
      Self->request("GET",
                    "/watch-instances?after=" + std::to_string(after) +
                        "&waitMs=" + toText(wait),
                    wait),
      wait, std::move(done));
}

CallCounts Client::counts() const { return Self->Counts; }

} // namespace zinniarail::objects
