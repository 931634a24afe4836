/// \file
/// The instances that this one knows, what they said of themselves, and when.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/fleet/Instance.h"

namespace zinniarail {

/// How often an instance speaks to the leading ones of its failure domain.
constexpr Duration PingInterval = std::chrono::milliseconds{200};

/// Silence after which an instance counts as lost: a few lost datagrams in a
/// row are rarer than losses.
constexpr Duration LostAfter = std::chrono::milliseconds{700};

/// Silence after which nothing is said to an instance any more, unless it is
/// the only one known.
constexpr Duration ForgetAfter = std::chrono::seconds{60};

/// An instance, and what it says of itself.
struct Member {
  Instance Record;
  std::uint64_t Boot = 0; ///< Another after each start.
  /// The larger, the sooner it reads for others.
  unsigned Weight = 0;
  unsigned Format = 0;  ///< Of the news that it writes and reads.
  bool Reading = false; ///< It reads the store.
  bool Healthy = false; ///< And the store answers it.
  /// It knows a configuration and the upstreams, however old.
  bool Informed = false;
  bool Ready = true; ///< It serves callers, or is about to.

  bool operator==(const Member &) const = default;
};

/// What is known of one member.
struct KnownMember {
  Member Said;
  Instant HeardAt = Instant::min();   ///< From itself; min when never.
  Instant VouchedAt = Instant::min(); ///< By the reader that is followed.
  Instant AskedAt = Instant::max();   ///< Since when it owes an answer.
  Instant KnownSince{};
};

/// All members known here, by id, this instance left out.
struct Members {
  Member Self;
  std::map<std::string, KnownMember> Others;
};

/// A member spoke.
/// \returns whether that changed who is known to live, or what it is.
bool hearMember(Members &members, const Member &member, Instant now);

/// A member is asked for a sign of life.
void noteAsked(Members &members, const std::string &id, Instant now);

/// Another instance named a member.
void introduce(Members &members, const Member &member, Instant now);

/// The reader that is followed says which members of the failure domain live.
/// \returns whether that changed who is known to live.
bool vouchFor(Members &members, const std::vector<Member> &live, Instant now);

/// Drops those that were silent for too long.
void forgetSilent(Members &members, Instant now);

/// Whether a member was heard of lately.
bool isLive(const KnownMember &member, Instant now);

/// Whether it was heard itself lately.
bool isHeard(const KnownMember &member, Instant now);

/// Whether it was asked and did not answer.
bool isSilent(const KnownMember &member, Instant now);

/// Whether \p a goes before \p b where one of them is to read for others: by
/// weight, and among equals in an order that all instances agree on.
bool leads(const Member &a, const Member &b);

/// The leading members of this instance's failure domain that are not known to
/// be lost, itself left out.
std::vector<Member> leadingOf(const Members &members, std::size_t count,
                              Instant now);

/// Those that were heard lately and can tell what the store held, of this
/// instance's failure domain first.
std::vector<Member> informedOf(const Members &members, Instant now);

/// The live members of this instance's failure domain, itself included, by id.
std::vector<Member> liveMembers(const Members &members, Instant now);

} // namespace zinniarail
