/// \file
/// The proxy's Prometheus metrics.
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

/// Counters, histograms and gauges by service and route. A time series is
/// created when it is first used, so that unused routes cost nothing.
class Metrics {
public:
  /// \param registry must outlive this object.
  explicit Metrics(prometheus::Registry &registry);

  void recordRequestEnd(const RequestRecord &record, const RequestEnd &end,
                        Instant now);
  /// \param waited time since the request arrived.
  void recordAttemptStart(const std::string &service,
                          const balance::PlacementReason &reason,
                          Duration waited);
  void recordAttemptEnd(const std::string &service, balance::AttemptEnd end);
  /// Counts a request that was relayed to another instance.
  void recordRelay(const std::string &service, balance::AttemptEnd end);
  void recordProbe(const std::string &service);
  void recordEjection(const std::string &service);

  /// Sets the gauges of one service.
  /// \param open requests without a response.
  /// \param waiting requests that are queued for an upstream.
  /// \param retryTokens retries and hedges that the retry budget allows now.
  void setGauges(const std::string &service, std::size_t open,
                 std::size_t waiting, double retryTokens);

private:
  using Labels = prometheus::Labels;

  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &RequestSeconds;
  prometheus::Family<prometheus::Histogram> &WaitSeconds;
  prometheus::Family<prometheus::Counter> &Attempts;
  prometheus::Family<prometheus::Counter> &RetriesAndHedges;
  prometheus::Family<prometheus::Counter> &ColdRequests;
  prometheus::Family<prometheus::Counter> &Relays;
  prometheus::Family<prometheus::Counter> &Probes;
  prometheus::Family<prometheus::Counter> &Ejections;
  prometheus::Family<prometheus::Gauge> &OpenRequests;
  prometheus::Family<prometheus::Gauge> &WaitingRequests;
  prometheus::Family<prometheus::Gauge> &RetryTokens;
};

} // namespace zinniarail::proxy
