// Both firms at their sizes of today on loopback: a store, 13 instances and 24
// upstreams each, and callers. Ends with what callers got.
#include <csignal>

#include <iomanip>
#include <iostream>
#include <memory>

#include "common/CommandLine.h"
#include "common/Net.h"
#include "deployment/Deployment.h"

using namespace zinniarail;
using namespace zinniarail::standins;
using namespace std::chrono_literals;

namespace {

namespace options = boost::program_options;

constexpr unsigned InstancesOfAFirm = 13;
constexpr Duration StartTime = 3s;  // until all instances serve
constexpr Duration AnswerTime = 3s; // for the last requests

struct Firm {
  const char *Name;
  std::unique_ptr<Deployment> Running;
};

DeploymentPlan serrano(unsigned net) {
  DeploymentPlan plan;
  plan.Net = net;
  plan.Domains = {"serra-a", "serra-b", "serra-c", "serra-d"};
  plan.Services = {{"credencial", 14, 60ms}, {"situacao", 10, 150ms}};
  plan.Routes = {
      {"/exhibitor-lookup/", "credencial", true, 2, 107, 200ms, 800ms},
      {"/badge-print/", "credencial", false, 1, 48, 250ms, 1000ms},
      {"/badge-status/", "situacao", true, 2, 50, 400ms, 1500ms}};
  return plan;
}

DeploymentPlan cierzo(unsigned net) {
  DeploymentPlan plan;
  plan.Net = net;
  plan.Domains = {"bilbao", "zaragoza", "santander"};
  plan.Services = {{"pedidos", 15, 120ms}, {"carta", 9, 300ms}};
  plan.Routes = {{"/meal-count/", "pedidos", true, 2, 60, 300ms, 2500ms},
                 {"/load-confirm/", "pedidos", false, 1, 17, 400ms, 3000ms},
                 {"/menu-sheet/", "carta", true, 3, 20, 800ms, 5000ms}};
  return plan;
}

void turn(struct ev_loop *loop, Duration time) {
  const Instant end = readClock() + time;
  while (readClock() < end) {
    ev_run(loop, EVRUN_ONCE);
  }
}

double milliseconds(const std::vector<Duration> &times, double part) {
  constexpr double micros = 1e3;
  const auto at = static_cast<std::size_t>(
      part * static_cast<double>(times.empty() ? 0 : times.size() - 1));
  return times.empty() ? 0 : static_cast<double>(times[at].count()) / micros;
}

/// \returns whether nothing was lost, wrong, doubled or refused untruly.
bool show(const Firm &firm) {
  const CallerTally it = firm.Running->tally();
  const Verdict verdict = judge(firm.Running->callers(), firm.Running->Done);
  std::cout << "== " << firm.Name << "\nserved " << it.Served << " of "
            << it.Asked << " requests, p50 " << std::fixed
            << std::setprecision(1) << milliseconds(it.Times, 0.5)
            << " ms, p99 " << milliseconds(it.Times, 0.99) << " ms, p99.9 "
            << milliseconds(it.Times, 0.999) << " ms\nrefused " << it.Refused
            << ", failed " << it.Failed << ", lost " << it.Lost << ", late "
            << it.Late << ", unreached " << it.Unreached << ", wrong "
            << it.Wrong << ", doubled " << verdict.RanTwice
            << ", refused but run " << verdict.RefusedButRan << '\n';
  return it.Served > 0 && it.Lost + it.Wrong + it.Unreached == 0 &&
         verdict.RanTwice + verdict.RefusedButRan + verdict.ServedNotRun == 0;
}

int run(const std::string &program, unsigned seconds, unsigned net) {
  std::signal(SIGPIPE, SIG_IGN);
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  bool sound = true;
  {
    Firm firms[]{
        {"Crachá Serrano", std::make_unique<Deployment>(loop, serrano(net))},
        {"Cocinas del Cierzo",
         std::make_unique<Deployment>(loop, cierzo(net + 1))}};
    for (Firm &it : firms) {
      it.Running->Plan.Program = program;
      it.Running->Plan.Instances = InstancesOfAFirm;
      if (const std::string fault = it.Running->start(); !fault.empty()) {
        throw std::runtime_error(fault);
      }
    }
    turn(loop, StartTime);
    std::cout << "2 firms run: 26 instances, 48 upstreams; callers for "
              << seconds << " s" << std::endl;
    for (Firm &it : firms) {
      it.Running->startCallers();
    }
    turn(loop, std::chrono::seconds{seconds});
    for (Firm &it : firms) {
      it.Running->endCallers();
    }
    turn(loop, AnswerTime);
    for (const Firm &it : firms) {
      sound = show(it) && sound;
    }
  }
  ev_loop_destroy(loop);
  return sound ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  unsigned seconds = 0;
  std::string program;
  options::options_description flags("Both firms on loopback");
  flags.add_options()("seconds", options::value(&seconds)->default_value(10),
                      "how long callers ask")(
      "program", options::value(&program)->required(),
      "the instance's program");
  return runProgram(argc, argv, flags, [&](const auto &) {
    return run(program, seconds, loopbackNet());
  });
}
