#include "PeerServer.h"

namespace zinniarail::peers {

kj::Exception PeerServer::refuse(const std::string &reason) {
  Owner.countRefused();
  return {kj::Exception::Type::FAILED, __FILE__, __LINE__,
          kj::heapString(reason.c_str())};
}

kj::Maybe<kj::Exception> PeerServer::findStranger() {
  if (!From) {
    return refuse("hello has to come first");
  }
  return nullptr;
}

kj::Promise<void> PeerServer::hello(HelloContext context) {
  Greeting from;
  auto reason = read(context.getParams().getFrom(), from);
  if (!reason) {
    reason = Owner.greet(from);
  }
  if (reason) {
    return refuse("hello refused: " + *reason);
  }
  From = std::move(from);
  write(Owner.greeting(), context.getResults().getFrom());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::ping(PingContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const Pulse pulse = read(context.getParams().getPulse());
  From->Version = pulse.Version;
  From->ConfirmedAge = pulse.ConfirmedAge;
  From->Generation = pulse.Generation;
  From->Who.Leaving = pulse.Leaving;
  Owner.hear(*From, Instant{});
  write(Owner.pulse(), context.getResults().getPulse());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::record(RecordContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const auto params = context.getParams();
  const auto claim = read(params.getClaim());
  if (!claim) {
    return refuse("claim refused: service is empty or longer than 256 bytes");
  }
  context.getResults().setReply(
      toWire(Owner.serveRecord(params.getGeneration(), *claim)));
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::release(ReleaseContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  if (const auto claim = read(context.getParams().getClaim())) {
    Owner.serveRelease(*claim);
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::handOver(HandOverContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const auto params = context.getParams();
  if (params.getAfterService().size() > TextLimit) {
    return refuse("afterService is longer than 256 bytes");
  }
  SendHandOver request;
  request.Generation = params.getGeneration();
  request.AfterService = params.getAfterService().cStr();
  request.AfterKey = {params.getAfterKey().getHigh(),
                      params.getAfterKey().getLow()};
  const ClaimPage page = Owner.serveHandOver(request, From->Who.Id);
  auto out = context.getResults().getPage();
  write(page, out);
  out.setIncarnation(Owner.incarnation());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::roster(RosterContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const Roster &known = Owner.roster();
  context.getResults().setBytes(printRoster(known));
  context.getResults().setVersion(known.Version);
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::tell(TellContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const auto params = context.getParams();
  const auto word = read(params.getWord());
  if (!word || params.getService().size() > TextLimit) {
    return refuse("word refused: kind, upstream or service out of bounds");
  }
  Owner.serveWord(params.getService().cStr(), *word);
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::document(DocumentContext context) {
  KJ_IF_MAYBE (it, findStranger()) {
    return kj::mv(*it);
  }
  const auto bytes = Owner.document(context.getParams().getVersion());
  if (!bytes || bytes->size() > DocumentLimit) {
    return kj::READY_NOW;
  }
  context.getResults().setFound(true);
  context.getResults().setBytes(
      {reinterpret_cast<const kj::byte *>(bytes->data()), bytes->size()});
  return kj::READY_NOW;
}

} // namespace zinniarail::peers
