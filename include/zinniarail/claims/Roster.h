/// \file
/// The claim roster: which processes hold claims, as one object in the
/// platform that is replaced by conditional updates only. Its generations are
/// therefore in one order for everybody, whatever each instance believes of
/// who lives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/core/Result.h"

namespace zinniarail {

/// One process that may hold claims. A process that starts again under the
/// same id has forgotten its claims: it is another member.
struct Member {
  std::string Id;
  std::uint64_t Incarnation = 0;
  std::string Domain;
  std::string PeerAddress; ///< "ip:port"

  bool operator==(const Member &) const = default;
};

/// The members from one change of the roster to the next.
struct Generation {
  std::uint64_t Number = 0; ///< Rises by one with each change, from 1.
  std::vector<Member> Members;

  bool operator==(const Generation &) const = default;
};

/// The current generation, last, and earlier ones that may still matter.
struct Roster {
  std::uint64_t Version = 0; ///< Of the platform's object.
  std::vector<Generation> History;
};

/// Why bytes are no roster; names the field.
struct RosterError {
  std::string Message;
};

constexpr std::size_t RosterBytesLimit = 1 << 20;
constexpr std::size_t RosterMembersLimit = 4096;

/// Reads a roster from JSON.
Result<Roster, RosterError> parseRoster(std::string_view bytes,
                                        std::uint64_t version);

/// Writes a roster as JSON, without its version.
std::string printRoster(const Roster &roster);

/// The current generation's number; 0 when there is none.
std::uint64_t currentNumber(const Roster &roster);

/// Who holds a service's claims in a generation: few members, ranked as the
/// service's homes are and spread over failure domains, in the order in which
/// they are asked.
std::vector<Member> claimHolders(const Generation &generation,
                                 const std::string &service);

/// The smallest number that is more than half.
constexpr std::size_t majorityOf(std::size_t count) { return count / 2 + 1; }

/// Finds a member by id.
/// \returns null when the generation has none of that id.
const Member *findMember(const Generation &generation, const std::string &id);

} // namespace zinniarail
