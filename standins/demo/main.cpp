// Runs the deployments of both customers on loopback, at their present sizes:
// for each a store, 13 instances, 24 upstreams, and callers. Prints the results
// of the callers' requests at the end.
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

constexpr unsigned InstancesPerCustomer = 13;
constexpr Duration StartupTime = 3s;       // until all instances are ready
constexpr Duration LastResponsesTime = 3s; // after callers stop sending

struct Customer {
  const char *Name;
  std::unique_ptr<Deployment> Deployed;
};

DeploymentPlan makeSerranoPlan(unsigned net) {
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

DeploymentPlan makeCierzoPlan(unsigned net) {
  DeploymentPlan plan;
  plan.Net = net;
  plan.Domains = {"bilbao", "zaragoza", "santander"};
  plan.Services = {{"pedidos", 15, 120ms}, {"carta", 9, 300ms}};
  plan.Routes = {{"/meal-count/", "pedidos", true, 2, 60, 300ms, 2500ms},
                 {"/load-confirm/", "pedidos", false, 1, 17, 400ms, 3000ms},
                 {"/menu-sheet/", "carta", true, 3, 20, 800ms, 5000ms}};
  return plan;
}

void runLoop(struct ev_loop *loop, Duration time) {
  const Instant end = readClock() + time;
  while (readClock() < end) {
    ev_run(loop, EVRUN_ONCE);
  }
}

double percentileMs(const std::vector<Duration> &times, double fraction) {
  constexpr double microsPerMs = 1e3;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(times.empty() ? 0 : times.size() - 1));
  return times.empty()
             ? 0
             : static_cast<double>(times[index].count()) / microsPerMs;
}

/// Prints the results of a customer's callers.
/// \returns false if no request was served, or if any request lost its
/// connection, could not connect, got a wrong response, ran more than once
/// though it is not idempotent, ran though it was refused as not run, or was
/// served without having run.
bool printResults(const Customer &customer) {
  const CallerTally it = customer.Deployed->tally();
  const ExecutionViolations violations = checkExecutions(
      customer.Deployed->callers(), customer.Deployed->Executions);
  std::cout << "== " << customer.Name << "\nserved " << it.Served << " of "
            << it.Issued << " requests, p50 " << std::fixed
            << std::setprecision(1) << percentileMs(it.Latencies, 0.5)
            << " ms, p99 " << percentileMs(it.Latencies, 0.99) << " ms, p99.9 "
            << percentileMs(it.Latencies, 0.999) << " ms\nrefused "
            << it.Refused << ", failed " << it.Failed << ", lost "
            << it.ConnectionLost << ", late " << it.TimedOut
            << ", no connection " << it.NotSent << ", wrong response "
            << it.Mismatched << ", run twice " << violations.RanTwice
            << ", refused but run " << violations.RefusedButRan << '\n';
  return it.Served > 0 && it.ConnectionLost + it.Mismatched + it.NotSent == 0 &&
         violations.RanTwice + violations.RefusedButRan +
                 violations.ServedWithoutRun ==
             0;
}

int run(const std::string &program, unsigned seconds, unsigned net) {
  std::signal(SIGPIPE, SIG_IGN);
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  bool passed = true;
  {
    Customer customers[]{
        {"Crachá Serrano",
         std::make_unique<Deployment>(loop, makeSerranoPlan(net))},
        {"Cocinas del Cierzo",
         std::make_unique<Deployment>(loop, makeCierzoPlan(net + 1))}};
    for (Customer &it : customers) {
      it.Deployed->Plan.Program = program;
      it.Deployed->Plan.InstanceCount = InstancesPerCustomer;
      if (const std::string error = it.Deployed->start(); !error.empty()) {
        throw std::runtime_error(error);
      }
    }
    runLoop(loop, StartupTime);
    std::cout
        << "2 customers: 26 instances, 48 upstreams; callers send requests for "
        << seconds << " s" << std::endl;
    for (Customer &it : customers) {
      it.Deployed->startCallers();
    }
    runLoop(loop, std::chrono::seconds{seconds});
    for (Customer &it : customers) {
      it.Deployed->stopCallers();
    }
    runLoop(loop, LastResponsesTime);
    for (const Customer &it : customers) {
      passed = printResults(it) && passed;
    }
  }
  ev_loop_destroy(loop);
  return passed ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  unsigned seconds = 0;
  std::string program;
  options::options_description flags("Both customers on loopback");
  flags.add_options()("seconds", options::value(&seconds)->default_value(10),
                      "how long callers send requests")(
      "program", options::value(&program)->required(), "path of zinniaraild");
  return runProgram(argc, argv, flags, [&](const auto &) {
    return run(program, seconds, loopbackNet());
  });
}
