// The soak on real processes: a few seeds, and planted breaches.
#include <sys/stat.h>

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "common/Net.h"
#include "common/Process.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace soak_test {

constexpr auto Program = ZINNIARAIL_BINARY_DIR "/soak/zinniarail-soak";

/// What the soak said at its end.
struct Outcome {
  int Code = -1;
  std::string Text;
};

Outcome play(const std::vector<std::string> &flags) {
  char file[] = "/tmp/zinniarail-soak-XXXXXX";
  close(mkstemp(file));
  std::vector<std::string> words{Program, "--net",
                                 std::to_string(standins::loopbackNet() + 20)};
  words.insert(words.end(), flags.begin(), flags.end());
  standins::Process soak;
  BOOST_REQUIRE(soak.start(words, standins::OwnLog, file));
  Outcome out;
  out.Code = soak.wait(10min).value_or(-1);
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  out.Text = text.str();
  unlink(file);
  return out;
}

struct Planted {
  const char *Misdeed;
  const char *Promise;
};
std::ostream &operator<<(std::ostream &out, const Planted &it) {
  return out << it.Misdeed;
}
const std::vector<Planted> AllPlanted{
    {"run-twice", "runs-once"},       {"refuse-falsely", "true-refusals"},
    {"cut-answers", "own-answers"},   {"drop-answers", "no-lost-answers"},
    {"ignore-drain", "drain"},        {"ignore-evacuation", "evacuation"},
    {"ignore-move", "configuration"}, {"flood", "retry-budget"},
    {"crowd-cold", "cold-upstreams"}, {"end-by-itself", "stays-up"}};

} // namespace soak_test
using namespace soak_test;

BOOST_DATA_TEST_CASE(aSeedBreaksNoPromise, (std::vector<int>{1, 18}), seed) {
  const Outcome it = play({"--seed", std::to_string(seed), "--seconds", "15"});
  BOOST_TEST(it.Code == 0, it.Text);
}

BOOST_DATA_TEST_CASE(aPlantedBreachIsSeen, AllPlanted, planted) {
  const Outcome it = play({"--seconds", "14", "--misdeed", planted.Misdeed});
  BOOST_TEST(it.Code == 1, it.Text);
  BOOST_TEST(it.Text.find(std::string("BROKEN ") + planted.Promise) !=
                 std::string::npos,
             it.Text);
}

// What it started ends with it: another one finds the addresses free.
BOOST_AUTO_TEST_CASE(aSoakThatIsStoppedLeavesNoProcess) {
  const std::string net = std::to_string(standins::loopbackNet() + 20);
  standins::Process soak;
  BOOST_REQUIRE(soak.start({Program, "--net", net, "--seconds", "600"}, ""));
  BOOST_REQUIRE(!soak.wait(3s).has_value());
  soak.signal(SIGTERM);
  BOOST_TEST(soak.wait(1min).value_or(-1) == 3);
  const Outcome it = play({"--seconds", "6"});
  BOOST_TEST(it.Code == 0, it.Text);
}

struct BadFlags {
  std::vector<std::string> Flags;
};
std::ostream &operator<<(std::ostream &out, const BadFlags &it) {
  return out << it.Flags.front();
}
const std::vector<BadFlags> AllBadFlags{
    {{"--seconds", "1"}},      {{"--instances", "0"}},
    {{"--upstreams", "1000"}}, {{"--misdeed", "theft"}},
    {{"--program", "/none"}},  {{"--logs", "/none"}},
    {{"--seeds", "many"}}};

BOOST_DATA_TEST_CASE(badSettingsAreRefused, AllBadFlags, it) {
  BOOST_TEST(play(it.Flags).Code == 2);
}
