#include "zinniarail/intent/Changes.h"

#include <algorithm>
#include <map>

#include <boost/json.hpp>

#include "zinniarail/intent/Format.h"

namespace zinniarail {

namespace {

namespace json = boost::json;
using platform::Outcome;

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

void compare(const json::value *from, const json::value *to,
             const std::string &path, std::vector<Difference> &out) {
  if (from != nullptr && to != nullptr && *from == *to) {
    return;
  }
  const bool bothNested = from != nullptr && to != nullptr &&
                          from->kind() == to->kind() && from->is_structured();
  if (!bothNested) {
    out.push_back({path, from != nullptr ? json::serialize(*from) : "",
                   to != nullptr ? json::serialize(*to) : ""});
    return;
  }
  const Members before = membersOf(*from);
  const Members after = membersOf(*to);
  Members all = before;
  all.insert(after.begin(), after.end());
  for (const auto &[key, it] : all) {
    const auto a = before.find(key);
    const auto b = after.find(key);
    std::string place = path;
    place.append("/").append(key);
    compare(a != before.end() ? a->second : nullptr,
            b != after.end() ? b->second : nullptr, place, out);
  }
}

json::value toValue(Document document) {
  document.ChangeId.clear();
  return json::parse(serialiseDocument(document));
}

} // namespace

std::vector<Difference> compareDocuments(const Document &from,
                                         const Document &to) {
  std::vector<Difference> out;
  const json::value before = toValue(from);
  const json::value after = toValue(to);
  compare(&before, &after, "", out);
  return out;
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

ChangeStep afterPut(ChangeWrite &write, const platform::Reply &reply) {
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

ChangeStep afterRead(ChangeWrite &write, const platform::Reply &reply) {
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
