#include "gateway/Answers.h"

#include <array>

#include <boost/json.hpp>
#include <microhttpd.h>

#include "zinniarail/homes/Homes.h"

namespace zinniarail::gateway {

namespace {

namespace json = boost::json;

const char *messageOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::UnknownService:
    return "no service of this name";
  case RefusalReason::NoUpstream:
    return "no upstream in service can take it now";
  case RefusalReason::Overloaded:
    return "the service is at its limit";
  case RefusalReason::DeadlinePassed:
    return "its deadline passed, or would have";
  case RefusalReason::ViewExpired:
    return "this instance cannot prove that its configuration is current";
  case RefusalReason::KeyMissing:
    return "its class runs at most once and needs an Idempotency-Key";
  case RefusalReason::KeyInUse:
    return "its Idempotency-Key was used before";
  case RefusalReason::ClaimUnavailable:
    return "its Idempotency-Key could not be claimed";
  case RefusalReason::Quarantined:
    return "requests like it crashed upstreams";
  case RefusalReason::Held:
    return "requests like it may have crashed upstreams; this is found out";
  case RefusalReason::UpstreamFailed:
    return "no try came to a whole answer";
  case RefusalReason::Stopping:
    return "this instance stops";
  }
  return "";
}

Answer makeOwn(unsigned status, const char *error, const char *truth,
               Duration retryAfter, const std::string &message) {
  using std::chrono::ceil;
  const auto ms = ceil<std::chrono::milliseconds>(retryAfter).count();
  Answer answer;
  answer.Status = status;
  answer.Fields = {{"Content-Type", "application/json"},
                   {"X-Zinniarail-Outcome", truth},
                   {"X-Zinniarail-Reason", error}};
  if (ms > 0) {
    const auto seconds = ceil<std::chrono::seconds>(retryAfter).count();
    answer.Fields.push_back({"Retry-After", std::to_string(seconds)});
    answer.Fields.push_back(
        {"X-Zinniarail-Retry-After-Ms", std::to_string(ms)});
  }
  answer.Body = json::serialize(json::object{{"error", error},
                                             {"outcome", truth},
                                             {"retryAfterMs", ms},
                                             {"message", message}});
  return answer;
}

} // namespace

unsigned statusOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::UnknownService:
    return 404;
  case RefusalReason::KeyMissing:
    return 400;
  case RefusalReason::KeyInUse:
    return 409;
  case RefusalReason::Quarantined:
    return 422;
  case RefusalReason::UpstreamFailed:
    return 502;
  case RefusalReason::DeadlinePassed:
    return 504;
  case RefusalReason::NoUpstream:
  case RefusalReason::Overloaded:
  case RefusalReason::ViewExpired:
  case RefusalReason::ClaimUnavailable:
  case RefusalReason::Held:
  case RefusalReason::Stopping:
    return 503;
  }
  return 503;
}

Answer makeRefusal(RefusalReason reason, Truth truth, Duration retryAfter) {
  return makeOwn(statusOf(reason), nameOf(reason), nameOf(truth), retryAfter,
                 messageOf(reason));
}

Answer makeMalformed(const std::string &message) {
  return makeOwn(400, "malformed", nameOf(Truth::DidNotRun), Duration{0},
                 message);
}

Answer makeTooLarge() {
  return makeOwn(413, "body-too-large", nameOf(Truth::DidNotRun), Duration{0},
                 "the limit is " + std::to_string(BodyLimit) + " bytes");
}

Answer makeTooLong() {
  return makeOwn(431, "head-too-large", nameOf(Truth::DidNotRun), Duration{0},
                 "the limit is " + std::to_string(HeadLimit) +
                     " bytes for the request line and all headers");
}

std::string printAnswer(const Answer &content) {
  std::string bytes = "HTTP/1.1 " + std::to_string(content.Status) + " " +
                      MHD_get_reason_phrase_for(content.Status) + "\r\n";
  for (const Header &it : content.Fields) {
    bytes += it.Name + ": " + it.Value + "\r\n";
  }
  return bytes + "Connection: close\r\nContent-Length: " +
         std::to_string(content.Body.size()) + "\r\n\r\n" + content.Body;
}

Answer makeResolved(const View &view, const ServiceSpec &service) {
  const auto all = static_cast<unsigned>(view.Instances.size());
  json::array addresses;
  for (const Instance &it : placeService(view, service, all).Ranked) {
    if (!it.Leaving && isInService(*view.Intent, it.Domain)) {
      addresses.push_back(json::object{{"address", it.CallerAddress},
                                       {"domain", it.Domain},
                                       {"instance", it.Id}});
    }
  }
  if (addresses.empty()) {
    return makeRefusal(RefusalReason::NoUpstream, Truth::DidNotRun,
                       view.Intent->ResolveLifetime);
  }
  const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(
      view.Intent->ResolveLifetime);
  Answer answer;
  answer.Status = 200;
  answer.Fields = {{"Content-Type", "application/json"}};
  answer.Body =
      json::serialize(json::object{{"service", service.Name},
                                   {"version", view.Version},
                                   {"keepMs", keep.count()},
                                   {"addresses", std::move(addresses)}});
  return answer;
}

} // namespace zinniarail::gateway
