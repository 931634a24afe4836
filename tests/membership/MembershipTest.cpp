#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/homes/Homes.h"
#include "zinniarail/membership/Membership.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};

Instance makeInstance(const std::string &id, bool leaving = false) {
  return {.Id = id, .Domain = "d" + id.substr(1), .Leaving = leaving};
}

// One thing that happens, by its first letter: (l)ist, (s)een, seen lea(v)ing,
// l(o)st, (w)ait, stop (b)egun. Its argument follows.
struct Step {
  char What;
  std::string Argument;
};

struct Story {
  const char *Name;
  std::vector<Step> Steps;
  std::string Live; ///< Ids in order; a minus behind a leaving one.
};
std::ostream &operator<<(std::ostream &out, const Story &it) {
  return out << it.Name;
}

// The instance that believes is i1.
const std::vector<Story> Stories{
    {"alone", {}, "i1"},
    {"the list", {{'l', "i1 i2 i3"}}, "i1 i2 i3"},
    {"the list lags behind a new one",
     {{'l', "i1 i2"}, {'s', "i3"}},
     "i1 i2 i3"},
    {"listed, one is lost",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'s', "i3"}, {'o', "i3"}},
     "i1 i2"},
    {"listed, never answered",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'o', "i3"}},
     "i1 i2"},
    {"gone from the list, but answers",
     {{'l', "i1 i2 i3"}, {'s', "i3"}, {'l', "i1 i2"}},
     "i1 i2 i3"},
    {"gone from the list, and lost",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'s', "i3"}, {'o', "i3"}, {'l', "i1 i2"}},
     "i1 i2"},
    {"leaving by its own word", {{'l', "i1 i2"}, {'v', "i2"}}, "i1 i2-"},
    {"leaving by the list", {{'l', "i1 i2-"}, {'s', "i2"}}, "i1 i2-"},
    {"back after leaving", {{'l', "i1 i2"}, {'v', "i2"}, {'s', "i2"}}, "i1 i2"},
    {"all lost at once",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'s', "i3"}, {'o', "i2"}, {'o', "i3"}},
     "i1 i2 i3"},
    {"all lost, and the list drops one",
     {{'l', "i1 i2 i3"},
      {'s', "i2"},
      {'s', "i3"},
      {'o', "i2"},
      {'o', "i3"},
      {'l', "i1 i2"}},
     "i1 i2"},
    {"just found again",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'s', "i3"}, {'o', "i3"}, {'s', "i3"}},
     "i1 i2"},
    {"found again for a while",
     {{'l', "i1 i2 i3"},
      {'s', "i2"},
      {'s', "i3"},
      {'o', "i3"},
      {'s', "i3"},
      {'w', "1000"}},
     "i1 i2 i3"},
    {"flaps: three losses count longer",
     {{'l', "i1 i2 i3"},
      {'s', "i2"},
      {'s', "i3"},
      {'o', "i3"},
      {'s', "i3"},
      {'o', "i3"},
      {'s', "i3"},
      {'o', "i3"},
      {'s', "i3"},
      {'w', "3999"}},
     "i1 i2"},
    {"an impostor under the own id", {{'l', "i1 i2"}, {'v', "i1"}}, "i1 i2"},
    {"stopping", {{'l', "i1 i2"}, {'b', ""}}, "i1- i2"},
    {"an empty list, peers answer", {{'s', "i2"}, {'l', ""}}, "i1 i2"},
};

std::vector<Instance> parseList(const std::string &text) {
  std::vector<Instance> list;
  std::istringstream in(text);
  std::string word;
  while (in >> word) {
    const bool leaving = word.back() == '-';
    list.push_back(makeInstance(
        leaving ? word.substr(0, word.size() - 1) : word, leaving));
  }
  return list;
}

std::string formatList(const std::vector<Instance> &list) {
  std::string text;
  for (const Instance &it : list) {
    text += (text.empty() ? "" : " ") + it.Id + (it.Leaving ? "-" : "");
  }
  return text;
}

void play(Membership &state, const Step &step, Instant &now) {
  switch (step.What) {
  case 'l':
    return hearList(state, parseList(step.Argument), now);
  case 's':
    return hearPeer(state, makeInstance(step.Argument), now);
  case 'v':
    return hearPeer(state, makeInstance(step.Argument, true), now);
  case 'o':
    return losePeer(state, step.Argument, now);
  case 'b':
    return beginStop(state);
  default:
    now += std::chrono::milliseconds{std::stoi(step.Argument)};
  }
}

// Who is to be called: nobody may be forgotten because it is lost.
const std::vector<Story> KnownStories{
    {"alone", {}, "i1"},
    {"lost, listed",
     {{'l', "i1 i2 i3"}, {'s', "i2"}, {'s', "i3"}, {'o', "i3"}},
     "i1 i2 i3"},
    {"lost, never listed", {{'s', "i2"}, {'s', "i3"}, {'o', "i3"}}, "i1 i2 i3"},
    {"lost and gone from the list for long",
     {{'l', "i1 i2 i3"},
      {'s', "i2"},
      {'s', "i3"},
      {'o', "i3"},
      {'w', "61000"},
      {'l', "i1 i2"}},
     "i1 i2"},
};

std::vector<Instance> makeFleet(unsigned count, unsigned domains) {
  std::vector<Instance> fleet;
  for (unsigned n = 0; n < count; ++n) {
    fleet.push_back({.Id = "i" + std::to_string(n),
                     .Domain = "d" + std::to_string(n % domains)});
  }
  return fleet;
}

} // namespace

BOOST_DATA_TEST_CASE(whoLives, Stories, it) {
  Membership state{.Self = makeInstance("i1")};
  Instant now = Start;
  for (const Step &step : it.Steps) {
    play(state, step, now);
  }
  BOOST_TEST(formatList(liveInstances(state, now)) == it.Live);
}

BOOST_DATA_TEST_CASE(whoIsToBeCalled, KnownStories, it) {
  Membership state{.Self = makeInstance("i1")};
  Instant now = Start;
  for (const Step &step : it.Steps) {
    play(state, step, now);
  }
  BOOST_TEST(formatList(knownInstances(state)) == it.Live);
}

BOOST_DATA_TEST_CASE(readersGrowWithTheDomainsNotWithTheFleet,
                     (std::vector<unsigned>{13, 16, 17, 52, 104, 400}), count) {
  const auto fleet = makeFleet(count, 4);
  const ReaderPolicy policy;
  const auto readers =
      std::count_if(fleet.begin(), fleet.end(), [&](const Instance &it) {
        return isReader(fleet, it, policy);
      });
  BOOST_TEST(readers == (count <= policy.SmallFleet ? count : 8));
}

// One of 13 goes: only the services that it was home of move, and each moves
// one home.
BOOST_AUTO_TEST_CASE(aLossMovesFewServices) {
  View before{.Intent = std::make_shared<Document>(),
              .Instances = makeFleet(13, 13)};
  View after = before;
  after.Instances.erase(after.Instances.begin() + 4);
  for (unsigned s = 0; s < 200; ++s) {
    const ServiceSpec service{.Name = "s" + std::to_string(s)};
    const auto was = placeService(before, service, 3).Ranked;
    const auto is = placeService(after, service, 3).Ranked;
    const auto kept =
        std::count_if(was.begin(), was.end(), [&](const Instance &it) {
          return std::find(is.begin(), is.end(), it) != is.end();
        });
    const bool hit =
        std::any_of(was.begin(), was.end(),
                    [](const Instance &it) { return it.Id == "i4"; });
    BOOST_TEST(kept == (hit ? 2 : 3));
  }
}
