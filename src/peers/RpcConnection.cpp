#include "RpcConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace zinniarail::peers {

namespace {

using capnp::rpc::twoparty::Side;

// Calls that a peer may have open here, in words of their parameters.
constexpr std::size_t FlowWordsLimit = 2 * MessageWordsLimit;

capnp::ReaderOptions boundedReader() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = MessageWordsLimit;
  options.nestingLimit = 16;
  return options;
}

kj::Own<kj::AsyncIoStream> withoutDelay(kj::Own<kj::AsyncIoStream> stream) {
  int on = 1;
  stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

} // namespace

kj::Promise<size_t> CountingStream::tryRead(void *buf, size_t least,
                                            size_t most) {
  return Inner->tryRead(buf, least, most).then([this](size_t n) {
    Counted.BytesIn += n;
    return n;
  });
}

kj::Promise<void> CountingStream::write(const void *buf, size_t size) {
  Counted.BytesOut += size;
  return Inner->write(buf, size);
}

kj::Promise<void>
CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto &it : pieces) {
    Counted.BytesOut += it.size();
  }
  return Inner->write(pieces);
}

kj::Promise<void> CountingStream::whenWriteDisconnected() {
  return Inner->whenWriteDisconnected();
}

void CountingStream::shutdownWrite() { Inner->shutdownWrite(); }

void CountingStream::abortRead() { Inner->abortRead(); }

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> stream,
                             Traffic &traffic, capnp::Capability::Client served)
    : Stream(withoutDelay(kj::mv(stream)), traffic),
      Network(Stream, Side::SERVER, boundedReader()),
      Rpc(capnp::makeRpcServer(Network, kj::mv(served))) {
  Rpc.setFlowLimit(FlowWordsLimit);
}

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> stream,
                             Traffic &traffic)
    : Stream(withoutDelay(kj::mv(stream)), traffic),
      Network(Stream, Side::CLIENT, boundedReader()),
      Rpc(capnp::makeRpcClient(Network)) {}

wire::Peer::Client RpcConnection::peer() {
  KJ_IF_MAYBE (it, Bootstrap) {
    return *it;
  }
  capnp::MallocMessageBuilder message;
  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(Side::SERVER);
  return Bootstrap.emplace(Rpc.bootstrap(vat).castAs<wire::Peer>());
}

} // namespace zinniarail::peers
