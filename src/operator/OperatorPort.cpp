#include "operator/OperatorPort.h"

#include <boost/json.hpp>
#include <prometheus/text_serializer.h>

namespace zinniarail {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned Unavailable = 503;

http::Response makeJson(unsigned status, const json::object &body) {
  return {status,
          {{"Content-Type", "application/json"}},
          json::serialize(body) + "\n"};
}

} // namespace

OperatorPort::OperatorPort(struct ev_loop *loop, OperatorHandlers handlers,
                           http::ServerShare share)
    : Handlers(std::move(handlers)),
      Server(loop,
             {[](const http::Request &) { return true; },
              [this](http::ExchangeId id, const http::Request &request) {
                Server.sendResponse(id, respondTo(request));
              },
              [](http::ExchangeId) {}},
             share) {
  Server.setLimits(http::InternalLimits);
  // A dump of a large fleet takes as long as many requests of callers.
  Server.setMaxRequestsPerIteration(1);
}

http::Response OperatorPort::respondTo(const http::Request &request) const {
  const std::string path(http::pathOf(request.Target));
  const bool isDrain = path == "/drain";
  if (request.Method != (isDrain ? "POST" : "GET")) {
    return makeJson(MethodNotAllowed, {{"error", "method-not-allowed"}});
  }
  if (isDrain) {
    Handlers.Drain();
    return makeJson(Accepted, {{"state", "stopping"}});
  }
  if (path == "/health") {
    const std::string state = Handlers.State();
    return makeJson(state == "ready" ? Ok : Unavailable, {{"state", state}});
  }
  if (path == "/version-in-force") {
    return makeJson(Ok, {{"instance", Handlers.InstanceId},
                         {"version", Handlers.ConfigVersion()}});
  }
  if (path == "/dump") {
    return makeJson(Ok, Handlers.Dump());
  }
  if (path == "/metrics") {
    return renderMetrics();
  }
  return makeJson(NotFound, {{"error", "not-found"}});
}

http::Response OperatorPort::renderMetrics() const {
  Handlers.UpdateGauges();
  const prometheus::TextSerializer serializer;
  return {Ok,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          serializer.Serialize(Handlers.Registry->Collect())};
}

} // namespace zinniarail
