#include <fstream>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "zinniarail/events/Events.h"

using namespace zinniarail;

namespace {

const char *levelName(EventLevel level) {
  const char *const names[]{"debug", "info", "warn", "error"};
  return names[static_cast<int>(level)];
}

std::string catalogueRow(const EventKind &it) {
  return "| " + std::to_string(static_cast<unsigned>(it.Id)) + " | `" +
         it.Name + "` | " + levelName(it.Level) + " | " + it.Meaning + " |";
}

} // namespace

BOOST_AUTO_TEST_CASE(eventsPageListsExactlyTheEvents) {
  std::ifstream file(ZINNIARAIL_SOURCE_DIR "/docs/EVENTS.md");
  BOOST_REQUIRE(file);
  std::vector<std::string> listed;
  for (std::string line; std::getline(file, line);) {
    if (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2])) {
      listed.push_back(line);
    }
  }
  std::vector<std::string> rows;
  for (const EventKind &it : eventKinds()) {
    rows.push_back(catalogueRow(it));
  }
  BOOST_TEST(listed == rows, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(eventNumbersAndNamesAreUnique) {
  std::set<EventId> numbers;
  std::set<std::string> names;
  for (const EventKind &it : eventKinds()) {
    BOOST_TEST(numbers.insert(it.Id).second, it.Name);
    BOOST_TEST(names.insert(it.Name).second, it.Name);
    BOOST_TEST(findEventKind(it.Id).Name == it.Name);
  }
}
