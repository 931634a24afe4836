#include "Link.h"

#include <algorithm>

namespace zinniarail::peers {

namespace {

constexpr Duration BackoffFloor = std::chrono::milliseconds{50};
constexpr Duration BackoffCeiling = std::chrono::seconds{1};

} // namespace

void dropConnection(Link &link, Instant now) {
  link.Connection = nullptr;
  link.Peer.reset();
  ++link.Epoch;
  link.Failed = true;
  link.Backoff = std::clamp(link.Backoff * 2, BackoffFloor, BackoffCeiling);
  link.NextTry = now + link.Backoff;
}

kj::Maybe<wire::Peer::Client> openPeer(Link &link) {
  if (!link.Peer || link.OpenCalls >= OpenCallsLimit) {
    return nullptr;
  }
  KJ_IF_MAYBE (it, link.Connection) {
    if ((*it)->queuedBytes() > QueuedBytesLimit) {
      return nullptr;
    }
    return (*it)->peer();
  }
  return nullptr;
}

} // namespace zinniarail::peers
