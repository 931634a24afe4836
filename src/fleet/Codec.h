/// \file
/// What instances say to each other, as Cap'n Proto messages.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "store/Mirror.h"
#include "zinniarail/balance/Messages.h"
#include "zinniarail/fleet/Members.h"

namespace zinniarail::fleet {

/// A datagram between two instances.
struct Datagram {
  struct Ping {};
  struct Pong {};
  std::variant<Ping, Pong, balance::Suspected, balance::Condemned> What;
  Member Sender;
  std::vector<Member> Others; ///< Of the receiver's failure domain.
};

std::string encodeDatagram(const Datagram &datagram);

/// \returns none when it can't be read.
std::optional<Datagram> decodeDatagram(std::string_view bytes);

/// Items of a list: all of them, or those that changed.
template <typename Item> struct ListChange {
  bool Whole = true; ///< What is missing is gone.
  std::vector<Item> Some;
  std::vector<std::string> Gone; ///< Ids.
};

/// The upstreams that are registered.
struct UpstreamList {
  ListChange<store::ListedUpstream> Change;
  std::uint64_t AsOf = 0; ///< The store's revision that they show.
};

/// The failure domains that are out, by when they went.
struct DomainList {
  std::map<std::string, std::uint64_t> Out;
  std::uint64_t AsOf = 0;
};

/// The live instances of the failure domain.
struct MemberList {
  ListChange<Member> Change;
  std::size_t Known = 0; ///< Instances of the whole fleet.
};

/// Raised with each change to how news are written: an instance follows nobody
/// whose news it can't read.
constexpr unsigned NewsFormat = 3;

/// What a reader tells its followers: the parts that changed.
struct News {
  std::uint64_t Boot = 0; ///< The reader's.
  std::uint64_t Sequence = 0;
  /// As encodeConfiguration writes it; null: as before.
  std::shared_ptr<const std::string> Config;
  std::optional<UpstreamList> Upstreams;
  std::optional<DomainList> Domains;
  std::optional<MemberList> Fleet;
};

/// Writes a configuration, small: one of a thousand routes goes to many.
std::string encodeConfiguration(const Configuration &config);

/// \returns null when it can't be read.
std::shared_ptr<const Configuration>
decodeConfiguration(const std::string &bytes);

/// Writes news; long ones small, since they go to many.
std::string encodeNews(const News &news);

/// \returns none when it can't be read.
std::optional<News> decodeNews(std::string_view bytes);

} // namespace zinniarail::fleet
