// Measures what claims cost: latency and messages of a claim among real peers
// tasks on loopback, bytes between idle instances, and memory of a claim kept.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <thread>

#include <malloc.h>

#include "../tests/peers/Fleet.h"
#include "zinniarail/claims/Claims.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr int ClaimsPerRun = 5000;
constexpr std::chrono::seconds IdleTime{10};

double cpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

double shown(Node &node, const char *field) {
  return Fleet::dump(node).at(field).to_number<double>();
}

double shownByAll(Fleet &fleet, const char *field) {
  double sum = 0;
  for (const auto &it : fleet.Nodes) {
    sum += shown(*it, field);
  }
  return sum;
}

bool startHolders(Fleet &fleet) {
  for (const auto &it : fleet.Nodes) {
    it->Set.PeerInterval = std::chrono::milliseconds{250};
  }
  bool good = fleet.startAll();
  for (const auto &it : fleet.Nodes) {
    good = good && Fleet::waitHolder(*it) && !fleet.grantSome(*it).empty();
  }
  return good;
}

// One claim after the other at one instance. The first three instances are
// the holders where there are three.
void measureClaims(int instances, int port) {
  Fleet fleet(instances, port);
  if (!startHolders(fleet)) {
    std::printf("instances=%d did not get ready\n", instances);
    return;
  }
  for (const auto &node : fleet.Nodes) {
    const double records = shownByAll(fleet, "recordsSent");
    const double cpu = cpuSeconds();
    std::vector<std::int64_t> took;
    int granted = 0;
    for (int it = 0; it < ClaimsPerRun; ++it) {
      const Instant begin = readClock();
      granted +=
          fleet.claim(*node, node->Set.InstanceId + "/" + std::to_string(it)) ==
          ClaimVerdict::Granted;
      took.push_back((readClock() - begin).count());
    }
    const double used = cpuSeconds() - cpu;
    std::sort(took.begin(), took.end());
    const auto at = [&](double share) {
      return took[static_cast<std::size_t>(
          share * static_cast<double>(took.size() - 1))];
    };
    std::printf("claims instances=%d at=%s granted=%d/%d p50=%ldus p99=%ldus "
                "p99.9=%ldus calls/claim=%.2f cpu/claim=%.0fus (all "
                "instances and the driver)\n",
                instances, node->Set.InstanceId.c_str(), granted, ClaimsPerRun,
                at(0.5), at(0.99), at(0.999),
                (shownByAll(fleet, "recordsSent") - records) / ClaimsPerRun,
                used / ClaimsPerRun * 1e6);
  }
}

void measureIdle(int instances, int port) {
  Fleet fleet(instances, port);
  if (!startHolders(fleet)) {
    std::printf("instances=%d did not get ready\n", instances);
    return;
  }
  const double bytes = shownByAll(fleet, "bytesOut");
  const double probes = shownByAll(fleet, "probesSent");
  const double cpu = cpuSeconds();
  std::this_thread::sleep_for(IdleTime);
  const double seconds = std::chrono::duration<double>(IdleTime).count();
  const double each = seconds * instances;
  std::printf("idle instances=%d bytesOut/s=%.0f probes/s=%.1f cpu=%.2f%% of a "
              "core, for one instance\n",
              instances, (shownByAll(fleet, "bytesOut") - bytes) / each,
              (shownByAll(fleet, "probesSent") - probes) / each,
              (cpuSeconds() - cpu) / each * 100);
}

void measureMemory() {
  constexpr std::uint64_t count = 100'000;
  ClaimState state = makeClaims({"i0", 1, "d0", "a"}, {});
  ClaimActions actions;
  handle(state, RosterLearned{{1, {{1, {state.Self}}}}}, Instant{}, actions);
  const std::size_t before = mallinfo2().uordblks;
  const Instant begin = readClock();
  for (std::uint64_t it = 0; it < count; ++it) {
    recordClaim(state, 1,
                {"orders",
                 makeClaimKey(std::to_string(it)),
                 {1, it + 1},
                 std::chrono::seconds{30}},
                Instant{});
  }
  const auto took = readClock() - begin;
  std::printf("memory claims=%zu bytes/claim=%.0f record=%.2fus\n",
              countClaims(state),
              static_cast<double>(mallinfo2().uordblks - before) / count,
              static_cast<double>(took.count()) / count);
}

} // namespace

int main() {
  measureMemory();
  measureClaims(3, 9300);
  measureClaims(5, 9310);
  int port = 9320;
  for (const int instances : {3, 13, 26, 52}) {
    measureIdle(instances, port);
    port += 10;
  }
  return 0;
}
