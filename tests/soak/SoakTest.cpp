// Runs the soak program on real processes: seeds with random incidents, each
// injected misbehaviour, termination and invalid flags.
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

/// The soak program's exit code and standard output.
struct Outcome {
  int Code = -1;
  std::string Text;
};

Outcome runSoak(const std::vector<std::string> &flags) {
  char file[] = "/tmp/zinniarail-soak-XXXXXX";
  close(mkstemp(file));
  std::vector<std::string> arguments{
      Program, "--net", std::to_string(standins::loopbackNet() + 20)};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  standins::Process soak;
  BOOST_REQUIRE(soak.start(arguments, standins::InheritStderr, file));
  Outcome out;
  out.Code = soak.wait(10min).value_or(-1);
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  out.Text = text.str();
  unlink(file);
  return out;
}

struct MisbehaviourCase {
  const char *Name;
  const char *Guarantee;
};
std::ostream &operator<<(std::ostream &out, const MisbehaviourCase &it) {
  return out << it.Name;
}
const std::vector<MisbehaviourCase> MisbehaviourCases{
    {"run-twice", "runs-once"},       {"refuse-falsely", "true-refusals"},
    {"cut-answers", "own-answers"},   {"drop-answers", "no-lost-answers"},
    {"ignore-drain", "drain"},        {"ignore-evacuation", "evacuation"},
    {"ignore-move", "configuration"}, {"flood", "retry-budget"},
    {"crowd-cold", "cold-upstreams"}, {"end-by-itself", "stays-up"}};

} // namespace soak_test
using namespace soak_test;

BOOST_DATA_TEST_CASE(randomIncidentsViolateNoGuarantee,
                     (std::vector<int>{1, 18, 2019}), seed) {
  const Outcome it =
      runSoak({"--seed", std::to_string(seed), "--seconds", "15"});
  BOOST_TEST(it.Code == 0, it.Text);
}

BOOST_DATA_TEST_CASE(injectedMisbehaviourIsDetected, MisbehaviourCases,
                     misbehaviour) {
  const Outcome it =
      runSoak({"--seconds", "14", "--misdeed", misbehaviour.Name});
  BOOST_TEST(it.Code == 1, it.Text);
  BOOST_TEST(it.Text.find(std::string("BROKEN ") + misbehaviour.Guarantee) !=
                 std::string::npos,
             it.Text);
}

// A second run can bind the same addresses only if SIGTERM made the first one
// stop all its processes.
BOOST_AUTO_TEST_CASE(stoppedSoakLeavesNoProcesses) {
  const std::string net = std::to_string(standins::loopbackNet() + 20);
  standins::Process soak;
  BOOST_REQUIRE(soak.start({Program, "--net", net, "--seconds", "600"}, ""));
  BOOST_REQUIRE(!soak.wait(3s).has_value());
  soak.signal(SIGTERM);
  BOOST_TEST(soak.wait(1min).value_or(-1) == 3);
  const Outcome it = runSoak({"--seconds", "6"});
  BOOST_TEST(it.Code == 0, it.Text);
}

struct BadFlags {
  std::vector<std::string> Flags;
};
std::ostream &operator<<(std::ostream &out, const BadFlags &it) {
  return out << it.Flags.front();
}
const std::vector<BadFlags> AllBadFlags{
    {{"--seconds", "1"}},           {{"--instances", "0"}},
    {{"--upstreams", "1000"}},      {{"--misdeed", "theft"}},
    {{"--program", "/none"}},       {{"--logs", "/none"}},
    {{"--other-program", "/none"}}, {{"--seeds", "many"}}};

BOOST_DATA_TEST_CASE(invalidFlagsAreRejected, AllBadFlags, it) {
  BOOST_TEST(runSoak(it.Flags).Code == 2);
}
