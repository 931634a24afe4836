#include "soak/Rogue.h"

#include <algorithm>
#include <array>

namespace zinniarail::soak {

namespace {

constexpr std::array<const char *, MisdeedCount> Names{
    "run-twice",    "refuse-falsely",    "cut-answers", "drop-answers",
    "ignore-drain", "ignore-evacuation", "ignore-move", "flood",
    "crowd-cold",   "end-by-itself"};

// Far beyond what any budget of repeats allows.
constexpr unsigned FloodCopies = 6;

constexpr unsigned Unavailable = 503;

} // namespace

const char *nameOf(Misdeed misdeed) {
  return Names[static_cast<std::size_t>(misdeed)];
}

std::optional<Misdeed> misdeedNamed(const std::string &name) {
  const auto *it = std::find(Names.begin(), Names.end(), name);
  return it == Names.end()
             ? std::nullopt
             : std::optional(static_cast<Misdeed>(it - Names.begin()));
}

Rogue::Rogue(struct ev_loop *loop, Misdeed misdeed, std::string instance,
             std::string upstream, std::string path)
    : What(misdeed), Instance(std::move(instance)),
      Upstream(std::move(upstream)), Path(std::move(path)),
      Server(loop, {[](const http::Request &) { return true; },
                    [this](http::ExchangeId id, const http::Request &request) {
                      serve(id, request);
                    },
                    [](http::ExchangeId) {}}),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        finish(id, result);
      }) {}

void Rogue::serve(http::ExchangeId id, const http::Request &request) {
  http::Request copy = request;
  http::removeHopByHopHeaders(copy.Fields);
  const bool passesBy =
      What >= Misdeed::IgnoreDrain && request.Target.starts_with(Path);
  const bool floods =
      passesBy && (What == Misdeed::Flood || What == Misdeed::CrowdCold);
  const unsigned copies = What == Misdeed::RunTwice ? 2
                          : floods                  ? FloodCopies
                                                    : 1;
  for (unsigned n = 0; n < copies; ++n) {
    http::Call call;
    call.Id = ++LastCall;
    call.Address = passesBy ? Upstream : Instance;
    call.Bytes = http::serializeRequest(copy, {});
    if (n == 0) {
      Waiting[call.Id] = id;
    }
    Pool.start(std::move(call));
  }
}

void Rogue::finish(http::CallId call, const http::CallResult &result) {
  const auto it = Waiting.find(call);
  if (it == Waiting.end()) {
    return;
  }
  const http::ExchangeId id = it->second;
  Waiting.erase(it);
  if (result.Outcome != http::CallOutcome::Answered ||
      What == Misdeed::DropAnswers) {
    return Server.sendRawResponse(id, "", true);
  }
  http::Response response = result.Response;
  http::removeHopByHopHeaders(response.Fields);
  if (What == Misdeed::RefuseFalsely) {
    response = {Unavailable, {}, ""};
  } else if (What == Misdeed::CutAnswers) {
    response.Body.resize(response.Body.size() / 2);
  }
  Server.sendResponse(id, response);
}

} // namespace zinniarail::soak
