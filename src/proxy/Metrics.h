/// \file
/// What the proxy counts and times, for prometheus-cpp.
#pragma once

#include <map>
#include <string>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "proxy/RequestLog.h"

namespace zinniarail::proxy {

/// Series are made when they are first used, so that a configuration of many
/// routes costs nothing.
class Metrics {
public:
  /// \param registry outlives this.
  explicit Metrics(prometheus::Registry &registry);

  void noteEnd(const RequestRecord &record, const RequestEnd &end, Instant now);
  void noteStart(const std::string &service,
                 const balance::PlacementReason &why, Duration waited);
  void noteAttempt(const std::string &service, balance::AttemptEnd end);
  void noteProbe(const std::string &service);
  void noteEjection(const std::string &service);

  /// Gauges of one service, at the time of asking.
  void show(const std::string &service, std::size_t open, std::size_t waiting,
            double retryTokens);

private:
  using Labels = prometheus::Labels;

  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Seconds;
  prometheus::Family<prometheus::Histogram> &WaitSeconds;
  prometheus::Family<prometheus::Counter> &Attempts;
  prometheus::Family<prometheus::Counter> &Repeats;
  prometheus::Family<prometheus::Counter> &ColdRequests;
  prometheus::Family<prometheus::Counter> &Probes;
  prometheus::Family<prometheus::Counter> &Ejections;
  prometheus::Family<prometheus::Gauge> &Open;
  prometheus::Family<prometheus::Gauge> &Waiting;
  prometheus::Family<prometheus::Gauge> &RetryTokens;
};

} // namespace zinniarail::proxy
