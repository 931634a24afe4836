// The soak program: runs one seed after another and prints the result of each.
#include <csignal>

#include <filesystem>
#include <iostream>
#include <stdexcept>

#include "common/CommandLine.h"
#include "soak/Run.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

namespace options = boost::program_options;

constexpr int ExitViolation = 1;
constexpr int ExitRunFailed = 3; // a run could not start or was interrupted

constexpr unsigned MaxInstances = 200; // processes on one machine
constexpr unsigned MaxUpstreams = 250; // addresses in one 127.x.y.0/24 network
constexpr unsigned MaxSeconds = 3600;
constexpr unsigned MaxNet = 254;

constexpr const char *MovingPath = "/moving/";

// More than the buffers between an instance and an upstream take, so that a
// response can come before an upload is sent whole.
constexpr std::size_t UploadBytes = std::size_t{8} << 20;

// Set by the signal handler: the program stops the run's processes before it
// exits.
volatile std::sig_atomic_t StopRequested = 0;

struct SoakOptions {
  std::uint64_t Seed = 1;
  unsigned Seeds = 1;
  unsigned Seconds = 20;
  unsigned Instances = 6;
  unsigned Upstreams = 9;
  unsigned Net = 50;
  std::string Program;
  std::string OtherProgram;
  std::string Logs;
  std::string MisbehaviourName;
};

void require(bool isMet, const std::string &message) {
  if (!isMet) {
    throw std::invalid_argument(message);
  }
}

void validate(const SoakOptions &it) {
  require(it.Seeds >= 1, "--seeds must be 1 or more");
  require(it.Seconds >= 6 && it.Seconds <= MaxSeconds,
          "--seconds must be from 6 to 3600");
  require(it.Instances >= 3 && it.Instances <= MaxInstances,
          "--instances must be from 3 to 200");
  require(it.Upstreams >= 6 && it.Upstreams <= MaxUpstreams,
          "--upstreams must be from 6 to 250");
  require(it.Net >= 1 && it.Net <= MaxNet, "--net must be from 1 to 254");
  require(std::filesystem::exists(it.Program),
          "--program: no such file: " + it.Program);
  require(it.OtherProgram.empty() || std::filesystem::exists(it.OtherProgram),
          "--other-program: no such file: " + it.OtherProgram);
  require(it.Logs.empty() || std::filesystem::is_directory(it.Logs),
          "--logs: no such folder: " + it.Logs);
  require(it.MisbehaviourName.empty() ||
              soak::findMisbehaviour(it.MisbehaviourName),
          "--misdeed: unknown name " + it.MisbehaviourName);
}

// The only incident of a run that injects this misbehaviour: the one that the
// misbehaviour needs, or a configuration change if it needs none.
soak::ScheduledIncident incidentFor(soak::Misbehaviour misbehaviour) {
  using soak::Incident;
  switch (misbehaviour) {
  case soak::Misbehaviour::IgnoreDrain:
    return {Incident::DrainUpstream, 500ms, 9s, 0};
  case soak::Misbehaviour::IgnoreEvacuation:
    return {Incident::Evacuate, 500ms, 1s, 0};
  case soak::Misbehaviour::CrowdCold:
    return {Incident::CrashUpstream, 500ms, 500ms, 0};
  default:
    return {Incident::ChangeConfiguration, 500ms, 1s, 0};
  }
}

soak::RunPlan makePlan(const SoakOptions &it, std::uint64_t seed) {
  soak::RunPlan plan;
  standins::DeploymentPlan &deployment = plan.Deployment;
  deployment.Program = it.Program;
  deployment.OtherProgram = it.OtherProgram;
  deployment.LogFolder = it.Logs;
  deployment.Net = it.Net;
  deployment.InstanceCount = it.Instances;
  deployment.HasLinks = true;
  deployment.Seed = seed;
  const unsigned orderUpstreams = it.Upstreams * 2 / 3;
  deployment.Services = {{"orders", orderUpstreams, 30ms},
                         {"archive", it.Upstreams - orderUpstreams, 50ms}};
  const double scale = it.Upstreams / 9.0;
  deployment.Customers = {{"customer-a", {"soak-key-of-a"}},
                          {"customer-b", {"soak-key-of-b"}}};
  deployment.Routes = {
      {"/read/", "orders", true, 2, 60 * scale, 300ms, 1000ms},
      {"/order/", "orders", false, 1, 30 * scale, 300ms, 1500ms},
      {MovingPath, "archive", true, 2, 30 * scale, 500ms, 1500ms},
      {"/upload/", "orders", false, 1, 3, 1000ms, 3000ms, UploadBytes}};
  deployment.Settings.MaxBodyBytes = UploadBytes;
  plan.MovingPath = MovingPath;
  plan.Length = std::chrono::seconds{it.Seconds};
  plan.ShouldStop = [] { return StopRequested != 0; };
  soak::ScheduleParameters parameters;
  parameters.Length = plan.Length;
  parameters.Instances = it.Instances;
  parameters.Upstreams = it.Upstreams;
  if (it.MisbehaviourName.empty()) {
    plan.Schedule = soak::drawSchedule(parameters, seed);
    return plan;
  }
  // No other incidents: a disruption could excuse the violation.
  plan.InjectedMisbehaviour = soak::findMisbehaviour(it.MisbehaviourName);
  plan.Schedule = {incidentFor(*plan.InjectedMisbehaviour)};
  return plan;
}

void printResult(std::uint64_t seed, const soak::RunResult &result) {
  const standins::CallerTally &it = result.Callers;
  std::cout << "seed " << seed << ": issued " << it.Issued << ", served "
            << it.Served << ", refused " << it.Refused << ", failed "
            << it.Failed << ", lost " << it.ConnectionLost << ", not sent "
            << it.NotSent << ", timed out " << it.TimedOut << ", mismatched "
            << it.Mismatched << "; incidents:";
  for (const auto &[incident, count] : result.IncidentCounts) {
    std::cout << ' ' << soak::nameOf(incident) << '=' << count;
  }
  std::cout << '\n';
  if (!result.Error.empty()) {
    std::cout << "  run failed: " << result.Error << '\n';
  }
  for (const soak::Violation &violation : result.Violations) {
    std::cout << "  BROKEN " << violation.Guarantee << ": "
              << violation.Description << '\n';
  }
  std::cout << std::flush;
}

int run(const SoakOptions &given) {
  validate(given);
  std::signal(SIGPIPE, SIG_IGN);
  for (const int it : {SIGTERM, SIGINT}) {
    std::signal(it, [](int) { StopRequested = 1; });
  }
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  unsigned withViolations = 0;
  unsigned failed = 0;
  for (unsigned n = 0; n < given.Seeds && StopRequested == 0; ++n) {
    const std::uint64_t seed = given.Seed + n;
    soak::RunResult result;
    {
      soak::Run run(loop, makePlan(given, seed));
      result = run.execute();
    }
    printResult(seed, result);
    withViolations += result.Violations.empty() ? 0 : 1;
    failed += result.Error.empty() ? 0 : 1;
  }
  ev_loop_destroy(loop);
  std::cout << given.Seeds << " seeds, " << withViolations
            << " with a violated guarantee, " << failed << " failed to run\n";
  return failed > 0 ? ExitRunFailed : withViolations > 0 ? ExitViolation : 0;
}

} // namespace

int main(int argc, char **argv) {
  SoakOptions it;
  options::options_description flags("Runs random incidents on real processes");
  const auto program =
      std::filesystem::path(argv[0]).parent_path() / "../programs/zinniaraild";
  flags.add_options()("seed", options::value(&it.Seed)->default_value(1),
                      "seed of the first run")(
      "seeds", options::value(&it.Seeds)->default_value(1),
      "number of runs, each with the next seed")(
      "seconds", options::value(&it.Seconds)->default_value(20),
      "seconds of traffic in each run")(
      "instances", options::value(&it.Instances)->default_value(6),
      "number of zinniaraild processes")(
      "upstreams", options::value(&it.Upstreams)->default_value(9),
      "number of upstreams, over both services")(
      "net", options::value(&it.Net)->default_value(50),
      "addresses are 127.NET.x.y; concurrent runs need different values")(
      "program", options::value(&it.Program)->default_value(program.string()),
      "path of zinniaraild")(
      "other-program", options::value(&it.OtherProgram),
      "path of zinniaraild of another build; each instance runs the two by "
      "turns, from one start to the next")("logs", options::value(&it.Logs),
                                           "folder for the instances' logs")(
      "misdeed", options::value(&it.MisbehaviourName),
      "violates a guarantee on purpose: run-twice, refuse-falsely, "
      "cut-answers, "
      "drop-answers, ignore-drain, ignore-evacuation, ignore-move, flood, "
      "crowd-cold or end-by-itself");
  return standins::runProgram(argc, argv, flags,
                              [&](const auto &) { return run(it); });
}
