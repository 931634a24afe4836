// Routing policies side by side on real processes: both firms at their sizes of
// today, each policy under the same scenarios and seeds.

#include <map>
#include <memory>
#include <thread>
#include <tuple>

#include <boost/program_options.hpp>

#include "Firms.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using namespace zinniarail;
using namespace zinniarail::bench;

constexpr std::chrono::seconds Grace{40};
struct Scenario {
  const char *Name;
  double Load; ///< Of the capacity.
  const char *Faults;
  const char *MidFaults; ///< Set after a third of the run; may be empty.
  double ShiftShare;
};

constexpr const char *Calm =
    R"({"noiseFactor":1,"failShare":0,"reportLagMs":0,"lieLoad":"",)"
    R"("turnWarm":true})";
constexpr const char *Noise =
    R"({"noiseFactor":4,"noiseShare":0.1,"noiseBurstMs":300})";
constexpr const char *Lies =
    R"({"noiseFactor":4,"noiseShare":0.1,"noiseBurstMs":300,)"
    R"("reportLagMs":500,"lieLoad":"random"})";

const Scenario Scenarios[] = {
    {"calm, 0.6", 0.6, Calm, "", 0},
    {"noisy neighbours, 0.6", 0.6, Noise, "", 0},
    {"noisy neighbours, 0.8", 0.8, Noise, "", 0},
    {"shifting load, 0.6 +-50%", 0.6, Calm, "", 0.5},
    {"stale and lying reports, noise, 0.6", 0.6, Lies, "", 0},
    {"two of each turn cold, 0.6", 0.6, Calm, R"("turnCold":true)", 0},
    {"two of each fail fast, 0.6", 0.6, Calm, R"("failShare":1)", 0},
    {"at capacity, 1.0", 1.0, Calm, "", 0},
    {"overload, 1.5", 1.5, Calm, "", 0},
};

struct Policy {
  const char *Name;
  bool SpreadAll; ///< Callers use all instances.
};

const Policy Policies[] = {{"random", true},
                           {"round-robin", true},
                           {"two-choices", true},
                           {"homes", false}};

/// Figures of one firm, policy and scenario, one value for each run.
struct Figures {
  std::map<std::string, std::vector<double>> Values;
  double Unsound = 0;
};

using Key = std::tuple<std::string, std::string, std::string>;
using Results = std::map<Key, Figures>;

struct Plan {
  std::string Build;
  unsigned Seconds = 0;
  unsigned Runs = 0;
  double MeanMs = 0;
  std::string Only; ///< Scenarios whose name contains it.
};

json::object midFaults(const Scenario &scenario, const Firm &firm) {
  return json::parse(std::string(R"({"upstreams":)") + firm.Faulty + "," +
                     scenario.MidFaults + "}")
      .as_object();
}

double sumOver(const json::object &counters, const char *name) {
  double sum = 0;
  if (const auto *each = counters.if_contains("upstreams")) {
    for (const auto &it : each->as_object()) {
      sum += numberIn(it.value(), name);
    }
  }
  return sum;
}

/// One firm's processes under one policy.
struct Side {
  const Firm *Owner;
  Cluster Processes;
  CallerRun Callers[2];
};

void startCallers(Side &side, const Plan &plan, const Policy &policy,
                  const Scenario &scenario, unsigned seed,
                  const std::string &directory) {
  for (int n = 0; n < 2; ++n) {
    const auto &service = side.Owner->Services[n];
    auto command =
        callerCommand(side.Processes, service,
                      {scenario.Load, plan.MeanMs, plan.Seconds, seed,
                       asKey(std::string(service.Name) + scenario.Name)});
    command.insert(command.end(),
                   {"--shift-share", std::to_string(scenario.ShiftShare),
                    "--shift-ms", "300"});
    if (policy.SpreadAll) {
      command.emplace_back("--spread-all");
    }
    side.Callers[n].start(command, directory + "/" + service.Name + ".json");
  }
}

/// Reads the callers' reports and the upstreams' counters.
void collect(Side &side, const Plan &plan, Figures &out) {
  double sent = 0;
  double served = 0;
  double refused = 0;
  double unknown = 0;
  for (int n = 0; n < 2; ++n) {
    const auto report =
        side.Callers[n].finish(std::chrono::seconds{plan.Seconds} + Grace);
    sent += numberIn(report, "sent");
    served += numberIn(report, "served");
    refused += numberIn(report, "refusedTotal");
    unknown += numberIn(report, "unknown");
    for (const char *fault :
         {"lost", "wrong", "doubled", "servedNotRun", "falseRefusals"}) {
      out.Unsound += numberIn(report, fault);
    }
    if (n == 0) {
      for (const char *it : {"p50", "p99", "p999"}) {
        out.Values[it].push_back(numberIn(report, "latencyMs", it));
      }
    }
    out.Unsound += report.empty() ? 1 : 0;
  }
  const auto counters = side.Processes.upstreamCounters();
  const double arrived = sumOver(counters, "arrived");
  out.Values["goodput"].push_back(served / plan.Seconds);
  out.Values["refused"].push_back(100 * refused / sent);
  out.Values["unknown"].push_back(100 * unknown / sent);
  // Of the requests that reached an upstream: what more than one try adds.
  const double reached = numberIn(counters, "requests");
  out.Values["extra"].push_back(
      reached > 0 ? 100 * (arrived - reached) / reached : 0);
  out.Values["probes"].push_back(sumOver(counters, "probes") / plan.Seconds);
  out.Values["cold"].push_back(sumOver(counters, "coldOverloadsTold"));
}

void runScenario(std::vector<std::unique_ptr<Side>> &sides, const Plan &plan,
                 const Policy &policy, const Scenario &scenario, unsigned seed,
                 const std::string &directory, Results *results) {
  for (auto &it : sides) {
    it->Processes.setUpstreamFaults(json::parse(Calm).as_object());
    it->Processes.setUpstreamFaults(json::parse(scenario.Faults).as_object());
    it->Processes.resetUpstreamCounters();
    startCallers(*it, plan, policy, scenario, seed, directory);
  }
  if (scenario.MidFaults[0] != '\0') {
    std::this_thread::sleep_for(std::chrono::seconds{plan.Seconds} / 3);
    for (auto &it : sides) {
      it->Processes.setUpstreamFaults(midFaults(scenario, *it->Owner));
    }
  }
  Figures unused;
  for (auto &it : sides) {
    collect(*it, plan,
            results == nullptr
                ? unused
                : (*results)[{it->Owner->Name, scenario.Name, policy.Name}]);
  }
}

bool runPolicy(const Plan &plan, const Policy &policy, unsigned seed,
               const std::string &directory, Results &results) {
  std::vector<std::unique_ptr<Side>> sides;
  for (const auto &firm : Firms) {
    sides.push_back(std::unique_ptr<Side>(
        new Side{&firm,
                 Cluster(makeClusterSettings(firm, plan.Build, plan.MeanMs,
                                             seed, {"--policy", policy.Name})),
                 {}}));
    if (!sides.back()->Processes.start()) {
      std::cerr << "bench_policies: " << sides.back()->Processes.error()
                << '\n';
      return false;
    }
  }
  const Scenario warming{"", 0.3, Calm, "", 0};
  runScenario(sides, plan, policy, warming, seed, directory, nullptr);
  for (const auto &scenario : Scenarios) {
    if (std::string(scenario.Name).find(plan.Only) != std::string::npos) {
      runScenario(sides, plan, policy, scenario, seed, directory, &results);
      std::cerr << policy.Name << ", seed " << seed << ": " << scenario.Name
                << " done, load " << machineLoad() << '\n';
    }
  }
  for (auto &it : sides) {
    it->Processes.stop();
  }
  return true;
}

void print(const std::string &scenario, const std::string &policy,
           Figures &it) {
  const auto spread = [&](const char *name, int digits) {
    return format(spreadOf(it.Values[name]), digits);
  };
  const auto middle = [&](const char *name, int digits) {
    return format(spreadOf(it.Values[name]).Median, digits);
  };
  printRow({scenario, policy, middle("p50", 1), spread("p99", 0),
            middle("p999", 0), spread("goodput", 0), middle("refused", 2),
            middle("unknown", 2), spread("extra", 1), middle("probes", 0),
            spread("cold", 0), format(it.Unsound, 0)});
}

void printResults(Results &results) {
  for (const auto &firm : Firms) {
    std::cout << "\n### " << firm.Name << "\n\nLatency of "
              << firm.Services[0].Name << ", the rest over both services.\n\n";
    printHeader({"scenario, load", "policy", "p50 ms", "p99 ms", "p99.9 ms",
                 "served/s", "refused %", "unknown %", "extra work %",
                 "probes/s", "cold overloads", "unsound"});
    for (const auto &scenario : Scenarios) {
      for (const auto &policy : Policies) {
        const auto it = results.find({firm.Name, scenario.Name, policy.Name});
        if (it != results.end()) {
          print(scenario.Name, policy.Name, it->second);
        }
      }
    }
  }
}

double median(Results &results, const Firm &firm, const char *scenario,
              const char *policy, const char *value) {
  return spreadOf(results[{firm.Name, scenario, policy}].Values[value]).Median;
}

void printTargets(Results &results) {
  std::cout << "\n### Targets\n\n";
  printHeader({"firm", "p99 under noise at 0.6, of two-choices (0.65)",
               "at 0.8", "extra work % at 0.6 (5)", "at 0.8",
               "goodput at 1.5 of that at 1.0 (0.95)"});
  for (const auto &firm : Firms) {
    std::vector<std::string> cells{firm.Name};
    const char *noisy[] = {"noisy neighbours, 0.6", "noisy neighbours, 0.8"};
    for (const char *it : noisy) {
      const double base = median(results, firm, it, "two-choices", "p99");
      cells.push_back(format(
          base > 0 ? median(results, firm, it, "homes", "p99") / base : 0, 2));
    }
    for (const char *it : noisy) {
      cells.push_back(format(median(results, firm, it, "homes", "extra"), 1));
    }
    const double full =
        median(results, firm, "at capacity, 1.0", "homes", "goodput");
    cells.push_back(format(
        full > 0
            ? median(results, firm, "overload, 1.5", "homes", "goodput") / full
            : 0,
        3));
    printRow(cells);
  }
}

int run(const Plan &plan, const std::string &only) {
  const WorkDirectory work;
  Results results;
  std::cout << "Service time " << plan.MeanMs << " ms (exponential), "
            << plan.Seconds << " s a run, " << plan.Runs
            << " runs with other seeds; median (least to most).\n"
            << "Load of the machine before: " << machineLoad() << '\n';
  for (unsigned seed = 1; seed <= plan.Runs; ++seed) {
    for (const auto &policy : Policies) {
      if (std::string(policy.Name).find(only) != std::string::npos &&
          !runPolicy(plan, policy, seed, work.Path, results)) {
        return 1;
      }
    }
  }
  printResults(results);
  printTargets(results);
  std::cout << "\nLoad of the machine after: " << machineLoad() << '\n';
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  Plan plan;
  std::string policy;
  options::options_description flags(
      "bench_policies: routing policies side by side. Run it at the root of "
      "the source tree");
  auto add = flags.add_options();
  add("build", options::value(&plan.Build)->default_value("build/release"),
      "directory of the build");
  add("seconds", options::value(&plan.Seconds)->default_value(8),
      "of each run");
  add("runs", options::value(&plan.Runs)->default_value(3), "with other seeds");
  add("mean-ms", options::value(&plan.MeanMs)->default_value(40),
      "mean service time");
  add("scenario", options::value(&plan.Only)->default_value(""),
      "only those whose name contains this");
  add("policy", options::value(&policy)->default_value(""), "likewise");
  return standins::runProgram(
      argc, argv, flags,
      [&](const options::variables_map &) { return run(plan, policy); });
}
