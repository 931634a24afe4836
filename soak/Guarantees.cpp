#include "soak/Guarantees.h"

#include <algorithm>
#include <set>

namespace zinniarail::soak {

namespace {

using standins::CallerRecord;
using standins::ExecutionLog;
using Violations = std::vector<Violation>;

bool overlapsAny(const std::vector<Span> &spans, Instant from, Instant to) {
  return std::any_of(spans.begin(), spans.end(), [&](const Span &it) {
    return it.From <= to && it.To >= from;
  });
}

bool wasDisrupted(const Records &records, std::size_t instance, Instant from,
                  Instant to, const std::set<Disruption> &kinds) {
  const auto it = records.Disruptions.find(instance);
  return it != records.Disruptions.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const auto &disruption) {
                       return kinds.contains(disruption.first) &&
                              overlapsAny({disruption.second}, from, to);
                     });
}

// Whether no disruption of the instance overlaps the interval or the settling
// time before it.
bool wasInstanceStable(const Records &records, std::size_t instance,
                       Instant from, Instant to, const Bounds &bounds) {
  return !wasDisrupted(records, instance, from - bounds.SettlingTime, to,
                       {Disruption::PlannedRestart, Disruption::ProcessFault,
                        Disruption::CallerLink, Disruption::StoreLink});
}

// Whether no disruption of the store overlaps the interval or the settling time
// before it.
bool wasStoreStable(const Records &records, Instant from, Instant to,
                    const Bounds &bounds) {
  return !overlapsAny(records.StoreDisruptions, from - bounds.SettlingTime, to);
}

std::string describeRequest(const std::string &id, const CallerRecord &it) {
  return "request " + id + " to " + it.InstanceAddress + " on " + it.Path +
         ", status " + std::to_string(it.Status);
}

void checkResponses(const Records &records, Violations &out) {
  for (const auto &[id, it] : records.Requests) {
    const auto found = records.Executions.Requests.find(id);
    const unsigned timesStarted = found == records.Executions.Requests.end()
                                      ? 0
                                      : found->second.TimesStarted;
    if (!it.Idempotent && timesStarted > 1) {
      out.push_back({"runs-once", describeRequest(id, it)});
    }
    if (!it.Idempotent && it.ReportedNotRun && timesStarted > 0) {
      out.push_back({"true-refusals", describeRequest(id, it)});
    }
    const bool succeeded = it.Status >= 200 && it.Status < 300;
    if (it.MismatchedResponse || (succeeded && timesStarted == 0)) {
      out.push_back({"own-answers", describeRequest(id, it)});
    }
  }
}

// Only process faults and caller link faults excuse a lost response; a planned
// restart does not. A lost request that the instance may not have read before
// it closed the connection is no violation.
void checkLostResponses(const Records &records, const Bounds &bounds,
                        Violations &out) {
  std::set<std::string> arrived;
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    arrived.insert(it.RequestId);
  }
  for (const auto &[id, it] : records.Requests) {
    const auto instance = records.InstanceByAddress.find(it.InstanceAddress);
    const bool wasRead =
        arrived.contains(id) || it.EndedAt - it.SentAt > bounds.CloseRaceWindow;
    if (it.ResponseLost && wasRead &&
        instance != records.InstanceByAddress.end() &&
        !wasDisrupted(records, instance->second,
                      it.SentAt - bounds.SettlingTime, it.EndedAt,
                      {Disruption::ProcessFault, Disruption::CallerLink})) {
      out.push_back({"no-lost-answers", describeRequest(id, it)});
    }
  }
}

// Finds the caller's record of an arrived request and the instance that the
// caller sent it to.
// \returns null when the request or the instance is unknown.
const CallerRecord *findSender(const Records &records,
                               const ExecutionLog::Arrival &arrival,
                               std::size_t &instance) {
  const auto request = records.Requests.find(arrival.RequestId);
  if (request == records.Requests.end()) {
    return nullptr;
  }
  const auto sender =
      records.InstanceByAddress.find(request->second.InstanceAddress);
  if (sender == records.InstanceByAddress.end()) {
    return nullptr;
  }
  instance = sender->second;
  return &request->second;
}

std::string describeLateArrival(const ExecutionLog::Arrival &it,
                                Instant since) {
  return "request " + it.RequestId + " reached " + it.UpstreamId + " " +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            it.ReceivedAt - since)
                            .count()) +
         " ms after the drain or evacuation began";
}

void checkDrains(const Records &records, const Bounds &bounds,
                 Violations &out) {
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    std::size_t instance = 0;
    const CallerRecord *request = findSender(records, it, instance);
    const auto since = records.DrainingSince.find(it.UpstreamId);
    if (request == nullptr || since == records.DrainingSince.end() ||
        it.ReceivedAt <= since->second + bounds.MaxDrainTime ||
        !wasInstanceStable(records, instance, since->second, it.ReceivedAt,
                           bounds) ||
        !wasStoreStable(records, since->second, it.ReceivedAt, bounds)) {
      continue;
    }
    out.push_back({"drain", describeLateArrival(it, since->second)});
  }
}

void checkEvacuations(const Records &records, const Bounds &bounds,
                      Violations &out) {
  for (const auto &[domain, span] : records.Evacuations) {
    for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
      std::size_t instance = 0;
      if (it.Domain != domain ||
          it.ReceivedAt <= span.From + bounds.MaxEvacuationTime ||
          it.ReceivedAt >= span.To ||
          findSender(records, it, instance) == nullptr ||
          !wasInstanceStable(records, instance, span.From, it.ReceivedAt,
                             bounds) ||
          !wasStoreStable(records, span.From, it.ReceivedAt, bounds)) {
        continue;
      }
      out.push_back({"evacuation", describeLateArrival(it, span.From)});
    }
  }
}

// The services to which the route with Records::MovingPath pointed at any time
// in the interval.
std::set<std::string> allowedServices(const Records &records, Instant from,
                                      Instant to) {
  std::set<std::string> services;
  for (std::size_t n = 0; n < records.RouteMoves.size(); ++n) {
    const bool isLast = n + 1 == records.RouteMoves.size();
    const Instant until =
        isLast ? Instant::max() : records.RouteMoves[n + 1].MovedAt;
    if (records.RouteMoves[n].MovedAt <= to && until >= from) {
      services.insert(records.RouteMoves[n].Service);
    }
  }
  return services;
}

void checkConfiguration(const Records &records, const Bounds &bounds,
                        Violations &out) {
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    std::size_t instance = 0;
    const CallerRecord *request = findSender(records, it, instance);
    if (request == nullptr || request->Path != records.MovingPath) {
      continue;
    }
    const Instant from = request->SentAt - bounds.MaxConfigurationDelay;
    if (!wasInstanceStable(records, instance, from, it.ReceivedAt, bounds) ||
        !wasStoreStable(records, from, it.ReceivedAt, bounds)) {
      continue;
    }
    if (!allowedServices(records, from, it.ReceivedAt).contains(it.Service)) {
      out.push_back({"configuration", "request " + it.RequestId + " ran on " +
                                          it.Service +
                                          " under an outdated configuration"});
    }
  }
  std::map<std::pair<std::size_t, unsigned>, std::uint64_t> latestVersions;
  for (const VersionReport &it : records.VersionReports) {
    std::uint64_t &latest = latestVersions[{it.Instance, it.Incarnation}];
    if (it.Version < latest) {
      out.push_back({"no-version-back", "instance " +
                                            std::to_string(it.Instance + 1) +
                                            " moved its "
                                            "configuration back from version " +
                                            std::to_string(latest) + " to " +
                                            std::to_string(it.Version)});
    }
    latest = it.Version;
  }
}

// Arrivals after the first of a request are retries or hedges. For each window
// that ends at one of them, the limit on their number follows from the highest
// request count of three windows: the window itself, the one before it, and the
// one half a window earlier.
void checkRetryBudget(const Records &records, const Bounds &bounds,
                      Violations &out) {
  struct ArrivalTimes {
    std::vector<Instant> Requests;
    std::vector<Instant> Retries;
  };
  std::map<std::string, ArrivalTimes> services;
  std::set<std::string> seen;
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    ArrivalTimes &times = services[it.Service];
    const bool isFirst = seen.insert(it.RequestId).second;
    (isFirst ? times.Requests : times.Retries).push_back(it.ReceivedAt);
  }
  const auto countWithin = [](const std::vector<Instant> &times, Instant from,
                              Instant to) {
    return static_cast<double>(
        std::count_if(times.begin(), times.end(),
                      [&](Instant it) { return it > from && it <= to; }));
  };
  for (const auto &[service, it] : services) {
    for (const Instant end : it.Retries) {
      const Duration window = bounds.RetryBudgetWindow;
      const double requests = std::max(
          {countWithin(it.Requests, end - window, end),
           countWithin(it.Requests, end - window * 2, end - window),
           countWithin(it.Requests, end - window * 3 / 2, end - window / 2)});
      const double retries = countWithin(it.Retries, end - window, end);
      if (retries > bounds.RetryRatio * requests + bounds.ExtraRetries) {
        out.push_back(
            {"retry-budget",
             service + " got " + std::to_string(retries) +
                 " retries and hedges in one window; number of requests: " +
                 std::to_string(requests)});
        break;
      }
    }
  }
}

void checkColdUpstreams(const Records &records, const Bounds &bounds,
                        Violations &out) {
  std::map<std::string, std::vector<Instant>> coldArrivals;
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    if (!it.WasCold) {
      continue;
    }
    std::vector<Instant> &times = coldArrivals[it.UpstreamId];
    times.push_back(it.ReceivedAt);
    const auto first = std::upper_bound(
        times.begin(), times.end(), it.ReceivedAt - std::chrono::seconds{1});
    const auto count = static_cast<double>(times.end() - first);
    if (count > bounds.MaxColdPerSecond) {
      out.push_back({"cold-upstreams", it.UpstreamId + " got " +
                                           std::to_string(count) +
                                           " requests in one second while "
                                           "cold"});
      return;
    }
  }
}

void checkProbeBudget(const Records &records, const Bounds &bounds,
                      Violations &out) {
  for (const ProbeCount &it : records.ProbeCounts) {
    const double seconds =
        std::chrono::duration<double>(it.ObservedTime).count();
    if (static_cast<double>(it.Probes) > bounds.MaxProbesPerSecond * seconds) {
      out.push_back({"probe-budget", it.Upstream + " got " +
                                         std::to_string(it.Probes) +
                                         " health checks in " +
                                         std::to_string(seconds) + " s"});
    }
  }
}

void checkCustomers(const Records &records, Violations &out) {
  for (const ExecutionLog::Arrival &it : records.Executions.Arrivals) {
    const auto request = records.Requests.find(it.RequestId);
    const bool isForeign = request != records.Requests.end() &&
                           request->second.Customer != it.Customer;
    if (isForeign || it.HadApiKey) {
      out.push_back({"own-customer",
                     "request " + it.RequestId + " reached " + it.UpstreamId +
                         " for customer '" + it.Customer + "'" +
                         (it.HadApiKey ? ", with an API key" : "")});
    }
  }
}

void checkProcessExits(const Records &records, Violations &out) {
  for (const ProcessExit &it : records.ProcessExits) {
    if (!it.WasRequested) {
      out.push_back({"stays-up", it.Instance +
                                     " exited unexpectedly with code " +
                                     std::to_string(it.ExitCode)});
    } else if (it.TimedOut) {
      out.push_back({"stops-in-time",
                     it.Instance + " did not exit within its stop timeout"});
    }
  }
}

} // namespace

std::vector<Violation> checkGuarantees(const Records &records,
                                       const Bounds &bounds) {
  Violations out;
  checkResponses(records, out);
  checkLostResponses(records, bounds, out);
  checkDrains(records, bounds, out);
  checkEvacuations(records, bounds, out);
  checkConfiguration(records, bounds, out);
  checkRetryBudget(records, bounds, out);
  checkColdUpstreams(records, bounds, out);
  checkProbeBudget(records, bounds, out);
  checkCustomers(records, out);
  checkProcessExits(records, out);
  return out;
}

} // namespace zinniarail::soak
