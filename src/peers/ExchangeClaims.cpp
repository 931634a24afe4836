// How the exchange carries claims, words and documents between instances.
#include <algorithm>

#include "ExchangeCalls.h"
#include "zinniarail/homes/Homes.h"

namespace zinniarail::peers {

namespace {

// A word is best effort: the engine has its own remedy for a lost one.
constexpr unsigned WordTries = 3;
constexpr Duration WordRetry = std::chrono::milliseconds{200};

} // namespace

void Exchange::tellClaims(const ClaimEvent &event) {
  ClaimActions actions;
  handle(Claims, event, readClock(), actions);
  for (const ClaimAction &action : actions) {
    std::visit([this](const auto &it) { act(it); }, action);
  }
}

void Exchange::seekClaim(const ClaimWanted &message) {
  const ServiceSpec *service =
      Current ? findService(*Current->Intent, message.Service) : nullptr;
  if (!service) {
    act(DecideClaim{message.Service,
                    {message.Request, ClaimVerdict::Unavailable}});
    return;
  }
  tellClaims(ClaimSought{message.Request, message.Service,
                         makeClaimKey(message.Key), service->ClaimWindow,
                         message.Deadline});
}

RecordReply Exchange::serveRecord(std::uint64_t generation,
                                  const ClaimRecord &record) {
  ++Counts.RecordsServed;
  return recordClaim(Claims, generation, record, readClock());
}

void Exchange::serveRelease(const ClaimRecord &record) {
  releaseClaim(Claims, record);
}

ClaimPage Exchange::serveHandOver(const SendHandOver &request,
                                  const std::string &asker) {
  return handOver(Claims, request, asker, readClock());
}

void Exchange::act(const SendRecord &action) {
  const auto answer = [this, ask = action.Ask,
                       round = action.Round](RecordReply reply) {
    tellClaims(RecordAnswered{ask, round, reply});
  };
  const auto link = findLink(action.To);
  kj::Maybe<wire::Peer::Client> client;
  if (link) {
    client = openPeer(*link);
  }
  KJ_IF_MAYBE (peer, client) {
    ++Counts.RecordsSent;
    auto request = peer->recordRequest();
    request.setGeneration(action.Generation);
    write(action.Record, request.getClaim());
    auto call = request.send().then(
        [](capnp::Response<wire::Peer::RecordResults> response) {
          return fromWire(response.getReply());
        });
    startCall(link, RecordTimeout, kj::mv(call), answer, [this, link, answer] {
      probe(link); // It may be gone; do not wait for its turn.
      answer(RecordReply::Unreached);
    });
    return;
  }
  // Not from within the claims module's own step.
  Tasks.add(kj::evalLater([answer] { answer(RecordReply::Unreached); }));
}

void Exchange::act(const SendRelease &action) {
  const auto link = findLink(action.To);
  if (!link) {
    return;
  }
  KJ_IF_MAYBE (peer, openPeer(*link)) {
    auto request = peer->releaseRequest();
    write(action.Record, request.getClaim());
    startCall(
        link, RecordTimeout, request.send().ignoreResult(), [] {}, [] {});
  }
}

void Exchange::act(const SendHandOver &action) {
  const auto link = findLink(action.To);
  if (!link) {
    return;
  }
  KJ_IF_MAYBE (peer, openPeer(*link)) {
    auto request = peer->handOverRequest();
    request.setGeneration(action.Generation);
    request.setAsker(Set.InstanceId);
    request.setAfterService(action.AfterService);
    request.getAfterKey().setHigh(action.AfterKey.High);
    request.getAfterKey().setLow(action.AfterKey.Low);
    PageArrived page{.From = action.To, .Generation = action.Generation};
    auto call = request.send().then(
        [page](capnp::Response<wire::Peer::HandOverResults> response) mutable {
          if (!read(response.getPage(), page)) {
            failCall("page out of bounds");
          }
          return kj::mv(page);
        });
    startCall(
        link, HandOverTimeout, kj::mv(call),
        [this](PageArrived it) { tellClaims(it); },
        [this, page] { tellClaims(page); });
  }
}

void Exchange::act(const DecideClaim &action) {
  Counts.Granted += action.Decision.Verdict == ClaimVerdict::Granted;
  Counts.Taken += action.Decision.Verdict == ClaimVerdict::Taken;
  Counts.Unavailable += action.Decision.Verdict == ClaimVerdict::Unavailable;
  ToGateway(gateway::ClaimAnswer{action.Service, action.Decision});
}

void Exchange::act(const SendRosterRead &) { ToControl(control::ReadRoster{}); }

void Exchange::act(const SendRosterWrite &action) {
  ToControl(
      control::WriteRoster{action.Next.Version, printRoster(action.Next)});
}

void Exchange::noteRoster(const RosterRead &message) {
  RosterAnswered event{.Reached = message.Reached};
  if (message.Reached && message.Version != 0) {
    auto roster = parseRoster(message.Bytes, message.Version);
    if (roster) {
      event.Stored = std::move(roster.value());
    } else {
      // Never taken for none: that would start the claims anew.
      event.Reached = false;
      ++Counts.Refused;
    }
  }
  tellClaims(event);
}

std::vector<Member> Exchange::wantedMembers() const {
  std::vector<Member> all;
  if (!Stopping) {
    all.push_back(Claims.Self);
  }
  for (const auto &[id, it] : Claims.Peers) {
    if (it.Alive && !it.Leaving) {
      all.push_back(it.Who);
    }
  }
  std::vector<Member> served;
  std::copy_if(all.begin(), all.end(), std::back_inserter(served),
               [&](const Member &it) {
                 return Current && isInService(*Current->Intent, it.Domain);
               });
  std::vector<Member> &wanted = served.empty() ? all : served;
  std::sort(wanted.begin(), wanted.end(),
            [](const Member &a, const Member &b) { return a.Id < b.Id; });
  return wanted;
}

void Exchange::finishStop() {
  if (HandedOverPosted ||
      (!isHandedOver(Claims) && readClock() < StopDeadline)) {
    return;
  }
  HandedOverPosted = true;
  ToGateway(gateway::ClaimsHandedOver{});
}

void Exchange::sendWord(const std::string &service, const PeerWord &word) {
  const ServiceSpec *spec =
      Current ? findService(*Current->Intent, service) : nullptr;
  if (!spec) {
    return;
  }
  for (const Instance &it : placeService(*Current, *spec, spec->Homes).Ranked) {
    if (it.Id != Set.InstanceId) {
      sendWordTo(it.Id, service, word, WordTries);
    }
  }
}

void Exchange::sendWordTo(const std::string &instance,
                          const std::string &service, const PeerWord &word,
                          unsigned tries) {
  const auto again = [this, instance, service, word, tries] {
    if (tries > 1) {
      Tasks.add(Clock.afterDelay(toKjDuration(WordRetry)).then([=, this] {
        sendWordTo(instance, service, word, tries - 1);
      }));
    }
  };
  const auto link = findLink(instance);
  kj::Maybe<wire::Peer::Client> client;
  if (link) {
    client = openPeer(*link);
  }
  KJ_IF_MAYBE (peer, client) {
    ++Counts.WordsSent;
    auto request = peer->tellRequest();
    request.setService(service);
    write(word, request.getWord());
    startCall(
        link, RecordTimeout, request.send().ignoreResult(), [] {}, again);
    return;
  }
  again();
}

void Exchange::fetchDocument(const FetchDocument &message) {
  const auto link = findLink(message.Instance);
  if (!link) {
    return;
  }
  KJ_IF_MAYBE (peer, openPeer(*link)) {
    auto request = peer->documentRequest();
    request.setVersion(message.Version);
    auto call = request.send().then([message](capnp::Response<
                                              wire::Peer::DocumentResults>
                                                  response) {
      control::DocumentFetched fetched{message.Instance, message.Version, {}};
      if (response.getFound()) {
        const auto bytes = response.getBytes();
        fetched.Bytes.assign(reinterpret_cast<const char *>(bytes.begin()),
                             bytes.size());
      }
      return fetched;
    });
    startCall(
        link, DocumentTimeout, kj::mv(call),
        [this](control::DocumentFetched it) {
          if (!it.Bytes.empty()) {
            ToControl(std::move(it));
          }
        },
        [] {});
  }
}

} // namespace zinniarail::peers
