// Memory that connections take from the budget, and connections that give way
// when it is short.
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "http/Server.h"
#include "http/ServerConnection.h"

namespace zinniarail::http {

namespace {

// How long accepting pauses while there are too many connections.
constexpr Duration AcceptPause = std::chrono::milliseconds{100};

// Retry-After of a plain refusal for want of memory, in seconds.
constexpr const char *MemoryRetryAfter = "0.300";

constexpr unsigned RequestTimeout = 408;
constexpr unsigned Unavailable = 503;

} // namespace

void Server::describeRequest(const Connection &connection, Holder &holder) {
  if (connection.RequestParser) {
    holder.StartedAt = connection.RequestStartedAt;
    holder.Received = connection.HeadBytes + connection.Input.size();
  }
}

/// All connections as holders of one kind of bytes, in the same order.
struct Server::HolderList {
  std::vector<Connection *> Owners;
  std::vector<Holder> Holders;
};

template <typename Describe>
Server::HolderList Server::listHolders(Describe describe) const {
  HolderList out;
  out.Owners.reserve(Connections.size());
  out.Holders.reserve(Connections.size());
  for (const auto &[it, owned] : Connections) {
    out.Owners.push_back(it);
    out.Holders.push_back(describe(*it));
  }
  return out;
}

void Server::updateCharge(Connection &connection) {
  const bool isOpen = connection.RequestParser.has_value();
  const std::size_t body =
      isOpen ? connection.RequestParser->get().body().size() : 0;
  // Bytes that the kernel holds while reading pauses count as well.
  const std::size_t unread = connection.AwaitsRoom ? MinUnparsedLimit : 0;
  connection.SmallRoom.set(
      HeldKind::Small,
      IdleBytes + connection.Input.capacity() + unread +
          (isOpen ? std::min(connection.HeadBytes, Limits.MaxHeaderBytes) +
                        connection.HeadFields * ParsedFieldBytes
                  : 0) +
          (connection.LargeRoom.bytes() > 0 ? 0 : body));
}

// Callers that send several requests at once leave a reserve to the others.
bool Server::mayDispatch(const Connection &connection) const {
  if (Budget == nullptr) {
    return true;
  }
  const std::size_t limit = Budget->limit(HeldKind::Small);
  const std::size_t reserve = connection.Exchanges.size() > 1 ? limit / 4 : 0;
  // Callers who don't read lose their connections only after a time, and get no
  // more responses until then.
  const std::size_t responses = Budget->held(HeldKind::Response);
  return Budget->held(HeldKind::Small) <= limit - reserve &&
         responses / 3 * 2 <= Budget->limit(HeldKind::Response);
}

Response Server::makeMemoryRefusal(const Request &request) const {
  return Handlers.RefuseForMemory
             ? Handlers.RefuseForMemory(request)
             : Response{Unavailable, {{"Retry-After", MemoryRetryAfter}}, {}};
}

// The largest size that the body of an incomplete request may have.
std::size_t Server::maxBodySize(const Connection &connection) const {
  const auto announced = connection.RequestParser->content_length();
  return announced ? static_cast<std::size_t>(*announced) : Limits.MaxBodyBytes;
}

// The bytes that the body of an incomplete request takes among the large ones,
// once its next bytes are parsed; 0 for a small one.
std::size_t Server::largeRoomWanted(const Connection &connection) const {
  if (Budget == nullptr || !connection.RequestParser ||
      !connection.RequestParser->is_header_done()) {
    return 0;
  }
  const std::size_t most = maxBodySize(connection);
  const std::size_t received =
      connection.RequestParser->get().body().size() + connection.Input.size();
  if (most <= MaxSmallBody ||
      (connection.LargeRoom.bytes() == 0 && received <= MaxSmallBody)) {
    return 0;
  }
  return std::min(most, (received / LargeBodyStep + 1) * LargeBodyStep);
}

bool Server::hasLargeRoom(const Connection &connection) const {
  const std::size_t wanted = largeRoomWanted(connection);
  const std::size_t own = connection.LargeRoom.bytes();
  if (!Budget->hasRoom(HeldKind::Large, wanted, own)) {
    return false;
  }
  const std::size_t others = Budget->held(HeldKind::Large) - own;
  if (others == 0) {
    return true;
  }
  std::vector<LargeBody> bodies;
  for (const auto &[it, owned] : Connections) {
    const bool isThis = it == &connection;
    if (it->RequestParser && (isThis || it->LargeRoom.bytes() > 0)) {
      const std::size_t taken = isThis ? wanted : it->LargeRoom.bytes();
      const std::size_t most = std::max(maxBodySize(*it), taken);
      bodies.push_back({taken, most - taken});
    }
  }
  return canAllEnd(std::move(bodies),
                   Budget->limit(HeldKind::Large) - others - wanted);
}

/// \returns false if the body has to wait, and reading pauses.
bool Server::takeRoom(Connection &connection) {
  const std::size_t wanted = largeRoomWanted(connection);
  if (wanted <= connection.LargeRoom.bytes()) {
    return true;
  }
  // One that has begun to grow does not wait behind others.
  const bool isTurn = AwaitingRoom.empty() || connection.LargeRoom.bytes() > 0;
  if (isTurn && (hasLargeRoom(connection) || relieveLarge(connection))) {
    connection.LargeRoom.set(HeldKind::Large, wanted);
    return true;
  }
  connection.AwaitsRoom = true;
  connection.RoomAwaitedSince = readClock();
  AwaitingRoom.push_back(&connection);
  LargeHeldAtCheck = Budget->held(HeldKind::Large);
  ev_prepare_start(Loop, &RoomWatcher);
  return false;
}

// Lets those continue that have room now, in order of arrival. Called before
// each wait of the loop; there is nothing to do until others leave room.
void Server::admitWaiting() {
  if (Budget->held(HeldKind::Large) >= LargeHeldAtCheck) {
    return;
  }
  const std::vector<Connection *> waiting(AwaitingRoom.begin(),
                                          AwaitingRoom.end());
  for (Connection *it : waiting) {
    if (hasLargeRoom(*it)) {
      admit(*it);
    }
  }
  LargeHeldAtCheck = Budget->held(HeldKind::Large);
}

void Server::admit(Connection &connection) {
  stopWaiting(connection);
  connection.LargeRoom.set(HeldKind::Large, largeRoomWanted(connection));
  connection.LastActiveAt = connection.InputProgressAt = readClock();
  setTimer(connection);
  ev_feed_event(Loop, &connection.ReadWatcher, EV_READ);
}

void Server::stopWaiting(Connection &connection) {
  if (!connection.AwaitsRoom) {
    return;
  }
  connection.AwaitsRoom = false;
  std::erase(AwaitingRoom, &connection);
  if (AwaitingRoom.empty()) {
    ev_prepare_stop(Loop, &RoomWatcher);
  }
}

void Server::onRoomWaitOver(Connection &connection) {
  if (hasLargeRoom(connection) || relieveLarge(connection)) {
    return admit(connection);
  }
  giveWay(connection, Relief::Refuse);
}

// What has begun to run is kept: only requests that were not dispatched give
// way, with all that follows them on the connection.
void Server::giveWay(Connection &connection, Relief way) {
  if (way == Relief::Close) {
    ++Budget->Closed;
    return closeConnection(connection);
  }
  ++Budget->Refused;
  std::optional<Request> refused;
  if (connection.hasPendingRequest()) {
    const auto first = std::find_if(
        connection.Exchanges.begin(), connection.Exchanges.end(),
        [](const Exchange &it) { return it.PendingRequest.has_value(); });
    refused = std::move(*first->PendingRequest);
    connection.Exchanges.erase(first, connection.Exchanges.end());
  } else if (way == Relief::Refuse && connection.RequestParser &&
             connection.RequestParser->is_header_done()) {
    refused = headOf(connection.RequestParser->get());
  }
  stopWaiting(connection);
  rejectWith(connection,
             refused ? makeMemoryRefusal(*refused)
                     : Response{RequestTimeout, {}, {}},
             refused && refused->Method == "HEAD");
}

/// \returns whether there is room for the connection's body now.
bool Server::relieveLarge(const Connection &connection) {
  HolderList list = listHolders([](const Connection &it) {
    Holder out{it.LargeRoom.bytes(),
               it.RequestParser.has_value() && !it.Closing, it.AwaitsRoom,
               it.InputProgressAt};
    describeRequest(it, out);
    return out;
  });
  const Instant now = readClock();
  while (!hasLargeRoom(connection)) {
    const auto choice = chooseForLarge(list.Holders, now);
    if (!choice || list.Owners[choice->Index] == &connection) {
      return false;
    }
    giveWay(*list.Owners[choice->Index], choice->Way);
    list.Holders[choice->Index] = {};
  }
  return true;
}

void Server::relieve() {
  relieveSmall();
  relieveResponses();
}

void Server::relieveResponses() {
  while (Budget != nullptr && Budget->isOver(HeldKind::Response) &&
         closeSlowReader()) {
  }
}

void Server::relieveSmall() {
  if (Budget == nullptr || !Budget->isOver(HeldKind::Small)) {
    return;
  }
  HolderList list = listHolders([](const Connection &it) {
    const bool hasUnparsed = !it.takesNoRequests() && !it.Input.empty();
    return Holder{it.SmallRoom.bytes() + it.pendingBytes(),
                  !it.Closing && (it.RequestParser.has_value() ||
                                  it.hasPendingRequest() || hasUnparsed),
                  it.AwaitsRoom, it.InputProgressAt};
  });
  const Instant now = readClock();
  // Frees more than is needed now, so that not each read comes here.
  const std::size_t target = Budget->limit(HeldKind::Small) / 8 * 7;
  while (Budget->held(HeldKind::Small) > target) {
    const auto choice = chooseForSmall(list.Holders, now);
    if (!choice) {
      return;
    }
    giveWay(*list.Owners[choice->Index], choice->Way);
    list.Holders[choice->Index] = {};
  }
}

bool Server::closeSlowReader() {
  const HolderList list = listHolders([](const Connection &it) {
    return Holder{it.OutputBytes, it.OutputBytes > 0, false,
                  it.OutputProgressAt};
  });
  const auto choice = chooseForResponses(list.Holders, readClock());
  if (choice) {
    giveWay(*list.Owners[choice->Index], choice->Way);
  }
  return choice.has_value();
}

bool Server::makeRoomForConnection() {
  const HolderList list = listHolders([](const Connection &it) {
    Holder out{IdleBytes, it.Exchanges.empty() && !it.AwaitsTurn, false,
               it.RequestParser ? it.InputProgressAt : it.LastActiveAt};
    if (!it.Output.empty()) {
      out.LastProgressAt = it.OutputProgressAt;
    } else if (it.RequestParser) {
      describeRequest(it, out);
    } else {
      out.IsIdle = out.IsIncomplete;
    }
    return out;
  });
  const auto choice = chooseForConnection(list.Holders, readClock());
  if (choice) {
    if (Budget != nullptr) {
      ++Budget->Closed;
    }
    closeConnection(*list.Owners[choice->Index]);
  }
  return choice.has_value();
}

void Server::pauseAccepting() {
  ev_io_stop(Loop, &AcceptWatcher);
  const std::chrono::duration<double> pause = AcceptPause;
  ev_timer_stop(Loop, &AcceptTimer);
  ev_timer_set(&AcceptTimer, pause.count(), 0);
  ev_timer_start(Loop, &AcceptTimer);
}

} // namespace zinniarail::http
