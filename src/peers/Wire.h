/// \file
/// Turns what instances say to each other into the project's own structs and
/// back, and checks what came in.
#pragma once

#include <optional>
#include <string>

#include "peer.capnp.h"
#include "zinniarail/claims/Claims.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/membership/Instance.h"

namespace zinniarail::peers {

/// Longest text in a peer message, but for documents and rosters.
constexpr std::size_t TextLimit = 256;
/// Longest document or roster that a peer may send.
constexpr std::size_t DocumentLimit = (1U << 20) + (1U << 16);
/// Longest message, in words of 8 bytes.
constexpr std::uint64_t MessageWordsLimit = DocumentLimit / 8 + 8192;

/// Who speaks, and what it knows.
struct Greeting {
  std::string Environment;
  Instance Who;
  std::uint64_t Incarnation = 0;
  std::uint64_t Version = 0;
  Duration ConfirmedAge{}; ///< Duration::max() when it has no proof.
  std::uint64_t Generation = 0;
};

/// What changes between greetings.
struct Pulse {
  std::uint64_t Version = 0;
  Duration ConfirmedAge{};
  std::uint64_t Generation = 0;
  bool Leaving = false;
};

void write(const Greeting &greeting, wire::Greeting::Builder out);
/// \returns why the greeting is refused, or nothing.
std::optional<std::string> read(wire::Greeting::Reader in, Greeting &out);

void write(const Pulse &pulse, wire::Pulse::Builder out);
Pulse read(wire::Pulse::Reader in);

void write(const ClaimRecord &record, wire::Claim::Builder out);
/// \returns nothing when a field is out of bounds.
std::optional<ClaimRecord> read(wire::Claim::Reader in);

void write(const ClaimPage &page, wire::ClaimPage::Builder out);
/// \returns false when a field is out of bounds.
bool read(wire::ClaimPage::Reader in, PageArrived &out);

wire::RecordReply toWire(RecordReply reply);
RecordReply fromWire(wire::RecordReply reply);

void write(const PeerWord &word, wire::Word::Builder out);
std::optional<PeerWord> read(wire::Word::Reader in);

} // namespace zinniarail::peers
