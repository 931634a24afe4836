// Who gives way when callers make an instance hold too many bytes.
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/ByteBudget.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now = Instant{} + 100s;

Holder holder(std::size_t bytes, Duration idle, bool waits = false,
              bool isIncomplete = true) {
  return {bytes, isIncomplete, waits, Now - idle};
}

/// A request that is being received for some time, and makes progress.
Holder request(Duration age, std::size_t received, bool waits = false) {
  Holder out = holder(1, 0s, waits);
  out.StartedAt = Now - age;
  out.Received = received;
  return out;
}

Holder idle(Duration time) {
  Holder out = holder(1, time);
  out.IsIdle = true;
  return out;
}

using Choose = std::optional<Choice> (*)(std::span<const Holder>, Instant);

struct ChoiceCase {
  const char *Description;
  Choose Chooses;
  std::vector<Holder> Holders;
  std::optional<Choice> Expected;
};

std::ostream &operator<<(std::ostream &out, const ChoiceCase &it) {
  return out << it.Description;
}

const std::vector<ChoiceCase> ChoiceCases{
    {"nobody", chooseForSmall, {}, {}},
    {"whole requests are kept",
     chooseForSmall,
     {holder(9, 9s, false, false)},
     {}},
    {"the largest that waits goes before all others",
     chooseForSmall,
     {holder(900, 9s), holder(5, 0s, true), holder(7, 0s, true)},
     {{2, Relief::Refuse}}},
    {"the first that stalled goes before larger ones",
     chooseForSmall,
     {holder(900, 0s), holder(800, 2s), holder(5, 3s)},
     {{2, Relief::TimeOut}}},
    {"the largest if none stalled",
     chooseForSmall,
     {holder(5, 0s), holder(900, 500ms), holder(7, 700ms)},
     {{1, Relief::Refuse}}},
    {"a large body that makes progress is kept",
     chooseForLarge,
     {holder(900, 700ms)},
     {}},
    {"a large body that waits itself is kept",
     chooseForLarge,
     {holder(900, 9s, true)},
     {}},
    {"the largest body that stalled",
     chooseForLarge,
     {holder(900, 0s), holder(7, 9s), holder(8, 1s), holder(0, 9s)},
     {{2, Relief::TimeOut}}},
    {"the slowest body if none stalled",
     chooseForLarge,
     {request(5s, 40'000), request(5s, 20'000), request(5s, 200'000)},
     {{1, Relief::TimeOut}}},
    {"a body that stalled goes before a slow one",
     chooseForLarge,
     {request(5s, 20'000), holder(1, 1s)},
     {{1, Relief::TimeOut}}},
    {"a slow body that has just begun is kept",
     chooseForLarge,
     {request(1s, 20'000)},
     {}},
    {"a slow body that waits is kept",
     chooseForLarge,
     {request(5s, 20'000, true)},
     {}},
    {"a caller that reads is kept",
     chooseForResponses,
     {holder(900, 700ms)},
     {}},
    {"the caller that leaves most unread",
     chooseForResponses,
     {holder(7, 9s), holder(8, 1s), holder(900, 0s)},
     {{1, Relief::Close}}},
    {"connections in use are kept",
     chooseForConnection,
     {holder(1, 0s), holder(1, 9s, false, false)},
     {}},
    {"the connection that is idle for longest",
     chooseForConnection,
     {holder(1, 2s), holder(1, 3s), holder(1, 1s)},
     {{1, Relief::Close}}},
    {"one without a request if none stalled",
     chooseForConnection,
     {request(5s, 20'000), idle(200ms), idle(300ms)},
     {{2, Relief::Close}}},
    {"one that has just had a request is kept",
     chooseForConnection,
     {idle(50ms)},
     {}},
    {"the slowest request if all have one",
     chooseForConnection,
     {request(5s, 40'000), request(5s, 20'000), request(1s, 1)},
     {{1, Relief::Close}}}};

struct MemoryCase {
  std::size_t Megabytes;
  std::size_t LargeAtLeast;
};

std::ostream &operator<<(std::ostream &out, const MemoryCase &it) {
  return out << it.Megabytes << " MB";
}

const std::vector<MemoryCase> MemoryCases{{8, 1},
                                          {64, std::size_t{8} << 20},
                                          {160, std::size_t{65} << 20},
                                          {260, std::size_t{100} << 20},
                                          {4000, std::size_t{1} << 30}};

struct EndCase {
  const char *Description;
  std::vector<LargeBody> Bodies;
  std::size_t Free;
  bool Expected;
};

std::ostream &operator<<(std::ostream &out, const EndCase &it) {
  return out << it.Description;
}

const std::vector<EndCase> EndCases{
    {"no body", {}, 0, true},
    {"one that fits", {{5, 5}}, 5, true},
    {"one that does not", {{5, 6}}, 5, false},
    {"what the first leaves suffices for the second",
     {{3, 8}, {5, 3}},
     3,
     true},
    {"all half-way and nothing free", {{5, 5}, {5, 5}}, 4, false},
    {"the last needs more than there is", {{1, 1}, {1, 9}}, 2, false}};

} // namespace

BOOST_DATA_TEST_CASE(someOrderMustLetAllBodiesEnd, EndCases, row) {
  BOOST_TEST(canAllEnd(row.Bodies, row.Free) == row.Expected);
}

BOOST_DATA_TEST_CASE(whoGivesWay, ChoiceCases, row) {
  BOOST_TEST((row.Chooses(row.Holders, Now) == row.Expected));
}

BOOST_DATA_TEST_CASE(budgetLeavesRoomForTheProcess, MemoryCases, row) {
  const ByteBudget budget = makeByteBudget(row.Megabytes * 1000 * 1000);
  const std::size_t all = budget.limit(HeldKind::Small) +
                          budget.limit(HeldKind::Large) +
                          budget.limit(HeldKind::Response);
  BOOST_TEST(all < row.Megabytes * 1000 * 1000);
  BOOST_TEST(budget.limit(HeldKind::Large) >= row.LargeAtLeast);
}

BOOST_AUTO_TEST_CASE(chargeMovesAlongAndACopyCountsAgain) {
  ByteBudget budget;
  {
    Charge first(&budget);
    first.set(HeldKind::Large, 10);
    Charge moved = std::move(first);
    BOOST_TEST(budget.held(HeldKind::Large) == 10U);
    const Charge copy =
        moved; // NOLINT(performance-unnecessary-copy-initialization)
    BOOST_TEST(budget.held(HeldKind::Large) == 20U);
    moved.set(HeldKind::Small, 3);
    BOOST_TEST(budget.held(HeldKind::Large) == copy.bytes());
    BOOST_TEST(budget.held(HeldKind::Small) == 3U);
  }
  BOOST_TEST(budget.held(HeldKind::Large) == 0U);
  BOOST_TEST(budget.held(HeldKind::Small) == 0U);
}

BOOST_AUTO_TEST_CASE(onlyHolderAlwaysHasRoom) {
  ByteBudget budget;
  budget.Limits.fill(100);
  BOOST_TEST(budget.hasRoom(HeldKind::Large, 900, 0));
  Charge held(&budget);
  held.set(HeldKind::Large, 60);
  BOOST_TEST(budget.hasRoom(HeldKind::Large, 40, 0));
  BOOST_TEST(!budget.hasRoom(HeldKind::Large, 41, 0));
  BOOST_TEST(budget.hasRoom(HeldKind::Large, 900, 60));
}
