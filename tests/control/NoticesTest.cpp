#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "control/Notices.h"

using namespace zinniarail;
using namespace zinniarail::control;

namespace {

struct Case {
  const char *Name;
  std::function<void(State &, bool &reader)> Change;
  std::vector<Notice> Expected;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name;
}

void putInForce(State &state, std::uint64_t version, bool aIn, bool bIn) {
  state.Intent.Version = version;
  state.Intent.Intent = std::make_shared<const Document>(
      Document{.ChangeId = "c" + std::to_string(version),
               .Domains = {{"a", "", aIn}, {"b", "", bIn}}});
}

// From version 4 with domain b out, reading, the platform reached.
const std::vector<Case> Cases{
    {"nothing", [](State &, bool &) {}, {}},
    {"a document",
     [](State &it, bool &) { putInForce(it, 5, true, false); },
     {{EventId::DocumentInForce, "i: version 5, before 4, change c5"}}},
    {"domains out and in",
     [](State &it, bool &) { putInForce(it, 6, false, true); },
     {{EventId::DocumentInForce, "i: version 6, before 4, change c6"},
      {EventId::DomainOut, "i: a"},
      {EventId::DomainIn, "i: b"}}},
    {"no domain is named any more",
     [](State &it, bool &) {
       it.Intent.Version = 8;
       it.Intent.Intent = std::make_shared<const Document>();
     },
     {{EventId::DocumentInForce, "i: version 8, before 4, change "},
      {EventId::DomainOut, "i: a"}}},
    {"a domain is new",
     [](State &it, bool &) {
       it.Intent.Version = 9;
       it.Intent.Intent = std::make_shared<const Document>(
           Document{.Domains = {{"a", "", true}, {"c", "", true}}});
     },
     {{EventId::DocumentInForce, "i: version 9, before 4, change "},
      {EventId::DomainIn, "i: c"}}},
    {"a refused document",
     [](State &it, bool &) { it.Intent.RefusedVersion = 7; },
     {{EventId::DocumentRefused, "i: version 7"}}},
    {"one failed read",
     [](State &it, bool &) { it.DocumentRead.Failures = 1; },
     {}},
    {"failed reads",
     [](State &it, bool &) { it.DocumentRead.Failures = FailuresOfLoss; },
     {{EventId::PlatformLost, "i"}}},
    {"no reader",
     [](State &, bool &reader) { reader = false; },
     {{EventId::ReadingEnded, "i"}}},
};

} // namespace

BOOST_DATA_TEST_CASE(theLogIsToldOfAChangeOnce, Cases, it) {
  State state;
  Told told;
  bool reader = true;
  state.Members.Self.Id = "i";
  putInForce(state, 4, true, false);
  const std::vector<Notice> first{
      {EventId::DocumentInForce, "i: version 4, before 0, change c4"},
      {EventId::DomainOut, "i: b"},
      {EventId::ReadingBegan, "i"}};
  BOOST_TEST((takeNotices(told, state, reader) == first));
  it.Change(state, reader);
  BOOST_TEST((takeNotices(told, state, reader) == it.Expected));
  BOOST_TEST(takeNotices(told, state, reader).empty());
}

BOOST_AUTO_TEST_CASE(anOutageIsToldOnceAndItsEnd) {
  State state;
  Told told;
  std::vector<EventId> seen;
  for (const unsigned failures : {0, 1, 2, 3, 9, 1, 0, 0, 1, 0}) {
    state.DocumentRead.Failures = failures;
    for (const Notice &it : takeNotices(told, state, false)) {
      seen.push_back(it.Id);
    }
  }
  BOOST_TEST(
      (seen == std::vector{EventId::PlatformLost, EventId::PlatformBack}));
}
