// Runs seeds one after the other and prints a line for each.
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

constexpr int ExitBreach = 1;
constexpr int ExitNotPlayed = 3;

constexpr unsigned MostInstances = 200; // processes that a machine bears
constexpr unsigned MostUpstreams = 250; // numbers of one loopback network
constexpr unsigned MostSeconds = 3600;
constexpr unsigned MostNet = 254;

constexpr const char *MovingPath = "/moving/";

// Set by a signal. The processes of a run must not outlive it.
volatile std::sig_atomic_t Stopped = 0;

struct Wanted {
  std::uint64_t Seed = 1;
  unsigned Seeds = 1;
  unsigned Seconds = 20;
  unsigned Instances = 6;
  unsigned Upstreams = 9;
  unsigned Net = 50;
  std::string Program;
  std::string Logs;
  std::string Planted;
};

void require(bool holds, const std::string &what) {
  if (!holds) {
    throw std::invalid_argument(what);
  }
}

void check(const Wanted &it) {
  require(it.Seeds >= 1, "--seeds must be 1 or more");
  require(it.Seconds >= 6 && it.Seconds <= MostSeconds,
          "--seconds must be from 6 to 3600");
  require(it.Instances >= 3 && it.Instances <= MostInstances,
          "--instances must be from 3 to 200");
  require(it.Upstreams >= 6 && it.Upstreams <= MostUpstreams,
          "--upstreams must be from 6 to 250");
  require(it.Net >= 1 && it.Net <= MostNet, "--net must be from 1 to 254");
  require(std::filesystem::exists(it.Program),
          "--program: there is no file " + it.Program);
  require(it.Logs.empty() || std::filesystem::is_directory(it.Logs),
          "--logs: there is no folder " + it.Logs);
  require(it.Planted.empty() || soak::misdeedNamed(it.Planted),
          "--misdeed: there is none named " + it.Planted);
}

// What a misdeed ignores.
soak::Entry incidentFor(soak::Misdeed misdeed) {
  using soak::Incident;
  switch (misdeed) {
  case soak::Misdeed::IgnoreDrain:
    return {Incident::DrainUpstream, 500ms, 9s, 0};
  case soak::Misdeed::IgnoreEvacuation:
    return {Incident::Evacuate, 500ms, 1s, 0};
  case soak::Misdeed::CrowdCold:
    return {Incident::CrashUpstream, 500ms, 500ms, 0};
  default:
    return {Incident::ChangeConfiguration, 500ms, 1s, 0};
  }
}

soak::RunPlan planOf(const Wanted &it, std::uint64_t seed) {
  soak::RunPlan plan;
  standins::DeploymentPlan &deployment = plan.Deployment;
  deployment.Program = it.Program;
  deployment.Logs = it.Logs;
  deployment.Net = it.Net;
  deployment.Instances = it.Instances;
  deployment.Links = true;
  deployment.Seed = seed;
  const unsigned first = it.Upstreams * 2 / 3;
  deployment.Services = {{"orders", first, 30ms},
                         {"archive", it.Upstreams - first, 50ms}};
  const double scale = it.Upstreams / 9.0;
  deployment.Routes = {
      {"/read/", "orders", true, 2, 60 * scale, 300ms, 1000ms},
      {"/order/", "orders", false, 1, 30 * scale, 300ms, 1500ms},
      {MovingPath, "archive", true, 2, 30 * scale, 500ms, 1500ms}};
  plan.MovingPath = MovingPath;
  plan.Length = std::chrono::seconds{it.Seconds};
  plan.IsStopped = [] { return Stopped != 0; };
  soak::Scope scope;
  scope.Length = plan.Length;
  scope.Instances = it.Instances;
  scope.Upstreams = it.Upstreams;
  if (it.Planted.empty()) {
    plan.Schedule = soak::drawSchedule(scope, seed);
    return plan;
  }
  // Nothing else, that would excuse it.
  plan.Planted = soak::misdeedNamed(it.Planted);
  plan.Schedule = {incidentFor(*plan.Planted)};
  return plan;
}

void show(std::uint64_t seed, const soak::RunResult &result) {
  const standins::CallerTally &it = result.Callers;
  std::cout << "seed " << seed << ": asked " << it.Asked << ", served "
            << it.Served << ", refused " << it.Refused << ", failed "
            << it.Failed << ", lost " << it.Lost << ", unreached "
            << it.Unreached << ", late " << it.Late << ", wrong " << it.Wrong
            << "; played:";
  for (const auto &[what, count] : result.Played) {
    std::cout << ' ' << soak::nameOf(what) << '=' << count;
  }
  std::cout << '\n';
  if (!result.Fault.empty()) {
    std::cout << "  not played: " << result.Fault << '\n';
  }
  for (const soak::Breach &breach : result.Breaches) {
    std::cout << "  BROKEN " << breach.Promise << ": " << breach.What << '\n';
  }
  std::cout << std::flush;
}

int run(const Wanted &wanted) {
  check(wanted);
  std::signal(SIGPIPE, SIG_IGN);
  for (const int it : {SIGTERM, SIGINT}) {
    std::signal(it, [](int) { Stopped = 1; });
  }
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  unsigned broken = 0;
  unsigned unplayed = 0;
  for (unsigned n = 0; n < wanted.Seeds && Stopped == 0; ++n) {
    const std::uint64_t seed = wanted.Seed + n;
    soak::RunResult result;
    {
      soak::Run run(loop, planOf(wanted, seed));
      result = run.play();
    }
    show(seed, result);
    broken += result.Breaches.empty() ? 0 : 1;
    unplayed += result.Fault.empty() ? 0 : 1;
  }
  ev_loop_destroy(loop);
  std::cout << wanted.Seeds << " seeds, " << broken
            << " with a promise broken, " << unplayed << " not played\n";
  return unplayed > 0 ? ExitNotPlayed : broken > 0 ? ExitBreach : 0;
}

} // namespace

int main(int argc, char **argv) {
  Wanted it;
  options::options_description flags("Runs seeds of faults on real processes");
  const auto program =
      std::filesystem::path(argv[0]).parent_path() / "../programs/zinniaraild";
  flags.add_options()("seed", options::value(&it.Seed)->default_value(1),
                      "the first seed")(
      "seeds", options::value(&it.Seeds)->default_value(1), "how many")(
      "seconds", options::value(&it.Seconds)->default_value(20),
      "length of a run")("instances",
                         options::value(&it.Instances)->default_value(6),
                         "processes of the system")(
      "upstreams", options::value(&it.Upstreams)->default_value(9),
      "upstreams of both services")(
      "net", options::value(&it.Net)->default_value(50),
      "addresses are 127.NET.x.y; runs beside each other need their own")(
      "program", options::value(&it.Program)->default_value(program.string()),
      "the instance's program")("logs", options::value(&it.Logs),
                                "folder for the instances' logs")(
      "misdeed", options::value(&it.Planted),
      "breaks a promise on purpose: run-twice, refuse-falsely, cut-answers, "
      "drop-answers, ignore-drain, ignore-evacuation, ignore-move, flood, "
      "crowd-cold or end-by-itself");
  return standins::runProgram(argc, argv, flags,
                              [&](const auto &) { return run(it); });
}
