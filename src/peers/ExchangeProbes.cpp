// How the exchange finds out who lives: links to the peers, and probes.
#include <algorithm>

#include "ExchangeCalls.h"

namespace zinniarail::peers {

namespace {

// Each interval this many peers are probed, in an order drawn anew each time
// round, so that the bytes do not grow with the fleet.
constexpr std::size_t ProbesPerInterval = 2;

} // namespace

void Exchange::updateLinks() {
  std::map<std::string, std::shared_ptr<Link>> links;
  const auto want = [&](const std::string &address) {
    if (address.empty() || address == Set.PeerAddress) {
      return;
    }
    auto &link = links[address];
    const auto it = Links.find(address);
    link = it != Links.end() ? it->second : link;
    if (!link) {
      link = std::make_shared<Link>();
      link->Address = address;
    }
  };
  if (Current) {
    for (const Instance &it : Current->Instances) {
      want(it.PeerAddress);
    }
    // A lost one is found again by calling it.
    for (const Instance &it : Current->Known) {
      want(it.PeerAddress);
    }
  }
  // Before its first view an instance knows only those who called it, and one
  // of them has to give it the document.
  for (const auto &[id, it] : Heard) {
    if (!it.Lost) {
      want(it.Last.Who.PeerAddress);
    }
  }
  for (const Generation &it : Claims.Known.History) {
    for (const Member &member : it.Members) {
      want(member.PeerAddress);
    }
  }
  Links = std::move(links);
  // A new connection costs one greeting; waiting for the turn would make the
  // start slow.
  for (const auto &[address, link] : Links) {
    if (link->Connection == nullptr) {
      probe(link);
    }
  }
  for (std::size_t it = 0; it < ProbesPerInterval && !Links.empty(); ++it) {
    if (ProbeOrder.empty()) {
      for (const auto &[address, link] : Links) {
        ProbeOrder.push_back(address);
      }
      std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Draws);
      it = std::max(it, ProbesPerInterval > ProbeOrder.size()
                            ? ProbesPerInterval - ProbeOrder.size()
                            : 0);
    }
    const auto link = Links.find(ProbeOrder.back());
    ProbeOrder.pop_back();
    if (link != Links.end()) {
      probe(link->second);
    }
  }
}

void Exchange::probe(const std::shared_ptr<Link> &link) {
  const Instant now = readClock();
  if (link->Probing || (link->Connection == nullptr && now < link->NextTry)) {
    return;
  }
  link->Probing = true;
  ++Counts.ProbesSent;
  auto call = link->Peer ? pingLink(link, now) : openLink(link, now);
  startCall(
      link, ProbeTimeout, kj::mv(call), [link] { link->Probing = false; },
      [this, link] {
        ++Counts.ProbesFailed;
        link->Probing = false;
        dropConnection(*link, readClock());
        findLost();
      });
}

kj::Promise<void> Exchange::openLink(const std::shared_ptr<Link> &link,
                                     Instant sent) {
  link->Connection = nullptr;
  const std::uint64_t epoch = ++link->Epoch;
  return Net.parseAddress(link->Address.c_str())
      .then([](kj::Own<kj::NetworkAddress> address) {
        auto connecting = address->connect();
        return connecting.attach(kj::mv(address));
      })
      .then([this, link](kj::Own<kj::AsyncIoStream> stream) {
        auto connection = kj::heap<RpcConnection>(kj::mv(stream), Bytes);
        auto request = connection->peer().helloRequest();
        link->Connection = kj::mv(connection);
        write(greeting(), request.getFrom());
        return request.send();
      })
      .then([this, link, epoch,
             sent](capnp::Response<wire::Peer::HelloResults> response) {
        Greeting from;
        const auto reason = read(response.getFrom(), from);
        if (reason || from.Environment != Set.Environment) {
          failCall("greeting refused");
        }
        if (link->Epoch == epoch) {
          link->Backoff = Duration::zero();
          link->Peer = from;
          watchLink(link);
          noteAnswer(*link, from, sent);
        }
      });
}

kj::Promise<void> Exchange::pingLink(const std::shared_ptr<Link> &link,
                                     Instant sent) {
  KJ_IF_MAYBE (peer, openPeer(*link)) {
    auto request = peer->pingRequest();
    write(pulse(), request.getPulse());
    return request.send().then(
        [this, link, epoch = link->Epoch,
         sent](capnp::Response<wire::Peer::PingResults> response) {
          if (link->Epoch != epoch || !link->Peer) {
            return;
          }
          const Pulse pulse = read(response.getPulse());
          Greeting &from = *link->Peer;
          from.Version = pulse.Version;
          from.ConfirmedAge = pulse.ConfirmedAge;
          from.Generation = pulse.Generation;
          from.Who.Leaving = pulse.Leaving;
          noteAnswer(*link, from, sent);
          if (pulse.Generation > currentNumber(Claims.Known)) {
            fetchRoster(link);
          }
        });
  }
  return KJ_EXCEPTION(OVERLOADED, "too many open calls");
}

// A process that ends closes its connections: that shows before a probe would.
void Exchange::watchLink(const std::shared_ptr<Link> &link) {
  KJ_IF_MAYBE (connection, link->Connection) {
    Tasks.add((*connection)
                  ->whenDisconnected()
                  .then([this, link, epoch = link->Epoch] {
                    if (link->Epoch != epoch) {
                      return;
                    }
                    dropConnection(*link, readClock());
                    link->NextTry = Instant{};
                    probe(link);
                  }));
  }
}

void Exchange::noteAnswer(Link &link, const Greeting &from, Instant sent) {
  link.Failed = false;
  hear(from, sent);
  tellClaims(PeerAnswered{
      {.Who = {from.Who.Id, from.Incarnation, from.Who.Domain, link.Address},
       .Generation = from.Generation,
       .At = sent,
       .Alive = true,
       .Leaving = from.Who.Leaving}});
}

void Exchange::findLost() {
  const Instant now = readClock();
  for (auto &[id, it] : Heard) {
    const auto link = Links.find(it.Last.Who.PeerAddress);
    const bool answers = link != Links.end() && !link->second->Failed;
    if (it.Lost || answers || now - it.Heard < Set.PeerTimeout) {
      continue;
    }
    it.Lost = true;
    ToControl(control::PeerLost{id});
    tellClaims(PeerSilent{id});
  }
  std::erase_if(Heard, [&](const auto &it) {
    return it.second.Lost && !Links.contains(it.second.Last.Who.PeerAddress);
  });
}

void Exchange::fetchRoster(const std::shared_ptr<Link> &link) {
  KJ_IF_MAYBE (peer, openPeer(*link)) {
    if (FetchesRoster) {
      return;
    }
    FetchesRoster = true;
    auto call = peer->rosterRequest().send().then([](capnp::Response<
                                                      wire::Peer::RosterResults>
                                                         response) {
      const auto bytes = response.getBytes();
      return parseRoster({bytes.begin(), bytes.size()}, response.getVersion());
    });
    startCall(
        link, DocumentTimeout, kj::mv(call),
        [this](Result<Roster, RosterError> roster) {
          FetchesRoster = false;
          if (roster) {
            tellClaims(RosterLearned{std::move(roster.value())});
          } else {
            ++Counts.Refused;
          }
        },
        [this] { FetchesRoster = false; });
  }
}

std::shared_ptr<Link> Exchange::findLink(const std::string &instance) const {
  for (const auto &[address, link] : Links) {
    if (link->Peer && link->Peer->Who.Id == instance) {
      return link;
    }
  }
  return nullptr;
}

} // namespace zinniarail::peers
