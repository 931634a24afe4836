#include "fleet/CatchUp.h"

#include <algorithm>
#include <utility>

#include "fleet/NewsServer.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::fleet {

namespace {

// Several times what an answer takes between failure domains. An instance that
// is frozen never answers.
constexpr Duration AnswerTime = std::chrono::milliseconds{200};

constexpr unsigned Ok = 200;

} // namespace

CatchUp::CatchUp(struct ev_loop *loop, std::function<void(const News &)> came)
    : Came(std::move(came)),
      Pool(loop, [this](http::CallId id, const http::CallResult &result) {
        take(id, result);
      }) {}

void CatchUp::advance(const Members &members, Instant now) {
  if (Asking && now - AskedAt < AnswerTime) {
    return;
  }
  Pool.cancel(LastCall);
  Asking = false;
  const std::vector<Member> all = informedOf(members, now);
  // Not all ask the same one.
  const std::uint64_t turn = hashBytes(members.Self.Record.Id);
  const auto isNext = [&](const Member &a, const Member &b) {
    const auto rank = [&](const Member &it) {
      return std::make_tuple(Asked.contains(it.Record.Id),
                             it.Record.Domain != members.Self.Record.Domain,
                             hashCombine(turn, hashBytes(it.Record.Id)));
    };
    return rank(a) < rank(b);
  };
  auto next = std::min_element(all.begin(), all.end(), isNext);
  if (next == all.end()) {
    return;
  }
  if (!Asked.insert(next->Record.Id).second) { // All had their turn.
    Asked = {next->Record.Id};
  }
  Asking = true;
  AskedAt = now;
  http::Call call;
  call.Id = ++LastCall;
  call.Address = next->Record.PeerAddress;
  call.Bytes = std::string("GET ") + KnowledgePath +
               " HTTP/1.1\r\nHost: " + call.Address + "\r\n\r\n";
  Pool.start(std::move(call));
}

void CatchUp::end() {
  Asking = false;
  Pool.cancel(LastCall);
  Asked.clear();
}

void CatchUp::take(http::CallId id, const http::CallResult &result) {
  if (id != LastCall || !std::exchange(Asking, false)) {
    return;
  }
  const bool answered =
      result.How == http::Ending::Answered && result.Response.Status == Ok;
  const auto news = answered ? decodeNews(result.Response.Body) : std::nullopt;
  if (!news) {
    return; // The next turn asks another.
  }
  logEvent(EventId::CaughtUp, {{"configuration", news->Config != nullptr},
                               {"upstreams", news->Upstreams.has_value()}});
  Came(*news);
}

} // namespace zinniarail::fleet
