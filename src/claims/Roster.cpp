#include "zinniarail/claims/Roster.h"

#include <algorithm>

#include <boost/json.hpp>

#include "homes/Ranking.h"

namespace zinniarail {

namespace {

namespace json = boost::json;

constexpr unsigned HoldersPerService = 3;

RosterError wrong(const std::string &path) {
  return {"claim roster: " + path + " is missing or malformed"};
}

Result<Member, RosterError> readMember(const json::value &value,
                                       const std::string &path) {
  const json::object *fields = value.if_object();
  const auto text = [&](const char *name) -> const json::string * {
    const json::value *it = fields ? fields->if_contains(name) : nullptr;
    return it ? it->if_string() : nullptr;
  };
  const json::string *id = text("id");
  const json::string *domain = text("domain");
  const json::string *address = text("peerAddress");
  if (!id || id->empty() || !domain || !address) {
    return wrong(path);
  }
  json::error_code ec;
  const json::value *number = fields->if_contains("incarnation");
  const auto incarnation =
      number ? number->to_number<std::uint64_t>(ec) : std::uint64_t{0};
  if (!number || ec) {
    return wrong(path + ".incarnation");
  }
  return Member{std::string(*id), incarnation, std::string(*domain),
                std::string(*address)};
}

Result<Generation, RosterError> readGeneration(const json::value &value,
                                               const std::string &path) {
  const json::object *fields = value.if_object();
  const json::value *number = fields ? fields->if_contains("number") : nullptr;
  const json::value *list = fields ? fields->if_contains("members") : nullptr;
  const json::array *members = list ? list->if_array() : nullptr;
  if (!number || !members || members->size() > RosterMembersLimit) {
    return wrong(path);
  }
  Generation generation;
  json::error_code ec;
  generation.Number = number->to_number<std::uint64_t>(ec);
  if (ec || generation.Number == 0) {
    return wrong(path + ".number");
  }
  for (std::size_t it = 0; it < members->size(); ++it) {
    BOOST_OUTCOME_TRY(
        auto member,
        readMember((*members)[it], path + ".members." + std::to_string(it)));
    generation.Members.push_back(std::move(member));
  }
  return generation;
}

} // namespace

Result<Roster, RosterError> parseRoster(std::string_view bytes,
                                        std::uint64_t version) {
  if (bytes.size() > RosterBytesLimit) {
    return RosterError{"claim roster: over 1 MB"};
  }
  json::error_code ec;
  const json::value value = json::parse(bytes, ec);
  const json::object *fields = ec ? nullptr : value.if_object();
  const json::value *list = fields ? fields->if_contains("history") : nullptr;
  const json::array *history = list ? list->if_array() : nullptr;
  if (!history || history->empty()) {
    return wrong("history");
  }
  Roster roster{.Version = version};
  for (std::size_t it = 0; it < history->size(); ++it) {
    const std::string path = "history." + std::to_string(it);
    BOOST_OUTCOME_TRY(auto generation, readGeneration((*history)[it], path));
    if (generation.Number <= currentNumber(roster)) {
      return wrong(path + ".number");
    }
    roster.History.push_back(std::move(generation));
  }
  return roster;
}

std::string printRoster(const Roster &roster) {
  json::array history;
  for (const Generation &it : roster.History) {
    json::array members;
    for (const Member &member : it.Members) {
      members.push_back({{"id", member.Id},
                         {"incarnation", member.Incarnation},
                         {"domain", member.Domain},
                         {"peerAddress", member.PeerAddress}});
    }
    history.push_back({{"number", it.Number}, {"members", std::move(members)}});
  }
  return json::serialize(json::object{{"history", std::move(history)}});
}

std::uint64_t currentNumber(const Roster &roster) {
  return roster.History.empty() ? 0 : roster.History.back().Number;
}

std::vector<Member> claimHolders(const Generation &generation,
                                 const std::string &service) {
  // The same ranking as for the service's homes, so that a home mostly holds
  // its own claims.
  auto ranked =
      homes::rankForService(homes::listAll(generation.Members), service);
  ranked.resize(std::min<std::size_t>(ranked.size(), HoldersPerService));
  std::vector<Member> holders;
  holders.reserve(ranked.size());
  for (const Member *it : ranked) {
    holders.push_back(*it);
  }
  return holders;
}

const Member *findMember(const Generation &generation, const std::string &id) {
  const auto it =
      std::find_if(generation.Members.begin(), generation.Members.end(),
                   [&](const Member &member) { return member.Id == id; });
  return it == generation.Members.end() ? nullptr : &*it;
}

} // namespace zinniarail
