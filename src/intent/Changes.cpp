#include "zinniarail/intent/Changes.h"

#include <algorithm>
#include <array>
#include <map>

#include <boost/json.hpp>

#include "zinniarail/intent/Format.h"

namespace zinniarail {

namespace {

namespace json = boost::json;
using objects::Outcome;

using Members = std::map<std::string, const json::value *>;

// A list member's own name, or its place.
std::string keyOf(const json::value &value, std::size_t index) {
  if (const json::object *object = value.if_object()) {
    for (const char *key : {"name", "id"}) {
      const json::value *it = object->if_contains(key);
      if (it != nullptr && it->is_string()) {
        return std::string(it->get_string());
      }
    }
  }
  return std::to_string(index);
}

Members membersOf(const json::value &value) {
  Members members;
  if (const json::object *object = value.if_object()) {
    for (const auto &it : *object) {
      members.emplace(it.key(), &it.value());
    }
  } else if (const json::array *array = value.if_array()) {
    for (std::size_t n = 0; n < array->size(); ++n) {
      members.emplace(keyOf((*array)[n], n), &(*array)[n]);
    }
  }
  return members;
}

constexpr std::size_t Sides = 3; // base, stored, wanted
using Values = std::array<const json::value *, Sides>;

bool isSame(const json::value *a, const json::value *b) {
  return a == b || (a != nullptr && b != nullptr && *a == *b);
}

bool isNested(const Values &values) {
  return std::all_of(values.begin(), values.end(), [&](const auto *it) {
    return it != nullptr && it->is_structured() &&
           it->kind() == values[0]->kind();
  });
}

Difference differenceOf(const Values &values, const std::string &path) {
  const auto textOf = [](const json::value *it) {
    return it != nullptr ? json::serialize(*it) : std::string();
  };
  return {path, textOf(values[0]), textOf(values[1]), textOf(values[2])};
}

void compare(const Values &values, const std::string &path,
             std::vector<Difference> &out) {
  if (isSame(values[0], values[1]) && isSame(values[1], values[2])) {
    return;
  }
  if (!isNested(values)) {
    out.push_back(differenceOf(values, path));
    return;
  }
  std::array<Members, Sides> sides;
  Members all;
  for (std::size_t n = 0; n < Sides; ++n) {
    sides.at(n) = membersOf(*values.at(n));
    all.insert(sides.at(n).begin(), sides.at(n).end());
  }
  const std::size_t found = out.size();
  for (const auto &[key, unused] : all) {
    Values each{};
    for (std::size_t n = 0; n < Sides; ++n) {
      const auto it = sides.at(n).find(key);
      each.at(n) = it != sides.at(n).end() ? it->second : nullptr;
    }
    std::string place = path;
    place.append("/").append(key);
    compare(each, place, out);
  }
  if (out.size() == found) { // the same members in another order
    out.push_back(differenceOf(values, path));
  }
}

json::value toValue(Document document) {
  document.ChangeId.clear();
  return json::parse(serialiseDocument(document));
}

} // namespace

std::vector<Difference> compareDocuments(const Document *base,
                                         const Document &stored,
                                         const Document &wanted) {
  std::vector<Difference> out;
  const json::value before = toValue(base != nullptr ? *base : stored);
  const json::value current = toValue(stored);
  const json::value after = toValue(wanted);
  compare({&before, &current, &after}, "", out);
  return out;
}

ChangedBy changedBy(const Difference &difference) {
  if (difference.Wanted == difference.Base) {
    return ChangedBy::Others;
  }
  return difference.Stored == difference.Base ? ChangedBy::Loser
                                              : ChangedBy::Both;
}

bool setDomainInService(Document &document, const std::string &domain,
                        bool inService) {
  const auto it =
      std::find_if(document.Domains.begin(), document.Domains.end(),
                   [&](const DomainSpec &each) { return each.Name == domain; });
  if (it == document.Domains.end()) {
    return false;
  }
  it->InService = inService;
  return true;
}

bool setUpstreamLeaving(Document &document, const std::string &service,
                        const std::string &upstream, bool leaving) {
  for (ServiceSpec &each : document.Services) {
    if (each.Name != service) {
      continue;
    }
    for (UpstreamSpec &it : each.Upstreams) {
      if (it.Id == upstream) {
        it.Leaving = leaving;
        return true;
      }
    }
  }
  return false;
}

ChangeStep afterPut(ChangeWrite &write, const objects::Reply &reply) {
  ++write.Tries;
  switch (reply.How) {
  case Outcome::Done:
    write.Version = reply.Version;
    return ChangeStep::Accepted;
  case Outcome::Conflict:
  case Outcome::Unknown:
    write.AnswerLost = write.AnswerLost || reply.How == Outcome::Unknown;
    return ChangeStep::Read;
  default:
    return write.AnswerLost ? ChangeStep::Unknown : ChangeStep::NotWritten;
  }
}

ChangeStep afterRead(ChangeWrite &write, const objects::Reply &reply) {
  if (reply.How == Outcome::Done && reply.Bytes == write.Bytes) {
    write.Version = reply.Version;
    return ChangeStep::Accepted;
  }
  const bool known =
      reply.How == Outcome::Done || reply.How == Outcome::NotFound;
  if (!write.AnswerLost) {
    // The platform said that the condition failed; the read only tells why.
    return ChangeStep::LostRace;
  }
  const std::uint64_t current = reply.How == Outcome::Done ? reply.Version : 0;
  if (known && current != write.Base) {
    // It may have been written and overwritten since.
    return ChangeStep::Unknown;
  }
  return write.Tries < MaxChangeTries ? ChangeStep::Put : ChangeStep::Unknown;
}

} // namespace zinniarail
