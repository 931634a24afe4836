/// \file
/// What a peer that connected may call.
#pragma once

#include <optional>

#include "Exchange.h"
#include "peer.capnp.h"

namespace zinniarail::peers {

/// Serves one connection. Everything but hello needs a hello before it.
class PeerServer final : public wire::Peer::Server {
public:
  explicit PeerServer(Exchange &exchange) : Owner(exchange) {}

  kj::Promise<void> hello(HelloContext context) override;
  kj::Promise<void> ping(PingContext context) override;
  kj::Promise<void> record(RecordContext context) override;
  kj::Promise<void> release(ReleaseContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;
  kj::Promise<void> roster(RosterContext context) override;
  kj::Promise<void> tell(TellContext context) override;
  kj::Promise<void> document(DocumentContext context) override;

private:
  /// An exception that carries the reason to the peer; this is how the RPC
  /// library wants it, and it goes no further here.
  kj::Exception refuse(const std::string &reason);
  /// Whether the peer may not call yet, with the answer to it.
  kj::Maybe<kj::Exception> findStranger();

  Exchange &Owner;
  std::optional<Greeting> From;
};

} // namespace zinniarail::peers
