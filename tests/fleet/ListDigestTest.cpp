#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "fleet/ListDigest.h"
#include "fleet/StateExchange.h"
#include "fleet/VersionedState.h"

using namespace zinniarail;
using namespace zinniarail::fleet;
using namespace std::chrono_literals;

namespace {

const Instant Now{1h};
constexpr unsigned Count = 720;

// The store's revision that the reader's list reflects.
constexpr std::uint64_t ReaderRevision = 1000;

std::string idOf(unsigned n) { return "i-e4d592b3" + std::to_string(n); }

Upstream upstream(unsigned n) {
  return {idOf(n),
          "10.1.64." + std::to_string(n) + ":8544",
          "credencial",
          "serra-a",
          4,
          false,
          0s,
          1700000000000};
}

store::Mirror mirrorOf(unsigned count) {
  store::Mirror mirror;
  mirror.Era = 1;
  mirror.UpstreamsRevision = {1, ReaderRevision};
  for (unsigned n = 0; n < count; ++n) {
    put(mirror.Upstreams, upstream(n), {1, n + 1}, Now);
  }
  return mirror;
}

VersionedState stateOf(const store::Mirror &mirror) {
  VersionedState state{.BootId = 7};
  StateUpdate update;
  fillFromMirror(update, StatePart::Upstreams, mirror, Now);
  replaceParts(state, update);
  return state;
}

std::string digestsOf(const store::Mirror &mirror) {
  StateUpdate update;
  fillFromMirror(update, StatePart::Upstreams, mirror, Now);
  return encodeDigests({digestBuckets(update.Upstreams->List.Items), {}});
}

/// The follower's first poll of a reader.
/// \returns the size of the update.
std::size_t exchange(store::Mirror &follower, const store::Mirror &reader) {
  VersionedState state = stateOf(reader);
  const std::string *bytes = differencesFrom(state, digestsOf(follower));
  BOOST_REQUIRE(bytes != nullptr);
  const auto update = decodeUpdate(*bytes);
  BOOST_REQUIRE(update.has_value());
  applyToMirror(follower, *update, Now);
  return bytes->size();
}

struct DifferenceCase {
  const char *Name;
  void (*Change)(store::Mirror &follower, store::Mirror &reader);
};

std::ostream &operator<<(std::ostream &out, const DifferenceCase &it) {
  return out << it.Name;
}

const DifferenceCase DifferenceCases[]{
    {"nothing differs", [](store::Mirror &, store::Mirror &) {}},
    {"the reader knows another upstream",
     [](store::Mirror &, store::Mirror &reader) {
       put(reader.Upstreams, upstream(Count), {1, 900}, Now);
     }},
    {"the follower knows an upstream that has left",
     [](store::Mirror &, store::Mirror &reader) {
       remove(reader.Upstreams, idOf(5), {1, 900}, Now);
       applyDueChanges(reader, Now);
     }},
    {"an upstream is draining",
     [](store::Mirror &, store::Mirror &reader) {
       Upstream it = upstream(5);
       it.Draining = true;
       put(reader.Upstreams, it, {1, 900}, Now);
     }},
    {"an upstream announced to the reader that it leaves",
     [](store::Mirror &, store::Mirror &reader) {
       markLeaving(reader.Upstreams, idOf(5), upstream(5).StartedMs);
     }},
    {"all revisions are of a later era",
     [](store::Mirror &, store::Mirror &reader) {
       reader = {};
       reader.Era = 2;
       reader.UpstreamsRevision = {2, 800};
       for (unsigned n = 0; n < Count; ++n) {
         put(reader.Upstreams, upstream(n), {2, n + 1}, Now);
       }
     }},
    {"the follower knows nothing",
     [](store::Mirror &follower, store::Mirror &) { follower = {}; }},
    {"the reader's list is empty",
     [](store::Mirror &, store::Mirror &reader) { reader.Upstreams = {}; }},
};

/// What requests may be sent to.
std::map<std::string, bool> usableUpstreams(const store::Mirror &mirror) {
  std::map<std::string, bool> all;
  for (const Upstream &it : listUpstreams(mirror.Upstreams, Now)) {
    all[it.Id] = !it.Draining;
  }
  return all;
}

} // namespace

BOOST_DATA_TEST_CASE(followerOfANewReaderGetsWhatDiffers, DifferenceCases, it) {
  store::Mirror follower = mirrorOf(Count);
  store::Mirror reader = mirrorOf(Count);
  it.Change(follower, reader);
  exchange(follower, reader);
  BOOST_TEST((usableUpstreams(follower) == usableUpstreams(reader)));
}

// An instance may know of a change before the reader that it follows.
BOOST_AUTO_TEST_CASE(newerRegistrationOfTheFollowerStays) {
  store::Mirror follower = mirrorOf(Count);
  const store::Mirror reader = mirrorOf(Count);
  Upstream it = upstream(5);
  it.Draining = true;
  put(follower.Upstreams, it, {1, ReaderRevision + 1}, Now);
  put(follower.Upstreams, upstream(Count), {1, ReaderRevision + 2}, Now);
  exchange(follower, reader);
  BOOST_TEST(!usableUpstreams(follower)[idOf(5)]);
  BOOST_TEST(usableUpstreams(follower)[idOf(Count)]);
}

// All followers of a lost reader poll the new one at once. The change must be
// in force in 3 s, of which the election and the reader's own list take two.
BOOST_AUTO_TEST_CASE(differencesAfterAChangeOfTheReaderFitTheLink) {
  constexpr std::size_t followers = 78;
  constexpr std::size_t linkBytesPerSecond = 20'000'000 / 8;
  store::Mirror follower = mirrorOf(Count);
  store::Mirror reader = mirrorOf(Count);
  for (unsigned n = 0; n < 40; ++n) { // Changes of a few seconds.
    Upstream it = upstream(17 * n);
    it.Draining = true;
    put(reader.Upstreams, it, {1, 900 + n}, Now);
  }
  BOOST_TEST(exchange(follower, reader) * followers < linkBytesPerSecond / 2);
  BOOST_TEST(digestsOf(follower).size() * followers < linkBytesPerSecond / 2);
}

BOOST_DATA_TEST_CASE(unusableDigestsGetTheCompleteList,
                     (std::vector<std::string>{
                         "not digests", encodeDigests({}),
                         encodeDigests({BucketDigests(MaxBuckets + 1), {}})}),
                     digests) {
  VersionedState state = stateOf(mirrorOf(Count));
  const std::string *bytes = differencesFrom(state, digests);
  BOOST_REQUIRE(bytes != nullptr);
  const auto update = decodeUpdate(*bytes);
  BOOST_TEST(update->Upstreams->List.IsComplete);
  BOOST_TEST(update->Upstreams->List.Items.size() == Count);
}

// The number comes from another instance and must not decide on memory.
BOOST_AUTO_TEST_CASE(updateWithTooManyBucketsRemovesNothing) {
  store::Mirror follower = mirrorOf(Count);
  StateUpdate update;
  update.Upstreams.emplace().AsOf = {1, ReaderRevision};
  update.Upstreams->List.IsComplete = false;
  update.Upstreams->List.Buckets = {0, 1, 2};
  update.Upstreams->List.BucketCount = ~0U;
  applyToMirror(follower, update, Now);
  BOOST_TEST(follower.Upstreams.Entries.size() == Count);
}

BOOST_AUTO_TEST_CASE(memberDigestsIgnoreWhatOnlyTheMemberItselfReports) {
  Member listed;
  listed.Record = {"m", "a", "1.2.3.4:5", "1.2.3.4:6", "1.2.3.4:7", false};
  Member heard = listed;
  heard.BootId = 9;
  heard.ElectionWeight = 300;
  heard.Reading = heard.StoreHealthy = heard.HasSnapshot = true;
  BOOST_TEST(digestOf(listed) == digestOf(heard));
  for (const auto change : {+[](Member &it) { it.Ready = false; },
                            +[](Member &it) { it.Record.Leaving = true; },
                            +[](Member &it) { it.Record.PeerAddress = "x"; }}) {
    Member changed = listed;
    change(changed);
    BOOST_TEST(digestOf(listed) != digestOf(changed));
  }
}

BOOST_AUTO_TEST_CASE(listsAreEqualAfterAnyExchange) {
  BOOST_TEST(rc::check([] {
    const auto draw = [](StoreRevision asOf) {
      store::Mirror mirror;
      mirror.Era = asOf.Era;
      mirror.UpstreamsRevision = asOf;
      for (const unsigned n : *rc::gen::container<std::vector<unsigned>>(
               rc::gen::inRange(0U, 60U))) {
        // Equal revisions mean equal registrations.
        const auto revision = *rc::gen::inRange<std::uint64_t>(1, 4);
        Upstream it = upstream(n);
        it.Draining = (n + revision) % 2 == 0;
        put(mirror.Upstreams, it, {1, 10 * revision}, Now);
      }
      return mirror;
    };
    store::Mirror follower = draw({1, 50});
    const store::Mirror reader = draw({1, 50});
    // What the reader has is the latest.
    for (auto &[id, it] : follower.Upstreams.Entries) {
      const auto known = reader.Upstreams.Entries.find(id);
      if (known != reader.Upstreams.Entries.end() &&
          known->second.Revision < it.Revision) {
        it.Revision = known->second.Revision;
        it.Record.Draining = known->second.Record.Draining;
      }
    }
    exchange(follower, reader);
    RC_ASSERT(usableUpstreams(follower) == usableUpstreams(reader));
  }));
}
