#include "soak/MisbehavingProxy.h"

#include <algorithm>
#include <array>

namespace zinniarail::soak {

namespace {

constexpr std::array<const char *, MisbehaviourCount> Names{
    "run-twice",    "refuse-falsely",    "cut-answers", "drop-answers",
    "ignore-drain", "ignore-evacuation", "ignore-move", "flood",
    "crowd-cold",   "end-by-itself"};

// Exceeds every retry budget.
constexpr unsigned FloodCopies = 6;

constexpr unsigned Unavailable = 503;

} // namespace

const char *nameOf(Misbehaviour misbehaviour) {
  return Names[static_cast<std::size_t>(misbehaviour)];
}

std::optional<Misbehaviour> findMisbehaviour(const std::string &name) {
  const auto *it = std::find(Names.begin(), Names.end(), name);
  return it == Names.end()
             ? std::nullopt
             : std::optional(static_cast<Misbehaviour>(it - Names.begin()));
}

MisbehavingProxy::MisbehavingProxy(
    struct ev_loop *loop, Misbehaviour misbehaviour, std::string instance,
    std::string upstream, std::string path,
    std::map<std::string, std::string> customerByKey)
    : Kind(misbehaviour), Instance(std::move(instance)),
      Upstream(std::move(upstream)), Path(std::move(path)),
      CustomerByKey(std::move(customerByKey)),
      Server(loop, {[](const http::Request &) { return true; },
                    [this](http::ExchangeId id, const http::Request &request) {
                      serve(id, request);
                    },
                    [](http::ExchangeId) {}}),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        finish(id, result);
      }) {}

void MisbehavingProxy::serve(http::ExchangeId id,
                             const http::Request &request) {
  http::Request copy = request;
  http::removeHopByHopHeaders(copy.Fields);
  const bool bypassesInstance =
      Kind >= Misbehaviour::IgnoreDrain && request.Target.starts_with(Path);
  if (bypassesInstance) {
    identifyCustomer(copy.Fields);
  }
  const bool multiplies = bypassesInstance && (Kind == Misbehaviour::Flood ||
                                               Kind == Misbehaviour::CrowdCold);
  const unsigned copies = Kind == Misbehaviour::RunTwice ? 2
                          : multiplies                   ? FloodCopies
                                                         : 1;
  for (unsigned n = 0; n < copies; ++n) {
    http::Call call;
    call.Id = ++LastCall;
    call.Address = bypassesInstance ? Upstream : Instance;
    call.Bytes = http::serializeRequest(copy, {});
    if (n == 0) {
      PendingExchanges[call.Id] = id;
    }
    Pool.start(std::move(call));
  }
}

// As the instance does that is bypassed: that is not the violation.
void MisbehavingProxy::identifyCustomer(http::Headers &fields) const {
  const std::string *key = http::findHeader(fields, "X-Credential");
  const auto customer = CustomerByKey.find(key == nullptr ? "" : *key);
  http::removeHeader(fields, "X-Credential");
  http::removeHeader(fields, "X-Tenant");
  if (customer != CustomerByKey.end()) {
    fields.push_back({"X-Tenant", customer->second});
  }
}

void MisbehavingProxy::finish(http::CallId call,
                              const http::CallResult &result) {
  const auto it = PendingExchanges.find(call);
  if (it == PendingExchanges.end()) {
    return;
  }
  const http::ExchangeId id = it->second;
  PendingExchanges.erase(it);
  if (result.Outcome != http::CallOutcome::Answered ||
      Kind == Misbehaviour::DropAnswers) {
    return Server.sendRawResponse(id, "", true);
  }
  http::Response response = result.Response;
  http::removeHopByHopHeaders(response.Fields);
  if (Kind == Misbehaviour::RefuseFalsely) {
    response = {Unavailable, {}, ""};
  } else if (Kind == Misbehaviour::CutAnswers) {
    response.Body.resize(response.Body.size() / 2);
  }
  Server.sendResponse(id, response);
}

} // namespace zinniarail::soak
