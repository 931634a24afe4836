#include "control/PartReader.h"

#include <memory>

namespace zinniarail::control {

namespace {

using objects::Outcome;
using objects::Reply;

struct Gathering {
  objects::Client &Client;
  std::string Root;
  std::vector<std::string> Digests;
  Parts &Cache;
  std::function<void(Outcome, std::string)> Done;
  std::size_t Next = 0;
};

void finish(const Gathering &it) {
  Parts kept;
  for (const std::string &digest : it.Digests) {
    kept.insert(it.Cache.extract(digest));
  }
  it.Cache = std::move(kept);
  auto joined = joinDocument(it.Root, it.Cache);
  if (joined.has_value()) {
    it.Done(Outcome::Done, std::move(joined.value()));
  } else {
    it.Done(Outcome::Malformed, "");
  }
}

// One part at a time: an instance that starts must not flood a slow platform.
void fetchNext(const std::shared_ptr<Gathering> &it) {
  while (it->Next < it->Digests.size() &&
         it->Cache.contains(it->Digests[it->Next])) {
    ++it->Next;
  }
  if (it->Next == it->Digests.size()) {
    finish(*it);
    return;
  }
  const std::string digest = it->Digests[it->Next];
  it->Client.get(partKey(digest), [it, digest](Reply reply) {
    if (reply.How != Outcome::Done && reply.How != Outcome::NotFound) {
      it->Done(Outcome::Unreachable, "");
      return;
    }
    if (reply.How == Outcome::Done) {
      it->Cache[digest] = std::move(reply.Bytes);
    }
    ++it->Next;
    fetchNext(it);
  });
}

} // namespace

void completeDocument(objects::Client &client, const std::string &root,
                      Parts &cache,
                      std::function<void(Outcome, std::string)> done) {
  fetchNext(std::make_shared<Gathering>(
      Gathering{client, root, partsOf(root), cache, std::move(done)}));
}

} // namespace zinniarail::control
