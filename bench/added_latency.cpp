// What the path adds to a call: callers straight to the upstreams against the
// same callers through one instance, with a service time of 0, at rising rates.
// The first second of each run opens connections and does not count.

#include <boost/program_options.hpp>

#include "Harness.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using namespace zinniarail;
using namespace zinniarail::bench;

constexpr std::chrono::seconds Grace{30};
constexpr const char *Service = "credencial";

struct Load {
  double Rate = 0;
  unsigned Seconds = 0;
  unsigned Seed = 0;
};

struct Sample {
  json::object Report;
  double ProcessorUs = 0; ///< Of the instance, per served call.
};

std::vector<std::string> withLoad(std::vector<std::string> command,
                                  const Load &load) {
  command.insert(command.end(),
                 {"--rate", std::to_string(load.Rate), "--seconds",
                  std::to_string(load.Seconds), "--seed",
                  std::to_string(load.Seed), "--orders-share", "0",
                  "--refusal-retries", "0", "--loss-retries", "0",
                  "--warm-up-ms", "1000"});
  return command;
}

/// Addresses of the service's upstreams, separated by commas.
std::string upstreamAddresses(const Cluster &cluster) {
  const auto document = json::parse(cluster.document());
  std::string out;
  for (const auto &service : document.at("services").as_array()) {
    if (service.at("name") != Service) {
      continue;
    }
    for (const auto &it : service.at("upstreams").as_array()) {
      out += (out.empty() ? "" : ",") +
             json::value_to<std::string>(it.at("address")) + ":" +
             std::to_string(it.at("port").to_number<unsigned>());
    }
  }
  return out;
}

Sample measure(Cluster &cluster, const std::string &directory, const Load &load,
               bool direct) {
  auto command = withLoad(cluster.callerCommand(Service), load);
  if (direct) {
    command.insert(command.end(), {"--direct", upstreamAddresses(cluster)});
  }
  const auto &instance = cluster.instances().front().Running;
  const auto before = instance.processorTime();
  CallerRun run;
  run.start(command, directory + "/report.json");
  Sample out;
  out.Report = run.finish(std::chrono::seconds{load.Seconds} + Grace);
  const double served = numberIn(out.Report, "served");
  out.ProcessorUs =
      served > 0
          ? static_cast<double>((instance.processorTime() - before).count()) /
                served
          : 0;
  return out;
}

struct Row {
  std::vector<double> Direct[3];  ///< p50, p99, p99.9 in ms.
  std::vector<double> Through[3]; ///< Likewise.
  std::vector<double> Added[3];
  std::vector<double> Processor;
  std::vector<double> Goodput;
  double NotServed = 0;
};

constexpr const char *Quantiles[] = {"p50", "p99", "p999"};

void addRun(Row &row, const Sample &direct, const Sample &through) {
  for (int n = 0; n < 3; ++n) {
    const double a = numberIn(direct.Report, "latencyMs", Quantiles[n]);
    const double b = numberIn(through.Report, "latencyMs", Quantiles[n]);
    row.Direct[n].push_back(a);
    row.Through[n].push_back(b);
    row.Added[n].push_back(b - a);
  }
  row.Processor.push_back(through.ProcessorUs);
  row.Goodput.push_back(numberIn(through.Report, "goodput"));
  row.NotServed +=
      numberIn(through.Report, "sent") - numberIn(through.Report, "served");
}

void print(double rate, const Row &row) {
  std::vector<std::string> cells{format(rate, 0)};
  for (int n = 0; n < 3; ++n) {
    cells.push_back(format(spreadOf(row.Direct[n]).Median, 2) + " / " +
                    format(spreadOf(row.Through[n]).Median, 2));
  }
  cells.push_back(format(spreadOf(row.Added[0]), 2));
  cells.push_back(format(spreadOf(row.Added[1]), 2));
  cells.push_back(format(spreadOf(row.Processor), 0));
  cells.push_back(format(spreadOf(row.Goodput).Median, 0));
  cells.push_back(format(row.NotServed, 0));
  printRow(cells);
}

int run(const options::variables_map &given) {
  const WorkDirectory work;
  ClusterSettings settings;
  settings.BinaryDirectory = given["build"].as<std::string>();
  settings.Document = "examples/serrano.json";
  settings.LogDirectory = work.Path;
  settings.Instances = 1;
  settings.InstanceFlags = {"--log-level", "warn"};
  settings.UpstreamFlags = {"--mean-ms", "0", "--accept-us", "0"};
  Cluster cluster(settings);
  if (!cluster.start()) {
    std::cerr << "bench_added_latency: " << cluster.error() << '\n';
    return 1;
  }
  const unsigned seconds = given["seconds"].as<unsigned>();
  std::cout << "load of the machine before: " << machineLoad() << "\n\n";
  printHeader({"calls/s", "p50 ms direct / through", "p99 ms", "p99.9 ms",
               "added p50 ms", "added p99 ms", "instance CPU us/call",
               "served/s", "not served"});
  for (const double rate : given["rates"].as<std::vector<double>>()) {
    Row row;
    for (unsigned n = 0; n < given["runs"].as<unsigned>(); ++n) {
      const Load load{rate, seconds, n + 1};
      const auto direct = measure(cluster, work.Path, load, true);
      addRun(row, direct, measure(cluster, work.Path, load, false));
    }
    print(rate, row);
  }
  std::cout << "\nload of the machine after: " << machineLoad()
            << ", memory of the instance: "
            << cluster.instances().front().Running.memory() / 1024 << " KB\n";
  return cluster.stop() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  options::options_description flags(
      "bench_added_latency: direct against through an instance. Run it at the "
      "root of the source tree");
  auto add = flags.add_options();
  add("build", options::value<std::string>()->default_value("build/release"),
      "directory of the build");
  add("rates",
      options::value<std::vector<double>>()->multitoken()->default_value(
          {250, 500, 1000, 2000, 4000, 8000}, "250 500 1000 2000 4000 8000"),
      "calls a second");
  add("seconds", options::value<unsigned>()->default_value(5), "of each run");
  add("runs", options::value<unsigned>()->default_value(3), "of each rate");
  return standins::runProgram(argc, argv, flags, run);
}
