/// \file
/// What a reader passes on, and when each piece of it changed, so that a
/// follower is told only what it has not heard: in a failure domain of many
/// instances the reader's link would not carry the whole lists. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "fleet/Codec.h"

namespace zinniarail::fleet {

/// Items of one kind by id, and those that are gone.
template <typename Item> struct Tracked {
  struct Entry {
    Item Now;
    std::uint64_t ChangedAt = 0;
  };
  std::map<std::string, Entry> Entries;
  std::map<std::string, std::uint64_t> GoneAt;
  std::uint64_t ChangedAt = 0; ///< 0: nothing was ever posted.
  std::uint64_t WholeFor = 0;  ///< Who heard up to less is told all.
};

struct NewsBoard {
  std::uint64_t Boot = 0; ///< Of the reader.
  std::uint64_t Sequence = 0;
  std::shared_ptr<const std::string> Config;
  std::uint64_t ConfigAt = 0;
  Tracked<store::ListedUpstream> Upstreams;
  std::uint64_t UpstreamsAsOf = 0;
  DomainList Domains;
  std::uint64_t DomainsAt = 0;
  Tracked<Member> Members;
  std::size_t KnownMembers = 0;
  /// Answers to those who heard up to a moment, as of Sequence.
  std::map<std::uint64_t, std::string> Answers;
  /// The answer to those who heard nothing, as of a Sequence not long ago:
  /// what came since they hear with their next question.
  std::string Whole;
  std::uint64_t WholeAt = 0; ///< 0: none was written yet.
};

/// Posts the parts that are there, each of them whole.
/// \returns whether any of them has changed.
bool post(NewsBoard &board, const News &news);

/// Takes all down. Sequence numbers go on.
void clear(NewsBoard &board);

/// What is news to a follower.
/// \param after up to where it has heard of this reader; 0: nothing.
/// \returns the encoded news; null when there are none.
const std::string *newsAfter(NewsBoard &board, std::uint64_t after);

} // namespace zinniarail::fleet
