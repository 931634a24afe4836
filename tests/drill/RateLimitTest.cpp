// A limit on its requests that an upstream names in its responses, on real
// processes.
#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

// What the users allow: in any window from LimitGrace after the limit was first
// named, OverLimitFactor times what it takes and ExtraRequests.
constexpr Duration LimitGrace = 3s;
constexpr Duration LimitWindow = 4s;
constexpr double OverLimitFactor = 1.5;
constexpr double ExtraRequests = 5;

constexpr double NamedLimit = 2; ///< Requests per second.

/// Three instances in one failure domain.
standins::DeploymentPlan makePlan() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.HasLinks = false;
  return plan;
}

/// Sends requests to all instances in turn.
void sendRequests(Drill &drill, Duration time) {
  static unsigned sent = 0;
  const Instant end = readClock() + time;
  while (readClock() < end) {
    ++sent;
    BOOST_TEST(drill.sendRequest("GET", "/moving/", "r" + std::to_string(sent),
                                 sent % 3) == 200);
  }
}

std::vector<Instant> arrivalsAt(const Drill &drill, const std::string &id,
                                Instant from) {
  std::vector<Instant> out;
  for (const auto &it : drill.Deployed.Executions.Arrivals) {
    if (it.UpstreamId == id && it.ReceivedAt >= from) {
      out.push_back(it.ReceivedAt);
    }
  }
  return out;
}

/// The most arrivals in any window of a length.
std::size_t mostWithin(const std::vector<Instant> &arrivals, Duration window) {
  std::size_t most = 0;
  for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
    const auto end = std::lower_bound(it, arrivals.end(), *it + window);
    most = std::max(most, static_cast<std::size_t>(end - it));
  }
  return most;
}

} // namespace

BOOST_AUTO_TEST_CASE(limitThatAnUpstreamNamesIsKept) {
  Drill drill(makePlan());
  std::vector<standins::Upstream *> upstreams;
  for (const auto &it : drill.Deployed.Upstreams) {
    if (it->Config.Service == "archive") {
      upstreams.push_back(it.get());
    }
  }
  standins::Upstream &limited = *upstreams.front();
  sendRequests(drill, 1s);
  limited.Faults.RateLimit = "2.0";
  const Instant named = readClock();
  sendRequests(drill, 8s);
  const auto arrivals = arrivalsAt(drill, limited.id(), named + LimitGrace);
  const double seconds = std::chrono::duration<double>(LimitWindow).count();
  BOOST_TEST(mostWithin(arrivals, LimitWindow) <=
             NamedLimit * seconds * OverLimitFactor + ExtraRequests);
  limited.Faults.RateLimit.clear();
  sendRequests(drill, 3s);
  // Placement need not spread sequential requests over all upstreams. Limits on
  // the others make it use this one.
  for (standins::Upstream *it : upstreams) {
    if (it != &limited) {
      it->Faults.RateLimit = "2.0";
    }
  }
  const Instant ended = readClock();
  sendRequests(drill, 2s);
  BOOST_TEST(arrivalsAt(drill, limited.id(), ended).size() >=
             NamedLimit * 2 * 2); // Twice what the limit would have allowed.
  for (std::size_t n = 0; n < drill.Deployed.Instances.size(); ++n) {
    BOOST_TEST(drill.waitForLog("named no limit", n));
  }
}
