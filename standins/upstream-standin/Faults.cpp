#include "upstream-standin/Faults.h"

#include <boost/json.hpp>

namespace zinniarail::standins {

namespace json = boost::json;

namespace {

struct Reader {
  const json::object &Change;

  void operator()(const char *name, double &out) const {
    if (const auto *it = Change.if_contains(name)) {
      out = it->to_number<double>();
    }
  }
  void operator()(const char *name, unsigned &out) const {
    if (const auto *it = Change.if_contains(name)) {
      out = it->to_number<unsigned>();
    }
  }
  void operator()(const char *name, bool &out) const {
    if (const auto *it = Change.if_contains(name)) {
      out = it->as_bool();
    }
  }
  void operator()(const char *name, std::string &out) const {
    if (const auto *it = Change.if_contains(name)) {
      out = json::value_to<std::string>(*it);
    }
  }
  void operator()(const char *name, Duration &out) const {
    if (const auto *it = Change.if_contains(name)) {
      out = std::chrono::milliseconds{it->to_number<int>()};
    }
  }
};

Duration drawLength(Duration mean, Random &random) {
  std::exponential_distribution<double> length(1.0);
  return std::chrono::duration_cast<Duration>(mean * length(random)) +
         Duration{1};
}

} // namespace

void apply(UpstreamFaults &faults, const json::object &change) {
  const Reader read{change};
  read("delayFactor", faults.DelayFactor);
  read("noiseFactor", faults.NoiseFactor);
  read("noiseShare", faults.NoiseShare);
  read("noiseBurstMs", faults.NoiseBurst);
  read("freeze", faults.Freeze);
  read("refuse", faults.Refuse);
  read("draining", faults.Draining);
  read("failShare", faults.FailShare);
  read("shortShare", faults.ShortShare);
  read("crossedShare", faults.CrossedShare);
  read("lateShare", faults.LateShare);
  read("lateMs", faults.LateBy);
  read("closeBeforeShare", faults.CloseBeforeShare);
  read("closeAfterShare", faults.CloseAfterShare);
  read("reportLagMs", faults.ReportLag);
  read("lieLoad", faults.LieLoad);
  read("lieState", faults.LieState);
  read("healthStatus", faults.HealthStatus);
  read("crashDownMs", faults.CrashDown);
}

double noiseFactor(NoiseSchedule &schedule, const UpstreamFaults &faults,
                   Instant now, Random &random) {
  if (faults.NoiseFactor == 1) {
    return 1;
  }
  while (now >= schedule.Until) {
    const bool first = schedule.Until == Instant{};
    schedule.Noisy = !first && !schedule.Noisy;
    const auto quiet = std::chrono::duration_cast<Duration>(
        faults.NoiseBurst * ((1 - faults.NoiseShare) / faults.NoiseShare));
    schedule.Until =
        (first ? now : schedule.Until) +
        drawLength(schedule.Noisy ? faults.NoiseBurst : quiet, random);
  }
  return schedule.Noisy ? faults.NoiseFactor : 1;
}

} // namespace zinniarail::standins
