#include "zinniarail/intent/Parts.h"

#include <algorithm>

#include <boost/json.hpp>

#include "zinniarail/core/Hash.h"

namespace zinniarail {

namespace {

namespace json = boost::json;

constexpr const char *PartsKey = "serviceParts";
constexpr std::uint64_t PartSeed = 21;
constexpr std::size_t DigestBytes = 64;

// A power of two, so that growth seldom moves services between parts.
std::size_t countBuckets(std::size_t bytes) {
  std::size_t buckets = 1;
  while (buckets * PartBytes < bytes && buckets < MaxParts) {
    buckets *= 2;
  }
  return buckets;
}

std::string nameOf(const json::value &service) {
  const json::object *object = service.if_object();
  const json::value *name =
      object != nullptr ? object->if_contains("name") : nullptr;
  return name != nullptr && name->is_string() ? std::string(name->get_string())
                                              : "";
}

void sortByName(json::array &services) {
  std::sort(services.begin(), services.end(),
            [](const json::value &a, const json::value &b) {
              return nameOf(a) < nameOf(b);
            });
}

const json::array *findDigests(const json::value &root) {
  const json::object *object = root.if_object();
  const json::value *it =
      object != nullptr ? object->if_contains(PartsKey) : nullptr;
  return it != nullptr ? it->if_array() : nullptr;
}

bool isDigest(const json::value &value) {
  const json::string *text = value.if_string();
  return text != nullptr && text->size() == DigestBytes &&
         text->find_first_not_of("0123456789abcdef") == json::string::npos;
}

} // namespace

SplitDocument splitDocument(const Document &document, std::size_t maxWhole) {
  SplitDocument split{.Root = serialiseDocument(document)};
  if (split.Root.size() <= maxWhole) {
    return split;
  }
  json::object root = json::parse(split.Root).as_object();
  std::vector<json::array> buckets(countBuckets(split.Root.size()));
  for (json::value &it : root.at("services").as_array()) {
    const std::uint64_t hash = hashBytes(nameOf(it), PartSeed);
    buckets[hash % buckets.size()].push_back(std::move(it));
  }
  json::array digests;
  for (json::array &bucket : buckets) {
    if (bucket.empty()) {
      continue;
    }
    sortByName(bucket);
    std::string bytes = json::serialize(bucket);
    std::string digest = digestOf(bytes);
    digests.emplace_back(digest);
    split.Pieces.emplace(std::move(digest), std::move(bytes));
  }
  root.erase("services");
  root[PartsKey] = std::move(digests);
  split.Root = json::serialize(root);
  return split;
}

std::vector<std::string> partsOf(std::string_view root) {
  // Most documents are whole and need no second parse.
  if (root.find(PartsKey) == std::string_view::npos) {
    return {};
  }
  json::error_code ec;
  const json::value value = json::parse(root, ec);
  const json::array *digests = ec ? nullptr : findDigests(value);
  if (digests == nullptr || digests->size() > MaxParts ||
      !std::all_of(digests->begin(), digests->end(), isDigest)) {
    return {};
  }
  std::vector<std::string> out;
  out.reserve(digests->size());
  for (const json::value &it : *digests) {
    out.emplace_back(it.get_string());
  }
  return out;
}

Result<std::string, Faults> joinDocument(std::string_view root,
                                         const Parts &parts) {
  const std::vector<std::string> digests = partsOf(root);
  if (digests.empty()) {
    return std::string(root);
  }
  json::array services;
  std::size_t size = root.size();
  for (std::size_t n = 0; n < digests.size(); ++n) {
    const std::string path =
        std::string("/") + PartsKey + "/" + std::to_string(n);
    const auto part = parts.find(digests[n]);
    if (part == parts.end() || digestOf(part->second) != digests[n]) {
      return Faults{{path, "is missing, or not what its digest says"}};
    }
    size += part->second.size();
    if (size > MaxDocumentBytes) {
      return Faults{{path, "makes the document too large"}};
    }
    json::error_code ec;
    json::value value = json::parse(part->second, ec);
    if (ec || !value.is_array()) {
      return Faults{{path, "is no array of services"}};
    }
    json::array &some = value.get_array();
    services.insert(services.end(), some.begin(), some.end());
  }
  sortByName(services);
  json::object whole = json::parse(root).as_object();
  whole.erase(PartsKey);
  whole["services"] = std::move(services);
  return json::serialize(whole);
}

std::string partKey(const std::string &digest) { return "documents/" + digest; }

} // namespace zinniarail
