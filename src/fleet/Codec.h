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

/// The upstreams that are registered.
struct UpstreamList {
  std::vector<store::ListedUpstream> All;
  std::uint64_t AsOf = 0;
};

/// The failure domains that are out, by when they went.
struct DomainList {
  std::map<std::string, std::uint64_t> Out;
  std::uint64_t AsOf = 0;
};

/// The instances that are heard of.
struct MemberList {
  std::vector<Member> Live;
  std::size_t Known = 0;
};

/// What a reader tells its followers: the parts that changed.
struct News {
  std::uint64_t Boot = 0; ///< The reader's.
  std::uint64_t Sequence = 0;
  std::shared_ptr<const Configuration> Config; ///< Null: as before.
  std::optional<UpstreamList> Upstreams;
  std::optional<DomainList> Domains;
  std::optional<MemberList> Fleet;
};

std::string encodeNews(const News &news);

/// \returns none when it can't be read.
std::optional<News> decodeNews(std::string_view bytes);

} // namespace zinniarail::fleet
