/// \file
/// A path between two instances whose connections can go silent: HTTP passes
/// through a link, datagrams are passed on without it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <ev.h>

#include "fleet/Codec.h"
#include "http/Sockets.h"
#include "link/Link.h"

namespace zinniarail::fleet {

/// A socket that hands on each datagram that it receives.
class DatagramRelay {
public:
  using Handler = std::function<void(std::string_view)>;

  DatagramRelay(struct ev_loop *loop, const std::string &address,
                Handler onDatagram)
      : Loop(loop), OnDatagram(std::move(onDatagram)),
        Socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const auto endpoint = http::parseIpv4Address(address);
    IsOpen = bind(Socket, reinterpret_cast<const sockaddr *>(&*endpoint),
                  sizeof *endpoint) == 0;
    ev_io_init(
        &ReadWatcher,
        [](struct ev_loop *, ev_io *it, int) {
          static_cast<DatagramRelay *>(it->data)->receive();
        },
        Socket, EV_READ);
    ReadWatcher.data = this;
    ev_io_start(Loop, &ReadWatcher);
  }
  ~DatagramRelay() {
    ev_io_stop(Loop, &ReadWatcher);
    close(Socket);
  }
  DatagramRelay(const DatagramRelay &) = delete;
  DatagramRelay &operator=(const DatagramRelay &) = delete;

  void send(const std::string &address, const std::string &bytes) const {
    const auto endpoint = http::parseIpv4Address(address);
    sendto(Socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr *>(&*endpoint), sizeof *endpoint);
  }

  bool IsOpen = false;

private:
  void receive() {
    char buf[8192];
    for (ssize_t n = 0; (n = recv(Socket, buf, sizeof buf, 0)) >= 0;) {
      OnDatagram({buf, static_cast<std::size_t>(n)});
    }
  }

  struct ev_loop *Loop;
  Handler OnDatagram;
  int Socket;
  ev_io ReadWatcher{};
};

/// Stands between two instances. Each knows the other only under an address of
/// the relay: the relay replaces the addresses in the datagrams.
struct PeerRelay {
  /// \param first, second the addresses that the instances listen on.
  /// \param firstRelayed, secondRelayed their addresses as the other sees them.
  PeerRelay(struct ev_loop *loop, const std::string &first,
            const std::string &firstRelayed, const std::string &second,
            const std::string &secondRelayed)
      : LinkToFirst(loop, firstRelayed, first),
        LinkToSecond(loop, secondRelayed, second),
        RelayedAddresses{{first, firstRelayed}, {second, secondRelayed}},
        ToFirst(loop, firstRelayed,
                [this, first](std::string_view it) { relay(it, first); }),
        ToSecond(loop, secondRelayed,
                 [this, second](std::string_view it) { relay(it, second); }) {}

  bool open() {
    return LinkToFirst.listen() && LinkToSecond.listen() && ToFirst.IsOpen &&
           ToSecond.IsOpen;
  }

  /// The open connections go silent; new ones and datagrams pass.
  void blackhole() {
    LinkToFirst.blackhole();
    LinkToSecond.blackhole();
  }

  standins::Link LinkToFirst;
  standins::Link LinkToSecond;
  /// Changes each datagram, and returns whether it is passed on; empty: all
  /// are, as they are.
  std::function<bool(Datagram &)> Change;

private:
  void replaceAddress(Member &member) const {
    const auto it = RelayedAddresses.find(member.Record.PeerAddress);
    if (it != RelayedAddresses.end()) {
      member.Record.PeerAddress = it->second;
    }
  }

  void relay(std::string_view bytes, const std::string &to) {
    auto datagram = decodeDatagram(bytes);
    replaceAddress(datagram->Sender);
    for (Member &it : datagram->Members) {
      replaceAddress(it);
    }
    if (Change && !Change(*datagram)) {
      return;
    }
    ToFirst.send(to, encodeDatagram(*datagram));
  }

  std::map<std::string, std::string> RelayedAddresses;
  DatagramRelay ToFirst;
  DatagramRelay ToSecond;
};

} // namespace zinniarail::fleet
