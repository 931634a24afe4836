#include <optional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "zinniarail/intent/Changes.h"
#include "zinniarail/intent/Format.h"

using namespace zinniarail;
using objects::Outcome;
using objects::Reply;

namespace {

Document makeDocument() {
  return {.Domains = {{"serra-a", "", true}, {"serra-b", "", true}},
          .Services = {{.Name = "credencial",
                        .Upstreams = {{.Id = "u1",
                                       .Address = "127.0.0.1",
                                       .Port = 80,
                                       .Domain = "serra-a"}}}}};
}

Reply replyOf(Outcome how, std::uint64_t version = 0, std::string bytes = "") {
  return {.How = how, .Version = version, .Bytes = std::move(bytes)};
}

struct Story {
  const char *Name;
  std::vector<Reply> Replies; ///< To puts and reads as they are asked for.
  ChangeStep End;
};
std::ostream &operator<<(std::ostream &out, const Story &it) {
  return out << it.Name;
}

const Reply Lost = replyOf(Outcome::Unknown);
const Reply Same = replyOf(Outcome::Done, 4, "old");
const Reply Mine = replyOf(Outcome::Done, 5, "mine");
const Reply Other = replyOf(Outcome::Done, 6, "other");
const Reply Conflict = replyOf(Outcome::Conflict, 6);
const Reply Down = replyOf(Outcome::Unreachable);

const std::vector<Story> Stories{
    {"written", {replyOf(Outcome::Done, 5)}, ChangeStep::Accepted},
    {"somebody was first", {Conflict, Other}, ChangeStep::LostRace},
    {"somebody was first, no read", {Conflict, Down}, ChangeStep::LostRace},
    {"down", {Down}, ChangeStep::NotWritten},
    {"too large", {replyOf(Outcome::TooLarge)}, ChangeStep::NotWritten},
    {"answer lost, written", {Lost, Mine}, ChangeStep::Accepted},
    {"answer lost, not written, again",
     {Lost, Same, replyOf(Outcome::Done, 5)},
     ChangeStep::Accepted},
    {"answer lost, late effect",
     {Lost, Same, Conflict, Mine},
     ChangeStep::Accepted},
    {"answer lost, somebody else's now", {Lost, Other}, ChangeStep::Unknown},
    {"answer lost, then down", {Lost, Same, Down}, ChangeStep::Unknown},
    {"every answer lost",
     {Lost, Same, Lost, Same, Lost, Same, Lost, Same},
     ChangeStep::Unknown},
};

ChangeStep play(const Story &story) {
  ChangeWrite write{.Base = 4, .Bytes = "mine"};
  ChangeStep step = ChangeStep::Put;
  for (const Reply &it : story.Replies) {
    step = step == ChangeStep::Put ? afterPut(write, it) : afterRead(write, it);
  }
  return step;
}

// One object with conditional updates; answers get lost as drawn.
struct Store {
  std::uint64_t Version = 4;
  std::string Bytes = "old";
  std::vector<std::string> Accepted;

  Reply put(const std::string &bytes, std::uint64_t base, int fate) {
    if (fate == 0) {
      return Lost; // before the effect
    }
    if (base != Version) {
      return fate == 1 ? Lost : replyOf(Outcome::Conflict, Version);
    }
    ++Version;
    Bytes = bytes;
    Accepted.push_back(bytes);
    return fate == 1 ? Lost : replyOf(Outcome::Done, Version);
  }
};

} // namespace

BOOST_DATA_TEST_CASE(aWriteIsSettled, Stories, it) {
  BOOST_TEST(static_cast<int>(play(it)) == static_cast<int>(it.End));
}

// Two operators race from one version while answers get lost: at most one
// change is accepted, and what each is told is true.
BOOST_AUTO_TEST_CASE(aRaceHasOneWinnerAndNobodyIsToldWrong) {
  BOOST_TEST(rc::check([](const std::vector<std::pair<bool, int>> &drawn) {
    Store store;
    ChangeWrite writes[2] = {{.Base = 4, .Bytes = "a"},
                             {.Base = 4, .Bytes = "b"}};
    ChangeStep steps[2] = {ChangeStep::Put, ChangeStep::Put};
    for (const auto &[who, draw] : drawn) {
      const int n = who ? 1 : 0;
      if (steps[n] == ChangeStep::Put) {
        const int fate = std::abs(draw % 4);
        steps[n] = afterPut(writes[n], store.put(writes[n].Bytes, 4, fate));
      } else if (steps[n] == ChangeStep::Read) {
        steps[n] = afterRead(
            writes[n],
            draw % 5 == 0 ? Down
                          : replyOf(Outcome::Done, store.Version, store.Bytes));
      }
    }
    RC_ASSERT(store.Accepted.size() <= 1u);
    for (int n = 0; n < 2; ++n) {
      const bool written =
          !store.Accepted.empty() && store.Accepted.front() == writes[n].Bytes;
      RC_ASSERT(steps[n] != ChangeStep::Accepted || written);
      RC_ASSERT(steps[n] != ChangeStep::LostRace || !written);
      RC_ASSERT(steps[n] != ChangeStep::NotWritten || !written);
    }
  }));
}

BOOST_AUTO_TEST_CASE(differencesNameTheMember) {
  const Document before = makeDocument();
  Document after = before;
  after.ChangeId = "another";
  BOOST_TEST(setDomainInService(after, "serra-b", false));
  BOOST_TEST(setUpstreamLeaving(after, "credencial", "u1", true));
  const std::vector<Difference> expected{
      {"/domains/serra-b/inService", "true", "true", "false"},
      {"/services/credencial/upstreams/u1/leaving", "false", "false", "true"}};
  BOOST_TEST((compareDocuments(nullptr, before, after) == expected));
}

BOOST_AUTO_TEST_CASE(differencesTellWhoseChangeItIs) {
  const Document base = makeDocument();
  Document stored = base;
  Document wanted = base;
  BOOST_TEST(setDomainInService(stored, "serra-a", false));
  BOOST_TEST(setDomainInService(wanted, "serra-b", false));
  stored.Services[0].QueueLimit = 128;
  wanted.Services[0].QueueLimit = 32;
  wanted.Services[0].Upstreams.clear();
  stored.Services.push_back({.Name = "situacao"});
  const auto found = compareDocuments(&base, stored, wanted);
  const std::vector<std::pair<std::string, ChangedBy>> expected{
      {"/domains/serra-a/inService", ChangedBy::Others},
      {"/domains/serra-b/inService", ChangedBy::Loser},
      {"/services/credencial/queueLimit", ChangedBy::Both},
      {"/services/credencial/upstreams/u1", ChangedBy::Loser},
      {"/services/situacao", ChangedBy::Others}};
  BOOST_REQUIRE(found.size() == expected.size());
  for (std::size_t n = 0; n < found.size(); ++n) {
    BOOST_TEST(found[n].Path == expected[n].first);
    BOOST_TEST((changedBy(found[n]) == expected[n].second), found[n].Path);
  }
}

BOOST_AUTO_TEST_CASE(anotherOrderIsADifference) {
  Document before = makeDocument();
  before.Services[0].Classes = {{.Name = "read"}, {.Name = "write"}};
  Document after = before;
  std::swap(after.Services[0].Classes[0], after.Services[0].Classes[1]);
  const auto found = compareDocuments(nullptr, before, after);
  BOOST_REQUIRE(found.size() == 1u);
  BOOST_TEST(found[0].Path == "/services/credencial/classes");
}

BOOST_AUTO_TEST_CASE(anEditOfWhatIsNotThereIsRefused) {
  Document document = makeDocument();
  BOOST_TEST(!setDomainInService(document, "serra-z", false));
  BOOST_TEST(!setUpstreamLeaving(document, "credencial", "u2", true));
  BOOST_TEST(!setUpstreamLeaving(document, "situacao", "u1", true));
  BOOST_TEST((document == makeDocument()));
}
