#include "zinniarail/intent/InForce.h"

#include <algorithm>

#include "zinniarail/intent/Format.h"

namespace zinniarail {

namespace {

constexpr std::size_t MaxPeers = 4096;

bool isAhead(const InForce &state, const PeerKnowledge &peer) {
  return peer.Version > state.Version && peer.Version != peer.RefutedVersion;
}

// The platform's word at a time disproves what peers claimed before it.
void refuteClaims(InForce &state, Instant asOf) {
  for (auto &[id, peer] : state.Peers) {
    if (isAhead(state, peer) && peer.HeardAt <= asOf) {
      peer.RefutedVersion = peer.Version;
    }
  }
}

struct Checked {
  OfferResult Result = OfferResult::Malformed;
  std::shared_ptr<const Document> Intent;
  std::shared_ptr<const std::string> Bytes;
  std::string Digest;
};

Checked check(const InForce &state, const std::string &bytes) {
  auto parsed = parseDocument(bytes);
  if (!parsed.has_value()) {
    return {};
  }
  const std::string &only = parsed.value().Environment;
  if (!only.empty() && only != state.Environment) {
    return {.Result = OfferResult::WrongEnvironment};
  }
  Checked checked{.Result = OfferResult::Adopted};
  checked.Bytes =
      std::make_shared<const std::string>(serialiseDocument(parsed.value()));
  checked.Digest = digestOf(*checked.Bytes);
  checked.Intent = std::make_shared<const Document>(std::move(parsed.value()));
  return checked;
}

void adopt(InForce &state, std::uint64_t version, Checked checked) {
  state.Intent = std::move(checked.Intent);
  state.Bytes = std::move(checked.Bytes);
  state.Digest = std::move(checked.Digest);
  if (version > state.Version) {
    state.ConfirmedAsOf = Instant::min(); // of another version
  }
  state.Version = version;
}

void refute(InForce &state, const std::string &peer, std::uint64_t version) {
  const auto it = state.Peers.find(peer);
  if (it != state.Peers.end()) {
    it->second.RefutedVersion = version;
  }
}

} // namespace

const char *nameOf(OfferResult result) {
  switch (result) {
  case OfferResult::Adopted:
    return "adopted";
  case OfferResult::AlreadyInForce:
    return "already-in-force";
  case OfferResult::Older:
    return "older";
  case OfferResult::Malformed:
    return "malformed";
  case OfferResult::WrongEnvironment:
    return "wrong-environment";
  case OfferResult::Conflicting:
    return "conflicting";
  }
  return "unnamed";
}

void confirmFromPlatform(InForce &state, Instant asOf) {
  state.ConfirmedAsOf = std::max(state.ConfirmedAsOf, asOf);
  refuteClaims(state, asOf);
}

OfferResult offerFromPlatform(InForce &state, std::uint64_t version,
                              const std::string &bytes, Instant asOf) {
  if (version < state.Version) {
    // Reverted, or an old answer: the version in force stays, but this is no
    // proof that nothing newer exists.
    return OfferResult::Older;
  }
  Checked checked = check(state, bytes);
  if (checked.Result != OfferResult::Adopted) {
    // Not accepted, so that the last one stays current.
    state.RefusedVersion = std::max(state.RefusedVersion, version);
    confirmFromPlatform(state, asOf);
    return checked.Result;
  }
  if (version == state.Version && checked.Digest == state.Digest) {
    confirmFromPlatform(state, asOf);
    return OfferResult::AlreadyInForce;
  }
  adopt(state, version, std::move(checked));
  confirmFromPlatform(state, asOf);
  return OfferResult::Adopted;
}

OfferResult offerFromPeer(InForce &state, const std::string &peer,
                          std::uint64_t version, const std::string &bytes) {
  if (state.Running && state.Running->Instance == peer) {
    state.Running.reset();
  }
  if (version < state.Version) {
    return OfferResult::Older;
  }
  Checked checked = check(state, bytes);
  if (checked.Result != OfferResult::Adopted) {
    refute(state, peer, version);
    return checked.Result;
  }
  if (version == state.Version) {
    return checked.Digest == state.Digest ? OfferResult::AlreadyInForce
                                          : OfferResult::Conflicting;
  }
  adopt(state, version, std::move(checked));
  return OfferResult::Adopted;
}

void hearPeer(InForce &state, const PeerReport &report, Instant now) {
  if (state.Peers.size() >= MaxPeers && !state.Peers.contains(report.Peer)) {
    return;
  }
  PeerKnowledge &peer = state.Peers[report.Peer];
  peer.Domain = report.Domain;
  if (report.Version != peer.Version) {
    peer.ConfirmedAsOf = Instant::min();
  }
  peer.Version = report.Version;
  peer.HeardAt = now;
  if (report.AskedAt == Instant{} || report.AskedAt > now) {
    return;
  }
  peer.ContactAsOf = std::max(peer.ContactAsOf, report.AskedAt);
  // An age beyond the clock's own would be no proof and overflow.
  if (report.ConfirmedAge >= Duration::zero() &&
      report.ConfirmedAge < report.AskedAt.time_since_epoch()) {
    peer.ConfirmedAsOf =
        std::max(peer.ConfirmedAsOf, report.AskedAt - report.ConfirmedAge);
  }
}

void losePeer(InForce &state, const std::string &peer) {
  state.Peers.erase(peer);
  if (state.Running && state.Running->Instance == peer) {
    state.Running.reset();
  }
}

std::optional<DocumentRequest> chooseFetch(InForce &state, Instant now) {
  if (state.Running && now < state.Running->AskedAt + DocumentFetchTimeout) {
    return std::nullopt;
  }
  auto best = state.Peers.end();
  for (auto it = state.Peers.begin(); it != state.Peers.end(); ++it) {
    if (!isAhead(state, it->second)) {
      continue;
    }
    // The least asked first: one that never answers must not block the rest.
    if (best == state.Peers.end() ||
        it->second.Fetches < best->second.Fetches ||
        (it->second.Fetches == best->second.Fetches &&
         it->second.Version > best->second.Version)) {
      best = it;
    }
  }
  if (best == state.Peers.end()) {
    return std::nullopt;
  }
  ++best->second.Fetches;
  state.Running = DocumentRequest{best->first, best->second.Version, now};
  return state.Running;
}

Instant confirmedAsOf(const InForce &state) {
  Instant latest = state.ConfirmedAsOf;
  for (const auto &[id, peer] : state.Peers) {
    if (peer.Version == state.Version) {
      latest = std::max(latest, peer.ConfirmedAsOf);
    }
  }
  return latest;
}

Instant validUntil(const InForce &state, bool severalDomains) {
  if (!state.Intent) {
    return Instant::min();
  }
  Instant proof = confirmedAsOf(state);
  Instant contact = Instant::min();
  bool behind = false;
  for (const auto &[id, peer] : state.Peers) {
    behind = behind || isAhead(state, peer);
    if (peer.Version == state.Version &&
        (!severalDomains || peer.Domain != state.Domain)) {
      contact = std::max(contact, peer.ContactAsOf);
    }
  }
  if (!behind) {
    proof = std::max(proof, contact);
  }
  return proof == Instant::min() ? proof : proof + state.Lifetime;
}

} // namespace zinniarail
