#include "zinniarail/intent/Format.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <openssl/evp.h>

#include "intent/DuplicateKeys.h"
#include "intent/JsonReader.h"

namespace zinniarail {

namespace {

namespace json = boost::json;
using Presence = JsonReader::Presence;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxDomains = 256;
constexpr std::size_t MaxServices = 10000;
constexpr std::size_t MaxClasses = 64;
constexpr std::size_t MaxUpstreams = 4096; // of one service
constexpr std::size_t MaxPrefixBytes = 256;
constexpr std::size_t MaxMethodBytes = 16;
constexpr Bounds PortBounds{1, 65535};
constexpr Bounds SlotBounds{1, 100000};
constexpr Bounds ConnectionBounds{1, 1000000};
constexpr Bounds HomesBounds{1, 64};
constexpr Bounds QueueBounds{0, 100000};
constexpr Bounds PriorityBounds{0, 9};
constexpr Bounds DeadlineMs{1, 600000};
constexpr Bounds ClaimWindowMs{1000, 3600000};
constexpr Bounds ResolveLifetimeMs{100, 60000};
constexpr double MaxShare = 1;
constexpr double MaxProbesPerSecond = 1000;

bool isAddress(const std::string &text) {
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return inet_pton(AF_INET, text.c_str(), buf.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

bool isMethod(const std::string &text) {
  return text == "*" || (!text.empty() && text.size() <= MaxMethodBytes &&
                         std::all_of(text.begin(), text.end(), [](char it) {
                           return it >= 'A' && it <= 'Z';
                         }));
}

bool isPrefix(const std::string &text) {
  return text.size() <= MaxPrefixBytes &&
         (text.empty() || text.front() == '/') &&
         std::all_of(text.begin(), text.end(),
                     [](char it) { return it > ' ' && it < 0x7f; });
}

void requireOnce(std::set<std::string> &seen, const std::string &value,
                 const std::string &path, Faults &faults) {
  if (!value.empty() && !seen.insert(value).second) {
    addFault(faults, path, "is there twice: " + value);
  }
}

DomainSpec readDomain(const json::value &value, const std::string &path,
                      Faults &faults) {
  DomainSpec domain;
  JsonReader it(value, path, faults);
  it.name("name", domain.Name, Presence::Required);
  it.name("region", domain.Region, Presence::Optional);
  it.flag("inService", domain.InService);
  it.finish();
  return domain;
}

RequestClass readClass(const json::value &value, const std::string &path,
                       Faults &faults) {
  RequestClass requests;
  JsonReader it(value, path, faults);
  it.name("name", requests.Name, Presence::Required);
  it.text("method", requests.Method, Presence::Optional, isMethod,
          "must be an upper-case HTTP method or *");
  it.text("pathPrefix", requests.PathPrefix, Presence::Optional, isPrefix,
          "must be empty or begin with /, at most 256 printable bytes");
  it.count("priority", requests.Priority, PriorityBounds);
  it.flag("idempotent", requests.Idempotent);
  it.milliseconds("deadlineMs", requests.Deadline, DeadlineMs);
  it.finish();
  return requests;
}

UpstreamSpec readUpstream(const json::value &value, const std::string &path,
                          const std::set<std::string> &domains,
                          Faults &faults) {
  UpstreamSpec upstream;
  JsonReader it(value, path, faults);
  it.name("id", upstream.Id, Presence::Required);
  it.text("address", upstream.Address, Presence::Required, isAddress,
          "must be an IP number");
  std::int64_t port = 0;
  it.whole("port", port, PortBounds, Presence::Required);
  upstream.Port = static_cast<std::uint16_t>(port);
  it.name("domain", upstream.Domain, Presence::Required);
  if (!upstream.Domain.empty() && !domains.contains(upstream.Domain)) {
    addFault(faults, it.pathOf("domain"),
             "is not among /domains: " + upstream.Domain);
  }
  it.count("slots", upstream.Slots, SlotBounds);
  it.count("connections", upstream.Connections, ConnectionBounds);
  it.flag("leaving", upstream.Leaving);
  it.finish();
  return upstream;
}

void readUpstreams(JsonReader &reader, ServiceSpec &service,
                   const std::set<std::string> &domains, Faults &faults) {
  std::set<std::string> ids;
  std::set<std::string> places;
  reader.list("upstreams", MaxUpstreams,
              [&](const json::value &value, const std::string &path) {
                UpstreamSpec it = readUpstream(value, path, domains, faults);
                requireOnce(ids, it.Id, path + "/id", faults);
                if (it.Port != 0 && !it.Address.empty()) {
                  requireOnce(places,
                              it.Address + ":" + std::to_string(it.Port),
                              path + "/port", faults);
                }
                service.Upstreams.push_back(std::move(it));
              });
}

void readClasses(JsonReader &reader, ServiceSpec &service, Faults &faults) {
  std::set<std::string> names;
  reader.list("classes", MaxClasses,
              [&](const json::value &value, const std::string &path) {
                RequestClass it = readClass(value, path, faults);
                requireOnce(names, it.Name, path + "/name", faults);
                service.Classes.push_back(std::move(it));
              });
}

ServiceSpec readService(const json::value &value, const std::string &path,
                        const std::set<std::string> &domains, Faults &faults) {
  ServiceSpec service;
  JsonReader it(value, path, faults);
  it.name("name", service.Name, Presence::Required);
  it.count("homes", service.Homes, HomesBounds);
  it.count("queueLimit", service.QueueLimit, QueueBounds);
  it.share("hedgeShare", service.HedgeShare, MaxShare);
  it.share("retryShare", service.RetryShare, MaxShare);
  it.share("probesPerSecond", service.ProbesPerSecond, MaxProbesPerSecond);
  it.milliseconds("claimWindowMs", service.ClaimWindow, ClaimWindowMs);
  readClasses(it, service, faults);
  readUpstreams(it, service, domains, faults);
  it.finish();
  return service;
}

std::set<std::string> readDomains(JsonReader &reader, Document &document,
                                  Faults &faults) {
  std::set<std::string> names;
  reader.list("domains", MaxDomains,
              [&](const json::value &value, const std::string &path) {
                DomainSpec it = readDomain(value, path, faults);
                requireOnce(names, it.Name, path + "/name", faults);
                document.Domains.push_back(std::move(it));
              });
  return names;
}

Document readDocument(const json::value &value, Faults &faults) {
  Document document;
  JsonReader it(value, "", faults);
  it.name("environment", document.Environment, Presence::Optional);
  it.name("changeId", document.ChangeId, Presence::Optional);
  it.milliseconds("resolveLifetimeMs", document.ResolveLifetime,
                  ResolveLifetimeMs);
  const std::set<std::string> domains = readDomains(it, document, faults);
  std::set<std::string> names;
  it.list("services", MaxServices,
          [&](const json::value &service, const std::string &path) {
            document.Services.push_back(
                readService(service, path, domains, faults));
            requireOnce(names, document.Services.back().Name, path + "/name",
                        faults);
          });
  it.finish();
  return document;
}

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

json::object toJson(const DomainSpec &it) {
  json::object out{{"name", it.Name}};
  if (!it.Region.empty()) {
    out["region"] = it.Region;
  }
  out["inService"] = it.InService;
  return out;
}

json::object toJson(const RequestClass &it) {
  return {{"name", it.Name},
          {"method", it.Method},
          {"pathPrefix", it.PathPrefix},
          {"priority", it.Priority},
          {"idempotent", it.Idempotent},
          {"deadlineMs", toMilliseconds(it.Deadline)}};
}

json::object toJson(const UpstreamSpec &it) {
  return {{"id", it.Id},          {"address", it.Address},
          {"port", it.Port},      {"domain", it.Domain},
          {"slots", it.Slots},    {"connections", it.Connections},
          {"leaving", it.Leaving}};
}

json::object toJson(const ServiceSpec &it);

template <typename Item> json::array toArray(const std::vector<Item> &items) {
  json::array out;
  out.reserve(items.size());
  for (const Item &it : items) {
    out.emplace_back(toJson(it));
  }
  return out;
}

json::object toJson(const ServiceSpec &it) {
  return {{"name", it.Name},
          {"homes", it.Homes},
          {"queueLimit", it.QueueLimit},
          {"hedgeShare", it.HedgeShare},
          {"retryShare", it.RetryShare},
          {"probesPerSecond", it.ProbesPerSecond},
          {"claimWindowMs", toMilliseconds(it.ClaimWindow)},
          {"classes", toArray(it.Classes)},
          {"upstreams", toArray(it.Upstreams)}};
}

template <typename Check>
Result<Document, Faults> parseWith(std::string_view bytes, Check check) {
  if (bytes.size() > MaxDocumentBytes) {
    return Faults{
        {"", "is larger than " + std::to_string(MaxDocumentBytes) + " bytes"}};
  }
  json::error_code ec;
  const json::value value = json::parse(bytes, ec);
  if (ec) {
    return Faults{{"", "is not JSON: " + ec.message()}};
  }
  Faults faults;
  check(bytes, faults);
  Document document = readDocument(value, faults);
  if (!faults.empty()) {
    return faults;
  }
  return document;
}

} // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), [](unsigned char it) {
           return std::isalnum(it) != 0 || it == '.' || it == '_' || it == '-';
         });
}

Result<Document, Faults> parseDocument(std::string_view bytes) {
  return parseWith(bytes, [](std::string_view, Faults &) {});
}

Result<Document, Faults> parseNewDocument(std::string_view bytes) {
  return parseWith(bytes, findDuplicateKeys);
}

std::string serialiseDocument(const Document &document) {
  json::object out;
  if (!document.Environment.empty()) {
    out["environment"] = document.Environment;
  }
  if (!document.ChangeId.empty()) {
    out["changeId"] = document.ChangeId;
  }
  out["resolveLifetimeMs"] = toMilliseconds(document.ResolveLifetime);
  out["domains"] = toArray(document.Domains);
  out["services"] = toArray(document.Services);
  return json::serialize(out);
}

std::string digestOf(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (unsigned n = 0; n < size; ++n) {
    text += digits[digest.at(n) >> 4];
    text += digits[digest.at(n) & 0xf];
  }
  return text;
}

} // namespace zinniarail
