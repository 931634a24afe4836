/// \file
/// One connection between two instances: the socket, with its bytes counted,
/// and the RPC system on it. Messages are bounded.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "Wire.h"

namespace zinniarail::peers {

/// What went over all connections of this instance.
struct Traffic {
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

/// Counts what goes through a socket.
class CountingStream final : public kj::AsyncIoStream {
public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, Traffic &traffic)
      : Inner(kj::mv(inner)), Counted(traffic) {}

  kj::Promise<size_t> tryRead(void *buf, size_t least, size_t most) override;
  kj::Promise<void> write(const void *buf, size_t size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Own<kj::AsyncIoStream> Inner;
  Traffic &Counted;
};

/// A connection with its RPC system.
class RpcConnection {
public:
  /// Serves a peer that connected.
  RpcConnection(kj::Own<kj::AsyncIoStream> stream, Traffic &traffic,
                capnp::Capability::Client served);
  /// Asks a peer that was connected to.
  RpcConnection(kj::Own<kj::AsyncIoStream> stream, Traffic &traffic);

  /// The peer's capability, asked for once.
  wire::Peer::Client peer();
  kj::Promise<void> whenDisconnected() { return Network.onDisconnect(); }
  /// Bytes that wait to be written.
  size_t queuedBytes() { return Network.getCurrentQueueSize(); }

private:
  CountingStream Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  kj::Maybe<wire::Peer::Client> Bootstrap;
};

} // namespace zinniarail::peers
