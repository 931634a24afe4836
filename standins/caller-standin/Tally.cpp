#include "caller-standin/Tally.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace zinniarail::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t LatencyLimit = 4'000'000; // values kept

double toMs(Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

json::object latenciesJson(Latencies &it) {
  return {
      {"count", it.Values.size()},         {"p50", toMs(quantile(it, 0.5))},
      {"p90", toMs(quantile(it, 0.9))},    {"p99", toMs(quantile(it, 0.99))},
      {"p999", toMs(quantile(it, 0.999))}, {"max", toMs(quantile(it, 1))}};
}

Latencies joined(const Tally &tally) {
  Latencies out = tally.Reads;
  out.Values.insert(out.Values.end(), tally.Orders.Values.begin(),
                    tally.Orders.Values.end());
  return out;
}

json::object countsJson(const std::map<std::string, std::uint64_t> &counts) {
  json::object out;
  for (const auto &[name, n] : counts) {
    out[name] = n;
  }
  return out;
}

json::array windowsJson(std::vector<Window> &windows) {
  json::array out;
  for (auto &it : windows) {
    out.push_back(json::object{{"sent", it.Sent},
                               {"served", it.Served},
                               {"others", countsJson(it.Others)},
                               {"readLatencyMs", latenciesJson(it.Reads)},
                               {"orderLatencyMs", latenciesJson(it.Orders)}});
  }
  return out;
}

std::uint64_t sum(const std::map<std::string, std::uint64_t> &counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::uint64_t{0},
      [](std::uint64_t n, const auto &it) { return n + it.second; });
}

double perSecond(std::uint64_t n, Duration length) {
  return static_cast<double>(n) / std::chrono::duration<double>(length).count();
}

} // namespace

void record(Latencies &latencies, Duration value) {
  if (latencies.Values.size() < LatencyLimit) {
    latencies.Values.push_back(value);
  }
}

Duration quantile(Latencies &latencies, double share) {
  auto &values = latencies.Values;
  if (values.empty()) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const auto it = values.begin() + std::max<std::ptrdiff_t>(rank - 1, 0);
  std::nth_element(values.begin(), it, values.end());
  return *it;
}

void verifyOrders(Tally &tally,
                  const std::unordered_map<std::string, unsigned> &runs) {
  for (const auto &[key, end] : tally.OrderEnds) {
    const auto it = runs.find(key);
    const unsigned n = it == runs.end() ? 0 : it->second;
    tally.Doubled += n > 1 ? 1 : 0;
    tally.ServedNotRun += end == OrderEnd::Served && n == 0 ? 1 : 0;
    tally.FalseRefusals += end == OrderEnd::DidNotRun && n > 0 ? 1 : 0;
  }
  tally.Verified = true;
}

json::object toJson(Tally &tally, Duration length) {
  auto all = joined(tally);
  json::object out{{"sent", tally.Sent},
                   {"sends", tally.Sends},
                   {"skipped", tally.Skipped},
                   {"served", tally.Served},
                   {"goodput", perSecond(tally.Served, length)},
                   {"refused", countsJson(tally.Refused)},
                   {"refusedTotal", sum(tally.Refused)},
                   {"unknown", tally.Unknown},
                   {"wrong", tally.Wrong},
                   {"lost", tally.Lost},
                   {"marked", countsJson(tally.Marked)},
                   {"orders", tally.OrderEnds.size()},
                   {"latencyMs", latenciesJson(all)},
                   {"readLatencyMs", latenciesJson(tally.Reads)},
                   {"orderLatencyMs", latenciesJson(tally.Orders)},
                   {"windows", windowsJson(tally.Windows)}};
  if (tally.Verified) {
    out["doubled"] = tally.Doubled;
    out["servedNotRun"] = tally.ServedNotRun;
    out["falseRefusals"] = tally.FalseRefusals;
  }
  return out;
}

std::string summarize(Tally &tally, Duration length) {
  auto all = joined(tally);
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "sent " << tally.Sent << ", served " << tally.Served << " ("
      << perSecond(tally.Served, length) << " a second), refused "
      << sum(tally.Refused) << ", unknown " << tally.Unknown << ", wrong "
      << tally.Wrong << ", lost " << tally.Lost << '\n';
  for (const auto &[reason, n] : tally.Refused) {
    out << "  refused, " << reason << ": " << n << '\n';
  }
  for (const auto &[end, n] : tally.Marked) {
    out << "  marked, " << end << ": " << n << '\n';
  }
  out << std::setprecision(2) << "latency ms: p50 " << toMs(quantile(all, 0.5))
      << ", p99 " << toMs(quantile(all, 0.99)) << ", p99.9 "
      << toMs(quantile(all, 0.999)) << ", max " << toMs(quantile(all, 1))
      << '\n';
  if (tally.Verified) {
    out << "orders " << tally.OrderEnds.size() << ": doubled " << tally.Doubled
        << ", served but not run " << tally.ServedNotRun << ", refused but run "
        << tally.FalseRefusals << '\n';
  }
  return out.str();
}

bool isSound(const Tally &tally) {
  return tally.Lost == 0 && tally.Wrong == 0 && tally.Doubled == 0 &&
         tally.ServedNotRun == 0 && tally.FalseRefusals == 0;
}

} // namespace zinniarail::standins
