#include "soak/Promises.h"

#include <algorithm>
#include <set>

namespace zinniarail::soak {

namespace {

using standins::CallerRecord;
using standins::Ledger;
using Breaches = std::vector<Breach>;

bool touches(const std::vector<Span> &spans, Instant from, Instant to) {
  return std::any_of(spans.begin(), spans.end(), [&](const Span &it) {
    return it.From <= to && it.To >= from;
  });
}

bool hadTrouble(const Records &records, std::size_t instance, Instant from,
                Instant to, const std::set<Trouble> &kinds) {
  const auto it = records.Troubles.find(instance);
  return it != records.Troubles.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const auto &any) {
                       return kinds.contains(any.first) &&
                              touches({any.second}, from, to);
                     });
}

// Whether an instance was undisturbed over a span and before it.
bool isInTouch(const Records &records, std::size_t instance, Instant from,
               Instant to, const Bounds &bounds) {
  return !hadTrouble(
      records, instance, from - bounds.Stable, to,
      {Trouble::Planned, Trouble::Process, Trouble::Callers, Trouble::Store});
}

bool isStoreCalm(const Records &records, Instant from, Instant to,
                 const Bounds &bounds) {
  return !touches(records.StoreTrouble, from - bounds.Stable, to);
}

std::string describe(const std::string &id, const CallerRecord &it) {
  return "request " + id + " to " + it.Instance + " on " + it.Path +
         ", status " + std::to_string(it.Status);
}

void judgeAnswers(const Records &records, Breaches &out) {
  for (const auto &[id, it] : records.Requests) {
    const auto found = records.Done.Requests.find(id);
    const unsigned begun =
        found == records.Done.Requests.end() ? 0 : found->second.Begun;
    if (!it.Idempotent && begun > 1) {
      out.push_back({"runs-once", describe(id, it)});
    }
    if (!it.Idempotent && it.SaidNotRun && begun > 0) {
      out.push_back({"true-refusals", describe(id, it)});
    }
    const bool served = it.Status >= 200 && it.Status < 300;
    if (it.WrongAnswer || (served && begun == 0)) {
      out.push_back({"own-answers", describe(id, it)});
    }
  }
}

// Nobody loses an answer but to what was done to the instance without a plan.
// One that crossed the close of its connection was not read.
void judgeLost(const Records &records, const Bounds &bounds, Breaches &out) {
  std::set<std::string> arrived;
  for (const Ledger::Arrival &it : records.Done.Arrivals) {
    arrived.insert(it.Request);
  }
  for (const auto &[id, it] : records.Requests) {
    const auto instance = records.InstanceOf.find(it.Instance);
    const bool wasRead =
        arrived.contains(id) || it.EndedAt - it.SentAt > bounds.LossSlack;
    if (it.LostAnswer && wasRead && instance != records.InstanceOf.end() &&
        !hadTrouble(records, instance->second, it.SentAt - bounds.Stable,
                    it.EndedAt, {Trouble::Process, Trouble::Callers})) {
      out.push_back({"no-lost-answers", describe(id, it)});
    }
  }
}

// An arrival that the rest of a judgement applies to: from which instance.
const CallerRecord *senderOf(const Records &records,
                             const Ledger::Arrival &arrival,
                             std::size_t &instance) {
  const auto request = records.Requests.find(arrival.Request);
  if (request == records.Requests.end()) {
    return nullptr;
  }
  const auto at = records.InstanceOf.find(request->second.Instance);
  if (at == records.InstanceOf.end()) {
    return nullptr;
  }
  instance = at->second;
  return &request->second;
}

std::string late(const Ledger::Arrival &it, Instant since) {
  return "request " + it.Request + " reached " + it.Upstream + " " +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            it.At - since)
                            .count()) +
         " ms later";
}

void judgeLeaving(const Records &records, const Bounds &bounds, Breaches &out) {
  for (const Ledger::Arrival &it : records.Done.Arrivals) {
    std::size_t instance = 0;
    const CallerRecord *request = senderOf(records, it, instance);
    const auto since = records.LeavingSince.find(it.Upstream);
    if (request == nullptr || since == records.LeavingSince.end() ||
        it.At <= since->second + bounds.Drain ||
        !isInTouch(records, instance, since->second, it.At, bounds) ||
        !isStoreCalm(records, since->second, it.At, bounds)) {
      continue;
    }
    out.push_back({"drain", late(it, since->second)});
  }
}

void judgeEvacuations(const Records &records, const Bounds &bounds,
                      Breaches &out) {
  for (const auto &[domain, span] : records.DomainsOut) {
    for (const Ledger::Arrival &it : records.Done.Arrivals) {
      std::size_t instance = 0;
      if (it.Domain != domain || it.At <= span.From + bounds.Evacuation ||
          it.At >= span.To || senderOf(records, it, instance) == nullptr ||
          !isInTouch(records, instance, span.From, it.At, bounds) ||
          !isStoreCalm(records, span.From, it.At, bounds)) {
        continue;
      }
      out.push_back({"evacuation", late(it, span.From)});
    }
  }
}

// Services that a request on the moving route may run on, if it was sent and
// reached its upstream within the span.
std::set<std::string> allowed(const Records &records, Instant from,
                              Instant to) {
  std::set<std::string> some;
  for (std::size_t n = 0; n < records.Moves.size(); ++n) {
    const bool isLast = n + 1 == records.Moves.size();
    const Instant until = isLast ? Instant::max() : records.Moves[n + 1].At;
    if (records.Moves[n].At <= to && until >= from) {
      some.insert(records.Moves[n].Service);
    }
  }
  return some;
}

void judgeConfiguration(const Records &records, const Bounds &bounds,
                        Breaches &out) {
  for (const Ledger::Arrival &it : records.Done.Arrivals) {
    std::size_t instance = 0;
    const CallerRecord *request = senderOf(records, it, instance);
    if (request == nullptr || request->Path != records.MovingPath) {
      continue;
    }
    const Instant from = request->SentAt - bounds.Configuration;
    if (!isInTouch(records, instance, from, it.At, bounds) ||
        !isStoreCalm(records, from, it.At, bounds)) {
      continue;
    }
    if (!allowed(records, from, it.At).contains(it.Service)) {
      out.push_back({"configuration", "request " + it.Request + " ran on " +
                                          it.Service + " by an old version"});
    }
  }
  std::map<std::pair<std::size_t, unsigned>, std::uint64_t> last;
  for (const VersionSeen &it : records.Versions) {
    std::uint64_t &known = last[{it.Instance, it.Start}];
    if (it.Version < known) {
      out.push_back({"no-version-back", "instance " +
                                            std::to_string(it.Instance + 1) +
                                            " went "
                                            "from " +
                                            std::to_string(known) + " to " +
                                            std::to_string(it.Version)});
    }
    known = it.Version;
  }
}

// In no window a service gets more arrivals beyond the first of each request
// than its requests allow.
void judgeRetries(const Records &records, const Bounds &bounds, Breaches &out) {
  struct Counted {
    std::vector<Instant> Requests;
    std::vector<Instant> Repeats;
  };
  std::map<std::string, Counted> services;
  std::set<std::string> seen;
  for (const Ledger::Arrival &it : records.Done.Arrivals) {
    Counted &counted = services[it.Service];
    const bool isFirst = seen.insert(it.Request).second;
    (isFirst ? counted.Requests : counted.Repeats).push_back(it.At);
  }
  const auto within = [](const std::vector<Instant> &all, Instant from,
                         Instant to) {
    return static_cast<double>(
        std::count_if(all.begin(), all.end(),
                      [&](Instant it) { return it > from && it <= to; }));
  };
  for (const auto &[service, it] : services) {
    for (const Instant end : it.Repeats) {
      const Duration window = bounds.BudgetWindow;
      const double requests = std::max(
          {within(it.Requests, end - window, end),
           within(it.Requests, end - window * 2, end - window),
           within(it.Requests, end - window * 3 / 2, end - window / 2)});
      const double repeats = within(it.Repeats, end - window, end);
      if (repeats > bounds.RetryRatio * requests + bounds.ExtraRetries) {
        out.push_back(
            {"retry-budget", service + " got " + std::to_string(repeats) +
                                 " repeats of " + std::to_string(requests)});
        break;
      }
    }
  }
}

void judgeCold(const Records &records, const Bounds &bounds, Breaches &out) {
  std::map<std::string, std::vector<Instant>> cold;
  for (const Ledger::Arrival &it : records.Done.Arrivals) {
    if (!it.Cold) {
      continue;
    }
    std::vector<Instant> &all = cold[it.Upstream];
    all.push_back(it.At);
    const auto first = std::upper_bound(all.begin(), all.end(),
                                        it.At - std::chrono::seconds{1});
    const auto count = static_cast<double>(all.end() - first);
    if (count > bounds.ColdPerSecond) {
      out.push_back({"cold-upstreams", it.Upstream + " got " +
                                           std::to_string(count) +
                                           " requests in a second"});
      return;
    }
  }
}

void judgeProbes(const Records &records, const Bounds &bounds, Breaches &out) {
  for (const ProbeCount &it : records.Probes) {
    const double seconds = std::chrono::duration<double>(it.Lived).count();
    if (static_cast<double>(it.Probes) > bounds.ProbesPerSecond * seconds) {
      out.push_back({"probe-budget", it.Upstream + " got " +
                                         std::to_string(it.Probes) + " in " +
                                         std::to_string(seconds) + " s"});
    }
  }
}

void judgeEnds(const Records &records, Breaches &out) {
  for (const ProcessEnd &it : records.Ends) {
    if (!it.Asked) {
      out.push_back({"stays-up", it.Instance + " ended by itself with code " +
                                     std::to_string(it.Code)});
    } else if (it.Overdue) {
      out.push_back({"stops-in-time", it.Instance + " did not end in time"});
    }
  }
}

} // namespace

std::vector<Breach> judge(const Records &records, const Bounds &bounds) {
  Breaches out;
  judgeAnswers(records, out);
  judgeLost(records, bounds, out);
  judgeLeaving(records, bounds, out);
  judgeEvacuations(records, bounds, out);
  judgeConfiguration(records, bounds, out);
  judgeRetries(records, bounds, out);
  judgeCold(records, bounds, out);
  judgeProbes(records, bounds, out);
  judgeEnds(records, out);
  return out;
}

} // namespace zinniarail::soak
