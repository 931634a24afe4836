/// \file
/// What bench_service_changes does to a firm's processes: domains and instances
/// that leave and return.
#pragma once

#include <algorithm>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Firms.h"

namespace zinniarail::bench {

using standins::ClusterInstance;
using Ms = std::chrono::milliseconds;

constexpr std::chrono::seconds Patience{30};
constexpr Ms Settling{3000};   // callers run before anything changes
constexpr Ms OutFor{5000};     // a domain is out so long
constexpr Ms ReturnFor{5000};  // and its return is watched for
constexpr Ms Briefly{700};     // out and in within a second
constexpr Ms PlatformLag{100}; // from an accepted change to the outage

/// What one run of a scenario shows beside the callers' reports.
struct Notes {
  std::map<std::string, double> Values;
  std::string Said;
};

/// One firm's processes.
struct Side {
  const Firm *Owner;
  Cluster Processes;
  CallerRun Callers[2];
  Instant Began{};
};

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The upstreams' ids in some domains.
inline boost::json::array upstreamsIn(const Side &side,
                                      const std::set<std::string> &names) {
  boost::json::array out;
  const auto document = boost::json::parse(side.Processes.document());
  for (const auto &service : document.at("services").as_array()) {
    for (const auto &it : service.at("upstreams").as_array()) {
      if (names.contains(it.at("domain").as_string().c_str())) {
        out.push_back(it.at("id"));
      }
    }
  }
  return out;
}

inline std::set<std::string> firstDomains(const Side &side, unsigned count) {
  return {side.Owner->Domains, side.Owner->Domains + count};
}

inline void waitUntil(const Side &side, Duration at) {
  std::this_thread::sleep_until(side.Began + at);
}

inline bool change(Side &side, const boost::json::array &upstreams,
                   const char *faults) {
  auto body = boost::json::parse(faults).as_object();
  body["upstreams"] = upstreams;
  return side.Processes.setUpstreamFaults(body);
}

/// The domain's upstreams begin anew while it is out.
inline void turnCold(Side &side, const boost::json::array &upstreams,
                     Notes &notes) {
  notes.Values["turned"] = static_cast<double>(upstreams.size());
  change(side, upstreams, R"({"turnCold":true})");
}

/// A counter of each upstream.
inline std::vector<double> countersOf(const Side &side,
                                      const boost::json::array &upstreams,
                                      const char *name) {
  const auto counters = side.Processes.upstreamCounters();
  std::vector<double> out;
  for (const auto &it : upstreams) {
    out.push_back(
        numberIn(counters, "upstreams", it.as_string().c_str(), name));
  }
  return out;
}

/// Notes when the domain got its last new work, once it is out.
inline void noteLastWork(const Side &side, const boost::json::array &upstreams,
                         std::int64_t accepted, Notes &notes) {
  const auto times = countersOf(side, upstreams, "newWorkAtMs");
  notes.Values["last work"] =
      std::max(0.0, *std::max_element(times.begin(), times.end()) -
                        static_cast<double>(accepted));
}

/// \param before coldOverloads as they were before the return.
inline void noteFallen(const Side &side, const boost::json::array &upstreams,
                       const std::vector<double> &before, Notes &notes) {
  const auto after = countersOf(side, upstreams, "coldOverloads");
  double fallen = 0;
  for (std::size_t n = 0; n < after.size(); ++n) {
    fallen += after[n] > before[n] ? 1 : 0;
  }
  notes.Values["fallen"] = fallen;
}

inline void leaveAndReturn(Side &side, unsigned domains, Notes &notes,
                           bool platformOut) {
  const auto names = firstDomains(side, domains);
  const auto upstreams = upstreamsIn(side, names);
  waitUntil(side, Settling);
  notes.Values["failed steps"] += side.Processes.putDomainsOut(names) ? 0 : 1;
  const auto accepted = unixMs();
  if (platformOut) {
    waitUntil(side, Settling + PlatformLag);
    side.Processes.setPlatformFaults({{"outage", "hang"}});
  }
  waitUntil(side, Settling + OutFor - Ms{100});
  noteLastWork(side, upstreams, accepted, notes);
  const auto overloads = countersOf(side, upstreams, "coldOverloads");
  turnCold(side, upstreams, notes);
  if (platformOut) {
    side.Processes.setPlatformFaults({{"outage", "none"}});
  }
  waitUntil(side, Settling + OutFor);
  notes.Values["failed steps"] += side.Processes.putDomainsOut({}) ? 0 : 1;
  waitUntil(side, Settling + OutFor + ReturnFor);
  noteFallen(side, upstreams, overloads, notes);
}

inline void outAndInAtOnce(Side &side, Notes &notes) {
  waitUntil(side, Settling);
  notes.Values["failed steps"] +=
      side.Processes.putDomainsOut(firstDomains(side, 2)) ? 0 : 1;
  waitUntil(side, Settling + Briefly);
  notes.Values["failed steps"] += side.Processes.putDomainsOut({}) ? 0 : 1;
}

/// A change that the platform can't take must say so at once.
inline void changeDuringOutage(Side &side, Notes &notes) {
  waitUntil(side, Settling);
  side.Processes.setPlatformFaults({{"outage", "503"}});
  const auto before = readClock();
  notes.Values["failed steps"] +=
      side.Processes.putDomainsOut(firstDomains(side, 1)) ? 1 : 0;
  notes.Values["said ms"] =
      std::chrono::duration<double, std::milli>(readClock() - before).count();
  waitUntil(side, Settling + OutFor);
  side.Processes.setPlatformFaults({{"outage", "none"}});
}

inline void restartAll(Side &side, Notes &notes) {
  waitUntil(side, Settling);
  for (auto &it : side.Processes.instances()) {
    it.Running.signal(SIGTERM);
    const bool again =
        it.Running.wait(Patience) == 0 && side.Processes.startInstance(it) &&
        standins::awaitStatus("http://" + it.OperatorAddress + "/health", 200,
                              Patience);
    notes.Values["failed steps"] += again ? 0 : 1;
  }
  notes.Values["took s"] =
      std::chrono::duration<double>(readClock() - side.Began - Settling)
          .count();
}

/// A domain's upstreams and instances are killed, and come back.
inline void failDomain(Side &side, Notes &notes) {
  const auto names = firstDomains(side, 1);
  const auto upstreams = upstreamsIn(side, names);
  std::vector<ClusterInstance *> lost;
  for (auto &it : side.Processes.instances()) {
    if (names.contains(it.Domain)) {
      lost.push_back(&it);
    }
  }
  waitUntil(side, Settling);
  change(side, upstreams, R"({"crash":true,"refuse":true})");
  for (auto *it : lost) {
    it->Running.signal(SIGKILL);
  }
  for (auto *it : lost) {
    it->Running.wait(Patience);
  }
  waitUntil(side, Settling + OutFor - Ms{100});
  const auto overloads = countersOf(side, upstreams, "coldOverloads");
  turnCold(side, upstreams, notes);
  waitUntil(side, Settling + OutFor);
  change(side, upstreams, R"({"refuse":false})");
  for (auto *it : lost) {
    notes.Values["failed steps"] += side.Processes.startInstance(*it) ? 0 : 1;
  }
  waitUntil(side, Settling + OutFor + ReturnFor);
  noteFallen(side, upstreams, overloads, notes);
}

} // namespace zinniarail::bench
