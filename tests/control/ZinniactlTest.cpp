#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Standin.h"
#include "zinniarail/intent/Changes.h"
#include "zinniarail/intent/Parts.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

// What zinniactl --help documents.
constexpr int Done = 0;
constexpr int Usage = 2;
constexpr int Invalid = 3;
constexpr int LostRace = 4;
constexpr int Unreachable = 5;
constexpr int Unknown = 6;
constexpr int NotInForce = 7;

const Document Base{.Domains = {{"a", "", true}, {"b", "", true}}};

struct Fixture {
  explicit Fixture(const std::string &rest)
      : Platform(standins::loopbackAddress(rest)) {
    Folder = std::filesystem::temp_directory_path() /
             ("zinniactl-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder);
  }
  ~Fixture() { std::filesystem::remove_all(Folder); }
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;

  std::string file(const std::string &bytes,
                   const std::string &as = "document.json") const {
    std::string name = Folder / as;
    std::ofstream(name) << bytes;
    return name;
  }
  Process start(std::vector<std::string> words,
                const std::string &environment = "trial") const {
    words.insert(words.end(), {"--platform-address", Platform.Address,
                               "--environment", environment});
    return startProgram("/programs/zinniactl", words);
  }
  int run(const std::vector<std::string> &words) const {
    return awaitExit(start(words));
  }
  // Runs a command with --json.
  std::pair<int, boost::json::object>
  report(std::vector<std::string> words) const {
    const std::string name = Folder / "output.json";
    words.insert(words.end(), {"--json", "--platform-address", Platform.Address,
                               "--environment", "trial"});
    const int code =
        awaitExit(startProgram("/programs/zinniactl", words, name));
    std::ifstream in(name);
    return {code, boost::json::parse(in).as_object()};
  }
  std::string stored(const std::string &environment = "trial") const {
    return Platform
        .call("GET", "/objects/environments/" + environment + "/document")
        .Body;
  }

  PlatformStandin Platform;
  std::filesystem::path Folder;
};

struct Story {
  const char *Name;
  const char *Faults; ///< From the second command on.
  std::vector<std::string> Words;
  int Code;
  bool Written; ///< Whether the document changed.
};
std::ostream &operator<<(std::ostream &out, const Story &it) {
  return out << it.Name;
}

const std::vector<Story> Stories{
    {"out", "{}", {"domain", "out", "a"}, Done, true},
    {"out, slow", R"({"delayMs":300})", {"domain", "out", "a"}, Done, true},
    {"answer lost",
     R"({"kinds":["put"],"dropAnswerAfterWrite":1})",
     {"domain", "out", "a"},
     Done,
     true},
    {"every answer lost",
     R"({"kinds":["put"],"dropAnswerAfterWrite":-1})",
     {"domain", "out", "a"},
     Done,
     true},
    {"every write fails",
     R"({"kinds":["put"],"outage":"close"})",
     {"domain", "out", "a"},
     Unknown,
     false},
    {"outage",
     R"({"outage":"503"})",
     {"domain", "out", "a"},
     Unreachable,
     false},
    {"another version was seen",
     "{}",
     {"domain", "out", "a", "--expect", "99"},
     LostRace,
     false},
    {"no such domain", "{}", {"domain", "out", "z"}, 1, false},
    {"half a command", "{}", {"domain", "out"}, Usage, false},
    {"no such flag", "{}", {"domain", "out", "a", "--force"}, Usage, false},
    {"no instance answers", "{}", {"status"}, NotInForce, false},
};

} // namespace

BOOST_DATA_TEST_CASE(aCommandSaysWhatHappened, Stories, story) {
  Fixture it("51.1:7000");
  BOOST_REQUIRE(it.run({"apply", it.file(serialiseDocument(Base))}) == Done);
  const std::string before = it.stored();
  it.Platform.setFaults(story.Faults);
  BOOST_TEST(it.run(story.Words) == story.Code);
  it.Platform.setFaults(R"({"outage":"none","delayMs":0})");
  BOOST_TEST((it.stored() != before) == story.Written);
}

BOOST_AUTO_TEST_CASE(aRaceOfTwoOperatorsHasOneWinner) {
  Fixture it("51.2:7000");
  BOOST_REQUIRE(it.run({"apply", it.file(serialiseDocument(Base))}) == Done);
  // Both write from version 1, whoever reads first.
  it.Platform.setFaults(R"({"kinds":["get"],"delayMs":500})");
  auto a = it.start({"domain", "out", "a", "--expect", "1"});
  auto b = it.start({"domain", "out", "b", "--expect", "1"});
  const int first = awaitExit(std::move(a));
  const int second = awaitExit(std::move(b));
  BOOST_TEST(std::min(first, second) == Done);
  BOOST_TEST(std::max(first, second) == LostRace);
  it.Platform.setFaults(R"({"kinds":["get"],"delayMs":0})");
  const Document after = parseDocument(it.stored()).value();
  BOOST_TEST(isInService(after, "a") == (first != Done));
  BOOST_TEST(isInService(after, "b") == (second != Done));
}

// What a loser is told: paths, and whose change each is.
const std::vector<std::pair<std::vector<std::string>, std::string>> Losers{
    {{"apply", "WANTED", "--expect", "1"},
     R"([["/domains/a/inService",null],["/domains/b/inService",null]])"},
    {{"apply", "WANTED", "--expect", "1", "--base", "BASE"},
     R"([["/domains/a/inService","others"],["/domains/b/inService","you"]])"},
    {{"apply", "WANTED", "--base", "BASE"},
     R"([["/domains/a/inService","others"],["/domains/b/inService","you"]])"},
    {{"domain", "out", "b", "--expect", "1"},
     R"([["/domains/b/inService",null]])"},
};

BOOST_DATA_TEST_CASE(aLoserLearnsWhatDiffers,
                     boost::unit_test::data::xrange(Losers.size()), n) {
  auto [words, expected] = Losers[n];
  Fixture it("51.7:7000");
  Document wanted = Base;
  setDomainInService(wanted, "b", false);
  const std::string base = it.file(serialiseDocument(Base), "base.json");
  BOOST_REQUIRE(it.run({"apply", base}) == Done);
  BOOST_REQUIRE(it.run({"domain", "out", "a"}) == Done);
  const std::string before = it.stored();
  for (std::string &word : words) {
    word = word == "WANTED" ? it.file(serialiseDocument(wanted))
           : word == "BASE" ? base
                            : word;
  }
  auto [code, data] = it.report(words);
  BOOST_TEST(code == LostRace);
  BOOST_TEST(data.at("currentVersion") == 2);
  boost::json::array told;
  for (const auto &each : data.at("differences").as_array()) {
    const boost::json::object &one = each.as_object();
    const auto *by = one.if_contains("changedBy");
    told.push_back({one.at("path"), by != nullptr ? *by : nullptr});
  }
  BOOST_TEST(boost::json::serialize(told) == expected);
  BOOST_TEST(it.stored() == before);
}

BOOST_AUTO_TEST_CASE(aBaseThatIsStillStoredLosesNothing) {
  Fixture it("51.8:7000");
  const std::string base = it.file(serialiseDocument(Base), "base.json");
  BOOST_REQUIRE(it.run({"apply", base}) == Done);
  BOOST_TEST(it.run({"apply", base, "--base", base}) == Done);
  const std::string broken = it.file("{", "broken.json");
  BOOST_TEST(it.run({"apply", base, "--base", broken}) == Invalid);
}

BOOST_AUTO_TEST_CASE(promotionCarriesTheSameBytes) {
  Fixture it("51.3:7000");
  BOOST_REQUIRE(it.run({"apply", it.file(serialiseDocument(Base))}) == Done);
  BOOST_TEST(it.run({"promote", "--from", "trial", "--to", "production"}) ==
             Done);
  BOOST_TEST(it.stored("production") == it.stored("trial"));
  BOOST_TEST(it.run({"promote", "--from", "trial", "--to", "production"}) ==
             Done);
}

BOOST_AUTO_TEST_CASE(aDocumentBeyondOneValueIsSplitAndPromoted) {
  Fixture it("51.6:7000");
  Document large = Base;
  for (unsigned n = 0; n < 10000; ++n) {
    large.Services.push_back({.Name = "service-" + std::to_string(n)});
  }
  BOOST_REQUIRE(it.run({"apply", it.file(serialiseDocument(large))}) == Done);
  BOOST_TEST(!partsOf(it.stored()).empty());
  it.Platform.setFaults(R"({"kinds":["put"],"dropAnswerAfterWrite":2})");
  BOOST_TEST(it.run({"domain", "out", "a"}) == Done);
  BOOST_TEST(it.run({"promote", "--from", "trial", "--to", "production"}) ==
             Done);
  BOOST_TEST(it.stored("production") == it.stored("trial"));
}

BOOST_AUTO_TEST_CASE(aDocumentOfOneEnvironmentIsNotPromoted) {
  Fixture it("51.4:7000");
  Document pinned = Base;
  pinned.Environment = "trial";
  BOOST_REQUIRE(it.run({"apply", it.file(serialiseDocument(pinned))}) == Done);
  BOOST_TEST(it.run({"promote", "--from", "trial", "--to", "production"}) ==
             Invalid);
}

// The flags and variables that the page and the program tell, as "--flag" or
// "--flag=default".
std::set<std::string> flagsOf(const std::string &text, const std::string &row) {
  std::set<std::string> flags;
  const std::regex each(row);
  for (std::sregex_iterator it(text.begin(), text.end(), each), end; it != end;
       ++it) {
    const std::string value = (*it)[2].str();
    flags.insert((*it)[1].str() + (value.empty() ? "" : "=" + value));
  }
  return flags;
}

std::string textOf(const std::string &name) {
  std::ifstream in(name);
  return {std::istreambuf_iterator<char>(in), {}};
}

BOOST_AUTO_TEST_CASE(thePageListsTheFlagsOfHelpAndNoOther) {
  Fixture it("51.9:7000");
  const std::string help = it.Folder / "help.txt";
  BOOST_REQUIRE(
      awaitExit(startProgram("/programs/zinniactl", {"--help"}, help)) == Done);
  const std::string page = textOf(ZINNIARAIL_SOURCE_DIR "/docs/OPERATING.md");
  const std::size_t at = page.find("## Flags of zinniactl");
  BOOST_REQUIRE(at != std::string::npos);
  const std::string part = page.substr(at);
  const auto told =
      flagsOf(textOf(help), "\n  (--[a-z-]+)(?: arg)?(?: \\(=([^)]*)\\))? ");
  BOOST_TEST(told.size() > 5u);
  BOOST_TEST(told == flagsOf(part, "\n\\| `(--[a-z-]+)` \\| [^|]*\\| ([^ |]*)"),
             boost::test_tools::per_element());
  BOOST_TEST(flagsOf(textOf(help), "(ZINNIARAIL_[A-Z_]+)()") ==
                 flagsOf(part, "\\| `(ZINNIARAIL_[A-Z_]+)` ()"),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aDocumentWithFaultsIsNotWritten) {
  Fixture it("51.5:7000");
  BOOST_TEST(it.run({"validate", it.file("{\"services\":[{}]}")}) == Invalid);
  BOOST_TEST(it.run({"apply", it.file("{\"services\":[{}]}")}) == Invalid);
  const std::string twice = it.file(R"({"domains":[],"domains":[]})");
  BOOST_TEST(it.run({"validate", twice}) == Invalid);
  BOOST_TEST(it.run({"apply", twice}) == Invalid);
  BOOST_TEST(it.stored() == "no such object\n");
}
