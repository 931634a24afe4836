#include "fleet/SnapshotFetcher.h"

#include <algorithm>
#include <utility>

#include "fleet/UpdateServer.h"
#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::fleet {

namespace {

// Several times the response time between failure domains. After this timeout
// the next instance is asked, since a frozen one never responds.
constexpr Duration RequestTimeout = std::chrono::milliseconds{200};

constexpr unsigned Ok = 200;

} // namespace

SnapshotFetcher::SnapshotFetcher(
    struct ev_loop *loop, std::function<void(const StateUpdate &)> onSnapshot)
    : OnSnapshot(std::move(onSnapshot)),
      Pool(
          loop,
          [this](http::CallId id, const http::CallResult &result) {
            handleResult(id, result);
          },
          MaxUpdateBytes) {}

void SnapshotFetcher::requestIfDue(const Members &members, Instant now) {
  if (RequestInFlight && now - RequestedAt < RequestTimeout) {
    return;
  }
  Pool.cancel(LastCall);
  RequestInFlight = false;
  const std::vector<Member> candidates = membersWithSnapshot(members, now);
  // The order depends on this instance's id, to spread the requests of many
  // instances.
  const std::uint64_t selfHash = hashBytes(members.LocalMember.Record.Id);
  const auto isNext = [&](const Member &a, const Member &b) {
    const auto rank = [&](const Member &it) {
      return std::make_tuple(TriedIds.contains(it.Record.Id),
                             it.Record.Domain !=
                                 members.LocalMember.Record.Domain,
                             hashCombine(selfHash, hashBytes(it.Record.Id)));
    };
    return rank(a) < rank(b);
  };
  auto next = std::min_element(candidates.begin(), candidates.end(), isNext);
  if (next == candidates.end()) {
    return;
  }
  if (!TriedIds.insert(next->Record.Id).second) { // All instances were tried.
    TriedIds = {next->Record.Id};
  }
  RequestInFlight = true;
  RequestedAt = now;
  http::Call call;
  call.Id = ++LastCall;
  call.Address = next->Record.PeerAddress;
  call.Bytes = std::string("GET ") + SnapshotPath +
               " HTTP/1.1\r\nHost: " + call.Address + "\r\n\r\n";
  Pool.start(std::move(call));
}

void SnapshotFetcher::stop() {
  RequestInFlight = false;
  Pool.cancel(LastCall);
  TriedIds.clear();
}

void SnapshotFetcher::handleResult(http::CallId id,
                                   const http::CallResult &result) {
  if (id != LastCall || !std::exchange(RequestInFlight, false)) {
    return;
  }
  const bool answered = result.Outcome == http::CallOutcome::Answered &&
                        result.Response.Status == Ok;
  const auto snapshot =
      answered ? decodeUpdate(result.Response.Body) : std::nullopt;
  if (!snapshot) {
    return; // The next request goes to another instance.
  }
  logEvent(EventId::CaughtUp, {{"configuration", snapshot->Config != nullptr},
                               {"upstreams", snapshot->Upstreams.has_value()}});
  OnSnapshot(*snapshot);
}

} // namespace zinniarail::fleet
