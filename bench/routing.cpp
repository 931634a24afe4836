/// \file
/// Compares the routing policies in one process and in simulated time: engines
/// as instances, upstreams as a few slots with a queue. Small on purpose: it
/// is for choosing between ways; what counts is measured on real processes.
/// Usage: bench_routing [SECONDS] [SEEDS] [SCENARIO]

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "RoutingWorld.h"

using namespace zinniarail;
using namespace zinniarail::bench;

namespace {

double quantile(std::vector<double> &sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(share * last)];
}

void print(const Scenario &scenario, const Variant &variant, Figures &it,
           std::uint64_t seed, Duration length) {
  std::sort(it.Millis.begin(), it.Millis.end());
  const auto seconds = std::chrono::duration<double>(length).count();
  const auto requests = static_cast<double>(it.Requests);
  std::printf("%-12s %.2f %-12s %llu %8.1f %8.1f %8.1f %8.0f %7.2f%% %7.2f%% "
              "%6.2f%% %6.2f%% %6.1f %4u\n",
              scenario.Name, scenario.Load, variant.Name,
              static_cast<unsigned long long>(seed), quantile(it.Millis, 0.5),
              quantile(it.Millis, 0.99), quantile(it.Millis, 0.999),
              static_cast<double>(it.Delivered) / seconds,
              100 * static_cast<double>(it.Refused) / requests,
              100 * static_cast<double>(it.Errors) / requests,
              100 * (static_cast<double>(it.Attempts) / requests - 1),
              100 * it.WastedMicros / it.BusyMicros,
              static_cast<double>(it.Probes) / seconds, it.MostWhileCold);
}

const std::vector<Scenario> Scenarios{
    {"quiet", Fault::None, 0.6},         {"noise", Fault::Noise, 0.6},
    {"noise", Fault::Noise, 0.8},        {"lying", Fault::LyingReports, 0.8},
    {"fail-fast", Fault::FailFast, 0.6}, {"cold-one", Fault::ColdOne, 0.6},
    {"cold-all", Fault::ColdAll, 0.6},   {"capacity", Fault::None, 1.0},
    {"overload", Fault::None, 1.5},      {"noise", Fault::Noise, 1.5},
};

const std::vector<Variant> Variants{
    {"random", RoutingPolicy::Random, 0},
    {"round-robin", RoutingPolicy::RoundRobin, 0},
    {"two-choices", RoutingPolicy::TwoChoices, 0},
    {"homes-plain", RoutingPolicy::Homes, 0},
    {"homes", RoutingPolicy::Homes, 0.05},
};

} // namespace

int main(int argc, char **argv) {
  const auto length = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 20);
  const std::uint64_t seeds =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::printf("scenario     load policy    seed      p50      p99    p99.9 "
              " goodput  refused  errors  extra wasted probes cold\n");
  const std::string only = argc > 3 ? argv[3] : "";
  for (const Scenario &scenario : Scenarios) {
    if (!only.empty() && only != scenario.Name) {
      continue;
    }
    for (const Variant &variant : Variants) {
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world(scenario, variant, seed, length);
        Figures figures = world.run();
        print(scenario, variant, figures, seed, length);
      }
    }
  }
  return 0;
}
