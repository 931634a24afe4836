// What an idle fleet costs: calls to the platform, bytes and processor time of
// an instance at rising sizes, and how long a change takes to be in force.

#include <cmath>
#include <cstdio>
#include <thread>

#include <boost/program_options.hpp>

#include "Harness.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using namespace zinniarail;
using namespace zinniarail::bench;
using namespace std::chrono_literals;

constexpr std::chrono::seconds Settle{3};
constexpr std::chrono::seconds ForceTimeout{20};

json::object getJson(const std::string &address, const std::string &path) {
  standins::Call call;
  call.Url = "http://" + address + path;
  boost::system::error_code ec;
  const auto body = json::parse(standins::fetch(call).Body, ec);
  return !ec && body.is_object() ? body.as_object() : json::object{};
}

struct Totals {
  Instant At{};
  double Calls = 0;
  double PlatformBytes = 0;
  double PeerBytes = 0; ///< Sent to other instances.
  double ProcessorMs = 0;
  double MemoryMb = 0;
};

Totals readTotals(Cluster &cluster) {
  Totals out;
  out.At = readClock();
  const auto counters = cluster.platformCounters();
  out.Calls = numberIn(counters, "calls");
  if (const auto *kinds = counters.if_contains("byKind")) {
    for (const auto &it : kinds->as_object()) {
      out.PlatformBytes +=
          numberIn(it.value(), "bytesIn") + numberIn(it.value(), "bytesOut");
    }
  }
  constexpr double megabyte = 1 << 20;
  for (const auto &it : cluster.instances()) {
    out.PeerBytes +=
        numberIn(getJson(it.OperatorAddress, "/dump"), "peers", "bytesOut");
    out.ProcessorMs += it.Running.processorTime() /
                       std::chrono::duration<double, std::milli>{1};
    out.MemoryMb += static_cast<double>(it.Running.memory()) / megabyte;
  }
  return out;
}

/// Version in force on an instance; 0 when it does not say.
double versionInForce(const std::string &operatorAddress) {
  return numberIn(getJson(operatorAddress, "/version-in-force"), "version");
}

/// Puts a changed document and waits until it is in force everywhere.
/// \returns the time it took, in ms; negative when it took too long.
double timeToForce(Cluster &cluster, unsigned lifetimeMs) {
  auto document = json::parse(cluster.document()).as_object();
  document["resolveLifetimeMs"] = lifetimeMs;
  const auto &instances = cluster.instances();
  const double before = versionInForce(instances.front().OperatorAddress);
  if (!cluster.putDocument(json::serialize(document))) {
    return -1;
  }
  const auto accepted = readClock();
  for (const auto &it : instances) {
    while (versionInForce(it.OperatorAddress) <= before) {
      if (readClock() - accepted > ForceTimeout) {
        return -1;
      }
    }
  }
  return (readClock() - accepted) /
         std::chrono::duration<double, std::milli>{1};
}

bool measure(const std::string &build, unsigned size, unsigned seconds,
             unsigned changes) {
  const WorkDirectory work;
  ClusterSettings settings;
  settings.BinaryDirectory = build;
  settings.Document = "examples/serrano.json";
  settings.Instances = size;
  settings.InstanceFlags = {"--log-level", "error"};
  Cluster cluster(settings);
  if (!cluster.start()) {
    std::cerr << "bench_control_cost: " << cluster.error() << '\n';
    return false;
  }
  std::this_thread::sleep_for(Settle);
  const auto first = readTotals(cluster);
  std::this_thread::sleep_for(std::chrono::seconds{seconds});
  const auto last = readTotals(cluster);
  std::vector<double> times;
  for (unsigned n = 0; n < changes; ++n) {
    times.push_back(timeToForce(cluster, 2001 + n));
  }
  const double length = (last.At - first.At) / std::chrono::duration<double>{1};
  const double each = length * size;
  printRow({std::to_string(size),
            format((last.Calls - first.Calls) / length, 2),
            format((last.Calls - first.Calls) / each, 3),
            format((last.PlatformBytes - first.PlatformBytes) / each, 0),
            format((last.PeerBytes - first.PeerBytes) / each, 0),
            format((last.ProcessorMs - first.ProcessorMs) / each / 10, 2),
            format(last.MemoryMb / size, 1), format(spreadOf(times), 0)});
  return cluster.stop();
}

int run(const options::variables_map &given) {
  std::cout << "load of the machine before: " << machineLoad() << "\n\n";
  printHeader({"instances", "platform calls/s", "of an instance",
               "platform bytes/s of an instance",
               "peer bytes sent/s of an instance", "CPU % of an instance",
               "memory MB", "accepted to in force everywhere ms"});
  bool all = true;
  for (const unsigned it : given["sizes"].as<std::vector<unsigned>>()) {
    all = measure(given["build"].as<std::string>(), it,
                  given["seconds"].as<unsigned>(),
                  given["changes"].as<unsigned>()) &&
          all;
  }
  std::cout << "\nload of the machine after: " << machineLoad() << '\n';
  return all ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  options::options_description flags(
      "bench_control_cost: an idle fleet. Run it at the root of the source "
      "tree");
  auto add = flags.add_options();
  add("build", options::value<std::string>()->default_value("build/release"),
      "directory of the build");
  add("sizes",
      options::value<std::vector<unsigned>>()->multitoken()->default_value(
          {13, 26, 52, 104}, "13 26 52 104"),
      "instances");
  add("seconds", options::value<unsigned>()->default_value(10), "idle time");
  add("changes", options::value<unsigned>()->default_value(5),
      "of the document, timed");
  return standins::runProgram(argc, argv, flags, run);
}
