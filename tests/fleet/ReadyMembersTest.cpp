// Which members the requests of a failure domain go to.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/fleet/Members.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now{100s};

/// A member whose last message came 100 ms ago.
struct Known {
  const char *Id;
  const char *Domain;
  bool Ready = true;
  bool Leaving = false;
  Duration Silence = 100ms;
};

struct Case {
  const char *Name;
  bool LocalReady;
  std::vector<Known> Others;
  std::string Expected;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name;
}

Member makeMember(const Known &it) {
  Member out;
  out.Record.Id = it.Id;
  out.Record.Domain = it.Domain;
  out.Record.Leaving = it.Leaving;
  out.Ready = it.Ready;
  return out;
}

const std::vector<Case> Cases{
    {"all are ready", true, {{"a2", "a"}, {"b1", "b"}}, "a1 a2 "},
    {"half are ready",
     false,
     {{"a2", "a"}, {"a3", "a"}, {"a4", "a", false}, {"b1", "b"}},
     "a2 a3 "},
    {"fewer than half are ready",
     false,
     {{"a2", "a"}, {"a3", "a", false}, {"b1", "b"}, {"b2", "b", false}},
     "a2 b1 "},
    {"none is ready", false, {{"a2", "a", false}, {"b1", "b"}}, "b1 "},
    {"a dead one of another failure domain is never named",
     false,
     {{"b1", "b", true, false, 2s}, {"b2", "b"}},
     "b2 "},
    {"a leaving one of another failure domain is not named",
     false,
     {{"b1", "b", true, true}, {"b2", "b"}},
     "b2 "},
    {"none is ready anywhere", false, {{"b1", "b", false}}, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(requestsGoToReadyMembersWhereverTheyAre, Cases, it) {
  Members members;
  members.LocalMember = makeMember({"a1", "a", it.LocalReady});
  for (const Known &known : it.Others) {
    recordMessageFrom(members, makeMember(known), Now - known.Silence);
  }
  std::string ids;
  for (const Member &ready : listReadyMembers(members, Now)) {
    ids += ready.Record.Id + " ";
  }
  BOOST_TEST(ids == it.Expected);
}

// A follower pings few of the members that the reader lists, and may hear from
// none of the others.
BOOST_AUTO_TEST_CASE(listedMembersAreKnownHoweverOldTheListIs) {
  Members members;
  members.LocalMember = makeMember({"a1", "a"});
  applyReaderLiveList(members,
                      {makeMember({"a2", "a"}), makeMember({"b1", "b"})}, Now);
  removeExpired(members, Now + 10min);
  BOOST_TEST(listLiveMembers(members, Now + 10min).size() == 2U);
  BOOST_TEST(selectOutsideMembers(members, 9).size() == 1U);
  applyReaderLiveList(members, {}, Now + 10min);
  removeExpired(members, Now + 10min + RemovalTimeout + 1us);
  BOOST_TEST(members.Others.empty());
}
