#include <algorithm>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/settings/Settings.h"

using namespace zinniarail;

namespace {

using Variables = std::map<std::string, std::string>;

const std::vector<std::string> Complete{"--instance-id=i1",
                                        "--failure-domain=serra-a",
                                        "--environment=trial",
                                        "--caller-address=127.0.0.1:1",
                                        "--peer-address=127.0.0.1:2",
                                        "--operator-address=127.0.0.1:3",
                                        "--platform-address=127.0.0.1:4"};

Result<Invocation, SettingErrors> read(std::vector<std::string> more,
                                       const Variables &variables = {}) {
  more.insert(more.begin(), Complete.begin(), Complete.end());
  return readSettings(more, [&](const char *name) {
    const auto it = variables.find(name);
    return it == variables.end() ? nullptr : it->second.c_str();
  });
}

struct Wrong {
  std::vector<std::string> Arguments;
  std::vector<std::string> Named; ///< What each error must name, in order.
};

std::ostream &operator<<(std::ostream &out, const Wrong &it) {
  for (const auto &argument : it.Arguments) {
    out << argument << ' ';
  }
  return out;
}

const std::vector<Wrong> WrongSettings{
    {{"--seed=x"}, {"seed"}},
    {{"--seed=x", "--stop-timeout-ms=y"}, {"seed", "stop-timeout-ms"}},
    {{"--trace-bytes=-1"}, {"--trace-bytes"}},
    {{"--trace-bytes=16777217"}, {"--trace-bytes"}},
    {{"--policy=best"}, {"--policy"}},
    {{"--log-level=loud"}, {"--log-level"}},
    {{"--view-lifetime-ms=1", "--stop-timeout-ms=0", "--nonsense"},
     {"--nonsense", "--view-lifetime-ms", "--stop-timeout-ms"}},
    {{"--peer-interval-ms=1000"}, {"--peer-interval-ms"}},
    {{"stray"}, {"stray"}},
    {{"--seed=1", "--seed=2"}, {"--seed"}},
    {{"--seed=1", "--seed=x", "--nonsense", "--instance-id=i2"},
     {"--nonsense", "--instance-id", "--seed"}},
};

} // namespace

BOOST_DATA_TEST_CASE(everyErrorIsNamedAtOnce, WrongSettings, it) {
  const auto result = read(it.Arguments);
  BOOST_REQUIRE(!result);
  BOOST_REQUIRE(result.error().size() == it.Named.size());
  for (std::size_t n = 0; n < it.Named.size(); ++n) {
    BOOST_TEST(result.error()[n].find(it.Named[n]) != std::string::npos,
               result.error()[n]);
  }
}

BOOST_AUTO_TEST_CASE(nothingSetNamesEachMissingOne) {
  const auto result =
      readSettings({}, [](const char *) -> const char * { return nullptr; });
  BOOST_REQUIRE(!result);
  BOOST_TEST(result.error().size() == 7u);
}

BOOST_AUTO_TEST_CASE(theFlagWinsOverTheVariable) {
  const Variables variables{{"ZINNIARAIL_FAILURE_DOMAIN", "serra-b"},
                            {"ZINNIARAIL_STOP_TIMEOUT_MS", "1500"}};
  const auto result = read({}, variables);
  BOOST_REQUIRE(result);
  BOOST_TEST(result.value().Values.FailureDomain == "serra-a");
  BOOST_TEST(
      (result.value().Values.StopTimeout == std::chrono::milliseconds{1500}));
}

BOOST_AUTO_TEST_CASE(commandsAreTold) {
  BOOST_TEST((read({"--check"}).value().Wanted == Command::Check));
  BOOST_TEST((read({"--help"}).value().Wanted == Command::Help));
  BOOST_TEST((read({"--version"}).value().Wanted == Command::Version));
  BOOST_TEST((read({"--policy=two-choices"}).value().Values.Policy ==
              RoutingPolicy::TwoChoices));
}

BOOST_DATA_TEST_CASE(brokenAddressesAreRefused,
                     (std::vector<std::string>{"", "1.2.3.4",
                                               "1.2.3.4:", "1.2.3.4:0",
                                               "1.2.3.4:70000", "localhost:80",
                                               "1.2.3:80", "1.2.3.4:80x"}),
                     text) {
  BOOST_TEST(parseAddress(text).Host.empty());
}

namespace {

std::string rowOf(const SettingKind &it) {
  const std::string value = it.Default.empty() ? "(must be given)" : it.Default;
  return "| `" + it.Flag + "` | `" + it.Variable + "` | " + value + " | " +
         it.Meaning + " |";
}

// The rows of the daemon's table, which is the first one of flags.
std::vector<std::string> settingRows() {
  std::ifstream file(ZINNIARAIL_SOURCE_DIR "/docs/OPERATING.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `--")) {
      rows.push_back(line);
    } else if (!rows.empty()) {
      break;
    }
  }
  return rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(thePageListsEachSettingAndNoOther) {
  std::vector<std::string> rows;
  for (const SettingKind &it : settingKinds()) {
    rows.push_back(rowOf(it));
  }
  BOOST_TEST(rows == settingRows(), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(theHelpListsEachSettingAndNoOther) {
  const std::string help = describeSettings();
  const std::string part = help.substr(help.find("Settings:"));
  const std::regex line("\n  (--[a-z-]+) [A-Z:]+( \\(=([^)]*)\\))? ");
  std::vector<std::string> listed;
  for (std::sregex_iterator it(part.begin(), part.end(), line), end; it != end;
       ++it) {
    listed.push_back((*it)[1].str() + "=" + (*it)[3].str());
  }
  std::vector<std::string> kinds;
  for (const SettingKind &it : settingKinds()) {
    kinds.push_back(it.Flag + "=" + it.Default);
  }
  BOOST_TEST(listed == kinds, boost::test_tools::per_element());
}

// Both the flag and the variable are read: a value that is wrong for any of
// them is refused by its name. The default, given, is the same as none.
BOOST_AUTO_TEST_CASE(eachSettingIsReadByItsFlagItsVariableAndItsDefault) {
  for (const SettingKind &it : settingKinds()) {
    std::vector<std::string> arguments = Complete;
    std::erase_if(arguments, [&](const std::string &each) {
      return each.starts_with(it.Flag + "=");
    });
    const auto readWith = [&](const std::string &value, bool asFlag) {
      std::vector<std::string> given = arguments;
      if (asFlag) {
        given.push_back(it.Flag + "=" + value);
      }
      return readSettings(given, [&](const char *name) {
        return !asFlag && name == it.Variable ? value.c_str() : nullptr;
      });
    };
    for (const bool asFlag : {true, false}) {
      const auto wrong = readWith("?", asFlag);
      BOOST_REQUIRE_MESSAGE(!wrong, it.Flag);
      BOOST_TEST(wrong.error().front().find(it.Flag.substr(2)) !=
                     std::string::npos,
                 wrong.error().front());
      BOOST_TEST(it.Default.empty() == !readWith(it.Default, asFlag), it.Flag);
    }
    BOOST_TEST(
        it.Default.empty() ==
            !readSettings(arguments,
                          [](const char *) -> const char * { return nullptr; }),
        it.Flag);
  }
}
