/// \file
/// Decides which document is in force on this instance and until when that may
/// be acted on, from what the platform and the peers say. Pure: the control
/// task brings the words and the times.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "zinniarail/core/Time.h"
#include "zinniarail/intent/Document.h"

namespace zinniarail {

/// How long a peer may take to give a document before another is asked.
constexpr Duration DocumentFetchTimeout = std::chrono::milliseconds{500};

/// What one reachable peer last said.
struct PeerKnowledge {
  std::string Domain;
  std::uint64_t Version = 0;
  Instant HeardAt = Instant::min();
  /// The latest proven time of contact; min when there is none.
  Instant ContactAsOf = Instant::min();
  /// When that peer's version was proved current; min when it has no proof.
  Instant ConfirmedAsOf = Instant::min();
  /// A version that the platform or its own bytes disproved: it counts no more.
  std::uint64_t RefutedVersion = 0;
  unsigned Fetches = 0; ///< Times that it was asked for a document.
};

/// A document asked from a peer.
struct DocumentRequest {
  std::string Instance;
  std::uint64_t Version = 0;
  Instant AskedAt{};
};

/// What is in force here and what is known about it.
struct InForce {
  std::string Environment;
  std::string Domain;                     ///< This instance's failure domain.
  Duration Lifetime{};                    ///< How long a proof lasts.
  std::shared_ptr<const Document> Intent; ///< Null before the first one.
  std::uint64_t Version = 0;              ///< Only rises.
  /// The canonical bytes of what is in force, for peers; null before.
  std::shared_ptr<const std::string> Bytes;
  std::string Digest; ///< Of Bytes.
  /// The newest version of the platform that is no valid document.
  std::uint64_t RefusedVersion = 0;
  Instant ConfirmedAsOf = Instant::min(); ///< The platform's own word.
  std::map<std::string, PeerKnowledge> Peers;
  std::optional<DocumentRequest> Running;
};

/// What became of a document that was offered.
enum class OfferResult : std::uint8_t {
  Adopted,
  AlreadyInForce,
  Older,            ///< A lower version than the one in force: ignored.
  Malformed,        ///< No valid document: ignored, the last one stays.
  WrongEnvironment, ///< Names another environment: ignored likewise.
  Conflicting,      ///< The version in force with other bytes, from a peer.
};

/// A stable name for logs and dumps.
const char *nameOf(OfferResult result);

/// The platform has this document.
/// \param asOf a time at which, or after which, it was the current one.
OfferResult offerFromPlatform(InForce &state, std::uint64_t version,
                              const std::string &bytes, Instant asOf);

/// The platform has nothing newer than what it gave before.
void confirmFromPlatform(InForce &state, Instant asOf);

/// A peer gave a document.
OfferResult offerFromPeer(InForce &state, const std::string &peer,
                          std::uint64_t version, const std::string &bytes);

/// What a peer said of the document in force there.
struct PeerReport {
  std::string Peer;
  std::string Domain;
  std::uint64_t Version = 0;
  Duration ConfirmedAge = Duration::max(); ///< max: it has no proof.
  /// When the peer was asked; the epoch when that is not known.
  Instant AskedAt{};
};
void hearPeer(InForce &state, const PeerReport &report, Instant now);
void losePeer(InForce &state, const std::string &peer);

/// Whom to ask for a newer document now, if anybody. The request is noted as
/// running until it is answered or times out.
std::optional<DocumentRequest> chooseFetch(InForce &state, Instant now);

/// When the version in force was last proved current, by the platform or
/// through peers with the same version; min when never.
Instant confirmedAsOf(const InForce &state);

/// Until when the version in force may be acted on.
/// \param severalDomains whether the known instances span failure domains;
/// contact with a peer then counts only across them, so that a domain that is
/// cut off as a whole doesn't keep itself valid.
Instant validUntil(const InForce &state, bool severalDomains);

} // namespace zinniarail
