// Service while domains and instances leave and return, on real processes at
// both firms' sizes of today, against the same seeds without the change.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <thread>

#include <boost/program_options.hpp>

#include "ServiceChanges.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using namespace zinniarail;
using namespace zinniarail::bench;

constexpr std::chrono::seconds Grace{60};
constexpr unsigned RunSeconds = 13;
constexpr unsigned RestartSeconds = 60;

struct Plan {
  std::string Build;
  std::string Only;
  std::string Firm;
  unsigned Runs = 0;
  unsigned Seed = 0;
  double Load = 0;
  double MeanMs = 0;
};

struct Scenario {
  const char *Name;
  std::function<void(Side &, Notes &)> Happens;
  unsigned Seconds = RunSeconds;
};

const Scenario Scenarios[] = {
    {"nothing changes", [](Side &, Notes &) {}},
    {"one domain out and back",
     [](Side &it, Notes &notes) { leaveAndReturn(it, 1, notes, false); }},
    {"two domains out and back",
     [](Side &it, Notes &notes) { leaveAndReturn(it, 2, notes, false); }},
    {"two domains out and in within 1 s", outAndInAtOnce},
    {"one domain out, the platform hangs 0.1 s later",
     [](Side &it, Notes &notes) { leaveAndReturn(it, 1, notes, true); }},
    {"a change while the platform is out", changeDuringOutage},
    {"rolling restart of all instances", restartAll, RestartSeconds},
    {"one domain fails and comes back", failDomain},
};

const char *const WindowNames[] = {"out", "back"};

/// Figures by scenario, window and name; one value for each run.
using Figures = std::map<std::string, std::vector<double>>;
using Results = std::map<std::string, Figures>;

/// What windows of both services' reports show together.
void addWindow(const json::array &reports, std::size_t index, Figures &out) {
  double sent = 0;
  std::map<std::string, double> others;
  for (const char *kind : {"readLatencyMs", "orderLatencyMs"}) {
    for (const char *it : {"p50", "p99", "p999"}) {
      double most = 0;
      for (const auto &report : reports) {
        const auto &window = report.at("windows").at(index);
        most = std::max(most, numberIn(window, kind, it));
      }
      out[std::string(kind) + it].push_back(most);
    }
  }
  for (const auto &report : reports) {
    const auto &window = report.at("windows").at(index);
    sent += numberIn(window, "sent");
    for (const auto &it : window.at("others").as_object()) {
      others[it.key()] += it.value().to_number<double>();
    }
  }
  double unserved = 0;
  for (const auto &[name, n] : others) {
    unserved += n;
    out["end " + name].push_back(100 * n / sent);
  }
  out["unserved"].push_back(100 * unserved / sent);
}

json::array finishCallers(Side &side, const Scenario &scenario) {
  json::array out;
  for (auto &it : side.Callers) {
    out.push_back(it.finish(std::chrono::seconds{scenario.Seconds} + Grace));
  }
  return out;
}

/// Where the windows of WindowNames begin and end.
std::string windowsOf(unsigned seconds) {
  const Ms end = std::chrono::seconds{std::max(seconds, RunSeconds)};
  return std::to_string(Settling.count()) + "," +
         std::to_string((Settling + OutFor).count()) + "," +
         std::to_string(end.count());
}

void startCallers(Side &side, const Plan &plan, unsigned seconds, unsigned seed,
                  const std::string &key, const std::string &directory) {
  for (int n = 0; n < 2; ++n) {
    const auto &service = side.Owner->Services[n];
    auto command = callerCommand(
        side.Processes, service,
        {plan.Load, plan.MeanMs, seconds, seed, key + service.Name});
    command.insert(command.end(), {"--windows-ms", windowsOf(seconds)});
    side.Callers[n].start(command, directory + "/" + service.Name + ".json");
  }
  side.Began = readClock();
}

void runScenario(Side &side, const Plan &plan, const Scenario &scenario,
                 unsigned seed, const std::string &directory,
                 Results &results) {
  side.Processes.resetUpstreamCounters();
  startCallers(side, plan, scenario.Seconds, seed,
               asKey(std::to_string(seed) + scenario.Name), directory);
  Notes notes;
  notes.Values["failed steps"] = 0;
  scenario.Happens(side, notes);
  const auto reports = finishCallers(side, scenario);
  double unsound = 0;
  for (const auto &report : reports) {
    for (const char *fault :
         {"lost", "wrong", "doubled", "servedNotRun", "falseRefusals"}) {
      unsound += numberIn(report, fault);
      notes.Values[fault] += numberIn(report, fault);
    }
    unsound += report.as_object().empty() ? 1 : 0;
  }
  notes.Values["unsound"] = unsound;
  for (const auto &[name, it] : notes.Values) {
    results[scenario.Name][name].push_back(it);
  }
  for (std::size_t n = 0; n < std::size(WindowNames); ++n) {
    if (!reports[0].as_object().empty() && !reports[1].as_object().empty()) {
      addWindow(reports, n,
                results[std::string(scenario.Name) + "/" + WindowNames[n]]);
    }
  }
}

bool runFirm(const Plan &plan, const Firm &firm, Results &results) {
  const WorkDirectory work;
  for (unsigned n = 0; n < plan.Runs; ++n) {
    const unsigned seed = plan.Seed + n;
    Side side{&firm,
              Cluster(makeClusterSettings(firm, plan.Build, plan.MeanMs, seed)),
              {}};
    if (!side.Processes.start()) {
      std::cerr << "bench_service_changes: " << side.Processes.error() << '\n';
      return false;
    }
    Results unused;
    runScenario(side, plan, {"warming", [](Side &, Notes &) {}, 3}, seed,
                work.Path, unused);
    for (const auto &it : Scenarios) {
      if (&it == Scenarios ||
          std::string(it.Name).find(plan.Only) != std::string::npos) {
        runScenario(side, plan, it, seed, work.Path, results);
        std::cerr << firm.Name << ", seed " << seed << ": " << it.Name
                  << " done, load " << machineLoad() << '\n';
      }
    }
    side.Processes.stop();
  }
  return true;
}

std::string ratio(Figures &it, Figures &calm, const std::string &name) {
  std::vector<double> ratios;
  for (std::size_t n = 0; n < it[name].size() && n < calm[name].size(); ++n) {
    ratios.push_back(calm[name][n] > 0 ? it[name][n] / calm[name][n] : 0);
  }
  return format(spreadOf(ratios), 2);
}

std::string endsOf(Figures &it) {
  std::string out;
  for (const auto &[name, values] : it) {
    if (name.starts_with("end ")) {
      out += (out.empty() ? "" : ", ") + name.substr(4) + " " +
             format(spreadOf(values), 2);
    }
  }
  return out;
}

void printWindows(Results &results) {
  printHeader({"what, window", "reads p50 ms", "p99", "p99.9", "orders p50 ms",
               "p99", "p99.9", "reads p99, of calm", "p99.9", "orders p99",
               "p99.9", "not served %", "of these"});
  for (const auto &scenario : Scenarios) {
    for (const char *window : WindowNames) {
      const auto at = results.find(std::string(scenario.Name) + "/" + window);
      if (at == results.end()) {
        continue;
      }
      auto &it = at->second;
      auto &calm = results[std::string(Scenarios[0].Name) + "/" + window];
      std::vector<std::string> cells{std::string(scenario.Name) + ", " +
                                     window};
      for (const char *name :
           {"readLatencyMsp50", "readLatencyMsp99", "readLatencyMsp999",
            "orderLatencyMsp50", "orderLatencyMsp99", "orderLatencyMsp999"}) {
        cells.push_back(format(spreadOf(it[name]).Median, 0));
      }
      for (const char *name : {"readLatencyMsp99", "readLatencyMsp999",
                               "orderLatencyMsp99", "orderLatencyMsp999"}) {
        cells.push_back(ratio(it, calm, name));
      }
      cells.push_back(format(spreadOf(it["unserved"]), 2));
      cells.push_back(endsOf(it));
      printRow(cells);
    }
  }
}

void printNotes(Results &results) {
  std::cout << '\n';
  printHeader({"what", "last new work, ms after accepted", "fallen over",
               "of upstreams", "lost", "wrong", "doubled", "served, not run",
               "refused, but ran", "failed steps", "took s",
               "said no after ms"});
  for (const auto &scenario : Scenarios) {
    const auto at = results.find(scenario.Name);
    if (at == results.end()) {
      continue;
    }
    std::vector<std::string> cells{scenario.Name};
    for (const char *name : {"last work", "fallen", "turned", "lost", "wrong",
                             "doubled", "servedNotRun", "falseRefusals",
                             "failed steps", "took s", "said ms"}) {
      const auto &values = at->second[name];
      cells.push_back(values.empty() ? "" : format(spreadOf(values), 0));
    }
    printRow(cells);
  }
}

int run(const Plan &plan) {
  std::cout << "Load " << plan.Load << ", service time " << plan.MeanMs
            << " ms (exponential), " << plan.Runs
            << " runs; median (least to most); the worse of both services.\n"
            << "Load of the machine before: " << machineLoad() << '\n';
  Results results[std::size(Firms)];
  bool ran[std::size(Firms)] = {};
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < std::size(Firms); ++n) {
    if (std::string(Firms[n].Name).find(plan.Firm) != std::string::npos) {
      threads.emplace_back(
          [&, n] { ran[n] = runFirm(plan, Firms[n], results[n]); });
    }
  }
  for (auto &it : threads) {
    it.join();
  }
  bool all = true;
  for (std::size_t n = 0; n < std::size(Firms); ++n) {
    if (std::string(Firms[n].Name).find(plan.Firm) != std::string::npos) {
      std::cout << "\n### " << Firms[n].Name << "\n\n";
      printWindows(results[n]);
      printNotes(results[n]);
      all = all && ran[n];
    }
  }
  std::cout << "\nLoad of the machine after: " << machineLoad() << '\n';
  return all ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  Plan plan;
  options::options_description flags(
      "bench_service_changes: service while domains and instances leave and "
      "return. Run it at the root of the source tree");
  auto add = flags.add_options();
  add("build", options::value(&plan.Build)->default_value("build/release"),
      "directory of the build");
  add("runs", options::value(&plan.Runs)->default_value(2), "with other seeds");
  add("seed", options::value(&plan.Seed)->default_value(1), "of the first run");
  add("load", options::value(&plan.Load)->default_value(0.6),
      "of the capacity while all domains serve");
  add("mean-ms", options::value(&plan.MeanMs)->default_value(40),
      "mean service time");
  add("scenario", options::value(&plan.Only)->default_value(""),
      "only those whose name contains this, beside the calm one");
  add("firm", options::value(&plan.Firm)->default_value(""), "likewise");
  return standins::runProgram(
      argc, argv, flags,
      [&](const options::variables_map &) { return run(plan); });
}
